package request

import (
	"cmp"
	"slices"
	"time"
)

const (
	// serviceTimeDivisor is the inverse of the weight of a new measurement in the
	// moving average of the service time.
	serviceTimeDivisor = 128
	// queueMarginFactor is the number of mean service times that must remain until
	// the deadline, after the expected wait, for a request to be queued.
	queueMarginFactor = 4
	// resendFactor is the number of mean service times after which a Forward
	// without a response is sent again.
	resendFactor = 3
	// unresponsiveFactor is the number of mean service times without any response
	// after which a target is suspended.
	unresponsiveFactor = 5
	// minTargetRetryAfter is the lower limit applied to a target's RetryAfter.
	minTargetRetryAfter = 10 * time.Millisecond
	// maxTargetRetryAfter is the upper limit applied to a target's RetryAfter.
	maxTargetRetryAfter = 2 * time.Second
	// unavailableWait is used as the wait if there is no slot. It is longer than
	// any wait for a slot.
	unavailableWait = time.Hour
	// firstLoadTimeout is how long a new coordinator waits for the first load
	// reports of the other coordinators.
	firstLoadTimeout = 200 * time.Millisecond
)

// admit queues a request if it is expected to finish before its deadline, and
// otherwise refuses it. It also refuses a cancelled request.
func (p *pool) admit(rec *record) {
	if rec.cancelled || !p.canFinishInTime(rec) {
		rec.state = stateQueued
		p.refuse(rec)
		return
	}
	p.enqueue(rec)
	p.scheduleServe()
}

// canFinishInTime reports whether a request that is queued now is expected to
// finish before its deadline. If it has to wait for a slot, several mean service
// times have to remain after the wait, because otherwise many requests would use
// a slot and still miss their deadline.
func (p *pool) canFinishInTime(rec *record) bool {
	remaining := rec.deadline - p.core.now
	wait := p.expectedWait()
	if wait == 0 {
		return p.serviceTime <= remaining
	}
	return wait+queueMarginFactor*p.serviceTime <= remaining
}

// expectedWait returns the time until a request that is queued now would get a
// slot, in this domain or another one. While the first load reports are
// outstanding it assumes that another domain has a free slot.
func (p *pool) expectedWait() time.Duration {
	shortest := p.localWait(len(p.queue) + 1)
	for _, r := range p.remotes {
		shortest = min(shortest, p.remoteWait(r, 1))
	}
	if p.awaitingLoad() {
		shortest = min(shortest, p.core.cfg.InterDomainDelay)
	}
	return shortest
}

// awaitingLoad reports whether this balancer became the coordinator at most
// firstLoadTimeout ago and at least one other coordinator has not sent a load
// report since then.
func (p *pool) awaitingLoad() bool {
	if p.core.now-p.coordinatorSince > firstLoadTimeout {
		return false
	}
	return slices.ContainsFunc(p.remotes, func(r *remote) bool { return !r.loadValid || r.loadReceivedAt < p.coordinatorSince })
}

// refuseUnservable refuses the queued requests without open attempts if this
// domain has no slot and the load reports received so far contain none. It is called
// when the time to wait for the first load reports is over.
func (p *pool) refuseUnservable() {
	for _, rec := range slices.Clone(p.queue) {
		if len(rec.attempts) == 0 && rec.state == stateQueued && p.expectedWait() == unavailableWait {
			p.refuse(rec)
		}
	}
}

// localWait returns the time until the n-th request of the queue gets a slot at a
// local target.
func (p *pool) localWait(n int) time.Duration {
	return queueWait(n, p.freeSlots(), p.slotLimit(), p.serviceTime)
}

// queueWait returns the time until the n-th request of a queue gets one of the
// slots, of which free are free, if each request takes serviceTime.
func queueWait(n, free, slots int, serviceTime time.Duration) time.Duration {
	if n <= free {
		return 0
	}
	if slots == 0 {
		return unavailableWait
	}
	return time.Duration(n-free) * serviceTime / time.Duration(slots)
}

// retryAfter returns the time after which a request like rec would be expected
// to finish before its deadline, at least the mean service time and at most
// MaxDeadline. It returns SuspendDuration if there is no slot.
func (p *pool) retryAfter(rec *record) time.Duration {
	if p.expectedWait() >= unavailableWait {
		return p.core.cfg.SuspendDuration
	}
	remaining := max(0, rec.deadline-p.core.now)
	return min(max(p.expectedWait()+queueMarginFactor*p.serviceTime-remaining, p.serviceTime), p.core.cfg.MaxDeadline)
}

