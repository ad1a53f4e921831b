package placement

import (
	"slices"
	"time"
)

const (
	// expireEvery is the time between two searches for answers that came unseen.
	expireEvery = 10 * time.Millisecond
	// busyMost bounds the time for which a request counts as in progress: callers show
	// most answers within 100 ms, but not those that come through another host.
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
	f.target.busy++
	c.requests = append(c.requests, request{f: f, at: now, until: now + busyMost})
}

// finish ends the request that is in progress on f: the caller has got more of
// the answer.
func (c *Core) finish(now time.Duration, f *flow) {
	if f.busy {
		took := now - f.asked
		c.notifyFlow(FlowNotice{Event: RequestAnswered, Flow: f.key, Target: f.target, Took: took})
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
