package request

import (
	"net/netip"
	"slices"
	"time"

	"wisteriaweir/service"
)

// pool is a balancer's state of one service whose requests it queues.
type pool struct {
	core    *Core
	service service.Service
	// targets are those of the local failure domain, in the order of the
	// configuration.
	targets []*target
	// remotes are the other failure domains, sorted by name.
	remotes []*remote
	// receivedPushNumbers is the number of the newest push received from each
	// coordinator.
	receivedPushNumbers map[Peer]uint32

	// records are the unfinished requests and those of history.
	records map[Key]*record
	// history has the finished records, oldest first.
	history []*record
	// historyBytes is the total size of the payloads of history in bytes.
	historyBytes int
	// queue has the requests that wait for a slot, sorted by arrival.
	queue []*record
	// openRecords is the number of unfinished records.
	openRecords int
	// needsServe reports whether serveQueue has to be called at the end of the
	// event.
	needsServe bool
	// isCoordinator reports whether the balancer is the coordinator of the service
	// by its local view.
	isCoordinator bool
	// coordinatorSince is when the balancer last became the coordinator.
	coordinatorSince time.Duration
	// unexpectedLoadSentAt is when a load report was last sent to a balancer that
	// is not a coordinator by the local view.
	unexpectedLoadSentAt time.Duration
	// openByCaller is the number of unfinished requests of each caller.
	openByCaller map[netip.AddrPort]int
	// pushRefused has the tokens of the received pushes, and whether each one was
	// refused.
	pushRefused map[uint64]bool
	// pushHistory has the received pushes, oldest first.
	pushHistory []receivedPush

	// serviceTime is the moving average of the service time of the attempts.
	serviceTime time.Duration
	// retryBudget is the number of retries that are allowed now.
	retryBudget float64
}

// poolOf returns the state of a service, or nil if the service is not configured.
func (c *Core) poolOf(name string) *pool {
	if p := c.pools[name]; p != nil {
		return p
	}
	s, ok := c.serviceConfig.Service(name)
	if !ok {
		return nil
	}
	p := &pool{
		core:                c,
		service:             s,
		receivedPushNumbers: make(map[Peer]uint32),
		records:             make(map[Key]*record),
		openByCaller:        make(map[netip.AddrPort]int),
		pushRefused:         make(map[uint64]bool),
		serviceTime:         c.cfg.InitialServiceTime,
		retryBudget:         c.cfg.RetryBurst,
	}
	c.pools[name] = p
	c.serviceNames = append(c.serviceNames, name)
	slices.Sort(c.serviceNames)
	p.updateTargets()
	p.updateRemotes()
	return p
}

// acceptRequest makes this balancer responsible for r, which was sent by a peer or,
// if from is the zero Peer, by its caller.
func (c *Core) acceptRequest(r Request, from Peer) {
	p := c.poolOf(r.Service)
	if p == nil {
		return
	}
	if rec := p.records[r.Key]; rec != nil {
		p.handleDuplicate(rec, r, from)
		return
	}
	rec := p.newRecord(r)
	rec.fromCaller = true
	rec.addToNotify(from)
	if !p.hasRoom(r) {
		p.refuseUnrecorded(rec)
		return
	}
	p.addRecord(rec)
	if r.Repeatable {
		p.admit(rec)
		return
	}
	p.startClaim(rec)
}

// newRecord returns a record of r that is not stored yet.
func (p *pool) newRecord(r Request) *record {
	c := p.core
	c.lastSeq++
	r.Remaining = min(r.Remaining, c.cfg.MaxDeadline)
	return &record{request: r, seq: c.lastSeq, deadline: c.now + r.Remaining}
}

// hasRoom evicts old records and reports whether the limits allow storing r.
func (p *pool) hasRoom(r Request) bool {
	l := p.core.cfg.Limits
	p.evictOld()
	return p.openRecords < l.MaxQueued+2*p.slotLimit() &&
		p.openByCaller[r.Key.Caller] < l.MaxPerCaller &&
		len(p.records) < l.MaxRecords
}

// refuseUnrecorded replies to a request that exceeds the limits, without storing
// a record.
func (p *pool) refuseUnrecorded(rec *record) {
	reply := p.unknownReply(rec, CauseBounds)
	if rec.request.Repeatable {
		reply = p.newReply(rec, OutcomeBusy)
		reply.RetryAfter = p.retryAfter(rec)
	}
	p.core.emit(reply)
	p.notifyDone(rec)
}

