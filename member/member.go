// Package member maintains the list of balancers in all failure domains and the state of
// each: live, suspect, leaving or unreachable.
//
// Members send heartbeats to their successors on the ring of their domain and to random
// members, and exchange records with them, as in the SWIM protocol. A member that does not
// reply becomes suspect; it is unreachable unless it refutes the suspicion in time.
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
