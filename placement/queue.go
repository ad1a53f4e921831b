package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// overdueShare is the number of overdue requests that may be sent to a busy target
	// per request sent to it, so that they do not starve below an overload. While new flows
	// are rejected, none are sent: each would displace one that can be answered in time.
	overdueShare = 0.05
	// spareFraction is the fraction of the slow threshold up to which the typical latency
	// of a target shows that it has capacity to spare.
	spareFraction = 0.7
	// maxPriority is the number of the least urgent priority.
	maxPriority = math.MaxInt32
	// maxQueuedPackets is the maximum number of packets that are stored for one queued
	// request. Further packets are discarded.
	maxQueuedPackets = 4
	// maxWaitFraction is the fraction of the latency objective for which a request can
	// be queued and still be answered in time.
	maxWaitFraction = 0.25
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
	// is sent first. While the target is busy they get only overdueShare of its capacity.
	overdue
)

// queuedRequest is a request that waits for its target.
type queuedRequest struct {
	f        *flow
	queuedAt time.Duration
	// expiresAt is when the caller has given up, so that the request is discarded.
	expiresAt time.Duration
	// startSeq is the sequence number of the first byte of the request.
	startSeq uint32
	// objective is the latency objective of the caller.
	objective time.Duration
	// objectiveDeadline is when the request can no longer be answered in time.
	objectiveDeadline time.Duration
	// priority is that of the route; 0 is served first.
	priority int
	// datagrams are the packets of the request, in the order of arrival.
	datagrams [][]byte
}

// requestQueue is the priority queue of the requests that wait for one target. It is meant
// for a load above what the target can serve: capacity goes to the requests that can
// still be answered in time, and overdue ones get a bounded share of it. It may contain
// requests that have left the queue; see compact.
type requestQueue struct {
	onTime     []*queuedRequest
	unknownAge []*queuedRequest
	overdue    []*queuedRequest
	// overdueCredit is the number of overdue requests that may be sent although the
	// target is busy, at most 1.
	overdueCredit float64
}

// size returns the number of entries, including requests that have left the queue.
func (r *requestQueue) size() int {
	return r.currentSize() + len(r.overdue)
}

// currentSize returns the number of entries that are not overdue.
func (r *requestQueue) currentSize() int {
	return len(r.onTime) + len(r.unknownAge)
}

// countUpTo returns the number of entries that are not overdue and whose priority is
// at most the given number, that is, equal or better.
func (r *requestQueue) countUpTo(priority int) int {
	n := 0
	for _, list := range [][]*queuedRequest{r.onTime, r.unknownAge} {
		for _, q := range list {
			if q.priority <= priority {
				n++
			}
		}
	}
	return n
}

// bestPriority returns the best priority of the entries, or maxPriority if there are none.
func (r *requestQueue) bestPriority() int {
	return bestPriorityOf(r.onTime, r.unknownAge, r.overdue)
}

// bestOnTimePriority returns the best priority of the entries of class onTime, or
// maxPriority if there are none.
func (r *requestQueue) bestOnTimePriority() int {
	return bestPriorityOf(r.onTime)
}

// bestPriorityOf returns the best priority of the entries of lists that are still queued, or
// maxPriority if there are none.
func bestPriorityOf(lists ...[]*queuedRequest) int {
	best := maxPriority
	for _, list := range lists {
		for _, q := range list {
			if q.f.queued == q {
				best = min(best, q.priority)
			}
		}
	}
	return best
}

// refresh removes requests that are no longer queued, and moves those that can no longer be
// answered in time to the class overdue.
func (r *requestQueue) refresh(now time.Duration) {
	r.compact()
	r.demote(now)
}

// earnCredit adds to overdueCredit for one request sent to the target.
func (r *requestQueue) earnCredit() {
	r.overdueCredit = min(r.overdueCredit+overdueShare, 1)
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

// popOnTime removes the best request of class onTime and returns it. There must be one.
func (r *requestQueue) popOnTime(now time.Duration) *queuedRequest {
	return popBest(&r.onTime, r.onTime[0].isPastHalfWait(now))
}

// popNext removes the request that is sent next and returns it, nil if there is none.
// latency is the typical latency of the target, 0 if it is idle; hasFreeSlot reports
// whether one of its slots is free, isOverloaded whether flows of its service have been
// rejected recently. refresh must have been called with the same now.
func (r *requestQueue) popNext(now, latency time.Duration, hasFreeSlot, isOverloaded bool) *queuedRequest {
	switch {
	case len(r.overdue) > 0 && r.overdueCredit >= 1 && !isOverloaded:
		r.overdueCredit = 0
		return popBest(&r.overdue, false)
	case len(r.onTime) > 0:
		return r.popOnTime(now)
	case len(r.unknownAge) > 0:
		return popBest(&r.unknownAge, true)
	case len(r.overdue) > 0 && hasFreeSlot && hasSpareCapacity(latency, r.overdue[0].objective):
		return popBest(&r.overdue, false)
	default:
		return nil
	}
}

// hasSpareCapacity reports whether a target with the given typical latency can serve
// overdue requests without delaying others, whose callers have the given objective.
func hasSpareCapacity(latency, objective time.Duration) bool {
	return latency <= time.Duration(spareFraction*float64(slowThreshold(objective)))
}

// demote moves requests that can no longer be answered in time to the class overdue.
func (r *requestQueue) demote(now time.Duration) {
	isLate := func(q *queuedRequest) bool {
		if now < q.objectiveDeadline {
			return false
		}
		r.overdue = append(r.overdue, q)
		return true
	}
	r.onTime = slices.DeleteFunc(r.onTime, isLate)
	r.unknownAge = slices.DeleteFunc(r.unknownAge, isLate)
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