// addRecord stores a record and schedules its expiry.
func (p *pool) addRecord(rec *record) {
	p.records[rec.request.Key] = rec
	p.openRecords++
	p.openByCaller[rec.request.Key.Caller]++
	p.scheduleExpiry(rec)
}

// handleDuplicate handles a copy of a request that has a record. If the request is
// finished, the copy is answered again, here or by the balancer that answered the
// request.
func (p *pool) handleDuplicate(rec *record, r Request, from Peer) {
	c := p.core
	if rec.state != stateFinished {
		rec.fromCaller = true
		rec.addToNotify(from)
		p.shortenDeadline(rec, c.now+r.Remaining)
		if rec.state == stateOwnedElsewhere {
			p.sendToOwner(rec, 2*c.cfg.ResendInterval)
		}
		return
	}
	switch {
	case rec.reply != nil:
		c.emit(*rec.reply)
	case c.isReachable(rec.owner):
		c.send(rec.owner, Repeat{Request: rec.request})
	default:
		c.emit(p.unknownReply(rec, CauseOwner))
	}
	if from != (Peer{}) {
		c.send(from, Done{Key: rec.request.Key})
	}
}

// shortenDeadline sets the deadline of a request to that of a copy if the copy's
// is earlier.
func (p *pool) shortenDeadline(rec *record, deadline time.Duration) {
	if deadline < rec.deadline {
		rec.deadline = deadline
		p.scheduleExpiry(rec)
	}
}

// scheduleExpiry schedules expireRecord for ReplyMargin before the deadline.
func (p *pool) scheduleExpiry(rec *record) {
	c := p.core
	c.after(rec.deadline-c.now-c.cfg.ReplyMargin, func() { p.expireRecord(rec) })
}

// expireRecord ends a request if it has no outcome ReplyMargin before its deadline. A
// queued one has open attempts if it waits for another attempt.
func (p *pool) expireRecord(rec *record) {
	switch rec.state {
	case stateFinished:
	case stateQueued:
		p.recordUnanswered(rec)
		p.refuse(rec)
	case stateClaiming, stateOwnedElsewhere, stateRunning, statePushed:
		p.recordUnanswered(rec)
		p.finish(rec, p.unknownReply(rec, rec.state.cause()))
	}
}

// recordUnanswered suspends the unresponsive targets of the open attempts of rec and
// records the service times of the attempts. In the event that ends a pause it records
// none, because they would include the pause.
func (p *pool) recordUnanswered(rec *record) {
	for _, a := range rec.attempts {
		p.suspendUnresponsive(a)
		if p.core.now != p.core.pauseEndedAt {
			p.recordOpenServiceTime(p.core.now - a.sentAt)
		}
	}
}

// refuse ends a queued request. A request that was pushed to here is returned to
// its senders. If a copy came from the caller, and returnRequest does not leave it
// to the senders, the reply is OutcomeBusy for a repeatable request, OutcomeNotRun
// if this balancer owns the claim and no target may have run the request, and
// otherwise OutcomeUnknown.
func (p *pool) refuse(rec *record) {
	if len(rec.origins) > 0 && p.returnRequest(rec) {
		return
	}
	if !rec.fromCaller {
		p.removeReturnedRecord(rec)
		return
	}
	reply := p.newReply(rec, OutcomeNotRun)
	switch {
	case rec.request.Repeatable:
		reply.Outcome = OutcomeBusy
	case rec.mayHaveRun || rec.claim == nil || !rec.claim.granted:
		p.finish(rec, p.unknownReply(rec, CauseRefused))
		return
	}
	reply.RetryAfter = p.retryAfter(rec)
	p.finish(rec, reply)
}

// newReply returns a reply with outcome to the caller of rec.
func (p *pool) newReply(rec *record, outcome Outcome) Reply {
	return Reply{Key: rec.request.Key, Service: rec.request.Service, Outcome: outcome}
}

// unknownReply returns a reply with OutcomeUnknown and cause.
func (p *pool) unknownReply(rec *record, cause Cause) Reply {
	reply := p.newReply(rec, OutcomeUnknown)
	reply.Cause = cause
	return reply
}

// finish sends the final reply and stores it for copies of the request.
func (p *pool) finish(rec *record, reply Reply) {
	rec.reply = &reply
	p.core.emit(reply)
	p.endRecord(rec)
}

