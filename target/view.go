package target

import (
	"time"

	"wisteriaweir/service"
)

// view is what one balancer believes about one target.
type view struct {
	target service.Target
	state  State
	reason Reason
	level  Level
	// since is when the state began.
	since time.Duration
	// until is when an ejection, a refusal or a slow time ends.
	until time.Duration
	// stepAt is when the level last rose, or when it was set; step is the least
	// time between two rises.
	stepAt time.Duration
	step   time.Duration

	// requests and flows are what the balancer sees for itself. They are apart, so
	// that answers of one do not hide failures of the other.
	requests evidence
	flows    evidence
	// shedAt is when a refusal last lowered the level, refusals counts those
	// since the last answer.
	shedAt   time.Duration
	refusals int

	// report is what the target said last, at reportAt.
	report    Report
	reportAt  time.Duration
	hasReport bool

	// ejections counts those since the target last served for forgiveTime.
	ejections int
	// heldUntil is the earliest time of the next ejection.
	heldUntil time.Duration
	// doubted is set from an ejection until the share is whole again.
	doubted bool
}

// enter sets a state with a level.
func (v *view) enter(now time.Duration, state State, reason Reason, level Level) {
	if v.state != state {
		v.since = now
	}
	v.state, v.reason, v.level, v.stepAt = state, reason, level, now
}

// start lets the share grow slowly from the given level on.
func (v *view) start(now time.Duration, reason Reason, from Level) {
	v.enter(now, StateStarting, reason, from)
	v.requests.failures, v.flows.failures = 0, 0
	v.step = rampStep
}

// eject holds the target out for a time that doubles with each ejection.
func (v *view) eject(now time.Duration, reason Reason) {
	v.ejections++
	v.doubted = true
	v.until = now + ejectionTime(v.ejections)
	v.heldUntil = now + ejectTime
	v.enter(now, StateEjected, reason, LevelNone)
}

// readmit ends an ejection.
func (v *view) readmit(now time.Duration, reason Reason) {
	v.start(now, reason, MinLevel)
	v.heldUntil = max(v.heldUntil, now+ejectTime)
}

// candidate reports whether the target may be ejected or counts for the cap.
func (v *view) candidate() bool {
	return v.state != StateDraining && v.state != StateRemoved
}

// leaving reports whether the target itself says that it is leaving.
func (v *view) leaving(now time.Duration) bool {
	age := now - v.reportAt + v.report.Age
	return v.hasReport && v.report.Draining && age < drainReportMaxAge
}

// current returns the last report, and whether it is recent enough to be heard.
func (v *view) current(now time.Duration) (Report, bool) {
	age := now - v.reportAt + v.report.Age
	return v.report, v.hasReport && age < reportMaxAge
}

// sound reports whether the target is known to answer by what was seen here.
func (v *view) sound(now time.Duration) bool {
	if v.requests.doubtful(now) || v.flows.doubtful(now) {
		return false
	}
	return v.requests.recent(now) || v.flows.recent(now)
}

// of returns the evidence of one kind of traffic.
func (v *view) of(flow bool) *evidence {
	if flow {
		return &v.flows
	}
	return &v.requests
}

// failures returns the most failures without an answer of one kind of traffic.
func (v *view) failures() int {
	return max(v.requests.failures, v.flows.failures)
}

// failing reports whether what was seen here speaks for an ejection. A report
// never does alone: it lowers the number of failures that are needed.
func (v *view) failing(now time.Duration) bool {
	doubt := v.doubted || v.suspect(now)
	needed, attempts := failuresToEject, ratioAttempts
	if doubt {
		needed, attempts = failuresWithDoubt, ratioAttemptsWithDoubt
	}
	return v.requests.failing(now, needed, attempts) || v.flows.failing(now, needed, attempts)
}

// suspect reports whether a recent report calls the target unhealthy or overloaded.
func (v *view) suspect(now time.Duration) bool {
	r, ok := v.current(now)
	return ok && (!r.Healthy || r.Load >= highLoad)
}

// refused lowers the share, while refusals may take away spare eighths, for the time that the
// target named: by one eighth each shedInterval.
func (v *view) refused(now, wait time.Duration, spare int) {
	if v.state != StateServing && v.state != StateStarting && v.state != StateShedding {
		return
	}
	if v.state == StateShedding && (v.level == LevelNone || now-v.shedAt < shedInterval) {
		return
	}
	v.shedAt = now
	if v.state == StateServing {
		v.step = shedStep
	}
	if v.state != StateShedding {
		v.until = 0
	}
	v.until = max(v.until, now+min(max(wait, shedTimeLeast), shedTimeMost))
	v.enter(now, StateShedding, ReasonRefused, max(MinLevel, v.level-Level(min(max(spare, 0), 1))))
}

// pause holds the share back altogether for the time that the target named.
func (v *view) pause(now, wait time.Duration) {
	v.refused(now, wait, 0)
	if v.state == StateShedding {
		v.enter(now, StateShedding, ReasonRefused, LevelNone)
	}
}

// out reports whether the target gets nothing new for a reason that the cap is
// about.
func (v *view) out() bool {
	switch v.state {
	case StateEjected:
		return true
	case StateShedding:
		return v.level == LevelNone
	case StateDraining:
		return v.reason == ReasonAnnounced
	default:
		return false
	}
}

// deficit returns the eighths of the share that refusals took away.
func (v *view) deficit() int {
	if v.reason != ReasonRefused {
		return 0
	}
	return int(LevelFull - v.level)
}

// resume lets the share grow again once the named time is over: fast if it was
// whole before, else as slowly as it grew.
func (v *view) resume(now time.Duration) {
	v.enter(now, StateStarting, ReasonRefused, max(MinLevel, v.level))
}

// grow raises the level of a starting target by at most one step.
func (v *view) grow(now time.Duration) {
	if now-v.stepAt < v.step {
		return
	}
	v.level++
	v.stepAt = now
	if v.level >= LevelFull {
		v.doubted = false
		v.enter(now, StateServing, ReasonNone, LevelFull)
	}
}
