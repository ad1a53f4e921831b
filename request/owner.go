package request

import "time"

// claimAttempt is a coordinator's attempt to become the claim owner of a request.
type claimAttempt struct {
	nonce  uint64
	digest Digest
	// set is the number of the holder set that votes.
	set uint64
	// holders are the claim holders of digest in the set.
	holders []Member
	// votes are the granted and denied votes received, by claim holder.
	votes map[Peer]Vote
	// granted reports whether a majority has granted the claim.
	granted bool
	// decidedEarly reports whether the claim is decided without waiting for the
	// missing votes.
	decidedEarly bool
}

// startClaim requests the claim of rec.
func (p *pool) startClaim(rec *record) {
	c := p.core
	rec.state = stateClaiming
	rec.claim = &claimAttempt{nonce: c.uniqueNumber(), digest: rec.request.Key.Digest()}
	c.openClaims[rec.claim.nonce] = rec
	p.requestClaim(rec)
}

// requestClaim requests the claim of rec from the claim holders of the newest
// set. It discards votes of older sets.
func (p *pool) requestClaim(rec *record) {
	c := p.core
	cl := rec.claim
	cl.set = c.claimHolder.set.Number
	cl.holders = c.claimHolder.ring.holdersOf(cl.digest)
	cl.votes = make(map[Peer]Vote)
	cl.decidedEarly = false
	if p.lacksReachableMajority(cl) {
		p.finish(rec, p.unknownReply(rec, CauseHolders))
		return
	}
	p.requestMissingVotes(rec, cl.set, p.core.cfg.ResendInterval)
}

// lacksReachableMajority reports whether no majority of the claim's holders is
// reachable in the local view.
func (p *pool) lacksReachableMajority(cl *claimAttempt) bool {
	n := 0
	for _, m := range cl.holders {
		if p.core.isReachable(m.Peer) {
			n++
		}
	}
	return n < majority(len(cl.holders))
}

// requestMissingVotes sends a ClaimRequest to the holders that have not voted,
// now and again after interval, which doubles each time.
func (p *pool) requestMissingVotes(rec *record, set uint64, interval time.Duration) {
	c := p.core
	cl := rec.claim
	if rec.state != stateClaiming || cl.set != set {
		return
	}
	c.after(interval, func() { p.requestMissingVotes(rec, set, 2*interval) })
	for _, m := range cl.holders {
		if _, ok := cl.votes[m.Peer]; ok || rec.state != stateClaiming {
			continue
		}
		c.send(m.Peer, ClaimRequest{Set: set, Digest: cl.digest, Service: p.service.Name, Nonce: cl.nonce})
	}
}

// handleVote records a claim holder's vote. The first vote of a holder counts.
func (c *Core) handleVote(from Peer, v Vote) {
	rec := c.openClaims[v.Nonce]
	if rec == nil || rec.state != stateClaiming || v.Decision == VoteUnready {
		return
	}
	cl := rec.claim
	if cl.set != v.Set || !containsPeer(cl.holders, from) {
		return
	}
	if _, ok := cl.votes[from]; ok {
		return
	}
	cl.votes[from] = v
	c.pools[rec.request.Service].countVotes(rec)
}

// countVotes decides a claim if the votes suffice.
func (p *pool) countVotes(rec *record) {
	cl := rec.claim
	granted, denied := 0, 0
	for _, v := range cl.votes {
		if v.Decision == VoteGranted {
			granted++
		} else {
			denied++
		}
	}
	n := len(cl.holders)
	switch {
	case granted >= majority(n):
		cl.granted = true
		delete(p.core.openClaims, cl.nonce)
		p.admit(rec)
	case denied > n-majority(n):
		p.handleLostClaim(rec)
	}
}

// sendToOwner sends a copy of the request to the claim owner, now and again after
// interval, until the owner acknowledges it. The interval doubles each time. The
// copy is a Yield if some holders have granted the claim to this balancer.
func (p *pool) sendToOwner(rec *record, interval time.Duration) {
	c := p.core
	if rec.state != stateOwnedElsewhere {
		return
	}
	r := rec.request
	r.Remaining = rec.deadline - c.now
	if granting := rec.claim.grantingHolders(); len(granting) > 0 {
		c.send(rec.owner, Yield{Request: r, Set: rec.claim.set, Holders: granting})
	} else {
		c.send(rec.owner, Repeat{Request: r})
	}
	c.after(interval, func() {
		if !rec.ownerAcked {
			p.sendToOwner(rec, 2*interval)
		}
	})
}

