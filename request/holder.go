package request

import (
	"maps"
	"slices"
	"time"
)

// maxRetainedSets is the number of older holder sets for which claims are handed
// over.
const maxRetainedSets = 8

// claim is a stored claim of a digest. It is not changed until it expires, except
// by mergeClaim.
type claim struct {
	service string
	// owner is the zero Peer if two owners are possible: then no claimant gets the
	// claim.
	owner   Peer
	nonce   uint64
	expires time.Duration
}

// claimHolder is a balancer's state as a claim holder.
type claimHolder struct {
	core *Core
	set  ClaimHolderSet
	// ring ranks the members of the set.
	ring ring
	// previousRing ranks the members of the previous set.
	previousRing ring
	claims       map[Digest]claim
	// claimsByService is the number of claims of each service.
	claimsByService map[string]int
	// lastHeartbeatAt is when the last heartbeat with the number of the current set
	// arrived from each member.
	lastHeartbeatAt map[Peer]time.Duration
	// retainsClaims reports whether this holder still has its claims of the
	// previous set and may vote by these alone on the digests that it is a holder of
	// in both sets.
	retainsClaims bool
	// handedOver are the members of the previous set that have handed all their
	// claims over.
	handedOver map[Peer]bool
	// appliedNewSet are the members of the previous set that have applied the
	// current set or a later one.
	appliedNewSet map[Peer]bool
	// nextDigest is the first digest that each member has not handed over yet.
	nextDigest map[Peer]Digest
	// claimsExpired reports whether all claims of the previous set have expired.
	claimsExpired bool
	// completeSets are the numbers of the sets for which this holder has all claims
	// of the previous set.
	completeSets map[uint64]bool
	// newestComplete is the largest number of completeSets.
	newestComplete uint64
	// pending are the claim requests that could not be decided yet.
	pending pendingClaimRequests
}

// init initializes h for c.
func (h *claimHolder) init(c *Core) {
	h.core = c
	h.claims = make(map[Digest]claim)
	h.claimsByService = make(map[string]int)
	h.completeSets = make(map[uint64]bool)
}

// self returns this process instance.
func (h *claimHolder) self() Peer { return h.core.cfg.Self.Peer }

// isMember reports whether this process instance is in the set.
func (h *claimHolder) isMember() bool { return containsPeer(h.set.Members, h.self()) }

// handleClaimRequest returns the vote on a claim request. If the vote is
// VoteUnready and the request is for the current set or a later one, a second
// vote follows as soon as the holder can decide.
func (h *claimHolder) handleClaimRequest(from Peer, m ClaimRequest) Vote {
	v := h.vote(from, m)
	if v.Decision == VoteUnready && m.Set >= h.set.Number {
		h.pending.add(pendingClaimRequest{from: from, request: m, receivedAt: h.core.now})
	}
	return v
}

// vote returns the vote on a claim request and stores the claim if it is granted.
func (h *claimHolder) vote(from Peer, m ClaimRequest) Vote {
	v := Vote{Set: m.Set, Nonce: m.Nonce, Decision: VoteUnready}
	if m.Set != h.set.Number || !h.canVote(m.Digest) {
		return v
	}
	stored, ok := h.claims[m.Digest]
	switch {
	case ok && stored.owner == from && stored.nonce == m.Nonce:
		v.Decision = VoteGranted
	case ok:
		v.Decision = VoteDenied
		v.Owner = stored.owner
	case h.claimsByService[m.Service] < h.core.cfg.MaxClaims:
		h.storeClaim(m.Digest, claim{service: m.Service, owner: from, nonce: m.Nonce, expires: h.core.now + h.core.cfg.RepeatWindow})
		v.Decision = VoteGranted
	}
	return v
}

// storeClaim stores cl as the claim of d.
func (h *claimHolder) storeClaim(d Digest, cl claim) {
	if _, ok := h.claims[d]; !ok {
		h.claimsByService[cl.service]++
	}
	h.claims[d] = cl
}

// removeFromCount decrements the number of claims of a service.
func (h *claimHolder) removeFromCount(service string) {
	h.claimsByService[service]--
	if h.claimsByService[service] == 0 {
		delete(h.claimsByService, service)
	}
}

// canVote reports whether this holder can vote on d now.
func (h *claimHolder) canVote(d Digest) bool {
	if !h.hasQuorum() || !containsPeer(h.ring.holdersOf(d), h.self()) {
		return false
	}
	return h.hasAllClaims(d)
}

// hasQuorum reports whether this holder is in the set and, with the members that
// sent a heartbeat within QuorumTimeout, a majority of it.
func (h *claimHolder) hasQuorum() bool {
	if !h.isMember() {
		return false
	}
	n := 1
	for _, at := range h.lastHeartbeatAt {
		if h.core.now-at <= h.core.cfg.QuorumTimeout {
			n++
		}
	}
	return n >= majority(len(h.set.Members))
}

