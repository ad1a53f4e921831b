package request

import (
	"net/netip"
	"slices"
	"time"

	"wisteriaweir/service"
)

// pool is a keeper's state of one service.
type pool struct {
	core    *Core
	service service.Service
	// targets are those of the own failure domain, by name.
	targets []*target
	remotes []*remote
	// received is the number of the newest push of each keeper elsewhere.
	received map[Peer]uint32

	records map[Key]*record
	// history holds finished records, oldest first.
	history []*record
	stored  int
	queue   []*record
	open    int
	// dirty asks for a round of serve.
	dirty bool
	// keeping says that the balancer is the keeper by its own view.
	keeping bool
	// began is when it began to be the keeper.
	began time.Duration
	// introduced is when a keeper that was not expected was last told the load.
	introduced time.Duration
	callers    map[netip.AddrPort]int
	// seen tells for each push that came whether it was refused.
	seen    map[uint64]bool
	seenAge []seenPush

	work   time.Duration
	budget float64
}

// pool returns the state of a service, which has to be configured.
func (c *Core) pool(name string) *pool {
	if p := c.pools[name]; p != nil {
		return p
	}
	s, ok := c.config.Service(name)
	if !ok {
		return nil
	}
	p := &pool{
		core:     c,
		service:  s,
		received: make(map[Peer]uint32),
		records:  make(map[Key]*record),
		callers:  make(map[netip.AddrPort]int),
		seen:     make(map[uint64]bool),
		work:     c.cfg.InitialWorkTime,
		budget:   c.cfg.RetryBurst,
	}
	c.pools[name] = p
	c.names = append(c.names, name)
	slices.Sort(c.names)
	p.configChanged()
	p.viewChanged()
	return p
}

// take makes this balancer answer for r, which came from a peer or, with the
// zero Peer, from its caller.
func (c *Core) take(r Request, from Peer) {
	p := c.pool(r.Service)
	if p == nil {
		return
	}
	if rec := p.records[r.Key]; rec != nil {
		p.again(rec, r, from)
		return
	}
	rec := p.newRecord(r)
	rec.direct = true
	rec.tell(from)
	if !p.fits(r) {
		p.turnAway(rec)
		return
	}
	p.add(rec)
	if r.Repeatable {
		p.admit(rec)
		return
	}
	p.startClaim(rec)
}

func (p *pool) newRecord(r Request) *record {
	c := p.core
	c.order++
	r.Remaining = min(r.Remaining, c.cfg.MaxDeadline)
	return &record{request: r, order: c.order, deadline: c.now + r.Remaining}
}

// fits reports whether the bounds leave room for r.
func (p *pool) fits(r Request) bool {
	l := p.core.cfg.Limits
	p.forget()
	return p.open < l.MaxQueued+2*p.slots() &&
		p.callers[r.Key.Caller] < l.MaxPerCaller &&
		len(p.records) < l.MaxRecords
}

// turnAway answers a request that no room is left for, and remembers nothing.
func (p *pool) turnAway(rec *record) {
	reply := p.unknown(rec, CauseBounds)
	if rec.request.Repeatable {
		reply = p.newReply(rec, OutcomeBusy)
		reply.RetryAfter = p.comeBack(rec)
	}
	p.core.emit(reply)
	p.tellDone(rec)
}

// add starts to keep a record and sees to its end at the deadline.
func (p *pool) add(rec *record) {
	p.records[rec.request.Key] = rec
	p.open++
	p.callers[rec.request.Key.Caller]++
	p.endInTime(rec)
}

// again takes a copy of a request that is known.
func (p *pool) again(rec *record, r Request, from Peer) {
	c := p.core
	if rec.state != stateFinished {
		rec.direct = true
		rec.tell(from)
		p.hasten(rec, c.now+r.Remaining)
		if rec.state == stateForeign {
			p.askOwner(rec, 2*c.cfg.ResendInterval)
		}
		return
	}
	switch {
	case rec.reply != nil:
		c.emit(*rec.reply)
	case c.alive(rec.owner):
		c.send(rec.owner, Repeat{Request: rec.request})
	default:
		c.emit(p.unknown(rec, CauseOwner))
	}
	if from != (Peer{}) {
		c.send(from, Done{Key: rec.request.Key})
	}
}

// hasten ends a request by the deadline of an earlier copy.
func (p *pool) hasten(rec *record, deadline time.Duration) {
	if deadline < rec.deadline {
		rec.deadline = deadline
		p.endInTime(rec)
	}
}

func (p *pool) endInTime(rec *record) {
	c := p.core
	c.after(rec.deadline-c.now-c.cfg.AnswerMargin, func() { p.expire(rec) })
}

