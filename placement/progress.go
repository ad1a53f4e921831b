package placement

import (
	"slices"
	"time"
)

const (
	// expireEvery is the time between two searches for answers that came unseen.
	expireEvery = 10 * time.Millisecond
	// answerShare is the weight of the newest answer in the mean time of answers.
	answerShare = 0.05
	// answerFirst is the mean time of answers before any was seen.
	answerFirst = 40 * time.Millisecond
	// busyTimes is how many mean times a request counts as in progress, beside
	// those of the requests before it: a caller does not acknowledge an answer of
	// one packet, so its end is not seen.
	busyTimes = 2
	// busyMost bounds the time for which it counts.
	busyMost = 400 * time.Millisecond
)

// request is a request in progress since a time, until its answer has most
// likely come unseen.
type request struct {
	f     *flow
	at    time.Duration
	until time.Duration
}

// begin counts a request as in progress.
func (c *Core) begin(now time.Duration, f *flow) {
	f.asking = true
	c.watch(now, f)
	if f.busy {
		return
	}
	f.busy = true
	f.asked = now
	t := f.target
	t.busy++
	span := c.answerMean*busyTimes + c.answerMean*time.Duration(t.load())/time.Duration(t.Slots)
	c.requests = append(c.requests, request{f: f, at: now, until: now + min(span, busyMost)})
}

// finish ends the request that is in progress on f: the caller has got more of
// the answer.
func (c *Core) finish(now time.Duration, f *flow) {
	if f.busy {
		took := now - f.asked
		c.notifyFlow(FlowNotice{Event: RequestDone, Flow: f.key, Target: f.target, Took: took})
		c.answerMean += time.Duration(answerShare * float64(took-c.answerMean))
	}
	f.asking = false
	c.settle(f)
}

// settle takes the request that is in progress out of the count.
func (c *Core) settle(f *flow) {
	if f.busy {
		f.busy = false
		f.target.busy--
	}
}

// expire takes out requests whose answers have most likely come unseen.
func (c *Core) expire(now time.Duration) {
	c.expiredAt = now
	c.judgeUnanswered(now)
	var over []*Target
	c.requests = slices.DeleteFunc(c.requests, func(r request) bool {
		if !r.f.busy || r.f.asked != r.at {
			return true
		}
		if now < r.until {
			return false
		}
		c.settle(r.f)
		over = append(over, r.f.target)
		return true
	})
	for _, t := range over {
		c.release(now, t)
	}
}
