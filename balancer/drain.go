package balancer

import (
	"context"
	"time"

	"wisteriaweir/monitor"
	"wisteriaweir/platform"
	"wisteriaweir/request"
)

const (
	// drainGracePeriod is how long a leaving balancer continues to accept
	// requests. In this time, the fabric and the other balancers receive the
	// announcement that it is leaving.
	drainGracePeriod = 2 * time.Second
	// drainPollInterval is the interval at which a leaving balancer checks
	// whether the fleet has removed it.
	drainPollInterval = 100 * time.Millisecond
)

// drain ends the work of a leaving balancer, which continues to forward
// datagrams meanwhile. It returns once no request is in progress and the fleet
// has removed the balancer, after the handover of its flows, or when the drain
// limit has passed.
func (b *Balancer) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, b.cfg.Setting.Times.DrainLimit)
	defer cancel()
	b.monitor.SetState(monitor.State{Phase: monitor.PhaseLeaving, Reason: "told to stop"})
	b.control.startLeaving(ctx)
	_ = platform.Sleep(ctx, drainGracePeriod)
	b.requests.enqueue(request.Stop{})
	select {
	case <-b.requests.done:
	case <-ctx.Done():
		b.log.Warn("drain limit reached with requests in progress")
		return
	}
	for !b.control.queryRemoved(ctx) {
		if ctx.Err() != nil {
			b.log.Warn("drain limit reached before the fleet removed this balancer")
			return
		}
		_ = platform.Sleep(ctx, drainPollInterval)
	}
	b.log.Info("nothing left in progress")
}
