// Package request decides what a balancer does with requests: where each one
// queues, which target runs it, what its caller is told, and that a request
// which may not be repeated runs at most once.
//
// # Usage
//
// A process makes one Core per life and calls it from one goroutine:
//
//	core := request.New(request.Config{Self: self, Seed: seed})
//	perform(core.Handle(now, request.ConfigChanged{Config: cfg}))
//	perform(core.Handle(now, request.ViewChanged{Members: live}))
//	perform(core.Handle(now, request.HoldersChanged{Set: holders}))
//
// It feeds an event for each thing that happens, with the time on its own
// monotonic clock, and performs the returned effects in their order:
//
//   - a caller's datagram of an address with service.ModeRequest, decoded:
//     Received; a caller's reset: Cancelled
//   - a datagram from a target: Answered, with the attempt's token
//   - a message from another balancer: MessageReceived, decoded by
//     requestpb.Unmarshal; From is the sender's name and life, as its envelope
//     says
//   - a target that the health checks found dead: TargetLost
//   - the time named by the last Wake has come: Tick
//   - the process is to stop: Stop; it ends once Stopped is returned
//
// The effects: Forward sends a request to a target with the attempt's token in
// place of the caller's, Abort cancels it there, Send carries a message to
// another balancer (requestpb.Marshal), Reply answers a caller, Wake sets the
// one timer, Stopped says that nothing is left.
//
// On the wire of CoAP a Reply is: OutcomeAnswer the target's code and payload;
// OutcomeNotRun 5.03 with Max-Age; OutcomeBusy 4.29 with Max-Age; OutcomeUnknown 5.04.
// POST is not repeatable, GET, PUT and DELETE are. A target's 5.03 is
// ResultRefused with RetryAfter from its Max-Age.
//
// The holder set has at most a dozen members, whatever the number of
// balancers: they send each other a heartbeat every Times.HeartbeatInterval.
//
// A message whose receiver has another life than Send.To must not be
// delivered. Messages may be lost, repeated and reordered. The target must take
// a repeated Forward datagram of one token as one request, as CoAP's message
// IDs do.
//
// A process that reads its own clock only when it calls Handle also detects its
// own pauses: the Core compares successive times.
package request

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key names one request: all copies of its datagram have the same key.
type Key struct {
	Caller netip.AddrPort
	// Address is the service address that the caller sent the request to.
	Address   netip.AddrPort
	Token     string
	MessageID uint16
}

// Digest is a short form of a key. Two keys with one digest are never both
// forwarded, so a collision refuses and never repeats.
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
	// Code is the method on the wire.
	Code uint8
	// Repeatable says that running the request twice does no harm.
	Repeatable bool
	// Remaining is the time until the caller's deadline when the request came in.
	Remaining time.Duration
	// Payload is the rest of the datagram: options and content, opaque here.
	Payload []byte
}

// Peer is one life of a balancer. A restarted balancer is another peer.
type Peer struct {
	Name string
	Life uint64
}

// Member is a balancer with its failure domain.
type Member struct {
	Peer
	Domain string
}

// HolderSet is the numbered list of the balancers that hold claims. It is
// changed only through the platform, one number at a time.
type HolderSet struct {
	Number  uint64
	Members []Member
	// Previous are the members of the set with the number before.
	Previous []Member
}

// groupSize is the number of holders of one claim.
const groupSize = 3

// majority returns how many of n are more than half.
func majority(n int) int {
	return n/2 + 1
}

// ring is a list of members ready to be ranked by digest.
type ring struct {
	members []Member
	seeds   []uint64
}

func newRing(members []Member) ring {
	r := ring{members: members, seeds: make([]uint64, len(members))}
	for i, m := range members {
		r.seeds[i] = weigh("", m.Name, m.Life)
	}
	return r
}

// group returns the holders of d: the first members by rendezvous, from as
// many failure domains as there are.
func (r ring) group(d Digest) []Member {
	high := binary.BigEndian.Uint64(d[:8])
	chosen := make([]Member, 0, groupSize)
	for len(chosen) < min(groupSize, len(r.members)) {
		i := r.best(high, chosen, true)
		if i < 0 {
			i = r.best(high, chosen, false)
		}
		chosen = append(chosen, r.members[i])
	}
	return chosen
}

// best returns the index of the first member by rendezvous that is not chosen,
// nor, if apart is set, its failure domain.
func (r ring) best(d uint64, chosen []Member, apart bool) int {
	best, most := -1, uint64(0)
	for i, m := range r.members {
		if excluded(m, chosen, apart) {
			continue
		}
		if w := mix(d ^ r.seeds[i]); best < 0 || w > most {
			best, most = i, w
		}
	}
	return best
}

func excluded(m Member, chosen []Member, apart bool) bool {
	for _, o := range chosen {
		if o.Peer == m.Peer || apart && o.Domain == m.Domain {
			return true
		}
	}
	return false
}

// mix spreads the bits of x, as the finalizer of SplitMix64 does.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// keeper returns the member of domain that queues the requests of service.
func keeper(members []Member, domain, service string) (Member, bool) {
	var best Member
	var weight uint64
	for _, m := range members {
		if m.Domain != domain {
			continue
		}
		w := weigh(service, m.Name, 0)
		if best.Name == "" || w > weight || w == weight && m.Name < best.Name {
			best, weight = m, w
		}
	}
	return best, best.Name != ""
}

func weigh(key, name string, life uint64) uint64 {
	b := make([]byte, 0, 64)
	b = append(b, key...)
	b = append(b, 0)
	b = append(b, name...)
	b = binary.BigEndian.AppendUint64(b, life)
	return xxhash.Sum64(b)
}
