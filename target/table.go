package target

import (
	"slices"

	"wisteriaweir/service"
)

// AgreedShares returns the shares that every balancer computes alike from a service, the
// configuration number and the agreed health by failure domain. The observations of a
// single balancer are not used.
//
// If the reach levels between domains left no target eligible, they are ignored; if the
// levels of the targets left none, they are ignored as well.
func AgreedShares(number uint64, s service.Service, agreed map[string]Health) Shares {
	reach := poolReach(s, agreed)
	fullLevel := func(service.Target) Level { return LevelFull }
	ownLevel := func(t service.Target) Level { return agreed[t.Domain].Level(s.Name, t.Name) }
	combinedLevel := func(t service.Target) Level { return min(ownLevel(t), reach[t.Domain]) }
	for _, level := range []func(service.Target) Level{combinedLevel, ownLevel} {
		if list, hasEligible := sharesAt(s, level); hasEligible {
			return NewShares(s.Name, number, list)
		}
	}
	list, _ := sharesAt(s, fullLevel)
	return NewShares(s.Name, number, list)
}

// sharesAt returns the shares at the given levels, and whether one of them is eligible.
func sharesAt(s service.Service, level func(service.Target) Level) ([]Share, bool) {
	list := make([]Share, 0, len(s.Pool))
	hasEligible := false
	for _, t := range s.Pool {
		share := agreedShare(t, level(t))
		hasEligible = hasEligible || share.IsEligible()
		list = append(list, share)
	}
	return list, hasEligible
}

// agreedShare returns the share of a target in the table at an agreed level.
func agreedShare(t service.Target, level Level) Share {
	switch {
	case t.Draining:
		return Share{Target: t, State: StateDraining, Reason: ReasonConfigured}
	case level == LevelNone:
		return Share{Target: t, State: StateEjected, Reason: ReasonAgreed}
	case level < LevelFull:
		return Share{Target: t, State: StateStarting, Reason: ReasonAgreed, Level: level}
	default:
		return Share{Target: t, State: StateServing, Level: LevelFull}
	}
}

// poolReach returns a level for each failure domain of the pool: the lowest one for which
// more than half of the pool's domains reach it at that level or a lower one.
func poolReach(s service.Service, agreed map[string]Health) map[string]Level {
	domains := poolDomains(s)
	reach := make(map[string]Level, len(domains))
	for _, d := range domains {
		reach[d] = majorityLevel(d, domains, agreed)
	}
	return reach
}

// poolDomains returns the failure domains of a pool, sorted.
func poolDomains(s service.Service) []string {
	var domains []string
	for _, t := range s.Pool {
		domains = append(domains, t.Domain)
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// majorityLevel returns the lowest level for which more than half of domains reach the
// given domain at that level or a lower one.
func majorityLevel(domain string, domains []string, agreed map[string]Health) Level {
	levels := make([]Level, len(domains))
	for i, d := range domains {
		levels[i] = agreed[d].ReachLevel(domain)
	}
	slices.Sort(levels)
	return levels[len(levels)/2]
}
