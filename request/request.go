// Package request decides what a balancer does with requests: where each one
// queues, which target runs it and which reply its caller receives. It ensures
// that a request which is not repeatable runs at most once.
//
// In each failure domain one balancer is the coordinator of a service: it
// queues the service's requests and sends them to the targets of its domain.
// The other balancers of the domain forward requests to it (Hop). A coordinator
// pushes requests to the coordinator of another domain that would run them
// earlier (Push).
//
// Before a request that is not repeatable runs, its coordinator has to own the
// claim of the request: it asks up to three claim holders for their votes and
// needs a majority of them.
//
// # Usage
//
// A process creates one Core when it starts and calls it from one goroutine:
//
//	core := request.New(request.Config{Self: self, Seed: seed})
//	execute(core.Handle(now, request.ConfigChanged{Config: cfg}))
//	execute(core.Handle(now, request.ViewChanged{Members: live}))
//	execute(core.Handle(now, request.ClaimHoldersChanged{Set: holders}))
//
// The process calls Handle for each event below, with the time on its own
// monotonic clock, and executes the returned effects in order:
//
//   - Received: a caller's decoded datagram to an address with
//     service.ModeRequest; Cancelled: a caller's reset
//   - Answered: a datagram from a target, with the token of the attempt
//   - MessageReceived: a message from another balancer, decoded by
//     requestpb.Unmarshal; From is the Peer, with Name and Life, that the envelope
//     of the message names as the sender
//   - TargetLost: the health checks found a target dead
//   - Tick: the time of the last Wake has been reached
//   - Stop: the process is to stop; it may exit once Handle returns Stopped
//
// The effects are: Forward sends a request to a target with the attempt's token
// in place of the caller's, Abort cancels the attempt there, Send sends a
// message to another balancer (requestpb.Marshal), Reply sends the final reply
// to a caller, Wake sets the only timer, and Stopped reports that no work is
// left.
//
// As a CoAP response, a Reply with OutcomeResponse has the target's code and
// payload, OutcomeNotRun is 5.03 with Max-Age, OutcomeBusy is 4.29 with Max-Age
// and OutcomeUnknown is 5.04. POST is not repeatable; GET, PUT and DELETE are. A
// target's 5.03 is ResultRefused with RetryAfter from its Max-Age.
//
// The claim holders are a set of at most twelve balancers, however many
// balancers there are, because each of them sends a heartbeat to each other one
// every Times.HeartbeatInterval.
//
// The process must not deliver a message to a receiver whose Life differs from
// that in Send.To. Messages may be lost, duplicated and reordered. A target must
// run repeated Forward datagrams with one token as one request, as the message
// IDs of CoAP provide.
//
// The Core also detects pauses of its process, by comparing the times of
// successive calls of Handle. For this the process must read its clock only when
// it calls Handle, not earlier.
package request

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies one request: all copies of its datagram have the same key.
type Key struct {
	Caller netip.AddrPort
	// Address is the service address that the caller sent the request to.
	Address   netip.AddrPort
	Token     string
	MessageID uint16
}

// Digest is a 128-bit hash of a Key. If the digests of two requests that are not
// repeatable collide, the second one is refused; neither runs twice.
type Digest [16]byte

// Digest returns the digest of k.
func (k Key) Digest() Digest {
	b := make([]byte, 0, 64)
	b = k.Caller.Addr().AppendTo(b)
	b = binary.BigEndian.AppendUint16(b, k.Caller.Port())
	b = k.Address.Addr().AppendTo(b)
	b = binary.BigEndian.AppendUint16(b, k.Address.Port())
	b = binary.BigEndian.AppendUint16(b, k.MessageID)
	b = append(b, k.Token...)
	var d Digest
	binary.BigEndian.PutUint64(d[:8], xxhash.Sum64(b))
	binary.BigEndian.PutUint64(d[8:], xxhash.Sum64(append(b, 1)))
	return d
}

