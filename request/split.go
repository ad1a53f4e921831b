package request

import "cmp"

// lost leaves a request whose claim cannot be had to the owner of the claim.
// While the votes are split it may still be had: where nobody has a majority,
// the first claimant gets what the others yield to it.
func (p *pool) lost(rec *record) {
	c := p.core
	cl := rec.claim
	owner, sure := cl.winner(c.cfg.Self.Peer)
	switch {
	case !sure && !cl.hurried:
		p.hurry(rec, cl.set)
	case owner == c.cfg.Self.Peer && sure && p.mayWin(cl):
	case owner == (Peer{}) || owner == c.cfg.Self.Peer || !c.alive(owner):
		p.finish(rec, p.unknown(rec, CauseOwner))
	default:
		rec.owner = owner
		rec.state = stateForeign
		p.askOwner(rec, 2*c.cfg.ResendInterval)
	}
}

// hurry decides a lost claim without the votes that have not come soon.
func (p *pool) hurry(rec *record, set uint64) {
	c := p.core
	c.after(2*c.cfg.ResendInterval, func() {
		if rec.state == stateClaiming && rec.claim.set == set {
			rec.claim.hurried = true
			p.count(rec)
		}
	})
}

// winner returns the owner that most of the group name or, where nobody has a
// majority, the first claimant, and whether no vote that is missing can change
// it. It is the zero Peer where nobody can get the claim.
func (cl *claiming) winner(self Peer) (Peer, bool) {
	grants := make(map[Peer]int)
	var first Peer
	again := false
	for _, m := range cl.group {
		v := cl.votes[m.Peer]
		owner := v.Owner
		if _, ok := cl.votes[m.Peer]; ok && v.Decision == VoteGranted {
			owner = self
		}
		again = again || v.Owner == self
		if owner == (Peer{}) {
			continue
		}
		grants[owner]++
		if grants[owner] >= majority(len(cl.group)) {
			return owner, true
		}
		if first == (Peer{}) || before(owner, first) {
			first = owner
		}
	}
	if again {
		return Peer{}, true // A former claim of this life, which may have run.
	}
	return first, len(cl.votes) == len(cl.group)
}

func before(a, b Peer) bool {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Life, b.Life)) < 0
}

// mayWin reports whether the own grants and those of claimants in the view are
// a majority.
func (p *pool) mayWin(cl *claiming) bool {
	n := 0
	for _, v := range cl.votes {
		if v.Decision == VoteGranted || v.Owner != (Peer{}) && p.core.alive(v.Owner) {
			n++
		}
	}
	return n >= majority(len(cl.group))
}

// held returns the holders that granted the claim. No claim was asked for where
// a request came by a push.
func (cl *claiming) held() []Peer {
	if cl == nil {
		return nil
	}
	var held []Peer
	for _, m := range cl.group {
		if v, ok := cl.votes[m.Peer]; ok && v.Decision == VoteGranted {
			held = append(held, m.Peer)
		}
	}
	return held
}

// yielded takes the grants that another claimant has given up for good: it never
// forwards by them, and yields them to nobody else. So they count as own ones.
func (c *Core) yielded(from Peer, m Yield) {
	p := c.pools[m.Request.Service]
	if p == nil {
		c.send(from, UnknownRequest{Key: m.Request.Key})
		return
	}
	rec := p.records[m.Request.Key]
	if rec != nil && rec.state == stateClaiming && rec.claim.set == m.Set {
		p.addYielded(rec, m.Holders)
	}
	c.repeated(from, m.Request)
}

func (p *pool) addYielded(rec *record, holders []Peer) {
	cl := rec.claim
	for _, h := range holders {
		if contains(cl.group, h) {
			cl.votes[h] = Vote{Set: cl.set, Nonce: cl.nonce, Decision: VoteGranted}
		}
	}
	p.count(rec)
}
