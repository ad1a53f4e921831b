package request

import "cmp"

// handleLostClaim handles a claim that too many holders have denied. It sends the
// request to the claim owner. If the votes are split so that no claimant has a
// majority, the first claimant in the order of less becomes the owner, because the
// other claimants yield their votes to it. The outcome is unknown if no claimant
// can become the owner or the owner is not reachable in the local view.
func (p *pool) handleLostClaim(rec *record) {
	c := p.core
	cl := rec.claim
	owner, isFinal := cl.expectedOwner(c.cfg.Self.Peer)
	switch {
	case !isFinal && !cl.decidedEarly:
		p.decideEarly(rec, cl.set)
	case owner == c.cfg.Self.Peer && isFinal && p.canReachMajority(cl):
		// The claim stays open until the other claimants have yielded their votes.
	case owner == (Peer{}) || owner == c.cfg.Self.Peer:
		p.finish(rec, p.unknownReply(rec, CauseNoOwner))
	case !c.isReachable(owner):
		p.finish(rec, p.unknownReply(rec, CauseOwner))
	default:
		rec.owner = owner
		rec.state = stateOwnedElsewhere
		p.sendToOwner(rec, 2*c.cfg.ResendInterval)
	}
}

// decideEarly waits two ResendIntervals and then decides a denied claim without
// the votes that are still missing.
func (p *pool) decideEarly(rec *record, set uint64) {
	c := p.core
	c.after(2*c.cfg.ResendInterval, func() {
		if rec.state == stateClaiming && rec.claim.set == set {
			rec.claim.decidedEarly = true
			p.countVotes(rec)
		}
	})
}

// expectedOwner returns the claimant that a majority of the holders has granted
// the claim to or, if there is none, the first claimant in the order of less. It
// returns the zero Peer if no claimant can get the claim. The boolean reports
// whether no missing vote can change the result.
func (cl *claimAttempt) expectedOwner(self Peer) (Peer, bool) {
	grants := make(map[Peer]int)
	var first Peer
	hasEarlierClaim := false
	for _, m := range cl.holders {
		v := cl.votes[m.Peer]
		owner := v.Owner
		if _, ok := cl.votes[m.Peer]; ok && v.Decision == VoteGranted {
			owner = self
		}
		hasEarlierClaim = hasEarlierClaim || v.Owner == self
		if owner == (Peer{}) {
			continue
		}
		grants[owner]++
		if grants[owner] >= majority(len(cl.holders)) {
			return owner, true
		}
		if first == (Peer{}) || less(owner, first) {
			first = owner
		}
	}
	if hasEarlierClaim {
		// This process instance has claimed the request before and may have run it.
		return Peer{}, true
	}
	return first, len(cl.votes) == len(cl.holders)
}

// less reports whether a is before b, ordered by name and life.
func less(a, b Peer) bool {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Life, b.Life)) < 0
}

// canReachMajority reports whether the votes granted to this balancer and those
// granted to claimants that are reachable in the local view are a majority.
func (p *pool) canReachMajority(cl *claimAttempt) bool {
	n := 0
	for _, v := range cl.votes {
		if v.Decision == VoteGranted || v.Owner != (Peer{}) && p.core.isReachable(v.Owner) {
			n++
		}
	}
	return n >= majority(len(cl.holders))
}

// grantingHolders returns the holders that granted the claim. It returns nil if cl
// is nil: no claim is requested for a request that first arrived in a push.
func (cl *claimAttempt) grantingHolders() []Peer {
	if cl == nil {
		return nil
	}
	var granting []Peer
	for _, m := range cl.holders {
		if v, ok := cl.votes[m.Peer]; ok && v.Decision == VoteGranted {
			granting = append(granting, m.Peer)
		}
	}
	return granting
}

// handleYield handles the votes that another claimant gives up in favor of this
// balancer. They count as votes for this balancer, because the other claimant
// never runs the request by them and yields them to no other claimant.
func (c *Core) handleYield(from Peer, m Yield) {
	p := c.pools[m.Request.Service]
	if p == nil {
		c.send(from, UnknownRequest{Key: m.Request.Key})
		return
	}
	rec := p.records[m.Request.Key]
	if rec != nil && rec.state == stateClaiming && rec.claim.set == m.Set {
		p.addYieldedGrants(rec, m.Holders)
	}
	c.handleRepeat(from, m.Request)
}

// addYieldedGrants counts the votes of the given holders as granted.
func (p *pool) addYieldedGrants(rec *record, holders []Peer) {
	cl := rec.claim
	for _, h := range holders {
		if containsPeer(cl.holders, h) {
			cl.votes[h] = Vote{Set: cl.set, Nonce: cl.nonce, Decision: VoteGranted}
		}
	}
	p.countVotes(rec)
}
