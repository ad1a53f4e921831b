package target

import "time"

// trafficStats are the outcomes that a balancer observed for one kind of traffic,
// requests or flows, at one target.
type trafficStats struct {
	outcomes outcomeWindow
	// consecutiveFailures counts the failures since the last answer.
	consecutiveFailures int
	// lastAnswerAt is the time of the last answer. It is valid only if hasAnswered is
	// set.
	lastAnswerAt time.Duration
	hasAnswered  bool
}

// recordAnswers counts n answers. The latency is their mean, or 0 if it is not known.
// The answers end a series of consecutive failures.
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

// isFailing reports whether the outcomes justify an ejection. They do if at least
// minFailures attempts have failed since the last answer. They also do if the window has
// at least minAttempts attempts, at least half of them have failed, and the last one
// has failed.
func (e *trafficStats) isFailing(now time.Duration, minFailures, minAttempts int) bool {
	if e.consecutiveFailures >= minFailures {
		return true
	}
	ratio, n := e.outcomes.total(now).failureRatio()
	return n >= minAttempts && ratio >= 0.5 && e.consecutiveFailures > 0
}

// isFailingOften reports whether too many attempts fail for the target to count as
// responsive: failuresOnProbation or more since the last answer, or more than
// 1-minSuccessRatio of those in the window.
func (e *trafficStats) isFailingOften(now time.Duration) bool {
	ratio, _ := e.outcomes.total(now).failureRatio()
	return e.consecutiveFailures >= failuresOnProbation || ratio > 1-minSuccessRatio
}

// answeredRecently reports whether the last answer is not older than
// responsiveMaxAge.
func (e *trafficStats) answeredRecently(now time.Duration) bool {
	return e.hasAnswered && now-e.lastAnswerAt <= responsiveMaxAge
}
