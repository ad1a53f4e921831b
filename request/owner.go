package request

import "time"

// claiming is a keeper's attempt to become the owner of a request.
type claiming struct {
	nonce   uint64
	digest  Digest
	set     uint64
	group   []Member
	votes   map[Peer]Vote
	granted bool
	// hurried says that the votes which are missing are not waited for.
	hurried bool
}

// startClaim asks the holders for the claim of rec.
func (p *pool) startClaim(rec *record) {
	c := p.core
	rec.state = stateClaiming
	rec.claim = &claiming{nonce: c.unique(), digest: rec.request.Key.Digest()}
	c.claims[rec.claim.nonce] = rec
	p.askHolders(rec)
}

// askHolders asks the holders of the newest set, from the beginning.
func (p *pool) askHolders(rec *record) {
	c := p.core
	cl := rec.claim
	cl.set = c.holder.set.Number
	cl.group = c.holder.ring.group(cl.digest)
	cl.votes = make(map[Peer]Vote)
	cl.hurried = false
	if p.outOfReach(cl) {
		p.finish(rec, p.unknown(rec, CauseHolders))
		return
	}
	p.askSilent(rec, cl.set, p.core.cfg.ResendInterval)
}

// outOfReach reports whether no majority of the claim's holders is in the view.
func (p *pool) outOfReach(cl *claiming) bool {
	n := 0
	for _, m := range cl.group {
		if p.core.alive(m.Peer) {
			n++
		}
	}
	return n < majority(len(cl.group))
}

// askSilent asks the holders that have not told, now and after gap.
func (p *pool) askSilent(rec *record, set uint64, gap time.Duration) {
	c := p.core
	cl := rec.claim
	if rec.state != stateClaiming || cl.set != set {
		return
	}
	c.after(gap, func() { p.askSilent(rec, set, 2*gap) })
	for _, m := range cl.group {
		if _, ok := cl.votes[m.Peer]; ok || rec.state != stateClaiming {
			continue
		}
		c.send(m.Peer, ClaimRequest{Set: set, Digest: cl.digest, Service: p.service.Name, Nonce: cl.nonce})
	}
}

// voted takes a holder's answer.
func (c *Core) voted(from Peer, v Vote) {
	rec := c.claims[v.Nonce]
	if rec == nil || rec.state != stateClaiming || v.Decision == VoteUnready {
		return
	}
	cl := rec.claim
	if cl.set != v.Set || !contains(cl.group, from) {
		return
	}
	if _, ok := cl.votes[from]; ok {
		return
	}
	cl.votes[from] = v
	c.pools[rec.request.Service].count(rec)
}

// count decides a claim once the votes suffice.
func (p *pool) count(rec *record) {
	cl := rec.claim
	granted, denied := 0, 0
	for _, v := range cl.votes {
		if v.Decision == VoteGranted {
			granted++
		} else {
			denied++
		}
	}
	n := len(cl.group)
	switch {
	case granted >= majority(n):
		cl.granted = true
		delete(p.core.claims, cl.nonce)
		p.admit(rec)
	case denied > n-majority(n):
		p.lost(rec)
	}
}

// askOwner passes the copy to the owner of the claim, now and after gap, until
// that answers.
func (p *pool) askOwner(rec *record, gap time.Duration) {
	c := p.core
	if rec.state != stateForeign {
		return
	}
	r := rec.request
	r.Remaining = rec.deadline - c.now
	if held := rec.claim.held(); len(held) > 0 {
		c.send(rec.owner, Yield{Request: r, Set: rec.claim.set, Holders: held})
	} else {
		c.send(rec.owner, Repeat{Request: r})
	}
	c.after(gap, func() {
		if !rec.ownerSaid {
			p.askOwner(rec, 2*gap)
		}
	})
}

// repeated takes a copy of a request whose claim is said to be owned here.
func (c *Core) repeated(from Peer, r Request) {
	p := c.pools[r.Service]
	var rec *record
	if p != nil {
		rec = p.records[r.Key]
	}
	if rec == nil || rec.state == stateForeign || rec.state == stateFinished && !rec.answers() {
		c.send(from, UnknownRequest{Key: r.Key})
		return
	}
	c.send(from, Taken{Key: r.Key})
	if rec.state == stateFinished && rec.reply == nil && rec.owner == from {
		c.emit(p.unknown(rec, CauseOwner)) // Each of the two took the other for the one that answered.
		return
	}
	p.again(rec, r, from)
}

// answers reports whether a finished record can answer copies.
func (r *record) answers() bool {
	return r.reply != nil && (r.ran || r.claim == nil || r.claim.granted) || r.reply == nil && r.owner != (Peer{})
}

// leftTo returns the record of k that is in state s and left to owner.
func (c *Core) leftTo(owner Peer, k Key, s state) (*pool, *record) {
	for _, name := range c.names {
		p := c.pools[name]
		if rec := p.records[k]; rec != nil && rec.state == s && rec.owner == owner {
			return p, rec
		}
	}
	return nil, nil
}

func (c *Core) foreign(k Key, owner Peer) (*pool, *record) {
	return c.leftTo(owner, k, stateForeign)
}

func (c *Core) ownerTaken(k Key, from Peer) {
	if _, rec := c.foreign(k, from); rec != nil {
		rec.ownerSaid = true
	}
}

func (c *Core) ownerDone(k Key, from Peer) {
	if p, rec := c.foreign(k, from); rec != nil {
		p.finishElsewhere(rec, from)
	}
}

func (c *Core) forgotten(k Key, from Peer) {
	if p, rec := c.foreign(k, from); rec != nil {
		rec.owner = Peer{}
		p.finish(rec, p.unknown(rec, CauseOwner))
		return
	}
	if p, rec := c.leftTo(from, k, stateFinished); rec != nil && rec.reply == nil {
		c.emit(p.unknown(rec, CauseOwner)) // A repeat of a request that from was said to have answered.
	}
}

// checkClaims looks at the open claims again after the view or the set of
// holders has changed.
func (c *Core) checkClaims() {
	for _, name := range c.names {
		p := c.pools[name]
		for _, rec := range p.unfinished() {
			if rec.state != stateClaiming {
				continue
			}
			switch {
			case rec.claim.set != c.holder.set.Number:
				p.askHolders(rec)
			case p.outOfReach(rec.claim):
				p.finish(rec, p.unknown(rec, CauseHolders))
			default:
				p.count(rec)
			}
		}
	}
}

// dropClaiming ends the requests whose claims were open during a pause.
func (p *pool) dropClaiming() {
	for _, rec := range p.unfinished() {
		if rec.state == stateClaiming {
			p.finish(rec, p.unknown(rec, CausePause))
		}
	}
}

func contains(members []Member, p Peer) bool {
	for _, m := range members {
		if m.Peer == p {
			return true
		}
	}
	return false
}
