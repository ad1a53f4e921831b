package target

import "time"

const (
	// rampTime is the time in which a share grows from MinLevel to LevelFull.
	rampTime = 28 * time.Second
	// rampStep is the least time between two levels.
	rampStep = rampTime / time.Duration(LevelFull-MinLevel)

	// ejectTime is the time of a first ejection; each further one doubles it.
	ejectTime     = 5 * time.Second
	ejectTimeMost = 60 * time.Second
	// forgiveTime is the time of service after which earlier ejections are forgotten.
	forgiveTime = 2 * time.Minute

	// failuresToEject is the number of failures without an answer between them
	// that eject a target. With an unhealthy report or soon after a return fewer
	// are enough.
	failuresToEject   = 5
	failuresWithDoubt = 3
	// judgeFailures is the number of failures above which a target is judged on a
	// Tick only.
	judgeFailures = 2 * failuresToEject
	// ratioAttempts is the number of attempts in the window from which on a
	// failure ratio of a half ejects.
	ratioAttempts          = 16
	ratioAttemptsWithDoubt = 8

	// reportMaxAge is the age from which on a report is ignored.
	reportMaxAge = 5 * time.Second
	// drainReportMaxAge is the age from which on a target's own announcement to
	// leave is ignored. It is long, since a target that has left reports no more.
	drainReportMaxAge = 5 * time.Minute
	// highLoad is the reported load that counts as overload. All slots busy, 1,
	// is normal.
	highLoad = 1.5

	// shedTimeLeast and shedTimeMost bound the time that a shedding target may name.
	shedTimeLeast = 100 * time.Millisecond
	shedTimeMost  = 60 * time.Second
	// refusalsToPause is the number of refusals without an answer between them
	// from which on a target gets nothing for the time that it names.
	refusalsToPause = 5
	// shedStep is the least time between two rises of a share after refusals: the
	// target is warm.
	shedStep = time.Second
	// shedInterval is the least time between two reductions of a share by
	// refusals, so that one burst counts once.
	shedInterval = 200 * time.Millisecond

	// slowFactor is the multiple of the pool's median latency from which on a
	// target is slow; slowFactorReported holds if it reports overload as well.
	slowFactor         = 3.0
	slowFactorReported = 2.0
	// slowRecovered is the multiple below which it is no longer slow.
	slowRecovered = 1.5
	// slowTime is the least time that a slow target keeps its reduced share.
	slowTime = 10 * time.Second
	// slowAttempts is the number of answers needed to judge latency.
	slowAttempts = 8
	// slowPeers is the number of targets needed for a median.
	slowPeers = 3

	// soundRatio is the ratio of answers of a target that is sound.
	soundRatio = 0.9
	// soundTime is the age of the last answer from which on a target is not
	// known to be sound.
	soundTime = 30 * time.Second

	// goneTime is how long a removed target is remembered.
	goneTime = time.Minute
	// defaultLatency is assumed while no answer was seen.
	defaultLatency = 50 * time.Millisecond
)

// ejectedBase is the number of n targets that may be ejected on failures alone.
func ejectedBase(n int) int {
	return n / 3
}

// shedDeficit is the part of the shares of n targets, in eighths, that refusals
// may take away: the slots bound the load already, and when all are full a lower
// share would waste what is left.
func shedDeficit(n int) int {
	return n * int(LevelFull) / 3
}

// soundFloor is the number of sound targets of n that allows more than
// ejectedBase to be ejected.
func soundFloor(n int) int {
	return max(1, (n+7)/8)
}

// ejectionAllowed reports whether ejected of n targets may be held out while
// sound of those that remain are known to answer.
func ejectionAllowed(n, ejected, sound int) bool {
	return ejected <= ejectedBase(n) || (ejected < n && sound >= soundFloor(n))
}

// ejectionTime is the time of the k-th ejection in a row, from 1 on.
func ejectionTime(k int) time.Duration {
	d := ejectTime
	for range k - 1 {
		d = min(2*d, ejectTimeMost)
	}
	return d
}
