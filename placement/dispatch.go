package placement

import (
	"slices"
	"time"

	"wisteriaweir/route"
)

const (
	// onTimeQueueThreshold is the number of requests in progress per slot of a target
	// above which a request that is on time is queued on this host.
	onTimeQueueThreshold = 4
	// oldQueueThreshold is the number of requests in progress per slot from which requests
	// of the other classes are queued: they use only slots that are free, so that requests
	// on time find no queue at the target.
	oldQueueThreshold = 1
	// dispatchThreshold is the number of requests in progress per slot below which
	// queued requests are sent. At 2, a slot that becomes free has a next request on the
	// target already, while the order of all further requests is decided on this host.
	dispatchThreshold = 2
	// idleLatencies is the time without a request after which a target counts as idle, in
	// typical latencies of the target. Hosts of other failure domains, whose requests are
	// not known here, may keep it busy.
	idleLatencies = 2
	// defaultTimeout is the timeout of a route that names none.
	defaultTimeout = time.Second
	// defaultObjective is the latency objective of a route that names none.
	defaultObjective = 200 * time.Millisecond
)

// slots returns the number of slots of the target, at least 1: its entry may name none.
func (t *Target) slots() int {
	return max(t.Slots, 1)
}

// load returns the number of requests in progress on a target that this host and
// its domain peers know of.
func (t *Target) load() int {
	return t.busy + t.peerLoad.Busy
}

// mustQueue reports whether a new request on f has to be queued. Uploads and requests
// to a dead target never are.
func (c *Core) mustQueue(now time.Duration, f *flow) bool {
	t := f.target
	if f.kind == route.Upload || t.dead {
		return false
	}
	if !t.window.hasRoom(t.busy - c.urgentReserve(now, t, c.routeOf(f).Priority)) {
		return true
	}
	if c.mustHold(now, f) {
		return true
	}
	if f.urgency == onTime {
		return float64(t.load()) > t.capacity()*onTimeQueueThreshold
	}
	return float64(t.load()) >= t.capacity()*oldQueueThreshold || t.queue.size() > 0
}

// enqueue queues a request, which begins at startSeq, with its first packet until its
// target has room.
func (c *Core) enqueue(now time.Duration, f *flow, startSeq uint32, datagram []byte) {
	r := c.routeOf(f)
	objective, timeout := latencyLimits(r)
	q := &queuedRequest{
		f:                 f,
		priority:          r.Priority,
		objective:         objective,
		queuedAt:          now,
		objectiveDeadline: now + maxWait(objective),
		expiresAt:         now + timeout,
		startSeq:          startSeq,
		datagrams:         [][]byte{append([]byte(nil), datagram...)},
	}
	f.queued = q
	f.target.queue.add(q, f.urgency)
	c.queuedRequests = append(c.queuedRequests, q)
}

// routeOf returns the route of a flow, an empty one if there is none.
func (c *Core) routeOf(f *flow) route.Route {
	r, _ := c.catalog.Routes().Lookup(route.Address{IP: f.key.ServiceIP, Port: f.key.ServicePort})
	return r
}

// latencyLimits returns the latency objective of the callers of a route, and the timeout
// after which a response is useless to them.
func latencyLimits(r route.Route) (objective, timeout time.Duration) {
	objective, timeout = r.LatencyObjective, r.Timeout
	if objective == 0 {
		objective = defaultObjective
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return objective, timeout
}

// appendDatagram stores a further packet of a queued request, unless
// maxQueuedPackets are stored.
func (q *queuedRequest) appendDatagram(datagram []byte) {
	if len(q.datagrams) < maxQueuedPackets {
		q.datagrams = append(q.datagrams, append([]byte(nil), datagram...))
	}
}

// hasRoom reports whether a queued request may be sent to the target: its window has
// room, and its load is below dispatchThreshold. A proven window is the better limit, as
// it takes the hosts of all failure domains into account, so that the load is then ignored.
func (t *Target) hasRoom(now time.Duration) bool {
	return t.window.hasRoom(t.busy) && (float64(t.load()) < t.capacity()*dispatchThreshold || t.window.isProven(now))
}

// currentLatency returns the typical latency of the target, 0 if the target is idle: no
// request is in progress on it as far as this host knows, and this host has sent none
// for idleLatencies.
func (t *Target) currentLatency(now time.Duration) time.Duration {
	if t.load() == 0 && now-t.usedAt >= idleLatencies*t.typicalLatency() {
		return 0
	}
	return t.typicalLatency()
}

// dispatch sends queued requests as long as the target has room.
func (c *Core) dispatch(now time.Duration, t *Target) {
	t.queue.refresh(now)
	for !c.mustHoldQueue(now, t) {
		q := c.nextQueued(now, t)
		if q == nil {
			return
		}
		c.sendQueued(now, q)
	}
}

// nextQueued removes the queued request that is sent to t next and returns it, nil if there
// is none or t has no room for it.
func (c *Core) nextQueued(now time.Duration, t *Target) *queuedRequest {
	switch {
	case t.hasRoom(now):
		hasFreeSlot := t.load() < t.slots()*oldQueueThreshold && !c.isCongested(now, t)
		return t.queue.popNext(now, t.currentLatency(now), hasFreeSlot, c.isOverloaded(now, t.Service))
	case c.hasUrgentRoom(now, t):
		return t.queue.popOnTime(now)
	default:
		return nil
	}
}

// sendQueued sends a queued request to its target.
func (c *Core) sendQueued(now time.Duration, q *queuedRequest) {
	f := q.f
	c.notifyFlow(FlowNotice{Event: RequestWaited, Flow: f.key, Target: f.target, Duration: now - q.queuedAt})
	f.queued = nil
	f.lastSentAt = now
	c.startRequest(now, f)
	for _, b := range q.datagrams {
		c.emit(Resend{To: f.target, Datagram: b})
	}
}

// dispatchDue sends the queued requests for which their targets have room by now.
func (c *Core) dispatchDue(now time.Duration) {
	for _, q := range c.queuedRequests {
		if q.f.queued == q {
			c.dispatch(now, q.f.target)
		}
	}
}

// expireQueued discards the requests whose callers have given up. Data that is sent
// again nevertheless begins a new request.
func (c *Core) expireQueued(now time.Duration) {
	c.queuedRequests = slices.DeleteFunc(c.queuedRequests, func(q *queuedRequest) bool {
		if q.f.queued != q {
			return true
		}
		if now < q.expiresAt {
			return false
		}
		q.f.queued, q.f.endSeq = nil, q.startSeq
		c.notifyFlow(FlowNotice{Event: RequestExpired, Flow: q.f.key, Target: q.f.target, Duration: now - q.queuedAt})
		return true
	})
}
