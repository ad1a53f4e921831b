package placement

import "time"

// Terms of the cost of a target. The unit is one request in progress on a target
// with two slots and a full window.
const (
	// costOtherDomain is added for a target in another failure domain.
	costOtherDomain = 2.5
	// costWarmup is added for a target that is warming up after its start.
	costWarmup = 2
	// costRecovering is added for a target that is recovering from an ejection.
	costRecovering = 2
	// costOpenFlow is the load of each open flow, with or without a request in
	// progress, in requests.
	costOpenFlow = 0.05
	// costOpeningFlow is the load of each flow that is opening, in requests: its
	// first request has not arrived yet.
	costOpeningFlow = 1
)

// drainingFallbackTime is how long after the start of its draining a target still
// accepts a new flow that no other target can accept.
const drainingFallbackTime = time.Second

// choose returns the target for a new flow of a service, or nil if there is none.
// It picks the lowest cost within the best class, and one at random of several with
// equal cost. lastResort, which may be nil, is the target that a flow should leave:
// it is at best in the class of ejected targets.
func (c *Core) choose(now time.Duration, service string, lastResort *Target) *Target {
	var best *Target
	bestClass, bestCost, ties := 0, 0.0, 0
	for _, t := range c.pools[service] {
		class := c.selectionClass(now, t, lastResort)
		if class < 0 {
			continue
		}
		cost := c.cost(now, t)
		switch {
		case best == nil || class < bestClass || class == bestClass && cost < bestCost:
			best, bestClass, bestCost, ties = t, class, cost, 1
		case class == bestClass && cost == bestCost:
			ties++
			if c.rnd.IntN(ties) == 0 {
				best = t
			}
		}
	}
	return best
}

// selectionClass returns the class in which a target competes for new flows. Class
// 0 is the normal one; a higher class is used only if all lower ones are empty, and
// targets with a negative class get no new flows.
func (c *Core) selectionClass(now time.Duration, t *Target, lastResort *Target) int {
	switch {
	case t.removed && !t.mayBeReadded(now):
		return -1
	case t.Draining && now-t.drainingAt > drainingFallbackTime:
		return -1
	case t.Draining:
		return 3
	case t.isSuspect(now) || t.isReportedDead(now):
		return 2
	case t == lastResort || t.isFailing(now):
		return 1
	default:
		return 0
	}
}

// cost returns the load of a target as this host knows it, relative to the slots
// and the window of the target, plus the terms for its domain and state.
func (c *Core) cost(now time.Duration, t *Target) float64 {
	load := float64(t.load()+t.queue.size()+t.peerLoad.Queued) + costOpeningFlow*float64(t.openingFlows) + costOpenFlow*float64(t.openFlows)
	cost := load * 2 * windowPerSlot / t.window.size
	if t.Domain != c.cfg.Domain {
		cost += costOtherDomain
	}
	if now < t.warmUntil {
		cost += costWarmup
	}
	if t.isRecovering(now) {
		cost += costRecovering
	}
	return cost
}
