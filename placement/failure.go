package placement

import "time"

const (
	// tellLeast is the weight of failed requests from which a host tells the others
	// of a target that fails more than the rest of its pool.
	tellLeast = 0.8
	// toldLife is the age above which the failures that a host told no longer count.
	toldLife = 2500 * time.Millisecond
)

// OutcomeWeights is what the flows of one host show of a target that fails more than the
// rest of its pool: the weights of requests that went well and that failed.
type OutcomeWeights struct {
	Succeeded float64
	Failed    float64
}

// toldFailures are the failures of another host by the stamps of targets.
type toldFailures struct {
	failures map[uint32]OutcomeWeights
	at       time.Duration
}

// failures returns what this host has to tell the others. A host on which all
// targets fail tells nothing: the fault is most likely on its side.
func (c *Core) failures(now time.Duration) map[uint32]OutcomeWeights {
	var out map[uint32]OutcomeWeights
	for _, t := range c.order {
		if t.outcomes.bad < tellLeast {
			continue
		}
		t.outcomes.fade(now)
		if t.outcomes.bad < tellLeast || t.collides || !c.outlier(now, t, t.outcomes) {
			continue
		}
		if out == nil {
			out = map[uint32]OutcomeWeights{}
		}
		out[t.Stamp] = OutcomeWeights{Succeeded: t.outcomes.good, Failed: t.outcomes.bad}
	}
	return out
}

// setFailures takes in the failures of another host.
func (c *Core) setFailures(now time.Duration, name string, failures map[uint32]OutcomeWeights) {
	if len(failures) == 0 {
		delete(c.told, name)
		return
	}
	c.told[name] = toldFailures{failures: failures, at: now}
	for stamp := range failures {
		if t := c.byStamp[stamp]; t != nil {
			t.outcomes.fade(now)
			c.judge(now, t)
		}
	}
}

// toldOutcomes sums up what other hosts told lately of a target.
func (c *Core) toldOutcomes(now time.Duration, t *Target) outcomes {
	sum := outcomes{at: now}
	for name, w := range c.told {
		if now-w.at > toldLife {
			delete(c.told, name)
			continue
		}
		d := w.failures[t.Stamp]
		sum = sum.plus(outcomes{good: d.Succeeded, bad: d.Failed})
	}
	return sum
}
