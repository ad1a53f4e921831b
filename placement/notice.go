package placement

import (
	"time"

	"wisteriaweir/packet"
)

// TargetEvent says what changed in what is believed of a target.
type TargetEvent string

// Events of a TargetNotice.
const (
	TargetAdded       TargetEvent = "target new"
	TargetRemoved     TargetEvent = "target gone"
	TargetReadded     TargetEvent = "target back"
	TargetDraining    TargetEvent = "target draining"
	TargetCollides    TargetEvent = "target stamp collides"
	TargetSuspect     TargetEvent = "target suspect"
	TargetDead        TargetEvent = "target dead"
	TargetFailing     TargetEvent = "target fails a part"
	TargetAlive       TargetEvent = "target alive"
	TargetDeadExpired TargetEvent = "target no longer known as dead"
)

// TargetNotice is one change of what is believed of a target.
type TargetNotice struct {
	Event  TargetEvent
	Target *Target
	// Outcomes is what a target is found failing by, that of other hosts included.
	Outcomes OutcomeWeights
}

func (c *Core) notify(e TargetEvent, t *Target) {
	if c.cfg.Observe != nil {
		c.cfg.Observe(TargetNotice{Event: e, Target: t})
	}
}

func (c *Core) notifyFailing(t *Target, n OutcomeWeights) {
	if c.cfg.Observe != nil {
		c.cfg.Observe(TargetNotice{Event: TargetFailing, Target: t, Outcomes: n})
	}
}

// FlowEvent says what was decided on a flow, or what it showed.
type FlowEvent string

// Events of a FlowNotice.
const (
	// FlowPlaced: an opening packet goes to a target.
	FlowPlaced FlowEvent = "flow placed"
	// FlowPlacedAgain: it goes to another one as well, as the first did not answer.
	FlowPlacedAgain FlowEvent = "flow placed again"
	// FlowTakenOver: a flow that another host opened comes here.
	FlowTakenOver FlowEvent = "flow taken over"
	// FlowRejected: an opening packet is answered by a reset.
	FlowRejected FlowEvent = "flow rejected"
	// FlowReset: an open flow is reset.
	FlowReset FlowEvent = "flow reset"
	// FlowAnswered: the first answer reached the caller. Took is the time since.
	FlowAnswered FlowEvent = "flow answered"
	// RequestAnswered: the caller got more of an answer. Took is the time since the
	// request was forwarded.
	RequestAnswered FlowEvent = "request answered"
	// RequestWaited: a request was held and has gone to its target. Took is the time
	// that it waited.
	RequestWaited FlowEvent = "request waited"
)

// FlowNotice is one decision on a flow, with its inputs.
type FlowNotice struct {
	Event  FlowEvent
	Flow   packet.FlowKey
	Target *Target
	Reason Reason
	Took   time.Duration
	// Retransmits is the number of earlier sends of the opening packet.
	Retransmits uint32
}

func (c *Core) notifyFlow(n FlowNotice) {
	if c.cfg.ObserveFlow != nil {
		c.cfg.ObserveFlow(n)
	}
}

// TargetStatus is the load of a target as a decision sees it.
type TargetStatus struct {
	// Open counts the flows of this host, Opening those without a first answer, Busy
	// the requests in progress, Waiting those that are held here.
	Open    int `json:"open"`
	Opening int `json:"opening"`
	Busy    int `json:"busy"`
	Waiting int `json:"waiting"`
	// Window is the number of requests that this host may have in progress there.
	Window float64 `json:"window"`
	// PeerLoad is what the neighbours add.
	PeerLoad TargetLoad `json:"others"`
	// State is ready, draining, gone, suspect, failing, dead or collides.
	State string `json:"state"`
}

// Status returns the load and the state of the target.
func (t *Target) Status(now time.Duration) TargetStatus {
	s := TargetStatus{Open: t.open, Opening: t.opening, Busy: t.busy, Waiting: t.waiting.size(), Window: t.window.size, PeerLoad: t.others, State: "ready"}
	switch {
	case t.collides:
		s.State = "collides"
	case t.dead:
		s.State = "dead"
	case t.gone:
		s.State = "gone"
	case t.suspect(now) || t.deadTold(now):
		s.State = "suspect"
	case t.failing(now):
		s.State = "failing"
	case t.Draining:
		s.State = "draining"
	}
	return s
}

// Targets returns the targets that are remembered, those born first in front.
func (c *Core) Targets() []*Target {
	return c.order
}

// FlowCount returns the number of flows that are remembered.
func (c *Core) FlowCount() int {
	return len(c.flows)
}
