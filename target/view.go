package target

import (
	"time"

	"wisteriaweir/service"
)

// view is the local state of one balancer about one target.
type view struct {
	target service.Target
	state  State
	reason Reason
	level  Level
	// since is the time at which the state began.
	since time.Duration
	// until is the time at which an ejection, a refusal or a reduced share of a slow
	// target ends.
	until time.Duration
	// levelSetAt is the time at which the level was last set or raised.
	levelSetAt time.Duration
	// riseInterval is the minimum time between two rises of the level.
	riseInterval time.Duration

	// requests and flows are the outcomes that the balancer observed. They are counted
	// separately, so that responses of one kind do not hide failures of the other.
	requests trafficStats
	flows    trafficStats
	// loweredAt is the time at which a refusal last lowered the level.
	loweredAt time.Duration
	// refusals counts the refusals since the last response to a request.
	refusals int

	// report is the last report of the target, received at reportAt.
	report    Report
	reportAt  time.Duration
	hasReport bool

	// ejections counts the ejections since the target last stayed in StateServing for
	// ejectionResetTime.
	ejections int
	// noEjectBefore is the earliest time of the next ejection.
	noEjectBefore time.Duration
	// onProbation is set by an ejection and at the end of an announced drain, until the
	// target has its full share again. Fewer failures eject the target while it is set.
	onProbation bool
}

// setState sets the state, the reason and the level. since changes only if the state is
// another one than before.
func (v *view) setState(now time.Duration, state State, reason Reason, level Level) {
	if v.state != state {
		v.since = now
	}
	v.state, v.reason, v.level, v.levelSetAt = state, reason, level, now
}

// startRamp lets the share grow from the given level, by one level each rampInterval. It
// resets the counts of consecutive failures, so that earlier ones do not eject the target
// again.
func (v *view) startRamp(now time.Duration, reason Reason, from Level) {
	v.setState(now, StateStarting, reason, from)
	v.requests.consecutiveFailures, v.flows.consecutiveFailures = 0, 0
	v.riseInterval = rampInterval
}

// eject ejects the target for a time that doubles with each ejection, up to maxEjectTime.
func (v *view) eject(now time.Duration, reason Reason) {
	v.ejections++
	v.onProbation = true
	v.until = now + ejectionDuration(v.ejections)
	v.noEjectBefore = now + initialEjectTime
	v.setState(now, StateEjected, reason, LevelNone)
}

// readmit ends the exclusion of a target: its share grows from MinLevel, and it is not
// ejected again for initialEjectTime.
func (v *view) readmit(now time.Duration, reason Reason) {
	v.startRamp(now, reason, MinLevel)
	v.noEjectBefore = max(v.noEjectBefore, now+initialEjectTime)
}

// isEjectable reports whether the target may be ejected and counts for the cap.
func (v *view) isEjectable() bool {
	return v.state != StateDraining && v.state != StateRemoved
}

// announcesDrain reports whether the last report announces that the target drains, and is
// younger than drainReportMaxAge.
func (v *view) announcesDrain(now time.Duration) bool {
	age := now - v.reportAt + v.report.Age
	return v.hasReport && v.report.Draining && age < drainReportMaxAge
}

// recentReport returns the last report, and whether it is recent enough to be used.
func (v *view) recentReport(now time.Duration) (Report, bool) {
	age := now - v.reportAt + v.report.Age
	return v.report, v.hasReport && age < reportMaxAge
}

// isResponsive reports whether this balancer's own traffic shows that the target
// responds: its last response is recent, and few attempts fail.
func (v *view) isResponsive(now time.Duration) bool {
	if v.requests.isFailingOften(now) || v.flows.isFailingOften(now) {
		return false
	}
	return v.requests.answeredRecently(now) || v.flows.answeredRecently(now)
}

// statsOf returns the outcomes of flows if isFlow is set, else those of requests.
func (v *view) statsOf(isFlow bool) *trafficStats {
	if isFlow {
		return &v.flows
	}
	return &v.requests
}

// failuresSinceResponse returns the number of failures since the last response, of the
// kind of traffic for which it is higher.
func (v *view) failuresSinceResponse() int {
	return max(v.requests.consecutiveFailures, v.flows.consecutiveFailures)
}

// isFailing reports whether the observed outcomes justify an ejection. A report never
// does so alone: it lowers the number of failures that are needed.
func (v *view) isFailing(now time.Duration) bool {
	needsFewerFailures := v.onProbation || v.reportedUnhealthy(now)
	minFailures, minAttempts := failuresToEject, minRatioAttempts
	if needsFewerFailures {
		minFailures, minAttempts = failuresOnProbation, minRatioAttemptsOnProbation
	}
	return v.requests.isFailing(now, minFailures, minAttempts) || v.flows.isFailing(now, minFailures, minAttempts)
}

// reportedUnhealthy reports whether a recent report says that the target is unhealthy or
// overloaded.
func (v *view) reportedUnhealthy(now time.Duration) bool {
	r, ok := v.recentReport(now)
	return ok && (!r.Healthy || r.Load >= overloadThreshold)
}

// lowerLevel lowers the share by one eighth because of a refusal, at most once each
// minShedInterval. The reduction lasts for the time retryAfter that the target named, but
// at least for minShedTime and at most for maxShedTime. The level stays if remaining, the
// number of eighths that refusals may still remove, is 0 or less.
func (v *view) lowerLevel(now, retryAfter time.Duration, remaining int) {
	if v.state != StateServing && v.state != StateStarting && v.state != StateShedding {
		return
	}
	if v.state == StateShedding && (v.level == LevelNone || now-v.loweredAt < minShedInterval) {
		return
	}
	v.loweredAt = now
	if v.state == StateServing {
		v.riseInterval = shedRecoveryInterval
	}
	if v.state != StateShedding {
		v.until = 0
	}
	v.until = max(v.until, now+min(max(retryAfter, minShedTime), maxShedTime))
	v.setState(now, StateShedding, ReasonRefused, max(MinLevel, v.level-Level(min(max(remaining, 0), 1))))
}

// suspend sets the level to LevelNone for the time that the target named, within the same
// limits as lowerLevel. It has no effect on a target that is ejected, drains or was
// removed.
func (v *view) suspend(now, retryAfter time.Duration) {
	v.lowerLevel(now, retryAfter, 0)
	if v.state == StateShedding {
		v.setState(now, StateShedding, ReasonRefused, LevelNone)
	}
}

// isExcluded reports whether the target gets nothing new for a reason to which the
// ejection cap applies.
func (v *view) isExcluded() bool {
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

// shedShare returns how many eighths of the share refusals have removed.
func (v *view) shedShare() int {
	if v.reason != ReasonRefused {
		return 0
	}
	return int(LevelFull - v.level)
}

// resumeRamp lets the share grow again once the time of a refusal is over. It grows by one
// level each shedRecoveryInterval if the target was in StateServing before the refusal,
// else at the rate at which it grew before.
func (v *view) resumeRamp(now time.Duration) {
	v.setState(now, StateStarting, ReasonRefused, max(MinLevel, v.level))
}

// raiseLevel raises the level of a starting target by one, at most once each
// riseInterval. At LevelFull the target is in StateServing and no longer on probation.
func (v *view) raiseLevel(now time.Duration) {
	if now-v.levelSetAt < v.riseInterval {
		return
	}
	v.level++
	v.levelSetAt = now
	if v.level >= LevelFull {
		v.onProbation = false
		v.setState(now, StateServing, ReasonNone, LevelFull)
	}
}
