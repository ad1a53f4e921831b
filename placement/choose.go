package placement

import "time"

// Weights of the cost of a target, in requests in progress for each slot.
const (
	// costDomain is added for a target in another failure domain.
	costDomain = 2.5
	// costWarmup is added for a target that has just started.
	costWarmup = 2
	// costReturning is added for a target that failed a part of its requests lately.
	costReturning = 2
	// costOpen is that of an open flow without a request.
	costOpen = 0.05
	// costOpening is that of a flow whose request has not come yet.
	costOpening = 1
)

// drainingSpare is how long a draining target still takes a flow that no other
// target can take.
const drainingSpare = time.Second

// choose returns the target for a new flow of a service, nil if there is none.
// The target avoid is taken only if there is no other.
func (c *Core) choose(now time.Duration, service string, avoid *Target) *Target {
	var best *Target
	bestRank, bestCost, ties := 0, 0.0, 0
	for _, t := range c.pools[service] {
		rank := c.rank(now, t, avoid)
		if rank < 0 {
			continue
		}
		cost := c.cost(now, t)
		switch {
		case best == nil || rank < bestRank || rank == bestRank && cost < bestCost:
			best, bestRank, bestCost, ties = t, rank, cost, 1
		case rank == bestRank && cost == bestCost:
			ties++
			if c.rnd.IntN(ties) == 0 {
				best = t
			}
		}
	}
	return best
}

// rank sorts targets into classes: 0 takes new flows, higher ones only if there
// is none of a lower class, negative ones never.
func (c *Core) rank(now time.Duration, t *Target, avoid *Target) int {
	switch {
	case t.gone && !t.mayReturn(now):
		return -1
	case t.Draining && now-t.drainingAt > drainingSpare:
		return -1
	case t.Draining:
		return 3
	case t.suspect(now) || t.deadTold(now):
		return 2
	case t == avoid || t.failing(now):
		return 1
	default:
		return 0
	}
}

// cost is the load of a target as this balancer sees it.
func (c *Core) cost(now time.Duration, t *Target) float64 {
	load := float64(t.load()+t.waiting.size()+t.others.Queued) + costOpening*float64(t.opening) + costOpen*float64(t.open)
	cost := load * 2 * windowSlots / t.window.size
	if t.Domain != c.cfg.Domain {
		cost += costDomain
	}
	if now < t.warmUntil {
		cost += costWarmup
	}
	if t.returning(now) {
		cost += costReturning
	}
	return cost
}
