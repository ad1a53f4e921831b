package flow

import (
	"cmp"
	"slices"
)

// nextLookup returns the member to which the owner of a flow sends its n-th lookup
// hop, counted from 1. The other available owners are tried in turn, in the order
// of their rendezvous scores for the flow.
func (s *Snapshot) nextLookup(hash uint64, n int) choice {
	others := slices.DeleteFunc(slices.Clone(s.oldest().owners), func(o owner) bool {
		return o.member == s.self || s.unavailable[o.member]
	})
	if len(others) == 0 {
		return choice{member: -1, reason: ReasonExcluded}
	}
	slices.SortFunc(others, func(a, b owner) int {
		return cmp.Compare(mix(a.seed^hash), mix(b.seed^hash))
	})
	return choice{member: others[(n-1)%len(others)].member, reason: ReasonLookup}
}