// hasAllClaims reports whether this holder has every claim of d that the previous
// set may have granted.
func (h *claimHolder) hasAllClaims(d Digest) bool {
	if h.claimsExpired || h.set.Number == 1 {
		return true
	}
	previous := h.previousRing.holdersOf(d)
	if h.retainsClaims && containsPeer(previous, h.self()) {
		return true
	}
	n := 0
	for _, m := range previous {
		if h.handedOver[m.Peer] {
			n++
		}
	}
	return n >= majority(len(previous))
}

// maintain removes expired claims and sends a heartbeat to the other members.
func (h *claimHolder) maintain() {
	h.expireClaims()
	if !h.isMember() {
		return
	}
	for _, m := range h.set.Members {
		if m.Peer != h.self() {
			h.core.send(m.Peer, ClaimHolderHeartbeat{Set: h.set.Number})
		}
	}
}

// expireClaims removes expired claims and the numbers of sets that are too old to
// hand their claims over.
func (h *claimHolder) expireClaims() {
	maps.DeleteFunc(h.completeSets, func(n uint64, _ bool) bool { return n+maxRetainedSets < h.set.Number })
	maps.DeleteFunc(h.claims, func(_ Digest, cl claim) bool {
		expired := h.core.now > cl.expires
		if expired {
			h.removeFromCount(cl.service)
		}
		return expired
	})
}

// handleHeartbeat records a heartbeat of a member of the current set. Until
// MaxPause after a pause it does not count heartbeats for the quorum, because they
// may have been sent long before they are processed.
func (h *claimHolder) handleHeartbeat(from Peer, m ClaimHolderHeartbeat) {
	countsForQuorum := h.core.now-h.core.pauseEndedAt > h.core.cfg.MaxPause
	if countsForQuorum && m.Set == h.set.Number && containsPeer(h.set.Members, from) {
		h.recordHeartbeat(from)
	}
	if m.Set >= h.set.Number {
		h.recordNewSetApplied(from)
	}
}

// recordHeartbeat records the time of a heartbeat. It answers the first heartbeat
// of a member in the current set with one, because the last heartbeat from here may
// have arrived before the member had applied the set.
func (h *claimHolder) recordHeartbeat(from Peer) {
	hadQuorum := h.hasQuorum()
	_, known := h.lastHeartbeatAt[from]
	h.lastHeartbeatAt[from] = h.core.now
	if !known {
		h.core.send(from, ClaimHolderHeartbeat{Set: h.set.Number})
	}
	if !hadQuorum && h.hasQuorum() {
		h.voteOnPending()
	}
}

// recordNewSetApplied records that a member of the previous set has applied a
// newer one. Once a majority has, the other members of the previous set lose
// their quorum within QuorumTimeout and grant no more claims of it. All claims of
// that set have expired after a further RepeatWindow and MaxClockSkew.
func (h *claimHolder) recordNewSetApplied(from Peer) {
	if h.claimsExpired || h.appliedNewSet[from] || !containsPeer(h.set.Previous, from) {
		return
	}
	h.appliedNewSet[from] = true
	if len(h.appliedNewSet) != majority(len(h.set.Previous)) {
		return
	}
	t := h.core.cfg.Times
	number := h.set.Number
	h.core.after(t.RepeatWindow+t.QuorumTimeout+t.MaxClockSkew, func() {
		if h.set.Number == number {
			h.claimsExpired = true
			h.updateComplete()
			h.voteOnPending()
		}
	})
}

// mayRetainClaims reports whether a holder of a digest in the previous and the
// current set may vote by its own claims, without those of others. A claim that
// was granted by a majority of the previous holders may be missing at the other
// ones. So a majority of the current holders must be larger than the number of
// these.
func mayRetainClaims(members, previous int) bool {
	size := min(holdersPerClaim, previous)
	missed := size - majority(size)
	return majority(min(holdersPerClaim, members)) > missed
}

// applySet applies a set if it is newer than the current one.
func (h *claimHolder) applySet(s ClaimHolderSet) {
	if s.Number <= h.set.Number {
		return
	}
	hadAllClaims := h.completeSets[h.set.Number] && s.Number == h.set.Number+1 && h.isMember()
	h.set = ClaimHolderSet{Number: s.Number, Members: slices.Clone(s.Members), Previous: slices.Clone(s.Previous)}
	h.ring = newRing(h.set.Members)
	h.previousRing = newRing(h.set.Previous)
	h.lastHeartbeatAt = make(map[Peer]time.Duration)
	h.handedOver = make(map[Peer]bool)
	h.appliedNewSet = make(map[Peer]bool)
	h.nextDigest = make(map[Peer]Digest)
	h.claimsExpired = false
	hadAllClaims = hadAllClaims && containsPeer(s.Previous, h.self())
	h.retainsClaims = hadAllClaims && mayRetainClaims(len(s.Members), len(s.Previous))
	if hadAllClaims {
		h.handedOver[h.self()] = true
		h.recordNewSetApplied(h.self())
	}
	h.updateComplete()
	h.maintain()
	h.requestClaims(s.Number)
	h.core.recheckClaims()
	h.voteOnPending()
}
