package balancer

import (
	"errors"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"wisteriaweir/monitor"
	"wisteriaweir/platform"
)

// gauges hold what the control goroutine and the lanes last measured, for the
// metrics.
type gauges struct {
	flows, waiting, queued, members, number, held atomic.Int64
	targets                                       [5]atomic.Int64
}

// gaugeStates are the states of targets that gauges.targets counts.
var gaugeStates = [5]string{"starting", "serving", "shedding", "ejected", "draining"}

// register shows the gauges in set.
func (g *gauges) register(set *metrics.Set) {
	read := func(v *atomic.Int64) func() float64 {
		return func() float64 { return float64(v.Load()) }
	}
	monitor.Gauges{
		FlowsOpen:      read(&g.flows),
		PinsWaiting:    read(&g.waiting),
		RequestsQueued: read(&g.queued),
		ConfigNumber:   read(&g.number),
		Members:        read(&g.members),
		LeaseHeld:      read(&g.held),
		Targets: func(state string) float64 {
			for i, name := range gaugeStates {
				if name == state {
					return float64(g.targets[i].Load())
				}
			}
			return 0
		},
	}.Register(set)
}

// measure sets the gauges that belong to the control goroutine.
func (c *control) measure() {
	g := &c.b.gauges
	g.members.Store(int64(len(c.members.view.Entries)))
	g.number.Store(int64(c.config.Number))
	g.held.Store(0)
	if _, holding := c.lease.holding(); holding {
		g.held.Store(1)
	}
	g.waiting.Store(int64(c.gens.Status().Waiting))
	var open int64
	for _, l := range c.b.flows {
		open += l.open.Load()
	}
	g.flows.Store(open)
	var counts [5]int64
	for _, p := range c.targets.pools {
		shares := p.Shares()
		for i := range shares.Len() {
			for j, name := range gaugeStates {
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

// countTry counts one try of a call to the platform.
func countTry(count *monitor.Counters, t platform.Attempt) {
	switch {
	case t.Conflict, errors.As(t.Err, new(*platform.ConflictError)):
		count.PlatformConflict.Inc()
	case t.Err != nil:
		count.PlatformFailed.Inc()
	default:
		count.PlatformSucceeded.Inc()
	}
}
