package target

import "time"

// trafficStats are the outcomes that a balancer observed for one kind of traffic,
// requests or flows, at one target.
type trafficStats struct {
	outcomes outcomeWindow
	// consecutiveFailures counts the failures since the last response.
	consecutiveFailures int
	// lastResponseAt is the time of the last response. It is valid only if hasAnswered is
	// set.
	lastResponseAt time.Duration
	hasAnswered    bool
}

// recordResponses counts n responses. The latency is their mean, or 0 if it is not known.
// The responses end a series of consecutive failures.
func (e *trafficStats) recordResponses(now, latency time.Duration, n int) {
	b := e.outcomes.bucketAt(now)
	b.answered += n
	if latency > 0 {
		b.latencySamples += n
		b.latencySum += latency * time.Duration(n)
	}
	e.consecutiveFailures = 0
	e.lastResponseAt, e.hasAnswered = now, true
}

// recordFailures counts n failures.
func (e *trafficStats) recordFailures(now time.Duration, n int) {
	e.outcomes.bucketAt(now).failed += n
	e.consecutiveFailures += n
}

// isFailing reports whether the outcomes justify an ejection. They do if at least
// minFailures attempts have failed since the last response. They also do if the window has
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
// responsive: failuresOnProbation or more since the last response, or more than
// 1-minSuccessRatio of those in the window.
func (e *trafficStats) isFailingOften(now time.Duration) bool {
	ratio, _ := e.outcomes.total(now).failureRatio()
	return e.consecutiveFailures >= failuresOnProbation || ratio > 1-minSuccessRatio
}

// answeredRecently reports whether the last response is not older than
// responsiveMaxAge.
func (e *trafficStats) answeredRecently(now time.Duration) bool {
	return e.hasAnswered && now-e.lastResponseAt <= responsiveMaxAge
}