// enqueue adds rec to the queue, which is sorted by arrival.
func (p *pool) enqueue(rec *record) {
	rec.state = stateQueued
	i, _ := slices.BinarySearchFunc(p.queue, rec, bySeq)
	p.queue = slices.Insert(p.queue, i, rec)
}

// dequeue removes rec from the queue, if it is there.
func (p *pool) dequeue(rec *record) {
	i, ok := slices.BinarySearchFunc(p.queue, rec, bySeq)
	if ok {
		p.queue = slices.Delete(p.queue, i, i+1)
	}
}

// bySeq compares records by arrival.
func bySeq(a, b *record) int {
	return cmp.Compare(a.seq, b.seq)
}

// scheduleServe schedules serveQueue for the end of the current event.
func (p *pool) scheduleServe() {
	p.needsServe = true
}

// serveChangedPools calls serveQueue for the pools that the event has changed,
// until no pool needs it.
func (c *Core) serveChangedPools() {
	for changed := true; changed; {
		changed = false
		for _, name := range c.serviceNames {
			p := c.pools[name]
			if p.needsServe {
				p.needsServe = false
				p.serveQueue()
				changed = true
			}
		}
	}
}

// serveQueue sends queued requests to targets with free slots. If no local target
// accepts attempts, it returns the requests that were pushed to here. Then it pushes
// requests to other failure domains in which they get a slot earlier.
func (p *pool) serveQueue() {
	for len(p.queue) > 0 {
		rec := p.queue[0]
		if rec.deadline-p.core.now < p.serviceTime {
			p.endWait(rec)
			continue
		}
		t := p.pickTarget()
		if t == nil {
			break
		}
		p.dequeue(rec)
		p.forward(rec, t)
	}
	if !p.hasActiveTarget() {
		p.returnPushedRequests()
	}
	p.pushToOtherDomains()
}

// endWait removes rec, which is not expected to finish before its deadline, from
// the queue. It refuses the request unless earlier attempts are still open.
func (p *pool) endWait(rec *record) {
	if len(rec.attempts) == 0 {
		p.refuse(rec)
		return
	}
	p.dequeue(rec)
	rec.state = stateRunning
}

// forward sends an attempt of rec to t. It schedules the resends and, for a
// repeatable request, hedgeAttempt at half of the remaining time.
func (p *pool) forward(rec *record, t *target) {
	c := p.core
	a := &attempt{token: c.uniqueNumber(), record: rec, pool: p, target: t, sentAt: c.now}
	c.attempts[a.token] = a
	rec.attempts = append(rec.attempts, a)
	rec.state = stateRunning
	rec.mayHaveRun = true
	t.slotsInUse++
	c.lastSeq++
	t.lastUsedSeq = c.lastSeq
	r := rec.request
	r.Remaining = rec.deadline - c.now
	c.emit(Forward{Token: a.token, Target: t.Target, Request: r})
	c.after(resendFactor*p.serviceTime, func() { p.resendAttempt(a, resendFactor*p.serviceTime) })
	if r.Repeatable {
		c.after(r.Remaining/2, func() { p.hedgeAttempt(a) })
	}
}

// resendAttempt sends the Forward of an unanswered attempt again, because the
// datagram or its response may have been lost. The interval doubles each time.
// The target runs the request once, because the token is the same.
func (p *pool) resendAttempt(a *attempt, interval time.Duration) {
	c := p.core
	if c.attempts[a.token] != a {
		return
	}
	r := a.record.request
	r.Remaining = a.record.deadline - c.now
	c.emit(Forward{Token: a.token, Target: a.target.Target, Request: r})
	c.after(2*interval, func() { p.resendAttempt(a, 2*interval) })
}

// releaseAttempt removes an attempt and frees its slot. If the target has a slot
// idle time and there is other capacity for the requests, the slot becomes free
// only after that time.
func (p *pool) releaseAttempt(a *attempt) {
	delete(p.core.attempts, a.token)
	t := a.target
	if t.slotIdleTime == 0 || !p.hasOtherCapacity() {
		t.slotsInUse--
		return
	}
	p.core.after(t.slotIdleTime, func() {
		t.slotsInUse--
		p.scheduleServe()
	})
}

// removeAttempt releases an attempt and removes it from its record.
func (p *pool) removeAttempt(a *attempt) {
	p.releaseAttempt(a)
	a.record.attempts = slices.DeleteFunc(a.record.attempts, func(o *attempt) bool { return o == a })
}

