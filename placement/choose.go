package placement

import "time"

// Terms of the cost of a target. The unit is one request in progress on a target
// with two slots, whose window has its initial size.
const (
	// otherDomainCost is added for a target in another failure domain.
	otherDomainCost = 2.5
	// warmupCost is added for a target that is warming up after its start.
	warmupCost = 2
	// recoveryCost is added for a target that is recovering from an ejection.
	recoveryCost = 2
	// loadPerOpenFlow is the load that each flow of this host on the target counts, in
	// requests, with or without a request in progress.
	loadPerOpenFlow = 0.05
	// loadPerOpeningFlow is the load, in requests, that a flow counts in addition as
	// long as its opening packet has no response: its first request is expected next.
	loadPerOpeningFlow = 1
)

// drainingFallbackTime is how long after the start of its draining a target still
// accepts a new flow that no other target can accept.
const drainingFallbackTime = time.Second

// choose returns the target for a new flow of a service, or nil if there is none, and why
// the target is in another failure domain, if it is. It picks the lowest cost within the
// best class, and one at random of several with equal cost. Targets that are warming up
// and for which this host has no permit are left out. lastResort, which may be nil, is the
// target that the flow should leave: it is at best in the class of ejected targets.
func (c *Core) choose(now time.Duration, service string, lastResort *Target) (*Target, Elsewhere) {
	c.cutOff = c.isCutOff(now)
	var best, refused *Target
	bestClass, bestCost, ties := normalClass, 0.0, 0
	for _, t := range c.pools[service] {
		class := c.classOf(now, t, lastResort)
		if class == notSelectable {
			continue
		}
		if !c.hasPermit(now, t) {
			refused = t
			continue
		}
		cost := c.cost(now, t) + c.jitter(t)
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
	if refused != nil {
		c.notifyFlow(FlowNotice{Event: PermitRefused, Target: refused})
	}
	if best == nil {
		return nil, NotElsewhere
	}
	return best, c.elsewhere(now, best)
}

// selectionClass is the class in which a target competes for a new flow. A class is used
// only if all lower ones are empty.
type selectionClass int

const (
	// notSelectable is the class of targets that get no new flows.
	notSelectable selectionClass = iota - 1
	// normalClass is the class of targets without any of the states below.
	normalClass
	// ejectedClass is the class of ejected targets, and of the one that a flow should leave.
	ejectedClass
	// cutOffClass is the class of evacuated targets of the host's own failure domain while
	// the domain is cut off from the others; see isCutOff.
	cutOffClass
	// suspectClass is the class of targets that are suspect, dead, reported dead or out of
	// reach.
	suspectClass
	// drainingClass is the class of targets that began to drain at most
	// drainingFallbackTime ago, and of those whose entry is not trusted; see handleRestore.
	drainingClass
)

// classOf returns the class of a target for a flow that should leave lastResort, which may
// be nil. See hasPermit for targets that are warming up.
func (c *Core) classOf(now time.Duration, t *Target, lastResort *Target) selectionClass {
	isLocal := t.Domain == c.cfg.Domain
	switch {
	case t.evacuated && !(c.cutOff && isLocal), t.removed && !t.mayBeReadded(now):
		return notSelectable
	case t.Draining && now-t.drainingAt > drainingFallbackTime:
		return notSelectable
	case t.Draining || t.isUntrusted(now):
		return drainingClass
	case t.isSuspect(now) || t.isKnownDead(now) || t.isReportedDead(now) || c.cutOff && !isLocal:
		return suspectClass
	case t.evacuated:
		return cutOffClass
	case t == lastResort || t.isFailing(now):
		return ejectedClass
	default:
		return normalClass
	}
}

// cost returns the cost of a target for a new flow. It is the sum of three loads, scaled by
// the window of the target, plus the terms for the state of the target. The loads are the
// one that this host knows of, relative to the speed of the target, and those that stand for
// another failure domain and for a target that is assigned to other hosts. The last two do
// not depend on the speed: they stand for a delay and for a preference.
func (c *Core) cost(now time.Duration, t *Target) float64 {
	requests := float64(t.load()+t.queue.currentSize()+t.peerLoad.Queued) + loadPerOpeningFlow*float64(t.openingFlows)
	load := t.timeFor(requests) + loadPerOpenFlow*float64(t.openFlows)/t.speed()
	if t.Domain != c.cfg.Domain {
		load += otherDomainCost
	}
	if t.outsideSubset {
		load += outsideSubsetLoad
	}
	cost := load * 2 * initialWindowPerSlot / t.window.size
	if now < t.warmUntil {
		cost += warmupCost
	}
	if t.isRecovering(now) {
		cost += recoveryCost
	}
	return cost
}
