// Package flow routes the datagrams of long-lived flows (feeds, streams and
// uploads) so that a flow keeps its target although each of its datagrams may
// arrive at a different balancer.
//
// Every balancer computes the same assignment tables from the same Epoch. A flow
// whose target differs from that of the newest table is pinned, and only pins are
// sent to the other balancers. One member, the owner of a flow, decides on the flow
// while the tables of the live epochs differ, and announces its pin to all members.
// EpochManager is the control state of a balancer: it moves from epoch to epoch
// together with its peers. A Shard stores the flows that one traffic worker handles.
//
// # Usage
//
// A process creates one EpochManager and several shards. Key.Hash selects the shard
// of a flow.
//
//	em := flow.NewEpochManager(flow.EpochManagerConfig{Self: "b1", Life: life})
//	s := flow.NewShard(flow.ShardConfig{MaxFlows: 65536})
//	epoch := flow.NewEpoch(flow.EpochConfig{Number: 7, Config: cfg, Members: members}, nil)
//	effects := em.Handle(now, flow.EpochEvent{Epoch: epoch})
//
// The process executes the effects in order:
//
//   - Publish calls Shard.Apply on every shard.
//   - Collect calls Shard.Collect on every shard. The results of all shards go into
//     one CollectedEvent.
//   - CollectHandover calls Shard.CollectHandover on every shard. The results of all
//     shards go into one HandoverEvent.
//   - Learn, LearnUnannounced and LearnHandover call the Shard method of the same
//     name on the shard that stores the flow with the hash of the pin.
//   - Send sends the batch to the named member, whose EpochManager handles it as a
//     BatchEvent.
//
// A TickEvent every 100 ms drives batches and resends. With each tick, the pins that
// Shard.DrainPins returns are handled as a PinsEvent.
//
// The worker that owns a shard routes a datagram without a lock or an allocation:
//
//	switch v := s.Route(now, flow.Key{Caller: from, Address: to}); v.Action {
//	case flow.Forward: // send the datagram to v.Address
//	case flow.Hop:     // send the datagram to the hop address of v.Member
//	case flow.Reset:   // send the caller a reset: the flow has ended
//	}
//
// A datagram that another member sent as a hop is routed by Shard.RouteHop. If the
// decision is Forward, its Pin is returned to the member that sent the hop, which
// passes it to Shard.AdoptPin.
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
	// ipSize is the size of an IP address in its 16-byte form.
	ipSize = 16
	// keySize is the size of the hashed form of a Key, in bytes: two addresses, each
	// with a two-byte port.
	keySize = 2 * (ipSize + 2)
)

// Hash returns the 64-bit hash of k, which is the same on every balancer.
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

// NewTargetID returns the identifier of the target called name of a service.
func NewTargetID(service, name string) TargetID {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return TargetID(d.Sum64())
}

// Pin assigns a flow, by its hash, to a target, regardless of the newest table.
type Pin struct {
	Hash   uint64
	Target TargetID
}

// mix returns a hash of x, computed by the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
