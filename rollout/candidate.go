package rollout

import (
	"slices"

	"wisteriaweir/member"
)

// MaxLeaseCandidates is the number of members of a domain that contend for its lease.
const MaxLeaseCandidates = 3

// IsLeaseCandidate reports whether the member called name is one of the few of its
// domain that contend for the lease, so that the platform's load does not grow
// with the fleet. Members whose views differ may both say so without harm.
func IsLeaseCandidate(v member.View, domain, name string) bool {
	var serving []member.Member
	for _, m := range branch(v, domain) {
		if e, ok := v.Entry(m.Name); ok && e.AcceptsWork() {
			serving = append(serving, m)
		}
	}
	serving = serving[:min(len(serving), MaxLeaseCandidates)]
	return slices.ContainsFunc(serving, func(m member.Member) bool { return m.Name == name })
}
