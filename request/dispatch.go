package request

import (
	"cmp"
	"slices"
	"time"
)

// Share of a new measurement in the mean time of work, multiples of that time, and
// the rest of a target that refused.
const (
	workShare  = 128
	workMargin = 4
	resendWork = 3
	silentWork = 5
	minRest    = 10 * time.Millisecond
	maxRest    = 2 * time.Second
	// noWay is longer than any wait for a slot.
	noWay = time.Hour
	// firstLoad is how long a new keeper waits for the first reports of others.
	firstLoad = 200 * time.Millisecond
)

// admit queues a request that can be done in time and refuses another.
func (p *pool) admit(rec *record) {
	if rec.cancelled || !p.inTime(rec) {
		rec.state = stateWaiting
		p.refuse(rec)
		return
	}
	p.enqueue(rec)
	p.dispatch()
}

// inTime reports whether a request that came now would be done by its
// deadline. Where it has to wait, several times the mean time of work has to be
// left for it, or the slot would often be taken in vain.
func (p *pool) inTime(rec *record) bool {
	left := rec.deadline - p.core.now
	wait := p.wait()
	if wait == 0 {
		return p.work <= left
	}
	return wait+workMargin*p.work <= left
}

// wait returns the time until a request that came now would get a slot.
func (p *pool) wait() time.Duration {
	best := p.localWait(len(p.queue) + 1)
	for _, r := range p.remotes {
		best = min(best, p.remoteWait(r, 1))
	}
	if p.awaited() {
		best = min(best, p.core.cfg.InterDomainDelay)
	}
	return best
}

// awaited reports whether a keeper elsewhere may still tell of free slots for
// the first time since this one became the keeper.
func (p *pool) awaited() bool {
	if p.core.now-p.began > firstLoad {
		return false
	}
	return slices.ContainsFunc(p.remotes, func(r *remote) bool { return !r.known || r.at < p.began })
}

// refuseHopeless refuses what waited for the first reports in vain.
func (p *pool) refuseHopeless() {
	for _, rec := range slices.Clone(p.queue) {
		if len(rec.attempts) == 0 && rec.state == stateWaiting && p.wait() == noWay {
			p.refuse(rec)
		}
	}
}

// localWait returns the time until the n-th request of the queue gets a slot.
func (p *pool) localWait(n int) time.Duration {
	return waitFor(n, p.free(), p.slots(), p.work)
}

func waitFor(n, free, slots int, work time.Duration) time.Duration {
	if n <= free {
		return 0
	}
	if slots == 0 {
		return noWay
	}
	return time.Duration(n-free) * work / time.Duration(slots)
}

// comeBack returns when a refused request would have been done in time.
func (p *pool) comeBack(rec *record) time.Duration {
	if p.wait() >= noWay {
		return p.core.cfg.SuspendTime
	}
	left := max(0, rec.deadline-p.core.now)
	return min(max(p.wait()+workMargin*p.work-left, p.work), p.core.cfg.MaxDeadline)
}

// enqueue keeps the queue in the order of arrival.
func (p *pool) enqueue(rec *record) {
	rec.state = stateWaiting
	i, _ := slices.BinarySearchFunc(p.queue, rec, byOrder)
	p.queue = slices.Insert(p.queue, i, rec)
}

func (p *pool) unqueue(rec *record) {
	i, ok := slices.BinarySearchFunc(p.queue, rec, byOrder)
	if ok {
		p.queue = slices.Delete(p.queue, i, i+1)
	}
}

func byOrder(a, b *record) int {
	return cmp.Compare(a.order, b.order)
}

// dispatch asks for serve at the end of the event.
func (p *pool) dispatch() {
	p.dirty = true
}

// settle serves the pools that the event has changed.
func (c *Core) settle() {
	for again := true; again; {
		again = false
		for _, name := range c.names {
			p := c.pools[name]
			if p.dirty {
				p.dirty = false
				p.serve()
				again = true
			}
		}
	}
}

// serve gives free slots to the queue, then looks for slots elsewhere.
func (p *pool) serve() {
	for len(p.queue) > 0 {
		rec := p.queue[0]
		if rec.deadline-p.core.now < p.work {
			p.endWait(rec)
			continue
		}
		t := p.pick()
		if t == nil {
			break
		}
		p.unqueue(rec)
		p.forward(rec, t)
	}
	if !p.staffed() {
		p.returnPushed()
	}
	p.spread()
}

// endWait takes a request from the queue that cannot be done in time.
func (p *pool) endWait(rec *record) {
	if len(rec.attempts) == 0 {
		p.refuse(rec)
		return
	}
	p.unqueue(rec)
	rec.state = stateRunning
}

