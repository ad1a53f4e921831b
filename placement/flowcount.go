package placement

import (
	"math"
	"time"
)

const (
	// maxRequestsPerFlow is the number of requests per flow up to which the flows of a
	// service count as short. A longer flow stays on its target when the load changes, and
	// such flows are balanced best if every host places them on all targets.
	maxRequestsPerFlow = 1.5
	// flowCountHalfLife is the time in which a flow and its requests lose half of their
	// weight in the number of requests per flow. In a surge most flows are new, which makes
	// long flows look short; the half-life is longer than a surge for that reason.
	flowCountHalfLife = 10 * time.Second
	// minCountedFlows is the least weight of flows for which the number of requests per flow
	// counts as known.
	minCountedFlows = 10
)

// flowCount counts the recent flows of a service and their requests, with decreasing
// weight. Only successful responses count, because callers open a new flow after each
// rejection.
type flowCount struct {
	flows, requests float64
	decayedAt       time.Duration
}

// add counts one request, and one flow if it is the first request of its flow.
func (f *flowCount) add(now time.Duration, isFirst bool) {
	f.decay(now)
	f.requests++
	if isFirst {
		f.flows++
	}
}

// decay reduces the weights to those at now.
func (f *flowCount) decay(now time.Duration) {
	factor := math.Exp2(-float64(now-f.decayedAt) / float64(flowCountHalfLife))
	f.flows, f.requests, f.decayedAt = f.flows*factor, f.requests*factor, now
}

// hasShortFlows reports whether the flows carry about one request each. f may be nil.
func (f *flowCount) hasShortFlows(now time.Duration) bool {
	if f == nil {
		return false
	}
	f.decay(now)
	return f.flows >= minCountedFlows && f.requests <= maxRequestsPerFlow*f.flows
}

// countSuccess counts a successful response on f for its service, if a setting needs the
// count.
func (c *Core) countSuccess(now time.Duration, f *flow) {
	if c.cfg.HostsPerTarget == 0 && c.cfg.SharedAdmission != ShortFlowAdmission {
		return
	}
	n := c.flowCounts[f.target.Service]
	if n == nil {
		n = &flowCount{}
		c.flowCounts[f.target.Service] = n
	}
	n.add(now, !f.hasSucceeded)
	f.hasSucceeded = true
}
