package balancer

import (
	"errors"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"wisteriaweir/monitor"
	"wisteriaweir/platform"
)

// gauges holds the values of the gauge metrics. The control goroutine and the
// queue of requests update them.
type gauges struct {
	flowsOpen, pinsWaiting, requestsQueued, members, configNumber, leaseHeld atomic.Int64
	targets                                                                  [5]atomic.Int64
}

// targetStates are the target states that gauges.targets counts, in the same
// order.
var targetStates = [5]string{"starting", "serving", "shedding", "ejected", "draining"}

// register adds the gauges to set.
func (g *gauges) register(set *metrics.Set) {
	read := func(v *atomic.Int64) func() float64 {
		return func() float64 { return float64(v.Load()) }
	}
	monitor.Gauges{
		FlowsOpen:      read(&g.flowsOpen),
		PinsWaiting:    read(&g.pinsWaiting),
		RequestsQueued: read(&g.requestsQueued),
		ConfigNumber:   read(&g.configNumber),
		Members:        read(&g.members),
		LeaseHeld:      read(&g.leaseHeld),
		Targets: func(state string) float64 {
			for i, name := range targetStates {
				if name == state {
					return float64(g.targets[i].Load())
				}
			}
			return 0
		},
	}.Register(set)
}

// updateGauges updates the gauges whose values belong to the control goroutine
// or to the flow workers.
func (c *control) updateGauges() {
	g := &c.b.gauges
	g.members.Store(int64(len(c.members.view.Entries)))
	g.configNumber.Store(int64(c.config.Number))
	g.leaseHeld.Store(0)
	if _, holding := c.leaseRunner.holding(); holding {
		g.leaseHeld.Store(1)
	}
	g.pinsWaiting.Store(int64(c.epochs.Status().Waiting))
	var open int64
	for _, w := range c.b.flowWorkers {
		open += w.open.Load()
	}
	g.flowsOpen.Store(open)
	var counts [5]int64
	for _, p := range c.targets.pools {
		shares := p.Shares()
		for i := range shares.Len() {
			for j, name := range targetStates {
				if shares.At(i).State.String() == name {
					counts[j]++
				}
			}
		}
	}
	for i := range counts {
		g.targets[i].Store(counts[i])
	}
}

// countPlatformAttempt counts one attempt of a call to the platform by its
// result.
func countPlatformAttempt(counters *monitor.Counters, attempt platform.Attempt) {
	switch {
	case attempt.Conflict, errors.As(attempt.Err, new(*platform.ConflictError)):
		counters.PlatformConflict.Inc()
	case attempt.Err != nil:
		counters.PlatformFailed.Inc()
	default:
		counters.PlatformSucceeded.Inc()
	}
}
