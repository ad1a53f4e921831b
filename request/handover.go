package request

import (
	"bytes"
	"slices"
)

// handoverPart is the number of claims in one message.
const handoverPart = 256

// fetch asks the members of the set before for the claims that are missing,
// until they have come or the set has changed.
func (h *holder) fetch(number uint64) {
	if h.set.Number != number || h.complete[number] || !h.member() {
		return
	}
	for _, m := range h.set.Previous {
		if !h.delivered[m.Peer] && m.Peer != h.self() {
			h.core.send(m.Peer, ClaimsRequest{Set: number, FirstDigest: h.next[m.Peer], RetainsClaims: h.kept})
		}
	}
	h.core.after(2*h.core.cfg.ResendInterval, func() { h.fetch(number) })
}

// fetched hands claims over to a member of a newer set than the one that they
// were granted in. Nothing is granted in the older one any more.
func (h *holder) fetched(from Peer, m ClaimsRequest) {
	if h.set.Number < m.Set {
		return
	}
	reply := ClaimsReply{Set: m.Set, FirstDigest: m.FirstDigest, Ready: h.complete[m.Set-1]}
	if reply.Ready {
		reply.Claims, reply.IsLast = h.part(m.FirstDigest, h.wants(from, m))
	}
	h.core.send(from, reply)
}

// wants returns which claims a member of a set needs: all, when the set is not
// the own one. Those that it has kept from the set before it needs not.
func (h *holder) wants(p Peer, m ClaimsRequest) func(Digest) bool {
	if m.Set != h.set.Number {
		return func(Digest) bool { return true }
	}
	return func(d Digest) bool {
		return contains(h.ring.group(d), p) && !(m.RetainsClaims && contains(h.before.group(d), p))
	}
}

// part returns the claims from a digest on, in order, and whether these are
// all.
func (h *holder) part(from Digest, wanted func(Digest) bool) ([]Claim, bool) {
	var digests []Digest
	for d := range h.claims {
		if bytes.Compare(d[:], from[:]) >= 0 && wanted(d) {
			digests = append(digests, d)
		}
	}
	slices.SortFunc(digests, func(a, b Digest) int { return bytes.Compare(a[:], b[:]) })
	n := min(handoverPart, len(digests))
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

// claimed takes claims over from a member of the set before.
func (h *holder) claimed(from Peer, m ClaimsReply) {
	if m.Set != h.set.Number || !contains(h.set.Previous, from) {
		return
	}
	h.hasAdopted(from)
	if !m.Ready || h.delivered[from] || m.FirstDigest != h.next[from] {
		return
	}
	for _, cl := range m.Claims {
		h.merge(cl)
	}
	if !m.IsLast {
		h.next[from] = m.Claims[len(m.Claims)-1].Digest.next()
		h.core.send(from, ClaimsRequest{Set: m.Set, FirstDigest: h.next[from], RetainsClaims: h.kept})
		return
	}
	h.delivered[from] = true
	h.checkComplete()
	h.answerUnready()
}

// next returns the digest that follows d.
func (d Digest) next() Digest {
	for i := len(d) - 1; i >= 0; i-- {
		d[i]++
		if d[i] != 0 {
			break
		}
	}
	return d
}

// merge adds a claim that was granted in the set before. Where two owners are
// possible, nobody gets it.
func (h *holder) merge(m Claim) {
	if !contains(h.ring.group(m.Digest), h.self()) {
		return
	}
	if h.kept && contains(h.before.group(m.Digest), h.self()) {
		return
	}
	cl := claim{service: m.Service, owner: m.Owner, nonce: m.Nonce, expires: h.core.now + m.Remaining}
	if held, ok := h.claims[m.Digest]; ok {
		cl.service = held.service
		cl.expires = max(cl.expires, held.expires)
		if held.owner != cl.owner || held.nonce != cl.nonce {
			cl.owner, cl.nonce = Peer{}, 0
		}
	}
	h.keep(m.Digest, cl)
}

// checkComplete notes when every claim of the set before is held that this
// member needs, whatever its digest.
func (h *holder) checkComplete() {
	if h.member() && (h.waited || h.set.Number == 1 || h.enough()) {
		h.complete[h.set.Number] = true
		h.newest = h.set.Number
	}
}

// enough reports whether every group of the set before has a majority among
// the members that handed their claims over.
func (h *holder) enough() bool {
	var domains, missing []string
	n := 0
	for _, m := range h.set.Previous {
		if !slices.Contains(domains, m.Domain) {
			domains = append(domains, m.Domain)
		}
		if h.delivered[m.Peer] {
			continue
		}
		n++
		if !slices.Contains(missing, m.Domain) {
			missing = append(missing, m.Domain)
		}
	}
	size := min(groupSize, len(h.set.Previous))
	if len(domains) >= groupSize {
		n = len(missing)
	}
	return size > 0 && size-n >= majority(size)
}
