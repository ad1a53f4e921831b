// Package subset selects, for each target of a failure domain, the hosts that use it
// under load (subsetting).
//
// # Usage
//
//	a := subset.New(subset.Config{Hosts: hosts, Targets: targets, HostsPerTarget: 5})
//	a.Has("host-1", "target-7")
//
// Without subsets, each host of a large failure domain may have a request in progress on every
// target. All hosts together then have more in progress than the targets can queue, and
// the targets refuse the rest. With few hosts for each target, the windows of these hosts
// can be as small as the target needs, and their load reports are few and fresh.
//
// All hosts that know the same hosts and targets compute the same assignment, without a
// message. Each target is assigned to HostsPerTarget hosts by rendezvous hashing with
// bounded loads: hosts that already have their share of targets are passed over. A host or
// target that joins or leaves changes few of the other assignments.
package subset

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Config configures an Assignment.
type Config struct {
	// Hosts are the names of the hosts of the failure domain.
	Hosts []string
	// Targets are the IDs of the targets of one service in the failure domain.
	Targets []string
	// HostsPerTarget is the number of hosts that use each target. If it is 0, or not less
	// than the number of hosts, every host uses every target.
	HostsPerTarget int
}

// Assignment is the assignment of hosts to targets. It is immutable. The zero value
// assigns every host to every target.
type Assignment struct {
	// hosts holds the hosts of each target; nil if every host uses every target.
	hosts map[string]map[string]bool
}

// New returns the assignment for a configuration.
func New(cfg Config) Assignment {
	if cfg.HostsPerTarget <= 0 || len(cfg.Hosts) <= cfg.HostsPerTarget {
		return Assignment{}
	}
	a := Assignment{hosts: make(map[string]map[string]bool, len(cfg.Targets))}
	// Routers give each host the same number of flows, so that a host with fewer targets
	// than the others would overload them. The limit is therefore the mean, rounded up.
	limit := int(math.Ceil(float64(cfg.HostsPerTarget*len(cfg.Targets)) / float64(len(cfg.Hosts))))
	counts := make(map[string]int, len(cfg.Hosts))
	for _, t := range slices.Sorted(slices.Values(cfg.Targets)) {
		a.hosts[t] = pick(rank(cfg.Hosts, t), counts, limit, cfg.HostsPerTarget)
	}
	return a
}

// Has reports whether a host uses a target. It is true for a target that is not in the
// assignment.
func (a Assignment) Has(host, target string) bool {
	hosts, ok := a.hosts[target]
	return !ok || hosts[host]
}

// Hosts returns the hosts that use a target, sorted; nil if all do.
func (a Assignment) Hosts(target string) []string {
	return slices.Sorted(maps.Keys(a.hosts[target]))
}

// pick returns the first n ranked hosts whose count is below limit, and increases their
// counts. If there are fewer such hosts, it adds the first of the others.
func pick(ranked []string, counts map[string]int, limit, n int) map[string]bool {
	picked := make(map[string]bool, n)
	for _, isBounded := range []bool{true, false} {
		for _, h := range ranked {
			if len(picked) == n {
				return picked
			}
			if picked[h] || isBounded && counts[h] >= limit {
				continue
			}
			picked[h] = true
			counts[h]++
		}
	}
	return picked
}

// rank returns the hosts in the descending order of their rendezvous hash with a target.
func rank(hosts []string, target string) []string {
	type rankedHost struct {
		name string
		hash uint64
	}
	ranked := make([]rankedHost, 0, len(hosts))
	for _, h := range hosts {
		ranked = append(ranked, rankedHost{name: h, hash: xxhash.Sum64String(h + "\x00" + target)})
	}
	slices.SortFunc(ranked, func(a, b rankedHost) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name))
	})
	names := make([]string, 0, len(ranked))
	for _, r := range ranked {
		names = append(names, r.name)
	}
	return names
}
