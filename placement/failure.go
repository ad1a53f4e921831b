package placement

import "time"

const (
	// minReportedFailures is the weight of failed requests from which this host
	// reports a target to the other hosts, if the target fails more than the rest of
	// its pool.
	minReportedFailures = 0.8
	// failureReportTTL is the age above which a failure report of another host is
	// ignored.
	failureReportTTL = 2500 * time.Millisecond
)

// OutcomeWeights is the weight of the requests that succeeded and that failed on a
// target, as the flows of one host show it. Each request counts 1 at first; the
// weight decays with its age.
type OutcomeWeights struct {
	Succeeded float64
	Failed    float64
}

// failureReport is the newest report of another host about targets that fail, by
// the stamps of the targets.
type failureReport struct {
	failures   map[uint32]OutcomeWeights
	receivedAt time.Duration
}

// localFailures returns the outcomes that this host reports to the others, by the
// stamps of the targets; nil if there are none. A host on which all targets fail
// reports nothing: the fault is most likely on its own side.
func (c *Core) localFailures(now time.Duration) map[uint32]OutcomeWeights {
	var failures map[uint32]OutcomeWeights
	for _, t := range c.targetsInStartOrder {
		if t.outcomes.failed < minReportedFailures {
			continue
		}
		t.outcomes.decay(now)
		if t.outcomes.failed < minReportedFailures || t.collides || !c.isOutlier(now, t, t.outcomes) {
			continue
		}
		if failures == nil {
			failures = map[uint32]OutcomeWeights{}
		}
		failures[t.Stamp] = OutcomeWeights{Succeeded: t.outcomes.succeeded, Failed: t.outcomes.failed}
	}
	return failures
}

// setFailureReport stores the failure report of another host and checks the targets
// in it. An empty report deletes the previous one.
func (c *Core) setFailureReport(now time.Duration, name string, failures map[uint32]OutcomeWeights) {
	if len(failures) == 0 {
		delete(c.remoteFailures, name)
		return
	}
	c.remoteFailures[name] = failureReport{failures: failures, receivedAt: now}
	for stamp := range failures {
		if t := c.targetsByStamp[stamp]; t != nil {
			t.outcomes.decay(now)
			c.checkOutlier(now, t)
		}
	}
}

// remoteOutcomes returns the sum of the outcomes of a target in the reports of
// other hosts, and deletes reports older than failureReportTTL.
func (c *Core) remoteOutcomes(now time.Duration, t *Target) outcomes {
	sum := outcomes{decayedAt: now}
	for name, report := range c.remoteFailures {
		if now-report.receivedAt > failureReportTTL {
			delete(c.remoteFailures, name)
			continue
		}
		weights := report.failures[t.Stamp]
		sum = sum.add(outcomes{succeeded: weights.Succeeded, failed: weights.Failed})
	}
	return sum
}