// forward sends an attempt of rec to t.
func (p *pool) forward(rec *record, t *target) {
	c := p.core
	a := &attempt{token: c.unique(), rec: rec, pool: p, target: t, sent: c.now}
	c.attempts[a.token] = a
	rec.attempts = append(rec.attempts, a)
	rec.state = stateRunning
	rec.ran = true
	t.running++
	c.order++
	t.used = c.order
	r := rec.request
	r.Remaining = rec.deadline - c.now
	c.emit(Forward{Token: a.token, Target: t.Target, Request: r})
	c.after(resendWork*p.work, func() { p.resendAttempt(a, resendWork*p.work) })
	if r.Repeatable {
		c.after(r.Remaining/2, func() { p.lateAttempt(a) })
	}
}

// resendAttempt repeats the datagram of an attempt that is not answered: it or
// the answer may have been lost. The target takes the two as one.
func (p *pool) resendAttempt(a *attempt, gap time.Duration) {
	c := p.core
	if c.attempts[a.token] != a {
		return
	}
	r := a.rec.request
	r.Remaining = a.rec.deadline - c.now
	c.emit(Forward{Token: a.token, Target: a.target.Target, Request: r})
	c.after(2*gap, func() { p.resendAttempt(a, 2*gap) })
}

// drop forgets an attempt and frees its slot, once the target's gap is over if
// another one takes what it leaves.
func (p *pool) drop(a *attempt) {
	delete(p.core.attempts, a.token)
	t := a.target
	if t.gap == 0 || !p.relieved() {
		t.running--
		return
	}
	p.core.after(t.gap, func() {
		t.running--
		p.dispatch()
	})
}

func (p *pool) removeAttempt(a *attempt) {
	p.drop(a)
	a.rec.attempts = slices.DeleteFunc(a.rec.attempts, func(o *attempt) bool { return o == a })
}

// answered takes a target's answer, which counts for its own attempt alone.
func (c *Core) answered(e Answered) {
	a := c.attempts[e.Token]
	if a == nil || a.target.Name != e.Target {
		return
	}
	p := a.pool
	p.removeAttempt(a)
	a.target.failures = 0
	a.target.heard = c.now
	if e.Result == ResultRefused {
		p.refusedBy(a, e.RetryAfter)
		return
	}
	a.target.until = 0
	p.learn(c.now - a.sent)
	reply := p.newReply(a.rec, OutcomeAnswer)
	reply.Code, reply.Payload = e.Code, e.Payload
	p.finish(a.rec, reply)
}

// learn takes the time of work of an answered attempt.
func (p *pool) learn(work time.Duration) {
	p.work += (work - p.work) / workShare
	p.budget = min(p.budget+p.core.cfg.RetryRatio, p.core.cfg.RetryBurst)
}

// refusedBy tries a request elsewhere that a target did not run.
func (p *pool) refusedBy(a *attempt, rest time.Duration) {
	a.target.rest(p.core.now, min(max(rest, minRest), maxRest))
	p.core.after(a.target.until-p.core.now, p.dispatch)
	rec := a.rec
	p.dispatch()
	if len(rec.attempts) > 0 || rec.state != stateRunning {
		return
	}
	rec.ran = false
	rec.state = stateWaiting
	if !p.retry(rec) {
		p.refuse(rec)
	}
}

// retry queues rec again when the budget and the deadline allow it.
func (p *pool) retry(rec *record) bool {
	c := p.core
	if rec.cancelled || p.budget < 1 || rec.deadline-c.now < p.work {
		return false
	}
	p.budget--
	p.enqueue(rec)
	p.dispatch()
	return true
}

// lateAttempt tries a repeatable request elsewhere as well.
func (p *pool) lateAttempt(a *attempt) {
	c := p.core
	if c.attempts[a.token] != a {
		return
	}
	p.suspendSilent(a)
	if a.rec.state == stateRunning {
		p.retry(a.rec)
	}
}

func (p *pool) suspend(t *target) {
	c := p.core
	t.suspend(c.now, c.cfg.SuspendTime)
	c.after(t.until-c.now, p.dispatch)
}

// learnOpen takes an attempt that its deadline ended. Without it only the short
// ones would count. The rest of its work is taken to be the mean.
func (p *pool) learnOpen(work time.Duration) {
	p.work += work / workShare
}

// suspendSilent suspends a target that has answered nothing for long after it
// got an attempt. One that answers others is only slow with this one.
func (p *pool) suspendSilent(a *attempt) {
	if a.target.heard < a.sent && p.core.now-a.sent > silentWork*p.work {
		p.suspend(a.target)
	}
}

// targetLost tries the repeatable requests of a dead target elsewhere.
func (c *Core) targetLost(e TargetLost) {
	p := c.pools[e.Service]
	if p == nil {
		return
	}
	var late []*attempt
	for _, a := range c.attempts {
		if a.pool == p && a.target.Name == e.Target && a.rec.request.Repeatable {
			late = append(late, a)
		}
	}
	slices.SortFunc(late, func(a, b *attempt) int { return byOrder(a.rec, b.rec) })
	for _, t := range p.targets {
		if t.Name == e.Target {
			p.suspend(t)
		}
	}
	for _, a := range late {
		if a.rec.state == stateRunning {
			p.retry(a.rec)
		}
	}
}
