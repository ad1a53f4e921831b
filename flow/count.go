package flow

import "time"

// Count tells how many flows were seen on each target lately, by one balancer
// or by all balancers of a failure domain together.
type Count struct {
	Domain string
	// IsDomainTotal marks the sum over the balancers of Domain.
	IsDomainTotal bool
	// FlowsByTarget holds the number of flows; targets without any are left out.
	FlowsByTarget map[TargetID]int
}

// Counts keeps the newest Count of each balancer of the own failure domain and
// of each other domain. It is not safe for concurrent use.
type Counts struct {
	// MaxAge is how long a Count is good for.
	MaxAge  time.Duration
	members map[string]countAt
	domains map[string]countAt
}

type countAt struct {
	count Count
	at    time.Duration
}

// Add keeps a Count that was sent by the balancer called from.
func (c *Counts) Add(now time.Duration, from string, n Count) {
	if c.members == nil {
		c.members = make(map[string]countAt)
		c.domains = make(map[string]countAt)
	}
	if n.IsDomainTotal {
		c.domains[n.Domain] = countAt{count: n, at: now}
		return
	}
	c.members[from] = countAt{count: n, at: now}
}

// DomainTotal returns the sum over the balancers of the own failure domain.
func (c *Counts) DomainTotal(now time.Duration) map[TargetID]int {
	out := make(map[TargetID]int)
	c.add(now, c.members, out)
	return out
}

// Total returns the sum over all failure domains.
func (c *Counts) Total(now time.Duration) map[TargetID]int {
	out := c.DomainTotal(now)
	c.add(now, c.domains, out)
	return out
}

// add sums up what is not too old and drops the rest.
func (c *Counts) add(now time.Duration, counts map[string]countAt, sum map[TargetID]int) {
	for name, n := range counts {
		if now-n.at > c.MaxAge {
			delete(counts, name)
			continue
		}
		for id, seen := range n.count.FlowsByTarget {
			sum[id] += seen
		}
	}
}
