package request

import "slices"

// handlePush handles a push from another coordinator. It records for each token
// whether the push was refused, so that a duplicate gets the same reply.
func (c *Core) handlePush(from Peer, m Push) {
	if !c.checkStamp(m.Request, m.Stamp, from) {
		return
	}
	p := c.poolOf(m.Request.Service)
	if p == nil {
		c.send(from, PushReply{Token: m.Token, Refused: true})
		return
	}
	p.receivedPushNumbers[from] = max(p.receivedPushNumbers[from], m.Number)
	rec := p.records[m.Request.Key]
	o := pushOrigin{from: from, token: m.Token}
	if refused, ok := p.pushRefused[m.Token]; ok {
		p.answerDuplicatePush(rec, o, refused)
		return
	}
	if len(p.pushRefused) >= maxRememberedPushes {
		p.refuseUnrecordedPush(from, m)
		return
	}
	// A request that was pushed on from here may have come from the sender, or may
	// be pushed back to it.
	isLoop := rec != nil && rec.state == statePushed
	refused := isLoop || rec == nil && !p.hasRoom(m.Request)
	p.pushRefused[m.Token] = refused
	p.pushHistory = append(p.pushHistory, receivedPush{token: m.Token, receivedAt: c.now})
	if refused {
		c.send(from, PushReply{Token: m.Token, Refused: true})
		return
	}
	p.acceptPush(rec, o, m.Request)
}

// refuseUnrecordedPush refuses a push if maxRememberedPushes are stored. If the
// request is not repeatable it sends no reply: as the refusal is not stored, a
// duplicate of the push could be accepted later, after the sender has run the
// request elsewhere.
func (p *pool) refuseUnrecordedPush(from Peer, m Push) {
	if m.Request.Repeatable {
		p.core.send(from, PushReply{Token: m.Token, Refused: true})
	}
}

// answerDuplicatePush answers a push that was received before.
func (p *pool) answerDuplicatePush(rec *record, o pushOrigin, refused bool) {
	if rec != nil && slices.Contains(rec.origins, o) && rec.state != stateFinished {
		p.core.send(o.from, Taken{Key: rec.request.Key, Stamp: p.core.stamp()})
		return
	}
	p.core.send(o.from, PushReply{Token: o.token, Refused: refused})
}

// acceptPush accepts a push that was not received before. If this balancer has
// requested the claim of the request, the claim cannot be granted, because the
// sender owns it; the request is queued without it.
func (p *pool) acceptPush(rec *record, o pushOrigin, r Request) {
	c := p.core
	if rec == nil {
		rec = p.newRecord(r)
		p.addRecord(rec)
	}
	if rec.state == stateFinished {
		refused := !rec.mayHaveRun && rec.owner == (Peer{})
		p.pushRefused[o.token] = refused
		c.send(o.from, PushReply{Token: o.token, Refused: refused})
		return
	}
	rec.origins = append(rec.origins, o)
	c.send(o.from, Taken{Key: r.Key, Stamp: c.stamp()})
	if rec.state == stateClaiming || rec.state == stateOwnedElsewhere {
		p.admit(rec)
	}
}
