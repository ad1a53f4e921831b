package flow

import (
	"cmp"
	"slices"
)

// askNext returns the n-th member, from 1, that the home of a flow asks whether
// it knows the flow: the others in the order of their scores.
func (p *Snapshot) askNext(hash uint64, n int) choice {
	others := slices.DeleteFunc(slices.Clone(p.oldest().homes), func(h home) bool {
		return h.member == p.self || p.skip[h.member]
	})
	if len(others) == 0 {
		return choice{member: -1, reason: ReasonExcluded}
	}
	slices.SortFunc(others, func(a, b home) int {
		return cmp.Compare(mix(a.seed^hash), mix(b.seed^hash))
	})
	return choice{member: others[(n-1)%len(others)].member, reason: ReasonLookup}
}