// handleRepeat handles a copy of a request whose claim the sender considers owned
// by this balancer. If another balancer owns it, the sender is sent a Done when that one
// has answered; if that is the sender itself, nobody owns the request.
func (c *Core) handleRepeat(from Peer, r Request) {
	p := c.pools[r.Service]
	var rec *record
	if p != nil {
		rec = p.records[r.Key]
	}
	isOwnedElsewhere := rec != nil && rec.state == stateOwnedElsewhere
	if rec == nil || isOwnedElsewhere && rec.owner == from || rec.state == stateFinished && !rec.canAnswerDuplicates() {
		c.send(from, UnknownRequest{Key: r.Key})
		return
	}
	c.send(from, Taken{Key: r.Key})
	if isOwnedElsewhere {
		// The owner is not asked again, because claimants could consider each other the
		// owner in a circle.
		rec.addToNotify(from)
		return
	}
	if rec.state == stateFinished && rec.reply == nil && rec.owner == from {
		// Both balancers expected the other one to have sent the reply.
		c.emit(p.unknownReply(rec, CauseNoOwner))
		return
	}
	p.handleDuplicate(rec, r, from)
}

// canAnswerDuplicates reports whether copies of a finished request can be
// answered: with its reply, if it may have run or its claim was granted or not
// needed, or by the peer that has answered it.
func (r *record) canAnswerDuplicates() bool {
	return r.reply != nil && (r.mayHaveRun || r.claim == nil || r.claim.granted) || r.reply == nil && r.owner != (Peer{})
}

// recordOwnedBy returns the record of k that is in state s and has the given
// owner, with its pool. It returns nil if there is none.
func (c *Core) recordOwnedBy(owner Peer, k Key, s state) (*pool, *record) {
	for _, name := range c.serviceNames {
		p := c.pools[name]
		if rec := p.records[k]; rec != nil && rec.state == s && rec.owner == owner {
			return p, rec
		}
	}
	return nil, nil
}

// ownedElsewhere returns the unfinished record of k that owner is expected to
// answer, with its pool. It returns nil if there is none.
func (c *Core) ownedElsewhere(k Key, owner Peer) (*pool, *record) {
	return c.recordOwnedBy(owner, k, stateOwnedElsewhere)
}

// recordOwnerAck records that the claim owner has acknowledged a copy of k.
func (c *Core) recordOwnerAck(k Key, from Peer) {
	if _, rec := c.ownedElsewhere(k, from); rec != nil {
		rec.ownerAcked = true
	}
}

// finishOwnedElsewhere ends the record of a request that its claim owner has
// answered.
func (c *Core) finishOwnedElsewhere(k Key, from Peer) {
	if p, rec := c.ownedElsewhere(k, from); rec != nil {
		p.finishElsewhere(rec, from)
	}
}

// handleUnknownRequest replies to the caller with OutcomeUnknown and CauseOwnerDenies if
// from was expected to answer the request.
func (c *Core) handleUnknownRequest(k Key, from Peer) {
	if p, rec := c.ownedElsewhere(k, from); rec != nil {
		rec.owner = Peer{}
		p.finish(rec, p.unknownReply(rec, CauseOwnerDenies))
		return
	}
	if p, rec := c.recordOwnedBy(from, k, stateFinished); rec != nil && rec.reply == nil {
		// A duplicate of a request that from had reported as answered.
		c.emit(p.unknownReply(rec, CauseOwnerDenies))
	}
}

// recheckClaims processes the open claims again after the view or the holder set
// has changed.
func (c *Core) recheckClaims() {
	for _, name := range c.serviceNames {
		p := c.pools[name]
		for _, rec := range p.unfinished() {
			if rec.state != stateClaiming {
				continue
			}
			switch {
			case rec.claim.set != c.claimHolder.set.Number:
				p.requestClaim(rec)
			case p.lacksReachableMajority(rec.claim):
				p.finish(rec, p.unknownReply(rec, CauseHolders))
			default:
				p.countVotes(rec)
			}
		}
	}
}

// endOpenClaims ends the requests whose claims were open during a pause.
func (p *pool) endOpenClaims() {
	for _, rec := range p.unfinished() {
		if rec.state == stateClaiming {
			p.finish(rec, p.unknownReply(rec, CausePause))
		}
	}
}

// containsPeer reports whether p is one of members.
func containsPeer(members []Member, p Peer) bool {
	for _, m := range members {
		if m.Peer == p {
			return true
		}
	}
	return false
}
