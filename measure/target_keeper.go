package measure

import (
	"time"

	"wisteriaweir/target"
)

const (
	// attemptTimeout is the time after which an attempt without a reply fails.
	attemptTimeout = 500 * time.Millisecond
	// attemptDeadline is the time after the arrival of a request from which no attempt
	// is started.
	attemptDeadline = 2 * time.Second
	// localWait is the time for which a request waits for a target of its own domain
	// before other domains are tried.
	localWait = 30 * time.Millisecond
	// maxQueuedRequests is the maximum number of queued requests of a coordinator.
	maxQueuedRequests = 1024
)

// targetRequest is one request of a caller.
type targetRequest struct {
	// arrivedAt is the time of arrival, failedTarget the target of the last failed
	// attempt, if any.
	arrivedAt    time.Duration
	failedTarget string
}

// targetCoordinator simulates the coordinator of the requests of one failure domain,
// as in package request. It has a FIFO queue. It prefers targets of its own domain,
// among these the least loaded target with a free slot, and among equally loaded ones
// the one that was used least recently.
type targetCoordinator struct {
	run    *targetRun
	domain string
	view   *targetView
	// busySlots holds the number of occupied slots of each target.
	busySlots map[string]int
	// lastUsed holds the value of useCount at the last attempt at each target.
	lastUsed map[string]int
	useCount int
	queue    []*targetRequest
	// dispatchScheduled reports whether scheduleDispatch has set a timer that has not
	// expired yet.
	dispatchScheduled bool
}

func (k *targetCoordinator) now() time.Duration { return k.run.tl.Now() }

// enqueue queues a request, or counts it as lost if the queue is full.
func (k *targetCoordinator) enqueue(r *targetRequest) {
	if len(k.queue) >= maxQueuedRequests {
		k.run.lostRequests++
		return
	}
	k.queue = append(k.queue, r)
	k.dispatch()
}

// dispatch sends queued requests while a slot is free. It counts a request as lost at
// attemptDeadline.
func (k *targetCoordinator) dispatch() {
	for len(k.queue) > 0 {
		r := k.queue[0]
		if k.now()-r.arrivedAt >= attemptDeadline {
			k.run.lostRequests++
			k.queue = k.queue[1:]
			continue
		}
		s, ok := k.pick(r)
		if !ok {
			k.scheduleDispatch()
			return
		}
		k.queue = k.queue[1:]
		k.send(r, s)
	}
}

// scheduleDispatch calls dispatch again after a third of localWait, since the first
// request may use another domain by then.
func (k *targetCoordinator) scheduleDispatch() {
	if k.dispatchScheduled {
		return
	}
	k.dispatchScheduled = true
	k.run.tl.After(localWait/3, func() {
		k.dispatchScheduled = false
		k.dispatch()
	})
}

// pick returns the share of the least loaded target with a free slot, in the own
// domain first. Other domains are tried after localWait, or at once if the own domain
// has no capacity. The target that failed the request last is left out.
func (k *targetCoordinator) pick(r *targetRequest) (target.Share, bool) {
	shares := k.view.shares()
	if s, ok := k.pickIn(shares, r, true); ok {
		return s, true
	}
	if k.now()-r.arrivedAt < localWait && shares.Capacity(true) > 0 {
		return target.Share{}, false
	}
	return k.pickIn(shares, r, false)
}

// pickIn returns the share of the least loaded target with a free slot within the own
// domain or, if local is false, in other domains.
func (k *targetCoordinator) pickIn(shares target.Shares, r *targetRequest, local bool) (target.Share, bool) {
	var best target.Share
	found, lowestLoad := false, 0.0
	for i := range shares.Len() {
		s := shares.At(i)
		busy := k.busySlots[s.Target.Name]
		if s.Local != local || !s.IsEligible() || busy >= s.Slots() || s.Target.Name == r.failedTarget {
			continue
		}
		load := float64(busy) / float64(s.Target.Slots*int(s.Level))
		if !found || load < lowestLoad || load == lowestLoad && k.lastUsed[s.Target.Name] < k.lastUsed[best.Target.Name] {
			best, found, lowestLoad = s, true, load
		}
	}
	return best, found
}

// send starts an attempt of a request at a target. The reply or attemptTimeout,
// whichever comes first, ends the attempt.
func (k *targetCoordinator) send(r *targetRequest, s target.Share) {
	name, sentAt := s.Target.Name, k.now()
	k.busySlots[name]++
	k.useCount++
	k.lastUsed[name] = k.useCount
	pending := true
	end := func(e target.Event) {
		if pending {
			pending = false
			k.handleResult(r, s, sentAt, e)
		}
	}
	server := k.run.server(name)
	k.run.deliver(k.domain, server.domain, func() {
		server.receive(func(e target.Event) {
			k.run.deliver(server.domain, k.domain, func() { end(e) })
		})
	})
	k.run.tl.After(attemptTimeout, func() { end(target.Failed{Target: name}) })
}

// handleResult processes the end of an attempt and frees its slot after the slot idle
// time of the share.
func (k *targetCoordinator) handleResult(r *targetRequest, s target.Share, sentAt time.Duration, e target.Event) {
	name := s.Target.Name
	switch answer := e.(type) {
	case target.Answered:
		answer.Latency = k.now() - sentAt
		k.view.handle(k.now(), answer)
		k.run.latencies = append(k.run.latencies, k.now()-r.arrivedAt)
	case target.Failed:
		k.run.failedAttempts++
		k.view.handle(k.now(), answer)
		k.requeue(r, name)
	case target.Shed:
		k.view.handle(k.now(), answer)
		k.requeue(r, name)
	}
	k.run.tl.After(s.SlotIdleTime, func() {
		k.busySlots[name]--
		k.dispatch()
	})
}

// requeue puts a request back at the head of the queue.
func (k *targetCoordinator) requeue(r *targetRequest, failedTarget string) {
	r.failedTarget = failedTarget
	k.queue = append([]*targetRequest{r}, k.queue...)
}
