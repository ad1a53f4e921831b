package request

import (
	"maps"
	"slices"
	"time"
)

// keptSets is the number of older sets for which claims are handed over.
const keptSets = 8

// claim is what a holder remembers, write-once, about a digest.
type claim struct {
	service string
	// owner is the zero Peer where two owners are possible: nobody gets it.
	owner   Peer
	nonce   uint64
	expires time.Duration
}

// holder is a balancer's part as one of the holders of claims.
type holder struct {
	core *Core
	set  HolderSet
	// ring and before rank the members of the set and of the one before.
	ring   ring
	before ring
	claims map[Digest]claim
	counts map[string]int
	// heard is when a member was last heard with the own set.
	heard map[Peer]time.Duration
	// kept says that the claims of the set before are still held and suffice
	// where this holder is in both groups.
	kept bool
	// delivered are the members of the set before that handed their claims over.
	delivered map[Peer]bool
	// adopted are the members of the set before that have left it.
	adopted map[Peer]bool
	// next is the first digest that a member has not handed over yet.
	next map[Peer]Digest
	// waited says that all claims of the set before are too old to matter.
	waited bool
	// complete are the numbers of the sets whose claims are all held, and newest
	// is the largest of them.
	complete map[uint64]bool
	newest   uint64
	// unready are the asks that could not be answered yet.
	unready unreadyAsks
}

func (h *holder) init(c *Core) {
	h.core = c
	h.claims = make(map[Digest]claim)
	h.counts = make(map[string]int)
	h.complete = make(map[uint64]bool)
}

func (h *holder) self() Peer { return h.core.cfg.Self.Peer }

// member reports whether this life is in the set.
func (h *holder) member() bool { return contains(h.set.Members, h.self()) }

// ask answers an owner that wants a claim. An ask of the own set or of a later
// one that it can't tell about now is answered again as soon as it can.
func (h *holder) ask(from Peer, m ClaimRequest) Vote {
	v := h.vote(from, m)
	if v.Decision == VoteUnready && m.Set >= h.set.Number {
		h.unready.add(unreadyAsk{from: from, ask: m, at: h.core.now})
	}
	return v
}

func (h *holder) vote(from Peer, m ClaimRequest) Vote {
	v := Vote{Set: m.Set, Nonce: m.Nonce, Decision: VoteUnready}
	if m.Set != h.set.Number || !h.grants(m.Digest) {
		return v
	}
	held, ok := h.claims[m.Digest]
	switch {
	case ok && held.owner == from && held.nonce == m.Nonce:
		v.Decision = VoteGranted
	case ok:
		v.Decision = VoteDenied
		v.Owner = held.owner
	case h.counts[m.Service] < h.core.cfg.MaxClaims:
		h.keep(m.Digest, claim{service: m.Service, owner: from, nonce: m.Nonce, expires: h.core.now + h.core.cfg.RepeatWindow})
		v.Decision = VoteGranted
	}
	return v
}

func (h *holder) keep(d Digest, cl claim) {
	if _, ok := h.claims[d]; !ok {
		h.counts[cl.service]++
	}
	h.claims[d] = cl
}

// grants reports whether this holder may vote about d now.
func (h *holder) grants(d Digest) bool {
	if !h.tenured() || !contains(h.ring.group(d), h.self()) {
		return false
	}
	return h.holds(d)
}

// tenured reports whether a majority of the set was heard lately.
func (h *holder) tenured() bool {
	if !h.member() {
		return false
	}
	n := 1
	for _, at := range h.heard {
		if h.core.now-at <= h.core.cfg.QuorumTimeout {
			n++
		}
	}
	return n >= majority(len(h.set.Members))
}

// holds reports whether every claim of d that the set before may have given is
// known here.
func (h *holder) holds(d Digest) bool {
	if h.waited || h.set.Number == 1 {
		return true
	}
	before := h.before.group(d)
	if h.kept && contains(before, h.self()) {
		return true
	}
	n := 0
	for _, m := range before {
		if h.delivered[m.Peer] {
			n++
		}
	}
	return n >= majority(len(before))
}

// housekeep tells the others that this holder lives, asks for claims that are
// missing and drops old ones.
func (h *holder) housekeep() {
	h.expire()
	if !h.member() {
		return
	}
	for _, m := range h.set.Members {
		if m.Peer != h.self() {
			h.core.send(m.Peer, HolderHeartbeat{Set: h.set.Number})
		}
	}
}

func (h *holder) expire() {
	maps.DeleteFunc(h.complete, func(n uint64, _ bool) bool { return n+keptSets < h.set.Number })
	maps.DeleteFunc(h.claims, func(_ Digest, cl claim) bool {
		old := h.core.now > cl.expires
		if old {
			h.counts[cl.service]--
		}
		return old
	})
}

// beat notes that a member lives with the set that it names. Soon after a pause
// it may be an old one.
func (h *holder) beat(from Peer, m HolderHeartbeat) {
	recent := h.core.now-h.core.paused > h.core.cfg.MaxPause
	if recent && m.Set == h.set.Number && contains(h.set.Members, from) {
		h.hear(from)
	}
	if m.Set >= h.set.Number {
		h.hasAdopted(from)
	}
}

// hear notes a heartbeat. The first one of a member that has just come to the
// own set is answered, since it may have missed the last one.
func (h *holder) hear(from Peer) {
	tenured := h.tenured()
	_, known := h.heard[from]
	h.heard[from] = h.core.now
	if !known {
		h.core.send(from, HolderHeartbeat{Set: h.set.Number})
	}
	if !tenured && h.tenured() {
		h.answerUnready()
	}
}

// hasAdopted notes that a member of the set before has left it. Once a majority
// has, no holder of that set grants for longer than its tenure.
func (h *holder) hasAdopted(from Peer) {
	if h.waited || h.adopted[from] || !contains(h.set.Previous, from) {
		return
	}
	h.adopted[from] = true
	if len(h.adopted) != majority(len(h.set.Previous)) {
		return
	}
	t := h.core.cfg.Times
	number := h.set.Number
	h.core.after(t.RepeatWindow+t.QuorumTimeout+t.MaxClockSkew, func() {
		if h.set.Number == number {
			h.waited = true
			h.checkComplete()
			h.answerUnready()
		}
	})
}

// keeps reports whether a holder that stays in a group may go on with the claims
// that it has itself. Some that stay may have missed a claim of the old
// majority; a new majority has to be larger than these are.
func keeps(members, previous int) bool {
	size := min(groupSize, previous)
	missed := size - majority(size)
	return majority(min(groupSize, members)) > missed
}

// change adopts a newer set.
func (h *holder) change(s HolderSet) {
	if s.Number <= h.set.Number {
		return
	}
	was := h.complete[h.set.Number] && s.Number == h.set.Number+1 && h.member()
	h.set = HolderSet{Number: s.Number, Members: slices.Clone(s.Members), Previous: slices.Clone(s.Previous)}
	h.ring = newRing(h.set.Members)
	h.before = newRing(h.set.Previous)
	h.heard = make(map[Peer]time.Duration)
	h.delivered = make(map[Peer]bool)
	h.adopted = make(map[Peer]bool)
	h.next = make(map[Peer]Digest)
	h.waited = false
	was = was && contains(s.Previous, h.self())
	h.kept = was && keeps(len(s.Members), len(s.Previous))
	if was {
		h.delivered[h.self()] = true
		h.hasAdopted(h.self())
	}
	h.checkComplete()
	h.housekeep()
	h.fetch(s.Number)
	h.core.checkClaims()
	h.answerUnready()
}
