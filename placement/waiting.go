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
	// overdueQueueThreshold is the number of requests in progress per slot from which
	// requests of the other classes are queued.
	overdueQueueThreshold = 3
	// dispatchThreshold is the number of requests in progress per slot below which
	// queued requests are sent. At 2, a slot that becomes free has a next request on the
	// target already, while the order of all further requests is decided on this host.
	dispatchThreshold = 2
	// maxQueueFraction is the maximum time in the queue, as a fraction of the route's
	// timeout. After it the request is sent, and the target decides on it.
	maxQueueFraction = 0.45
	// defaultTimeout is the timeout of a route that names none.
	defaultTimeout = time.Second
	// maxQueuedPackets is the maximum number of packets that are stored for one queued
	// request. Further packets are discarded.
	maxQueuedPackets = 4
	// overloadWindows is the number of queued requests of the same or a better priority,
	// in windows of the target, above which new flows are rejected (load shedding).
	overloadWindows = 1
	// maxWaitFraction is the fraction of the latency objective for which a request can
	// be queued and still be answered in time.
	maxWaitFraction = 1.0 / 3
	// defaultObjective is the latency objective of a route that names none.
	defaultObjective = 200 * time.Millisecond
	// restartWindow is the time after the start of this host (Core.readyAt) in which the
	// first data on a flow is most likely a retransmission of data sent before the start.
	restartWindow = 800 * time.Millisecond
)

// urgency is the class of a queued request. Classes are served in their order.
type urgency uint8

const (
	// onTime requests can still be answered within their latency objective. The oldest is
	// sent first. Once it has used up half of the time for which it can wait, the newest
	// is sent first: not all requests can then be answered in time, and the newest ones
	// are the most likely to be.
	onTime urgency = iota
	// unknownAge requests may have been sent by the caller long ago. The newest is sent
	// first, because it is the most likely to be answered in time.
	unknownAge
	// overdue requests have exceeded the latency objective of their callers. The oldest
	// is sent first.
	overdue
)

// queuedRequest is a request that waits for its target.
type queuedRequest struct {
	f        *flow
	queuedAt time.Duration
	// sendBy is when the request is sent even if the target has no room.
	sendBy time.Duration
	// objectiveDeadline is when the request can no longer be answered in time.
	objectiveDeadline time.Duration
	// priority is that of the route; 0 is served first.
	priority int
	// datagrams are the packets of the request, in the order of arrival.
	datagrams [][]byte
}

// requestQueue is the priority queue of the requests that wait for one target. It may
// contain requests that have left the queue; see compact.
type requestQueue struct {
	onTime     []*queuedRequest
	unknownAge []*queuedRequest
	overdue    []*queuedRequest
}

// size returns the number of entries, including requests that have left the queue.
func (r *requestQueue) size() int {
	return len(r.onTime) + len(r.unknownAge) + len(r.overdue)
}

// countUpTo returns the number of entries whose priority is at most the given number,
// that is, equal or better.
func (r *requestQueue) countUpTo(priority int) int {
	n := 0
	for _, list := range [][]*queuedRequest{r.onTime, r.unknownAge, r.overdue} {
		for _, q := range list {
			if q.priority <= priority {
				n++
			}
		}
	}
	return n
}

// add appends a request to the list of its class.
func (r *requestQueue) add(q *queuedRequest, u urgency) {
	switch u {
	case onTime:
		r.onTime = append(r.onTime, q)
	case unknownAge:
		r.unknownAge = append(r.unknownAge, q)
	case overdue:
		r.overdue = append(r.overdue, q)
	}
}

// popNext removes the request that is sent next and returns it, nil if there is none.
func (r *requestQueue) popNext(now time.Duration) *queuedRequest {
	for r.size() > 0 {
		if q := r.popByClass(now); q.f.queued == q {
			return q
		}
	}
	return nil
}

// popByClass removes and returns the next entry: one of the first class that is not
// empty, and within the class one of the best priority. The queue must not be empty.
func (r *requestQueue) popByClass(now time.Duration) *queuedRequest {
	r.demote(now)
	switch {
	case len(r.onTime) > 0:
		return popBest(&r.onTime, r.onTime[0].isPastHalfWait(now))
	case len(r.unknownAge) > 0:
		return popBest(&r.unknownAge, true)
	default:
		return popBest(&r.overdue, false)
	}
}

