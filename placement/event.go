package placement

import (
	"time"

	"wisteriaweir/packet"
)

// TargetEvent is a change of the state of a target. Its value is logged.
type TargetEvent string

// Events of a TargetNotice.
const (
	// TargetAdded: a target that was unknown so far is listed in the catalog.
	TargetAdded TargetEvent = "target new"
	// TargetRemoved: the target was removed from the catalog.
	TargetRemoved TargetEvent = "target gone"
	// TargetInvalid: the entry of the target is invalid, as another program has written it.
	// The target gets no new flows, its open ones stay.
	TargetInvalid TargetEvent = "target entry invalid"
	// TargetFound: a host has found a removed target at another host, by the stamp of an open
	// flow.
	TargetFound TargetEvent = "target found"
	// TargetReadded: the target is listed in the catalog again.
	TargetReadded TargetEvent = "target back"
	// TargetDraining: the target has announced its end and gets no new flows.
	TargetDraining TargetEvent = "target draining"
	// TargetCollides: a target that started earlier has the same stamp.
	TargetCollides TargetEvent = "target stamp collides"
	// TargetSuspect: the target has not responded to a flow, and for a while gets new
	// flows only if no other target can accept them.
	TargetSuspect TargetEvent = "target suspect"
	// TargetDead: the target is considered dead, as it responds to no flow.
	TargetDead TargetEvent = "target dead"
	// TargetFailing: the target is ejected, as it fails far more requests than the rest
	// of its pool.
	TargetFailing TargetEvent = "target fails a part"
	// TargetAlive: a target that was considered dead has responded.
	TargetAlive TargetEvent = "target alive"
	// TargetDeadExpired: the evidence that the target is dead has expired.
	TargetDeadExpired TargetEvent = "target no longer known as dead"
)

// TargetNotice is one change of the state of a target.
type TargetNotice struct {
	Event  TargetEvent
	Target *Target
	// Outcomes are the outcomes by which a target is ejected, those reported by other
	// hosts included. They are set for TargetFailing only.
	Outcomes OutcomeWeights
}

// notify calls Config.Observe, if it is set.
func (c *Core) notify(e TargetEvent, t *Target) {
	if c.cfg.Observe != nil {
		c.cfg.Observe(TargetNotice{Event: e, Target: t})
	}
}

// notifyFailing calls Config.Observe, if it is set, with TargetFailing and the outcomes
// by which the target is ejected.
func (c *Core) notifyFailing(t *Target, weights OutcomeWeights) {
	if c.cfg.Observe != nil {
		c.cfg.Observe(TargetNotice{Event: TargetFailing, Target: t, Outcomes: weights})
	}
}

// FlowEvent is a decision on a flow, or an observation of it. Its value is logged.
type FlowEvent string

// Events of a FlowNotice.
const (
	// FlowPlaced: an opening packet is sent to a target.
	FlowPlaced FlowEvent = "flow placed"
	// FlowPlacedAgain: the opening packet is sent once more, to another target if there
	// is one, because the previous target did not respond.
	FlowPlacedAgain FlowEvent = "flow placed again"
	// FlowTakenOver: the first packet of a flow that another host, or an earlier process
	// instance of this one, opened is received.
	FlowTakenOver FlowEvent = "flow taken over"
	// FlowRejected: an opening packet is answered by a reset. Duration is the expected
	// wait of its first request if the reason is Overloaded.
	FlowRejected FlowEvent = "flow rejected"
	// FlowReset: an open flow is reset, as its target is considered dead.
	FlowReset FlowEvent = "flow reset"
	// FlowAnswered: the response to the opening packet reached the caller. Duration is the
	// time since the flow was opened.
	FlowAnswered FlowEvent = "flow answered"
	// RequestAnswered: the caller received the first part of a response. Duration is
	// the time since the request was first sent to the target.
	RequestAnswered FlowEvent = "request answered"
	// RequestWaited: a queued request is sent to its target. Duration is the time that
	// it spent in the queue.
	RequestWaited FlowEvent = "request waited"
	// RequestExpired: a queued request is discarded without having been sent to its target,
	// because its caller has given up. Duration is the time that it spent in the queue.
	RequestExpired FlowEvent = "request expired"
	// PermitRefused: a target that is warming up could not be chosen for an opening packet,
	// because this host has no permit for it left. There is at most one notice for each
	// choice of a target, without Flow; Target is the last target that was left out.
	PermitRefused FlowEvent = "permit refused"
)

// FlowNotice is one decision on a flow, or one observation of it, with its inputs.
type FlowNotice struct {
	Event FlowEvent
	Flow  packet.FlowKey
	// Target is nil if no target was involved.
	Target *Target
	// Reason is set for FlowRejected and FlowReset.
	Reason Reason
	// Duration is a duration that depends on Event, 0 if the event has none.
	Duration time.Duration
	// Retransmits is the number of earlier sends of the opening packet by its caller. It
	// is 0 for events that are not a decision on a received opening packet.
	Retransmits uint32
	// Elsewhere is why the target is in another failure domain, for FlowPlaced and
	// FlowPlacedAgain.
	Elsewhere Elsewhere
}

// notifyFlow calls Config.ObserveFlow, if it is set.
func (c *Core) notifyFlow(n FlowNotice) {
	if c.cfg.ObserveFlow != nil {
		c.cfg.ObserveFlow(n)
	}
}
