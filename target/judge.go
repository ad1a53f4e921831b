package target

import (
	"slices"
	"time"
)

// judge lets time act on each target: ends of ejections and refusals, growing
// shares, ejections that the cap held back, slow targets, and the cap itself.
func (p *Pool) judge(now time.Duration) []Effect {
	var effects []Effect
	for _, v := range p.views {
		effects = append(effects, p.announce(now, v)...)
		effects = append(effects, p.change(v, func() { p.pass(now, v) })...)
	}
	for _, v := range p.byFailures() {
		effects = append(effects, p.ejectFailing(now, v)...)
	}
	if now-p.judgedAt >= time.Second {
		p.judgedAt = now
		effects = append(effects, p.judgeLatency(now)...)
	}
	return append(effects, p.enforceCap(now)...)
}

// pass lets time act on one target.
func (p *Pool) pass(now time.Duration, v *view) {
	switch v.state {
	case StateEjected:
		if now >= v.until {
			v.readmit(now, ReasonReturned)
		}
	case StateShedding:
		if now >= v.until {
			v.resume(now)
		}
	case StateStarting:
		v.grow(now)
	case StateServing:
		if now-v.since >= forgiveTime {
			v.ejections = 0
		}
	}
}

// byFailures returns the targets with failures, the most failures first.
func (p *Pool) byFailures() []*view {
	failing := slices.DeleteFunc(slices.Clone(p.views), func(v *view) bool { return v.failures() == 0 })
	slices.SortStableFunc(failing, func(a, b *view) int { return b.failures() - a.failures() })
	return failing
}

// ejectFailing ejects v if it fails by what was seen here.
func (p *Pool) ejectFailing(now time.Duration, v *view) []Effect {
	if !v.candidate() || v.state == StateEjected || !v.failing(now) {
		return nil
	}
	return p.eject(now, v, ReasonFailures)
}

// eject ejects v if the cap and the time since its last ejection allow it.
func (p *Pool) eject(now time.Duration, v *view, reason Reason) []Effect {
	if now < v.heldUntil {
		return nil
	}
	n, out, sound := p.census(now, v)
	if !ejectionAllowed(n, out+1, sound) {
		return nil
	}
	return p.change(v, func() { v.eject(now, reason) })
}

// census counts the targets that the cap is about, those held out, and the
// sound ones among the others, without except.
func (p *Pool) census(now time.Duration, except *view) (n, out, sound int) {
	for _, v := range p.views {
		switch {
		case v.state == StateRemoved, v.state == StateDraining && v.reason == ReasonConfigured:
			continue
		case v.out():
			out++
		case v != except && v.sound(now):
			sound++
		}
		n++
	}
	return n, out, sound
}

// enforceCap readmits targets while more are held out than the cap allows: a
// signal that speaks against nearly all is more likely wrong than right.
func (p *Pool) enforceCap(now time.Duration) []Effect {
	var effects []Effect
	for {
		n, out, sound := p.census(now, nil)
		if ejectionAllowed(n, out, sound) {
			return effects
		}
		v := p.oldestOut()
		effects = append(effects, p.change(v, func() { v.readmit(now, ReasonCap) })...)
	}
}

// oldestOut returns the target that has been held out for the longest time.
func (p *Pool) oldestOut() *view {
	var oldest *view
	for _, v := range p.views {
		if v.out() && (oldest == nil || v.since < oldest.since) {
			oldest = v
		}
	}
	return oldest
}

// announce follows a target that says itself that it is leaving, or no longer
// is. As one voice it is bounded by the cap.
func (p *Pool) announce(now time.Duration, v *view) []Effect {
	announced := v.state == StateDraining && v.reason == ReasonAnnounced
	switch leaving := v.leaving(now); {
	case announced && !leaving:
		v.doubted = true
		return p.change(v, func() { v.start(now, ReasonReturned, MinLevel) })
	case !leaving || !v.candidate() || v.reason == ReasonCap && now < v.heldUntil:
		return nil
	}
	n, out, sound := p.census(now, v)
	if !v.out() && !ejectionAllowed(n, out+1, sound) {
		return nil
	}
	return p.change(v, func() { v.enter(now, StateDraining, ReasonAnnounced, LevelNone) })
}

// judgeLatency halves the share of targets that are slow among their peers.
func (p *Pool) judgeLatency(now time.Duration) []Effect {
	median := p.medianLatency(now)
	if median == 0 {
		return nil
	}
	var effects []Effect
	for _, v := range p.views {
		effects = append(effects, p.change(v, func() { v.judgeLatency(now, median) })...)
	}
	return effects
}

func (p *Pool) medianLatency(now time.Duration) time.Duration {
	var means []time.Duration
	for _, v := range p.views {
		s := v.requests.outcomes.sum(now)
		if v.state == StateServing && s.timed >= slowAttempts {
			means = append(means, s.meanLatency())
		}
	}
	if len(means) < slowPeers {
		return 0
	}
	slices.Sort(means)
	return means[len(means)/2]
}

func (v *view) judgeLatency(now, median time.Duration) {
	s := v.requests.outcomes.sum(now)
	if v.state != StateServing || s.timed < slowAttempts {
		return
	}
	factor := slowFactor
	if v.suspect(now) {
		factor = slowFactorReported
	}
	multiple := float64(s.meanLatency()) / float64(median)
	switch {
	case v.reason == ReasonSlow && now >= v.until && multiple < slowRecovered:
		v.start(now, ReasonReturned, LevelHalf)
	case v.reason != ReasonSlow && multiple > factor:
		v.until = now + slowTime
		v.enter(now, StateServing, ReasonSlow, LevelHalf)
	}
}
