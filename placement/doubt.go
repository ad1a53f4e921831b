package placement

import "time"

const (
	// doubtLeast is the weight of failed requests from which a host tells the others
	// of a target that fails more than the rest of its pool.
	doubtLeast = 0.8
	// doubtLife is the age above which the doubts that a host told no longer count.
	doubtLife = 2500 * time.Millisecond
)

// Doubt is what the flows of one host show of a target that fails more than the
// rest of its pool: the weights of requests that went well and that failed.
type Doubt struct {
	Good   float64
	Failed float64
}

// toldDoubts are the doubts of another host by the stamps of targets.
type toldDoubts struct {
	doubts map[uint32]Doubt
	at     time.Duration
}

// doubts returns what this host has to tell the others. A host on which all
// targets fail tells nothing: the fault is most likely on its side.
func (c *Core) doubts(now time.Duration) map[uint32]Doubt {
	var out map[uint32]Doubt
	for _, t := range c.order {
		if t.outcomes.bad < doubtLeast {
			continue
		}
		t.outcomes.fade(now)
		if t.outcomes.bad < doubtLeast || t.collides || !c.outlier(now, t, t.outcomes) {
			continue
		}
		if out == nil {
			out = map[uint32]Doubt{}
		}
		out[t.Stamp] = Doubt{Good: t.outcomes.good, Failed: t.outcomes.bad}
	}
	return out
}

// setDoubts takes in the doubts of another host.
func (c *Core) setDoubts(now time.Duration, name string, doubts map[uint32]Doubt) {
	if len(doubts) == 0 {
		delete(c.told, name)
		return
	}
	c.told[name] = toldDoubts{doubts: doubts, at: now}
	for stamp := range doubts {
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
		if now-w.at > doubtLife {
			delete(c.told, name)
			continue
		}
		d := w.doubts[t.Stamp]
		sum = sum.plus(outcomes{good: d.Good, bad: d.Failed})
	}
	return sum
}