// handleAnswered handles a target's response. It ignores a response of another
// target than the one that the attempt was sent to.
func (c *Core) handleAnswered(e Answered) {
	a := c.attempts[e.Token]
	if a == nil || a.target.Name != e.Target {
		return
	}
	p := a.pool
	p.removeAttempt(a)
	a.target.suspensions = 0
	a.target.answeredAt = c.now
	if e.Result == ResultRefused {
		p.handleRefusal(a, e.RetryAfter)
		return
	}
	a.target.availableAt = 0
	p.recordServiceTime(c.now - a.sentAt)
	reply := p.newReply(a.record, OutcomeResponse)
	reply.Code, reply.Payload = e.Code, e.Payload
	p.finish(a.record, reply)
}

// recordServiceTime adds the service time of an answered attempt to the moving
// average, and RetryRatio to the retry budget.
func (p *pool) recordServiceTime(measured time.Duration) {
	p.serviceTime += (measured - p.serviceTime) / serviceTimeDivisor
	p.retryBudget = min(p.retryBudget+p.core.cfg.RetryRatio, p.core.cfg.RetryBurst)
}

// handleRefusal excludes the target from new attempts for retryAfter, limited to
// minTargetRetryAfter and maxTargetRetryAfter. It queues the request again, unless
// it has other attempts, and refuses it if retry does not allow that.
func (p *pool) handleRefusal(a *attempt, retryAfter time.Duration) {
	a.target.setRetryAfter(p.core.now, min(max(retryAfter, minTargetRetryAfter), maxTargetRetryAfter))
	p.core.after(a.target.availableAt-p.core.now, p.scheduleServe)
	rec := a.record
	p.scheduleServe()
	if len(rec.attempts) > 0 || rec.state != stateRunning {
		return
	}
	rec.mayHaveRun = false
	rec.state = stateQueued
	if !p.retry(rec) {
		p.refuse(rec)
	}
}

// retry queues rec again if the retry budget and the deadline allow it, and
// reports whether it did.
func (p *pool) retry(rec *record) bool {
	c := p.core
	if rec.cancelled || p.retryBudget < 1 || rec.deadline-c.now < p.serviceTime {
		return false
	}
	p.retryBudget--
	p.enqueue(rec)
	p.scheduleServe()
	return true
}

// hedgeAttempt queues a repeatable request for another attempt if a is still
// unanswered after half of the time that remained when it was sent.
func (p *pool) hedgeAttempt(a *attempt) {
	c := p.core
	if c.attempts[a.token] != a {
		return
	}
	p.suspendUnresponsive(a)
	if a.record.state == stateRunning {
		p.retry(a.record)
	}
}

// suspendTarget suspends t and serves the queue when the suspension ends.
func (p *pool) suspendTarget(t *target) {
	c := p.core
	t.suspend(c.now, c.cfg.SuspendDuration)
	c.after(t.availableAt-c.now, p.scheduleServe)
}

// recordOpenServiceTime adds an attempt that was unanswered at its deadline to
// the moving average, as if its service time were elapsed plus the average.
// Without these attempts the average would include only short service times.
func (p *pool) recordOpenServiceTime(elapsed time.Duration) {
	p.serviceTime += elapsed / serviceTimeDivisor
}

// suspendUnresponsive suspends the target of a if it has answered no attempt
// since a was sent, more than unresponsiveFactor mean service times ago. A target
// that has answered other attempts since then is only slow with this request.
func (p *pool) suspendUnresponsive(a *attempt) {
	if a.target.answeredAt < a.sentAt && p.core.now-a.sentAt > unresponsiveFactor*p.serviceTime {
		p.suspendTarget(a.target)
	}
}

// handleTargetLost suspends a dead target and queues its repeatable requests
// again.
func (c *Core) handleTargetLost(e TargetLost) {
	p := c.pools[e.Service]
	if p == nil {
		return
	}
	var affected []*attempt
	for _, a := range c.attempts {
		if a.pool == p && a.target.Name == e.Target && a.record.request.Repeatable {
			affected = append(affected, a)
		}
	}
	slices.SortFunc(affected, func(a, b *attempt) int { return bySeq(a.record, b.record) })
	for _, t := range p.targets {
		if t.Name == e.Target {
			p.suspendTarget(t)
		}
	}
	for _, a := range affected {
		if a.record.state == stateRunning {
			p.retry(a.record)
		}
	}
}
