package target

import "time"

// Opinion is the health of one target as one balancer observed it. It is sent to
// the holder of the lease of the balancer's failure domain.
type Opinion struct {
	Service string
	Target  string
	// Level is LevelNone if the target fails, else the share that the target has at
	// this balancer.
	Level Level
}

// LocalOpinions returns an opinion about each target of which this balancer has recent
// local evidence, sorted by target. A state that the balancer only copied from the
// agreed health gives no opinion, so that an opinion never confirms itself.
func (p *Pool) LocalOpinions(now time.Duration) []Opinion {
	var opinions []Opinion
	for _, v := range p.views {
		if v.hasLocalEvidence(now) {
			opinions = append(opinions, Opinion{Service: p.service.Name, Target: v.target.Name, Level: v.opinionLevel(now)})
		}
	}
	return opinions
}

// hasLocalEvidence reports whether this balancer has recent observations of its own
// about the target.
func (v *view) hasLocalEvidence(now time.Duration) bool {
	switch {
	case v.state == StateRemoved, v.state == StateDraining:
		return false
	case v.state == StateEjected:
		return v.reason == ReasonFailures
	default:
		_, requests := v.requests.outcomes.total(now).failureRatio()
		_, flows := v.flows.outcomes.total(now).failureRatio()
		return requests+flows > 0
	}
}

// opinionLevel returns the level of an opinion. It is LevelNone for a target that
// fails and is not ejected only because of the cap: the HealthAggregator applies a
// cap of its own.
func (v *view) opinionLevel(now time.Duration) Level {
	if v.isFailing(now) {
		return LevelNone
	}
	return v.level
}
