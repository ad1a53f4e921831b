package target

import "time"

// Opinion is what one balancer has seen of one target for itself, for the
// holder of its failure domain's lease.
type Opinion struct {
	Service string
	Target  string
	// Level is LevelNone for a target that fails, else the share that it gets here.
	Level Level
}

// Opinions returns an opinion about each target of which this balancer has
// recent evidence of its own, sorted by target. What it merely follows is left
// out, so that an opinion never confirms itself.
func (p *Pool) Opinions(now time.Duration) []Opinion {
	var opinions []Opinion
	for _, v := range p.views {
		if v.evidence(now) {
			opinions = append(opinions, Opinion{Service: p.service.Name, Target: v.target.Name, Level: v.opinion(now)})
		}
	}
	return opinions
}

// evidence reports whether there is recent evidence seen here.
func (v *view) evidence(now time.Duration) bool {
	switch {
	case v.state == StateRemoved, v.state == StateDraining:
		return false
	case v.state == StateEjected:
		return v.reason == ReasonFailures
	default:
		_, requests := v.requests.outcomes.sum(now).failureRatio()
		_, flows := v.flows.outcomes.sum(now).failureRatio()
		return requests+flows > 0
	}
}

// opinion returns the level of an opinion. A target that fails and that only
// the cap keeps has LevelNone: the agreement has a cap of its own.
func (v *view) opinion(now time.Duration) Level {
	if v.failing(now) {
		return LevelNone
	}
	return v.level
}
