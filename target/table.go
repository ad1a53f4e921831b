package target

import (
	"slices"

	"wisteriaweir/service"
)

// AgreedShares returns the shares that every balancer computes alike from the service
// at a configuration number and the agreed health by failure domain. What one
// balancer sees for itself has no part in it.
//
// If what the domains say of each other left no target, it is not used; if what
// they say of their own targets left none, that is not used either.
func AgreedShares(number uint64, s service.Service, agreed map[string]Health) Shares {
	reach := reachOfPool(s, agreed)
	whole := func(service.Target) Level { return LevelFull }
	own := func(t service.Target) Level { return agreed[t.Domain].Level(s.Name, t.Name) }
	both := func(t service.Target) Level { return min(own(t), reach[t.Domain]) }
	for _, level := range []func(service.Target) Level{both, own} {
		if list, usable := tableList(s, level); usable {
			return NewShares(s.Name, number, list)
		}
	}
	list, _ := tableList(s, whole)
	return NewShares(s.Name, number, list)
}

// tableList returns the shares at the given levels, and whether one is eligible.
func tableList(s service.Service, level func(service.Target) Level) ([]Share, bool) {
	list := make([]Share, 0, len(s.Pool))
	usable := false
	for _, t := range s.Pool {
		share := agreedShare(t, level(t))
		usable = usable || share.Eligible()
		list = append(list, share)
	}
	return list, usable
}

func agreedShare(t service.Target, level Level) Share {
	switch {
	case t.Drain:
		return Share{Target: t, State: StateDraining, Reason: ReasonConfigured}
	case level == LevelNone:
		return Share{Target: t, State: StateEjected, Reason: ReasonAgreed}
	case level < LevelFull:
		return Share{Target: t, State: StateStarting, Reason: ReasonAgreed, Level: level}
	default:
		return Share{Target: t, State: StateServing, Level: LevelFull}
	}
}

// reachOfPool returns, for each failure domain of the pool, the level at which
// more than half of the pool's domains reach it at most.
func reachOfPool(s service.Service, agreed map[string]Health) map[string]Level {
	domains := domainsOf(s)
	reach := make(map[string]Level, len(domains))
	for _, d := range domains {
		reach[d] = majorityLevel(d, domains, agreed)
	}
	return reach
}

func domainsOf(s service.Service) []string {
	var domains []string
	for _, t := range s.Pool {
		domains = append(domains, t.Domain)
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// majorityLevel returns the lowest level that more than half of the domains
// name or go below.
func majorityLevel(domain string, domains []string, agreed map[string]Health) Level {
	levels := make([]Level, len(domains))
	for i, d := range domains {
		levels[i] = agreed[d].ReachLevel(domain)
	}
	slices.Sort(levels)
	return levels[len(levels)/2]
}
