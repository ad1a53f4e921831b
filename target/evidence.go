package target

import "time"

// trafficStats are the outcomes that a balancer observed for one kind of traffic,
// requests or flows, at one target.
type trafficStats struct {
	outcomes outcomeWindow
	// consecutiveFailures counts the failures since the last answer.
	consecutiveFailures int
	lastAnswerAt        time.Duration
	hasAnswered         bool
}

// recordAnswers counts n answers. The latency is their mean, or 0 if it is not known.
func (e *trafficStats) recordAnswers(now, latency time.Duration, n int) {
	b := e.outcomes.bucketAt(now)
	b.answered += n
	if latency > 0 {
		b.latencySamples += n
		b.latencySum += latency * time.Duration(n)
	}
	e.consecutiveFailures = 0
	e.lastAnswerAt, e.hasAnswered = now, true
}

// recordFailures counts n failures.
func (e *trafficStats) recordFailures(now time.Duration, n int) {
	e.outcomes.bucketAt(now).failed += n
	e.consecutiveFailures += n
}

// isFailing reports whether at least needed attempts have failed since the last
// answer, or half of the attempts in the window have failed, if there are at least
// the given number of attempts and the last one failed.
func (e *trafficStats) isFailing(now time.Duration, needed, attempts int) bool {
	if e.consecutiveFailures >= needed {
		return true
	}
	ratio, n := e.outcomes.total(now).failureRatio()
	return n >= attempts && ratio >= 0.5 && e.consecutiveFailures > 0
}

// isFailingOften reports whether too many attempts fail for the target to count as
// responsive.
func (e *trafficStats) isFailingOften(now time.Duration) bool {
	ratio, _ := e.outcomes.total(now).failureRatio()
	return e.consecutiveFailures >= failuresOnProbation || ratio > 1-minSuccessRatio
}

// answeredRecently reports whether the last answer is not older than
// responsiveMaxAge.
func (e *trafficStats) answeredRecently(now time.Duration) bool {
	return e.hasAnswered && now-e.lastAnswerAt <= responsiveMaxAge
}
