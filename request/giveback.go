package request

import "slices"

// returnPushedRequests returns the queued requests that were pushed to here to
// their senders. It is called if no local target accepts attempts. The senders run
// the requests themselves or push them elsewhere.
func (p *pool) returnPushedRequests() {
	for _, rec := range slices.Clone(p.queue) {
		if len(rec.origins) > 0 && len(rec.attempts) == 0 && !rec.mayHaveRun {
			p.returnRequest(rec)
		}
	}
}

// returnRequest returns a pushed request and reports whether its senders are now
// responsible for it. It returns false if a copy also came from the caller, and
// the request is repeatable, may have run here or is about to expire.
func (p *pool) returnRequest(rec *record) bool {
	owner := rec.origins[0].from
	p.refusePushes(rec)
	isOverdue := rec.deadline-p.core.now <= p.core.cfg.ReplyMargin
	switch {
	case !rec.fromCaller:
		p.removeReturnedRecord(rec)
	case rec.request.Repeatable || rec.mayHaveRun || isOverdue:
		return false
	default:
		p.dequeue(rec)
		rec.owner = owner
		rec.state = stateOwnedElsewhere
		p.sendToOwner(rec, 2*p.core.cfg.ResendInterval)
	}
	return true
}

// refusePushes reports to the senders of rec that the request has not run by their
// pushes and will not run by them.
func (p *pool) refusePushes(rec *record) {
	for _, o := range rec.origins {
		p.pushRefused[o.token] = true
		p.core.send(o.from, PushReply{Token: o.token, Refused: true, RetryAfter: p.retryAfter(rec)})
	}
	rec.origins = nil
}

// removeReturnedRecord removes the record of a request that has been returned to
// its senders.
func (p *pool) removeReturnedRecord(rec *record) {
	p.releaseRecord(rec)
	rec.state = stateFinished
	if p.records[rec.request.Key] == rec {
		delete(p.records, rec.request.Key)
	}
	p.scheduleServe()
}
