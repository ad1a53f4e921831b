package target

import (
	"slices"
	"time"
)

// evaluate updates the state of each target. It ends ejections and refusals, raises
// shares, ejects failing targets that could not be ejected before, reduces the
// share of slow targets, and enforces the ejection cap.
func (p *Pool) evaluate(now time.Duration) []Effect {
	var effects []Effect
	for _, v := range p.views {
		effects = append(effects, p.applyAnnouncement(now, v)...)
		effects = append(effects, p.changeState(v, func() { p.advance(now, v) })...)
	}
	for _, v := range p.viewsByFailures() {
		effects = append(effects, p.ejectFailing(now, v)...)
	}
	if now-p.latencyEvaluatedAt >= time.Second {
		p.latencyEvaluatedAt = now
		effects = append(effects, p.evaluateLatency(now)...)
	}
	return append(effects, p.enforceCap(now)...)
}

// advance makes the state changes of one target that are due at the time now: the end of
// an ejection or a refusal, a rise of the share, and the reset of the ejection count.
func (p *Pool) advance(now time.Duration, v *view) {
	switch v.state {
	case StateEjected:
		if now >= v.until {
			v.readmit(now, ReasonReturned)
		}
	case StateShedding:
		if now >= v.until {
			v.resumeRamp(now)
		}
	case StateStarting:
		v.raiseLevel(now)
	case StateServing:
		if now-v.since >= ejectionResetTime {
			v.ejections = 0
		}
	}
}

// viewsByFailures returns the targets with failures, those with the most failures
// first.
func (p *Pool) viewsByFailures() []*view {
	failing := slices.DeleteFunc(slices.Clone(p.views), func(v *view) bool { return v.failuresSinceResponse() == 0 })
	slices.SortStableFunc(failing, func(a, b *view) int { return b.failuresSinceResponse() - a.failuresSinceResponse() })
	return failing
}

// ejectFailing ejects v if the local traffic statistics show that it is failing.
func (p *Pool) ejectFailing(now time.Duration, v *view) []Effect {
	if !v.isEjectable() || v.state == StateEjected || !v.isFailing(now) {
		return nil
	}
	return p.eject(now, v, ReasonFailures)
}

// eject ejects v if the ejection cap allows it and noEjectBefore has passed.
func (p *Pool) eject(now time.Duration, v *view, reason Reason) []Effect {
	if now < v.noEjectBefore {
		return nil
	}
	n, excluded, responsive := p.ejectionCounts(now, v)
	if !ejectionAllowed(n, excluded+1, responsive) {
		return nil
	}
	return p.changeState(v, func() { v.eject(now, reason) })
}

// ejectionCounts returns the number n of targets to which the ejection cap applies,
// the number of those that are excluded, and the number of responsive ones among
// the rest. The target except is not counted as responsive; it may be nil.
func (p *Pool) ejectionCounts(now time.Duration, except *view) (n, excluded, responsive int) {
	for _, v := range p.views {
		switch {
		case v.state == StateRemoved, v.state == StateDraining && v.reason == ReasonConfigured:
			continue
		case v.isExcluded():
			excluded++
		case v != except && v.isResponsive(now):
			responsive++
		}
		n++
	}
	return n, excluded, responsive
}

// enforceCap readmits targets while more are excluded than the cap allows, the one that
// has been excluded for the longest time first. A signal that marks nearly all targets
// as failing is more likely wrong than right.
func (p *Pool) enforceCap(now time.Duration) []Effect {
	var effects []Effect
	for {
		n, excluded, responsive := p.ejectionCounts(now, nil)
		if ejectionAllowed(n, excluded, responsive) {
			return effects
		}
		v := p.longestExcluded()
		effects = append(effects, p.changeState(v, func() { v.readmit(now, ReasonCap) })...)
	}
}

// longestExcluded returns the target that has been excluded for the longest time.
func (p *Pool) longestExcluded() *view {
	var longest *view
	for _, v := range p.views {
		if v.isExcluded() && (longest == nil || v.since < longest.since) {
			longest = v
		}
	}
	return longest
}

// applyAnnouncement starts draining a target that announces that it drains, and ends the
// draining once the announcement is withdrawn or too old. No other source confirms an
// announcement, so it takes effect only within the ejection cap. A target that the cap
// has readmitted does not drain again before noEjectBefore.
func (p *Pool) applyAnnouncement(now time.Duration, v *view) []Effect {
	isDraining := v.state == StateDraining && v.reason == ReasonAnnounced
	switch announcesDrain := v.announcesDrain(now); {
	case isDraining && !announcesDrain:
		v.onProbation = true
		return p.changeState(v, func() { v.startRamp(now, ReasonReturned, MinLevel) })
	case !announcesDrain || !v.isEjectable() || v.reason == ReasonCap && now < v.noEjectBefore:
		return nil
	}
	n, excluded, responsive := p.ejectionCounts(now, v)
	if !v.isExcluded() && !ejectionAllowed(n, excluded+1, responsive) {
		return nil
	}
	return p.changeState(v, func() { v.setState(now, StateDraining, ReasonAnnounced, LevelNone) })
}

// evaluateLatency halves the share of targets that are slow compared with the median
// latency of the pool, and ends the reduction for those that are no longer slow.
func (p *Pool) evaluateLatency(now time.Duration) []Effect {
	median := p.medianLatency(now)
	if median == 0 {
		return nil
	}
	var effects []Effect
	for _, v := range p.views {
		effects = append(effects, p.changeState(v, func() { v.evaluateLatency(now, median) })...)
	}
	return effects
}

// medianLatency returns the upper median of the mean latencies of the serving targets, or 0
// if fewer than minLatencyTargets of them have enough responses.
func (p *Pool) medianLatency(now time.Duration) time.Duration {
	var means []time.Duration
	for _, v := range p.views {
		s := v.requests.outcomes.total(now)
		if v.state == StateServing && s.latencySamples >= minLatencySamples {
			means = append(means, s.meanLatency())
		}
	}
	if len(means) < minLatencyTargets {
		return 0
	}
	slices.Sort(means)
	return means[len(means)/2]
}

// evaluateLatency halves the share of the target if it is slow compared with the given
// median latency of the pool. It lets the share grow again once the target is no longer
// slow and minSlowTime has passed.
func (v *view) evaluateLatency(now, median time.Duration) {
	s := v.requests.outcomes.total(now)
	if v.state != StateServing || s.latencySamples < minLatencySamples {
		return
	}
	factor := slowFactor
	if v.reportedUnhealthy(now) {
		factor = slowFactorReportedUnhealthy
	}
	multiple := float64(s.meanLatency()) / float64(median)
	switch {
	case v.reason == ReasonSlow && now >= v.until && multiple < slowRecoveryFactor:
		v.startRamp(now, ReasonReturned, LevelHalf)
	case v.reason != ReasonSlow && multiple > factor:
		v.until = now + minSlowTime
		v.setState(now, StateServing, ReasonSlow, LevelHalf)
	}
}
