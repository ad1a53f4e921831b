package rollout

import (
	"slices"

	"wisteriaweir/member"
)

// MaxLeaseCandidates is the largest number of members of a failure domain that
// contend for its lease.
const MaxLeaseCandidates = 3

// IsLeaseCandidate reports whether the named member is one of the members of the
// domain that contend for its lease: the first MaxLeaseCandidates that accept
// work, sorted by the xxHash values of their names. The limit keeps the load of the
// platform from growing with the fleet. Members with different views may disagree
// on the candidates. This is harmless: each candidate acquires the lease by a
// conditional update, so that at most one of them holds it.
func IsLeaseCandidate(v member.View, domain, name string) bool {
	var candidates []member.Member
	for _, m := range reachableMembers(v, domain) {
		if e, ok := v.Entry(m.Name); ok && e.AcceptsWork() {
			candidates = append(candidates, m)
		}
	}
	candidates = candidates[:min(len(candidates), MaxLeaseCandidates)]
	return slices.ContainsFunc(candidates, func(m member.Member) bool { return m.Name == name })
}
