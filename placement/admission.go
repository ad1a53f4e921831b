package placement

import "time"

const (
	// waitForBusyWindow is the part of a response time that a request waits on average
	// until a full window has room.
	waitForBusyWindow = 0.5
	// shedDuration is the time after the rejection of a flow for which flows of worse
	// priorities to the same service are rejected as well. It is longer than the interval
	// between two rejections in a burst.
	shedDuration = 100 * time.Millisecond
	// overloadMemory is the time after a rejection for which its service counts as overloaded.
	// It is longer than the pauses between rejections in a burst.
	overloadMemory = time.Second
)

// shedding is the rejection of a new flow because its service is overloaded.
type shedding struct {
	// priority is that of the rejected flow.
	priority int
	// until is when flows of worse priorities are admitted again.
	until time.Duration
}

// admit reports whether a new flow may be opened on t, and for how long its first
// request is expected to wait here. It is meant for bursts above what the targets can
// serve. A flow whose first request would most likely be late is rejected before anything
// has run, so that its caller can retry at once and the capacity goes to requests that
// are in time. While flows of a better priority are rejected, those of worse priorities
// get none of the capacity. At low load windows have room and queues are empty, so that
// every flow is admitted.
func (c *Core) admit(now time.Duration, t *Target, priority int, objective time.Duration) (time.Duration, bool) {
	wait := t.expectedWait(now, priority, c.urgentReserve(now, t, priority))
	last := c.lastShed[t.Service]
	if c.isShedding(now, t.Service) && priority > last.priority {
		return wait, false
	}
	if wait <= maxWait(objective) {
		return wait, true
	}
	if !c.isShedding(now, t.Service) || priority <= last.priority {
		c.lastShed[t.Service] = shedding{priority: priority, until: now + shedDuration}
	}
	return wait, false
}

// isShedding reports whether this host has rejected a flow of a service for overload within
// the last shedDuration.
func (c *Core) isShedding(now time.Duration, service string) bool {
	return now < c.lastShed[service].until
}

// isOverloaded reports whether this host has rejected a flow of a service for overload within
// the last overloadMemory.
func (c *Core) isOverloaded(now time.Duration, service string) bool {
	last, ok := c.lastShed[service]
	return ok && now < last.until-shedDuration+overloadMemory
}

// expectedWait estimates how long a request of the given priority would be queued on
// this host: the requests ahead of it, and those that have to end before there is room for
// it, divided by the rate at which the window lets them pass; see window.limit. reserve is
// the number of places beyond the window that the request may use; others may be using them.
func (t *Target) expectedWait(now time.Duration, priority, reserve int) time.Duration {
	ahead := float64(t.openingFlows + t.queue.countUpTo(priority))
	limit := t.window.limit(now, t.slots())
	if excess := float64(t.busy-reserve) - limit; excess >= 0 {
		ahead += excess + waitForBusyWindow
	}
	return time.Duration(ahead * float64(t.typicalLatency()) / limit)
}

// maxWait returns the time for which a request can be queued and still be answered
// within a latency objective.
func maxWait(objective time.Duration) time.Duration {
	return time.Duration(maxWaitFraction * float64(objective))
}