// demote moves requests that can no longer be answered in time from the class onTime
// to the class overdue.
func (r *requestQueue) demote(now time.Duration) {
	r.onTime = slices.DeleteFunc(r.onTime, func(q *queuedRequest) bool {
		if now < q.objectiveDeadline {
			return false
		}
		r.overdue = append(r.overdue, q)
		return true
	})
}

// popBest removes the newest or the oldest request of the best priority from a list and
// returns it. The list must not be empty.
func popBest(list *[]*queuedRequest, newest bool) *queuedRequest {
	best := 0
	for i, q := range *list {
		p := (*list)[best].priority
		if q.priority < p || newest && q.priority == p {
			best = i
		}
	}
	q := (*list)[best]
	*list = slices.Delete(*list, best, best+1)
	return q
}

// isPastHalfWait reports whether half of the time has passed for which q can be queued
// and still be answered in time.
func (q *queuedRequest) isPastHalfWait(now time.Duration) bool {
	return now-q.queuedAt > (q.objectiveDeadline-q.queuedAt)/2
}

// compact removes requests that are no longer queued.
func (r *requestQueue) compact() {
	isDequeued := func(q *queuedRequest) bool { return q.f.queued != q }
	r.onTime = slices.DeleteFunc(r.onTime, isDequeued)
	r.unknownAge = slices.DeleteFunc(r.unknownAge, isDequeued)
	r.overdue = slices.DeleteFunc(r.overdue, isDequeued)
}

// load returns the number of requests in progress on a target that this host and
// its domain peers know of.
func (t *Target) load() int {
	return t.busy + t.peerLoad.Busy
}

// mustQueue reports whether a new request on f has to be queued. Uploads and requests
// to a dead target never are.
func (c *Core) mustQueue(f *flow) bool {
	t := f.target
	if f.kind == route.Upload || t.dead {
		return false
	}
	if !t.window.hasRoom(t.busy) {
		return true
	}
	if f.urgency == onTime {
		return t.load() > t.Slots*onTimeQueueThreshold
	}
	return t.load() >= t.Slots*overdueQueueThreshold || t.queue.size() > 0
}

// enqueue queues a request with its first packet until its target has room.
func (c *Core) enqueue(now time.Duration, f *flow, datagram []byte) {
	objective, timeout := c.latencyLimits(f)
	q := &queuedRequest{
		f:                 f,
		priority:          c.routeOf(f).Priority,
		queuedAt:          now,
		objectiveDeadline: now + time.Duration(maxWaitFraction*float64(objective)),
		sendBy:            now + time.Duration(maxQueueFraction*float64(timeout)),
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

// latencyLimits returns the latency objective of the caller of f, and the timeout
// after which a response is useless to it.
func (c *Core) latencyLimits(f *flow) (objective, timeout time.Duration) {
	r := c.routeOf(f)
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
// room, and either its load is below dispatchThreshold or its window is reduced.
func (t *Target) hasRoom() bool {
	return t.window.hasRoom(t.busy) && (t.load() < t.Slots*dispatchThreshold || t.window.isReduced(t.Slots))
}

// isOverloaded reports whether so many requests are queued for the target that one
// more of the given priority cannot be answered in time.
func (t *Target) isOverloaded(priority int) bool {
	return float64(t.queue.countUpTo(priority)) > overloadWindows*t.window.size
}

// dispatch sends queued requests as long as the target has room.
func (c *Core) dispatch(now time.Duration, t *Target) {
	for t.hasRoom() {
		q := t.queue.popNext(now)
		if q == nil {
			return
		}
		c.sendQueued(now, q)
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

// dispatchTimedOut sends the requests that have been queued for the maximum time.
func (c *Core) dispatchTimedOut(now time.Duration) {
	remaining := c.queuedRequests[:0]
	for _, q := range c.queuedRequests {
		switch {
		case q.f.queued != q:
		case now >= q.sendBy:
			c.sendQueued(now, q)
			q.f.target.queue.compact()
		default:
			remaining = append(remaining, q)
		}
	}
	c.queuedRequests = remaining
}