// expire gives an undecided request its final answer.
func (p *pool) expire(rec *record) {
	switch rec.state {
	case stateFinished:
	case stateWaiting:
		p.refuse(rec)
	case stateClaiming, stateForeign, stateRunning, statePushed:
		for _, a := range rec.attempts {
			p.suspendSilent(a)
			if p.core.now != p.core.paused {
				p.learnOpen(p.core.now - a.sent)
			}
		}
		p.finish(rec, p.unknown(rec, rec.state.cause()))
	}
}

// refuse ends a request that waits and has run nowhere by this keeper's doing.
func (p *pool) refuse(rec *record) {
	if len(rec.origins) > 0 && p.returnOne(rec) {
		return
	}
	if !rec.direct {
		p.forgetPush(rec)
		return
	}
	final := OutcomeNotRun
	switch {
	case rec.request.Repeatable:
		final = OutcomeBusy
	case rec.ran || rec.claim == nil || !rec.claim.granted:
		final = OutcomeUnknown
	}
	reply := p.newReply(rec, final)
	if final == OutcomeUnknown {
		reply.Cause = CauseRefused
	}
	reply.RetryAfter = p.comeBack(rec)
	p.finish(rec, reply)
}

func (p *pool) newReply(rec *record, f Outcome) Reply {
	return Reply{Key: rec.request.Key, Service: rec.request.Service, Outcome: f}
}

func (p *pool) unknown(rec *record, why Cause) Reply {
	reply := p.newReply(rec, OutcomeUnknown)
	reply.Cause = why
	return reply
}

// finish gives the final answer and keeps it for copies of the request.
func (p *pool) finish(rec *record, reply Reply) {
	rec.reply = &reply
	p.core.emit(reply)
	p.end(rec)
}

// finishElsewhere ends a request that the peer has answered.
func (p *pool) finishElsewhere(rec *record, by Peer) {
	rec.owner = by
	p.end(rec)
}

func (p *pool) end(rec *record) {
	c := p.core
	p.release(rec)
	rec.state = stateFinished
	rec.finished = c.now
	p.history = append(p.history, rec)
	p.stored += rec.size()
	for _, o := range rec.origins {
		c.send(o.from, PushReply{Token: o.token})
	}
	p.tellDone(rec)
	p.dispatch()
}

// release takes an unfinished record out of all that is in progress.
func (p *pool) release(rec *record) {
	c := p.core
	p.unqueue(rec)
	for _, a := range rec.attempts {
		p.drop(a)
		c.emit(Abort{Token: a.token, Target: a.target.Target})
	}
	rec.attempts = nil
	if rec.push != nil {
		delete(c.pushes, rec.push.token)
		rec.push = nil
	}
	if rec.claim != nil {
		delete(c.claims, rec.claim.nonce)
	}
	p.open--
	caller := rec.request.Key.Caller
	p.callers[caller]--
	if p.callers[caller] == 0 {
		delete(p.callers, caller)
	}
}

func (p *pool) tellDone(rec *record) {
	for _, t := range rec.tellers {
		p.core.send(t, Done{Key: rec.request.Key})
	}
	rec.tellers = nil
}

// forget drops finished records that are old or too many.
func (p *pool) forget() {
	c := p.core
	for len(p.history) > 0 {
		rec := p.history[0]
		old := c.now-rec.finished > c.cfg.RepeatWindow
		if !old && len(p.records) < c.cfg.MaxRecords && p.stored <= maxStored {
			break
		}
		p.history[0] = nil
		p.history = p.history[1:]
		p.stored -= rec.size()
		if p.records[rec.request.Key] == rec {
			delete(p.records, rec.request.Key)
		}
	}
	for len(p.seenAge) > 0 && c.now-p.seenAge[0].at > c.cfg.RepeatWindow {
		delete(p.seen, p.seenAge[0].token)
		p.seenAge = p.seenAge[1:]
	}
}

// maxStored bounds the bytes of finished requests kept per service.
const maxStored = 16 << 20

// cancel stops work on a request that its caller gave up.
func (p *pool) cancel(rec *record) {
	c := p.core
	rec.cancelled = true
	switch rec.state {
	case stateWaiting:
		p.refuse(rec)
	case stateRunning:
		for _, a := range rec.attempts {
			c.emit(Abort{Token: a.token, Target: a.target.Target})
		}
	case statePushed:
		c.send(rec.push.to, Cancel{Key: rec.request.Key, Service: rec.request.Service})
	case stateClaiming, stateForeign, stateFinished:
	}
}

func (p *pool) housekeep() {
	p.forget()
	p.dispatch()
}

// afterPause ends what was claimed but not forwarded.
func (p *pool) afterPause() {
	for _, rec := range slices.Clone(p.queue) {
		if !rec.request.Repeatable && rec.state == stateWaiting {
			p.refuse(rec)
		}
	}
	p.dropClaiming()
}