// finishElsewhere ends a request that the peer by has answered.
func (p *pool) finishElsewhere(rec *record, by Peer) {
	rec.owner = by
	p.endRecord(rec)
}

// endRecord adds an unfinished record to the history and sends a PushReply or a
// Done to the peers that sent the request.
func (p *pool) endRecord(rec *record) {
	c := p.core
	p.releaseRecord(rec)
	rec.state = stateFinished
	rec.finishedAt = c.now
	p.history = append(p.history, rec)
	p.historyBytes += rec.payloadBytes()
	for _, o := range rec.origins {
		c.send(o.from, PushReply{Token: o.token})
	}
	p.notifyDone(rec)
	p.scheduleServe()
}

// releaseRecord stops all work on an unfinished record: it removes the record from
// the queue, aborts its attempts and ends its push and its claim.
func (p *pool) releaseRecord(rec *record) {
	c := p.core
	p.dequeue(rec)
	for _, a := range rec.attempts {
		p.releaseAttempt(a)
		c.emit(Abort{Token: a.token, Target: a.target.Target})
	}
	rec.attempts = nil
	if rec.push != nil {
		p.endPush(rec)
	}
	if rec.claim != nil {
		delete(c.openClaims, rec.claim.nonce)
	}
	p.openRecords--
	caller := rec.request.Key.Caller
	p.openByCaller[caller]--
	if p.openByCaller[caller] == 0 {
		delete(p.openByCaller, caller)
	}
}

// notifyDone sends a Done to the peers that sent the request.
func (p *pool) notifyDone(rec *record) {
	for _, peer := range rec.toNotify {
		p.core.send(peer, Done{Key: rec.request.Key})
	}
	rec.toNotify = nil
}

// evictOld removes the records that were finished longer than RepeatWindow ago. It
// also removes the oldest finished ones while there are MaxRecords records or the
// history is larger than maxHistoryBytes, and the pushes that were received longer
// than RepeatWindow ago.
func (p *pool) evictOld() {
	c := p.core
	for len(p.history) > 0 {
		rec := p.history[0]
		expired := c.now-rec.finishedAt > c.cfg.RepeatWindow
		if !expired && len(p.records) < c.cfg.MaxRecords && p.historyBytes <= maxHistoryBytes {
			break
		}
		p.history[0] = nil
		p.history = p.history[1:]
		p.historyBytes -= rec.payloadBytes()
		if p.records[rec.request.Key] == rec {
			delete(p.records, rec.request.Key)
		}
	}
	for len(p.pushHistory) > 0 && c.now-p.pushHistory[0].receivedAt > c.cfg.RepeatWindow {
		delete(p.pushRefused, p.pushHistory[0].token)
		p.pushHistory = p.pushHistory[1:]
	}
}

// maxHistoryBytes is the maximum total size, in bytes, of the payloads of finished
// requests that are stored per service.
const maxHistoryBytes = 16 << 20

// cancelRecord stops work on a request that its caller has cancelled.
func (p *pool) cancelRecord(rec *record) {
	c := p.core
	rec.cancelled = true
	switch rec.state {
	case stateQueued:
		p.refuse(rec)
	case stateRunning:
		for _, a := range rec.attempts {
			c.emit(Abort{Token: a.token, Target: a.target.Target})
		}
	case statePushed:
		c.send(rec.push.to, Cancel{Key: rec.request.Key, Service: rec.request.Service})
	case stateClaiming, stateOwnedElsewhere, stateFinished:
	}
}

// removeUnused removes the state of a service that is not configured any more and has no
// request or push left.
func (c *Core) removeUnused(name string) {
	p := c.pools[name]
	if _, ok := c.serviceConfig.Service(name); ok || len(p.records) > 0 || len(p.pushRefused) > 0 {
		return
	}
	delete(c.pools, name)
	c.serviceNames = slices.DeleteFunc(c.serviceNames, func(n string) bool { return n == name })
}

// cleanUp evicts old records and schedules serveQueue.
func (p *pool) cleanUp() {
	p.evictOld()
	p.scheduleServe()
}

// handlePause ends the requests that are not repeatable and that were queued or
// had an open claim before a pause.
func (p *pool) handlePause() {
	for _, rec := range slices.Clone(p.queue) {
		if !rec.request.Repeatable && rec.state == stateQueued {
			p.refuse(rec)
		}
	}
	p.endOpenClaims()
}
