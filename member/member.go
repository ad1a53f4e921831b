// Package member maintains the list of balancers in all failure domains and the state of
// each: live, suspect, leaving or unreachable. Each balancer is a member and has a list of
// its own; the lists of all members converge.
//
// The members of a failure domain form a ring, in the order of the hashes of their names.
// A member sends heartbeats to its successors on the ring, and to random members of its
// own and the other domains. Heartbeats carry the records of members that have changed, as
// in the SWIM protocol, and a part of all records if the lists of two members differ.
//
// A ring successor that misses several replies in a row, and is not reached by an indirect
// probe either, becomes suspect. It becomes unreachable unless it refutes the suspicion
// within SuspicionTimeout. All members of another domain are unreachable while no heartbeat
// has come from that domain for DomainTimeout.
//
// # Usage
//
// A Core processes events, each with the time at which it happened, and returns the
// effects to execute:
//
//	core := member.NewCore(member.Config{Self: self, Seed: seed})
//	for _, e := range core.Handle(now, member.Tick{}) {
//		switch e := e.(type) {
//		case member.Send:
//			// deliver e.Heartbeat to e.To
//		case member.Publish:
//			// store e.View where the traffic workers read it
//		}
//	}
//
// A View is immutable and may be shared between goroutines without a lock.
package member

import "net/netip"

// Member is the identity of one balancer and its addresses.
type Member struct {
	// Name is unique over all failure domains and stays the same after a restart.
	Name string `json:"name"`
	// Domain is the failure domain in which the balancer runs.
	Domain string `json:"domain"`
	// Life identifies the process instance: it differs between two runs under the same
	// name and address, and a later run has a greater one.
	Life uint64 `json:"life"`
	// Control is the address on which the balancer receives control messages.
	Control netip.AddrPort `json:"control"`
	// Hop is the UDP address on which the balancer receives forwarded packets.
	Hop netip.AddrPort `json:"hop"`
}
