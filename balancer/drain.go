package balancer

import (
	"context"
	"time"

	"wisteriaweir/monitor"
	"wisteriaweir/platform"
	"wisteriaweir/request"
)

const (
	// leaveGracePeriod is how long a leaving balancer continues to accept
	// requests, so that the fabric and its peers learn that it leaves before it
	// stops accepting them.
	leaveGracePeriod = 2 * time.Second
	// leavePollInterval is the interval of checks whether the fleet has removed
	// a leaving balancer.
	leavePollInterval = 100 * time.Millisecond
)

// drain ends the work of a leaving balancer. It continues to forward, and
// returns once no request is in progress and the fleet has removed the balancer
// after it handed over its flows, or when the drain limit has passed.
func (b *Balancer) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, b.cfg.Setting.Times.DrainLimit)
	defer cancel()
	b.monitor.SetState(monitor.State{Phase: monitor.PhaseLeaving, Reason: "told to stop"})
	b.control.startLeaving(ctx)
	_ = platform.Sleep(ctx, leaveGracePeriod)
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
		_ = platform.Sleep(ctx, leavePollInterval)
	}
	b.log.Info("nothing left in progress")
}
