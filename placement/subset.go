package placement

import (
	"slices"
	"time"

	"wisteriaweir/subset"
	"wisteriaweir/warmup"
)

const (
	// outsideSubsetLoad is the load, in requests, that is added for a target that is not
	// assigned to this host. The host uses such a target only if its assigned targets accept
	// no flows, or are far busier.
	outsideSubsetLoad = 4
	// minAssignedTargets is the least mean number of targets that are assigned to a host.
	// With fewer, a host would have too little choice between them.
	minAssignedTargets = 4
)

// subsetInput is what the current assignment of the targets of a service was computed
// from.
type subsetInput struct {
	hosts []string
	// isShared reports whether the targets are shared out.
	isShared bool
	// targets holds the IDs of the usable targets of this host's failure domain.
	targets []string
}

// equal reports whether two inputs result in the same assignment.
func (i subsetInput) equal(o subsetInput) bool {
	return i.isShared == o.isShared && slices.Equal(i.hosts, o.hosts) && slices.Equal(i.targets, o.targets)
}

// setDomainHosts sets the hosts of this host's failure domain, among which the targets are
// shared out; see package subset.
func (c *Core) setDomainHosts(now time.Duration, hosts []warmup.Host) {
	c.domainHosts = nil
	for _, h := range hosts {
		if h.Domain == c.cfg.Domain {
			c.domainHosts = append(c.domainHosts, h.Name)
		}
	}
	slices.Sort(c.domainHosts)
	c.assignSubsets(now)
}

// assignSubsets assigns the usable targets of this failure domain to its hosts; see package
// subset for the reason. Targets that can't be used are left out, so that a host that has
// lost some of its targets gets others instead of overloading the rest.
func (c *Core) assignSubsets(now time.Duration) {
	if c.cfg.HostsPerTarget == 0 {
		return
	}
	for service, pool := range c.pools {
		input := subsetInput{hosts: c.domainHosts, targets: c.usableLocalTargets(now, pool)}
		input.isShared = c.isShared(now, service, len(input.targets))
		if c.subsets[service].equal(input) {
			continue
		}
		c.subsets[service] = input
		c.assignSubset(pool, input)
	}
}

// isShared reports whether the targets of a service are shared out. localTargets is the
// number of its usable targets in this host's failure domain. If they are not shared out,
// every host uses every target.
func (c *Core) isShared(now time.Duration, service string, localTargets int) bool {
	hosts := len(c.domainHosts)
	if hosts <= c.cfg.HostsPerTarget || c.cfg.HostsPerTarget*localTargets < minAssignedTargets*hosts {
		return false
	}
	return c.flowCounts[service].hasShortFlows(now)
}

// assignSubset assigns the targets of one service.
func (c *Core) assignSubset(pool []*Target, input subsetInput) {
	var a subset.Assignment
	if input.isShared {
		a = subset.New(subset.Config{Hosts: input.hosts, Targets: input.targets, HostsPerTarget: c.cfg.HostsPerTarget})
	}
	for _, t := range pool {
		t.outsideSubset = t.Domain == c.cfg.Domain && !a.Has(c.cfg.Host, t.ID)
	}
}

// usableLocalTargets returns the IDs of the targets in a pool that are in this host's
// failure domain and can get new flows, in the order of the pool.
func (c *Core) usableLocalTargets(now time.Duration, pool []*Target) []string {
	var ids []string
	for _, t := range pool {
		isUsable := !t.removed && !t.Draining && !t.evacuated && !t.isKnownDead(now) && !t.isReportedDead(now)
		if isUsable && t.Domain == c.cfg.Domain {
			ids = append(ids, t.ID)
		}
	}
	return ids
}
