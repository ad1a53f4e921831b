// Package flow routes the datagrams of long-lived flows (feeds, streams and
// uploads) so that a flow keeps its target although any of its datagrams may
// reach any balancer.
//
// Every balancer computes the same assignment tables from the same Epoch. A
// flow whose target is not that of the newest table is pinned, and only pins
// are told to the other balancers. EpochManager is the control state of a
// balancer: it moves from epoch to epoch together with its peers. A Shard is
// the part of the flows that one traffic worker owns.
//
// # Usage
//
// A process makes one EpochManager and several shards, chosen by Key.Hash:
//
//	g := flow.NewEpochManager(flow.EpochManagerConfig{Self: "b1", Life: life})
//	s := flow.NewShard(flow.ShardConfig{MaxFlows: 65536})
//	epoch := flow.NewEpoch(flow.EpochConfig{Number: 7, Config: cfg, Members: members}, nil)
//	effects := g.Handle(now, flow.EpochEvent{Epoch: epoch})
//
// It carries out the effects in their order. Publish goes to Shard.Apply on
// every shard, Collect to Shard.Collect on every shard (the results come back
// together as one CollectedEvent), CollectHandover likewise (HandoverEvent), Learn,
// LearnUnannounced and LearnHandover to the shard that owns the hash, and Send to the named
// member, whose EpochManager receives it as a BatchEvent. A TickEvent every 100 ms drives batches and resends; the pins of
// Shard.DrainPins go in as a PinsEvent with the tick.
//
// The owner of a shard routes a datagram without a lock or an allocation:
//
//	switch v := s.Route(now, flow.Key{Caller: from, Address: to}); v.Action {
//	case flow.Forward: // send the datagram to v.Address
//	case flow.Hop:     // send the datagram to the hop address of v.Member
//	case flow.Reset:   // tell the caller that the flow has ended
//	}
//
// A datagram that came by a hop is routed by Shard.RouteHop; when the verdict
// is Forward, its Pin goes back to the member that sent the hop, which passes
// it to Shard.AdoptPin.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key names a flow: the caller's endpoint and the service address that it uses.
type Key struct {
	Caller  netip.AddrPort
	Address netip.AddrPort
}

const (
	ipSize  = 16
	keySize = 2 * (ipSize + 2)
)

// Hash returns the 64-bit hash of k, equal on every balancer.
func (k Key) Hash() uint64 {
	var b [keySize]byte
	caller := k.Caller.Addr().As16()
	address := k.Address.Addr().As16()
	copy(b[:], caller[:])
	binary.BigEndian.PutUint16(b[ipSize:], k.Caller.Port())
	copy(b[ipSize+2:], address[:])
	binary.BigEndian.PutUint16(b[keySize-2:], k.Address.Port())
	return xxhash.Sum64(b[:])
}

// callerHash returns the hash of the caller's IP address, by which its flows
// are counted.
func (k Key) callerHash() uint32 {
	ip := k.Caller.Addr().As16()
	hi := binary.LittleEndian.Uint64(ip[:8])
	lo := binary.LittleEndian.Uint64(ip[8:])
	return uint32(mix(hi^mix(lo)) >> 32)
}

// TargetID identifies a target of a service across configurations.
type TargetID uint64

// NewTargetID returns the identity of the target called name of a service.
func NewTargetID(service, name string) TargetID {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return TargetID(d.Sum64())
}

// Pin says that a flow stays on a target whatever the newest table says.
type Pin struct {
	Hash   uint64
	Target TargetID
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
