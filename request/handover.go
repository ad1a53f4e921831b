package request

import (
	"bytes"
	"slices"
)

// maxClaimsPerMessage is the maximum number of claims in one HandoverReply.
const maxClaimsPerMessage = 256

// requestClaims requests missing claims from the members of the previous set. It
// repeats this every two ResendIntervals until all claims have arrived or the set
// with that number is no longer the current one.
func (h *claimHolder) requestClaims(number uint64) {
	if h.set.Number != number || h.completeSets[number] || !h.isMember() {
		return
	}
	for _, m := range h.set.Previous {
		if !h.handedOver[m.Peer] && m.Peer != h.self() {
			h.core.send(m.Peer, HandoverRequest{Set: number, FirstDigest: h.nextDigest[m.Peer], RetainsClaims: h.retainsClaims})
		}
	}
	h.core.after(2*h.core.cfg.ResendInterval, func() { h.requestClaims(number) })
}

// handleClaimsRequest hands claims over to a member of a newer set than the one
// in which they were granted. It ignores the request until this balancer has
// applied the newer set, so that it grants no further claims of the older one.
func (h *claimHolder) handleClaimsRequest(from Peer, m HandoverRequest) {
	if h.set.Number < m.Set {
		return
	}
	reply := HandoverReply{Set: m.Set, FirstDigest: m.FirstDigest, Ready: h.completeSets[m.Set-1]}
	if reply.Ready {
		reply.Claims, reply.IsLast = h.claimsFrom(m.FirstDigest, h.claimFilter(from, m))
	}
	h.core.send(from, reply)
}

// claimFilter returns a filter for the claims that a member of the requested set
// needs. If that is the current set, these are the claims that the member is a
// holder of, without those that it has retained from the previous set. For
// another set these are all claims.
func (h *claimHolder) claimFilter(p Peer, m HandoverRequest) func(Digest) bool {
	if m.Set != h.set.Number {
		return func(Digest) bool { return true }
	}
	return func(d Digest) bool {
		return containsPeer(h.ring.holdersOf(d), p) && !(m.RetainsClaims && containsPeer(h.previousRing.holdersOf(d), p))
	}
}

// claimsFrom returns the wanted claims whose digest is at least from, sorted by
// digest and limited to maxClaimsPerMessage. It reports whether there are no more.
func (h *claimHolder) claimsFrom(from Digest, wanted func(Digest) bool) ([]Claim, bool) {
	var digests []Digest
	for d := range h.claims {
		if bytes.Compare(d[:], from[:]) >= 0 && wanted(d) {
			digests = append(digests, d)
		}
	}
	slices.SortFunc(digests, func(a, b Digest) int { return bytes.Compare(a[:], b[:]) })
	n := min(maxClaimsPerMessage, len(digests))
	claims := make([]Claim, n)
	for i, d := range digests[:n] {
		cl := h.claims[d]
		claims[i] = Claim{
			Digest:    d,
			Service:   cl.service,
			Owner:     cl.owner,
			Nonce:     cl.nonce,
			Remaining: cl.expires - h.core.now,
		}
	}
	return claims, n == len(digests)
}

// handleClaimsReply stores claims handed over by a member of the previous set and
// requests the next ones.
func (h *claimHolder) handleClaimsReply(from Peer, m HandoverReply) {
	if m.Set != h.set.Number || !containsPeer(h.set.Previous, from) {
		return
	}
	h.recordNewSetApplied(from)
	if !m.Ready || h.handedOver[from] || m.FirstDigest != h.nextDigest[from] {
		return
	}
	for _, cl := range m.Claims {
		h.mergeClaim(cl)
	}
	if !m.IsLast {
		h.nextDigest[from] = m.Claims[len(m.Claims)-1].Digest.next()
		h.core.send(from, HandoverRequest{Set: m.Set, FirstDigest: h.nextDigest[from], RetainsClaims: h.retainsClaims})
		return
	}
	h.handedOver[from] = true
	h.updateComplete()
	h.voteOnPending()
}

// next returns the digest that follows d in sorted order.
func (d Digest) next() Digest {
	for i := len(d) - 1; i >= 0; i-- {
		d[i]++
		if d[i] != 0 {
			break
		}
	}
	return d
}

// mergeClaim stores a claim that was granted in the previous set. If a different
// claim of the digest is already stored, two owners are possible: it stores a
// claim without owner, so that no claimant gets it. It ignores a claim that this
// balancer is not a holder of or that it has retained from the previous set. It stores
// the claim also beyond MaxClaims: without it the request could be granted again and run
// twice. The previous members have granted at most MaxClaims each, and this holder grants
// no further ones while it has MaxClaims.
func (h *claimHolder) mergeClaim(m Claim) {
	if !containsPeer(h.ring.holdersOf(m.Digest), h.self()) {
		return
	}
	if h.retainsClaims && containsPeer(h.previousRing.holdersOf(m.Digest), h.self()) {
		return
	}
	cl := claim{service: m.Service, owner: m.Owner, nonce: m.Nonce, expires: h.core.now + m.Remaining}
	if stored, ok := h.claims[m.Digest]; ok {
		cl.service = stored.service
		cl.expires = max(cl.expires, stored.expires)
		if stored.owner != cl.owner || stored.nonce != cl.nonce {
			cl.owner, cl.nonce = Peer{}, 0
		}
	}
	h.storeClaim(m.Digest, cl)
}

// updateComplete records the current set as complete if this member has every
// claim of the previous set that it needs, for all digests.
func (h *claimHolder) updateComplete() {
	if h.isMember() && (h.claimsExpired || h.set.Number == 1 || h.hasHandoverQuorum()) {
		h.completeSets[h.set.Number] = true
		h.newestComplete = h.set.Number
	}
}

// hasHandoverQuorum reports whether, for every digest, a majority of its holders in
// the previous set have handed their claims over. If there are at least
// holdersPerClaim failure domains, the holders of a digest are in different ones, so
// that at most one holder per domain is missing.
func (h *claimHolder) hasHandoverQuorum() bool {
	var domains, missingDomains []string
	maxMissing := 0
	for _, m := range h.set.Previous {
		if !slices.Contains(domains, m.Domain) {
			domains = append(domains, m.Domain)
		}
		if h.handedOver[m.Peer] {
			continue
		}
		maxMissing++
		if !slices.Contains(missingDomains, m.Domain) {
			missingDomains = append(missingDomains, m.Domain)
		}
	}
	size := min(holdersPerClaim, len(h.set.Previous))
	if len(domains) >= holdersPerClaim {
		maxMissing = len(missingDomains)
	}
	return size > 0 && size-maxMissing >= majority(size)
}
