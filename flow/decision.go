package flow

import "net/netip"

// Action is what has to be done with a datagram.
type Action uint8

const (
	// Drop discards the datagram.
	Drop Action = iota
	// Forward sends the datagram to Decision.Address.
	Forward
	// Hop sends the datagram to Decision.Member, which may know the flow or decides on
	// it.
	Hop
	// Reset notifies the caller that the flow has ended and discards the datagram.
	Reset
)

// Reason is the reason why a datagram was not forwarded to a target.
type Reason uint8

const (
	// ReasonNone is the reason of a Forward decision.
	ReasonNone Reason = iota
	// ReasonNoService marks an address that is not a flow address of any service.
	ReasonNoService
	// ReasonNoTarget marks a service without a target that gets new flows.
	ReasonNoTarget
	// ReasonNoMember marks a flow on which no reachable member can decide.
	ReasonNoMember
	// ReasonTablesDiffer marks a flow to which the tables of the live epochs assign
	// different targets.
	ReasonTablesDiffer
	// ReasonExcluded marks a flow that the shard does not know and whose target is
	// excluded from new flows.
	ReasonExcluded
	// ReasonStale marks a flow that this member may not open because it may have
	// missed an epoch.
	ReasonStale
	// ReasonShardFull marks a new flow beyond the limit of the shard.
	ReasonShardFull
	// ReasonCallerLimit marks a new flow beyond the limit of its caller.
	ReasonCallerLimit
	// ReasonTargetRemoved marks a flow whose target is down or was removed from the
	// configuration.
	ReasonTargetRemoved
	// ReasonSilent marks a flow to which its target no longer replies, although it
	// replies to other flows.
	ReasonSilent
	// ReasonHopLimit marks a datagram that would need another hop after MaxHops hops.
	ReasonHopLimit
	// ReasonLookup marks a flow whose owner sends the datagram to another member
	// because that member may know the flow.
	ReasonLookup
)

// Decision is the decision on one datagram.
type Decision struct {
	Action Action
	Reason Reason
	// Opened reports whether the datagram opened the flow in the shard.
	Opened bool
	// Address is the address of the target, set with Forward.
	Address netip.AddrPort
	// Member is the name of the member that gets the datagram, set with Hop.
	Member string
	// Pin is the flow and its target, set with Forward.
	Pin Pin
}
