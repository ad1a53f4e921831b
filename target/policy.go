package target

import "time"

const (
	// rampDuration is the time in which a share grows from MinLevel to LevelFull.
	rampDuration = 28 * time.Second
	// rampInterval is the minimum time between two rises of a growing share.
	rampInterval = rampDuration / time.Duration(LevelFull-MinLevel)

	// initialEjectTime is the duration of a first ejection; each further one doubles it.
	// It is also the minimum time from an ejection, or from the return after it, to the
	// next ejection.
	initialEjectTime = 5 * time.Second
	// maxEjectTime limits the duration of an ejection.
	maxEjectTime = 60 * time.Second
	// ejectionResetTime is the time in StateServing after which the count of
	// ejections is reset.
	ejectionResetTime = 2 * time.Minute

	// failuresToEject is the number of failures without a response between them that
	// eject a target.
	failuresToEject = 5
	// failuresOnProbation replaces failuresToEject for a target that was ejected and
	// has not regained its full share, and for one whose report says that it is
	// unhealthy or overloaded. It is also the number of consecutive failures from which
	// on a target does not count as responsive.
	failuresOnProbation = 3
	// maxImmediateFailures is the number of consecutive failures above which a Failed
	// event does not evaluate the target. The next Tick does.
	maxImmediateFailures = 2 * failuresToEject
	// minRatioAttempts is the number of attempts in the window from which on a
	// failure ratio of one half ejects a target.
	minRatioAttempts = 16
	// minRatioAttemptsOnProbation replaces minRatioAttempts under the same conditions
	// as failuresOnProbation.
	minRatioAttemptsOnProbation = 8

	// reportMaxAge is the age from which on a report of a target is ignored.
	reportMaxAge = 5 * time.Second
	// drainReportMaxAge is the age from which on a target's announcement that it
	// drains is ignored. It is long, since a target that has stopped sends no further
	// reports.
	drainReportMaxAge = 5 * time.Minute
	// overloadThreshold is the reported load from which on a target counts as
	// overloaded. A load of 1, with all slots busy, is normal.
	overloadThreshold = 1.5

	// minShedTime is the minimum time for which a refusal lowers a share, even if the
	// target names a shorter one.
	minShedTime = 100 * time.Millisecond
	// maxShedTime is the maximum time for which a refusal lowers a share, even if the
	// target names a longer one.
	maxShedTime = 60 * time.Second
	// refusalsToSuspend is the number of refusals without a response between them from
	// which on a target gets nothing for the time that it names.
	refusalsToSuspend = 5
	// shedRecoveryInterval is the minimum time between two rises of a share after
	// refusals. It is short, since a target that was serving needs no warm-up.
	shedRecoveryInterval = time.Second
	// minShedInterval is the minimum time between two reductions of a share by
	// refusals, so that a burst of refusals counts once.
	minShedInterval = 200 * time.Millisecond

	// slowFactor is the multiple of the pool's median latency above which a target is
	// slow.
	slowFactor = 3.0
	// slowFactorReportedUnhealthy replaces slowFactor for a target whose report says that
	// it is unhealthy or overloaded.
	slowFactorReportedUnhealthy = 2.0
	// slowRecoveryFactor is the multiple of the median latency below which a target is
	// no longer slow, once minSlowTime has passed.
	slowRecoveryFactor = 1.5
	// minSlowTime is the minimum time for which the share of a slow target is reduced.
	minSlowTime = 10 * time.Second
	// minLatencySamples is the number of responses in the window from which on the
	// latency of a target is evaluated.
	minLatencySamples = 8
	// minLatencyTargets is the number of targets with enough responses that a median
	// latency requires.
	minLatencyTargets = 3

	// minSuccessRatio is the minimum fraction of the attempts in the window that a
	// responsive target has responded to.
	minSuccessRatio = 0.9
	// responsiveMaxAge is the maximum age of the last response of a responsive target.
	responsiveMaxAge = 30 * time.Second

	// removedRetention is how long the state of a removed target is retained.
	removedRetention = time.Minute
	// defaultLatency replaces the mean latency in the computation of the slot idle time
	// while the window has no response with a known latency.
	defaultLatency = 50 * time.Millisecond
)

// baseEjectionLimit returns how many of n targets may be ejected, however few of
// the others are responsive.
func baseEjectionLimit(n int) int {
	return n / 3
}

// shedBudget returns how many eighths of the shares of n targets refusals may remove
// in all: a third. The slots limit the load already, and if all targets are busy and
// refuse work, lower shares would leave usable slots idle.
func shedBudget(n int) int {
	return n * int(LevelFull) / 3
}

// minResponsive returns how many of n targets must be responsive for more than
// baseEjectionLimit to be ejected: one eighth, rounded up, and at least one.
func minResponsive(n int) int {
	return max(1, (n+7)/8)
}

// ejectionAllowed reports whether excluded of n targets may be out of rotation while
// the given number of the other targets is responsive.
func ejectionAllowed(n, excluded, responsive int) bool {
	return excluded <= baseEjectionLimit(n) || (excluded < n && responsive >= minResponsive(n))
}

// ejectionDuration returns the duration of the k-th ejection in a row, counted from 1.
func ejectionDuration(k int) time.Duration {
	d := initialEjectTime
	for range k - 1 {
		d = min(2*d, maxEjectTime)
	}
	return d
}
