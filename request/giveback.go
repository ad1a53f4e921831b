package request

import "slices"

// returnPushed gives back what waits here by pushes when no target is left to
// run it. The senders run it themselves, or push it elsewhere.
func (p *pool) returnPushed() {
	for _, rec := range slices.Clone(p.queue) {
		if len(rec.origins) > 0 && len(rec.attempts) == 0 && !rec.ran {
			p.returnOne(rec)
		}
	}
}

// returnOne gives back a request and reports whether its senders see to its end.
// A copy of a repeatable one that came from the caller goes on here.
func (p *pool) returnOne(rec *record) bool {
	owner := rec.origins[0].from
	p.giveBack(rec)
	due := rec.deadline-p.core.now <= p.core.cfg.AnswerMargin
	switch {
	case !rec.direct:
		p.forgetPush(rec)
	case rec.request.Repeatable || rec.ran || due:
		return false
	default:
		p.unqueue(rec)
		rec.owner = owner
		rec.state = stateForeign
		p.askOwner(rec, 2*p.core.cfg.ResendInterval)
	}
	return true
}

// giveBack tells the senders of rec that it has not run by their pushes.
func (p *pool) giveBack(rec *record) {
	for _, o := range rec.origins {
		p.seen[o.token] = true
		p.core.send(o.from, PushReply{Token: o.token, Refused: true, RetryAfter: p.comeBack(rec)})
	}
	rec.origins = nil
}

// forgetPush drops a request that has been given back.
func (p *pool) forgetPush(rec *record) {
	p.release(rec)
	rec.state = stateFinished
	if p.records[rec.request.Key] == rec {
		delete(p.records, rec.request.Key)
	}
	p.dispatch()
}
