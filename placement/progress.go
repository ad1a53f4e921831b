package placement

import (
	"slices"
	"time"
)

const (
	// expireInterval is the interval of the checks for requests that have reached a
	// deadline: those in progress, those without a response, and queued ones.
	expireInterval = 10 * time.Millisecond
	// maxBusyTime is the maximum time for which a request counts as in progress.
	// Callers acknowledge most responses within 100 ms, but acknowledgements that reach
	// another host are never seen here.
	maxBusyTime = 400 * time.Millisecond
)

// inFlightRequest is a request in progress. At its deadline its response has most
// likely been acknowledged through another host.
type inFlightRequest struct {
	f         *flow
	startedAt time.Duration
	deadline  time.Duration
}

// startRequest counts the request on f as in progress.
func (c *Core) startRequest(now time.Duration, f *flow) {
	f.awaitingResponse = true
	c.trackOutcome(now, f)
	if f.countedBusy {
		return
	}
	f.countedBusy = true
	f.requestedAt = now
	f.foundFreeSlot = f.target.hasFreeSlot(now)
	f.target.busy++
	f.target.usedAt = now
	f.target.queue.earnCredit()
	c.recordSent(now, f)
	c.inFlightRequests = append(c.inFlightRequests, inFlightRequest{f: f, startedAt: now, deadline: now + maxBusyTime})
}

// finishRequest ends the request in progress on f: the caller has received more of
// the response.
func (c *Core) finishRequest(now time.Duration, f *flow) {
	if f.countedBusy {
		latency := now - f.requestedAt
		c.notifyFlow(FlowNotice{Event: RequestAnswered, Flow: f.key, Target: f.target, Duration: latency})
	}
	f.awaitingResponse = false
	c.releaseSlot(f)
}

// releaseSlot removes the request of f from the busy count of its target, if it is
// counted.
func (c *Core) releaseSlot(f *flow) {
	if f.countedBusy {
		f.countedBusy = false
		f.target.busy--
	}
}

// expireRequests ends requests that have been in progress for maxBusyTime, and
// records requests without a response within responseTimeout as failed.
func (c *Core) expireRequests(now time.Duration) {
	c.lastExpiryAt = now
	c.expireUnanswered(now)
	var freed []*Target
	c.inFlightRequests = slices.DeleteFunc(c.inFlightRequests, func(r inFlightRequest) bool {
		if !r.f.countedBusy || r.f.requestedAt != r.startedAt {
			return true
		}
		if now < r.deadline {
			return false
		}
		c.releaseSlot(r.f)
		freed = append(freed, r.f.target)
		return true
	})
	for _, t := range freed {
		c.dispatch(now, t)
	}
}