// Request is one request of a caller.
type Request struct {
	Key     Key
	Service string
	// Code is the CoAP code of the method.
	Code uint8
	// Repeatable reports whether the request is idempotent, so that it may run
	// more than once.
	Repeatable bool
	// Remaining is the time until the caller's deadline, at the time of the event
	// or message that contains the request.
	Remaining time.Duration
	// Payload is the rest of the datagram, which this package does not decode:
	// options and content.
	Payload []byte
}

// Peer identifies one process instance of a balancer. A restarted balancer is
// another peer.
type Peer struct {
	Name string
	// Life identifies the instance among those of the same name.
	Life uint64
}

// Member is a balancer with its failure domain.
type Member struct {
	Peer
	Domain string
}

// ClaimHolderSet is the numbered list of the claim holders: the balancers that vote
// on claims and store them. It changes only through the platform, and its number
// grows by 1 with each change.
type ClaimHolderSet struct {
	Number  uint64
	Members []Member
	// Previous are the members of the set with the preceding number.
	Previous []Member
}

// holdersPerClaim is the number of claim holders that vote on one claim. If the set
// has fewer members, all of them vote.
const holdersPerClaim = 3

// majority returns the smallest number that is more than half of n.
func majority(n int) int {
	return n/2 + 1
}

// ring ranks members for a digest by rendezvous hashing.
type ring struct {
	members []Member
	// memberHashes has the hash of each member, in the order of members.
	memberHashes []uint64
}

// newRing returns a ring of members.
func newRing(members []Member) ring {
	r := ring{members: members, memberHashes: make([]uint64, len(members))}
	for i, m := range members {
		r.memberHashes[i] = rendezvousWeight("", m.Name, m.Life)
	}
	return r
}

// holdersOf returns the claim holders of d: the highest ranked members, from as
// many different failure domains as possible.
func (r ring) holdersOf(d Digest) []Member {
	digestHigh := binary.BigEndian.Uint64(d[:8])
	chosen := make([]Member, 0, holdersPerClaim)
	for len(chosen) < min(holdersPerClaim, len(r.members)) {
		i := r.highestRanked(digestHigh, chosen, true)
		if i < 0 {
			i = r.highestRanked(digestHigh, chosen, false)
		}
		chosen = append(chosen, r.members[i])
	}
	return chosen
}

// highestRanked returns the index of the highest ranked member that is not in
// chosen, or -1. The ranking is that for the digests whose first half is digestHigh.
// If distinctDomains is set, it also skips members that are in the failure domain of
// a chosen member.
func (r ring) highestRanked(digestHigh uint64, chosen []Member, distinctDomains bool) int {
	best, bestWeight := -1, uint64(0)
	for i, m := range r.members {
		if isExcluded(m, chosen, distinctDomains) {
			continue
		}
		if w := mix(digestHigh ^ r.memberHashes[i]); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

// isExcluded reports whether m is in chosen or, if distinctDomains is set, in
// the failure domain of a chosen member.
func isExcluded(m Member, chosen []Member, distinctDomains bool) bool {
	for _, o := range chosen {
		if o.Peer == m.Peer || distinctDomains && o.Domain == m.Domain {
			return true
		}
	}
	return false
}

// mix hashes x with the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// selectCoordinator returns the member of domain that queues the requests of
// service, by rendezvous hashing over the names. It returns false if domain has
// no member.
func selectCoordinator(members []Member, domain, service string) (Member, bool) {
	var best Member
	var weight uint64
	for _, m := range members {
		if m.Domain != domain {
			continue
		}
		w := rendezvousWeight(service, m.Name, 0)
		if best.Name == "" || w > weight || w == weight && m.Name < best.Name {
			best, weight = m, w
		}
	}
	return best, best.Name != ""
}

// rendezvousWeight returns a hash of key and a balancer's name and life.
func rendezvousWeight(key, name string, life uint64) uint64 {
	b := make([]byte, 0, 64)
	b = append(b, key...)
	b = append(b, 0)
	b = append(b, name...)
	b = binary.BigEndian.AppendUint64(b, life)
	return xxhash.Sum64(b)
}
