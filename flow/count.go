package flow

import "time"

// Count is the number of recently active flows on each target, observed by one
// balancer or summed over the balancers of a failure domain.
type Count struct {
	// Domain is the failure domain of the balancers that observed the flows.
	Domain string
	// IsDomainTotal reports whether the count is the sum over the balancers of
	// Domain.
	IsDomainTotal bool
	// FlowsByTarget is the number of flows on each target. Targets without flows are
	// omitted.
	FlowsByTarget map[TargetID]int
}

// Counts stores the newest Count of each balancer of the local failure domain, and
// the newest domain total of each other failure domain. It is not safe for concurrent
// use.
type Counts struct {
	// MaxAge is the time for which a Count is valid after it was added.
	MaxAge time.Duration
	// members holds the counts of single balancers, by the balancer's name.
	members map[string]receivedCount
	// domains holds the domain totals, by the name of the failure domain.
	domains map[string]receivedCount
}

// receivedCount is a Count with the time at which it was added.
type receivedCount struct {
	count      Count
	receivedAt time.Duration
}

// Add stores the count n, which was received at the time now. The parameter from is
// the name of the balancer that sent it.
func (c *Counts) Add(now time.Duration, from string, n Count) {
	if c.members == nil {
		c.members = make(map[string]receivedCount)
		c.domains = make(map[string]receivedCount)
	}
	if n.IsDomainTotal {
		c.domains[n.Domain] = receivedCount{count: n, receivedAt: now}
		return
	}
	c.members[from] = receivedCount{count: n, receivedAt: now}
}

// DomainTotal returns the number of flows on each target, summed over the
// balancers of the local failure domain.
func (c *Counts) DomainTotal(now time.Duration) map[TargetID]int {
	out := make(map[TargetID]int)
	c.addUnexpired(now, c.members, out)
	return out
}

// Total returns the number of flows on each target, summed over all failure
// domains.
func (c *Counts) Total(now time.Duration) map[TargetID]int {
	out := c.DomainTotal(now)
	c.addUnexpired(now, c.domains, out)
	return out
}

// addUnexpired adds the counts that are at most MaxAge old to sum and deletes the
// older ones.
func (c *Counts) addUnexpired(now time.Duration, counts map[string]receivedCount, sum map[TargetID]int) {
	for name, n := range counts {
		if now-n.receivedAt > c.MaxAge {
			delete(counts, name)
			continue
		}
		for id, flows := range n.count.FlowsByTarget {
			sum[id] += flows
		}
	}
}
