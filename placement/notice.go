package placement

import (
	"time"

	"wisteriaweir/packet"
)

// Event says what changed in what is believed of a target.
type Event string

// Events of a Notice.
const (
	TargetNew      Event = "target new"
	TargetGone     Event = "target gone"
	TargetBack     Event = "target back"
	TargetDraining Event = "target draining"
	TargetCollides Event = "target stamp collides"
	TargetSuspect  Event = "target suspect"
	TargetDead     Event = "target dead"
	TargetFailing  Event = "target fails a part"
	TargetAlive    Event = "target alive"
	TargetUnproved Event = "target no longer known as dead"
)

// Notice is one change of what is believed of a target.
type Notice struct {
	Event  Event
	Target *Target
	// Count is what a target is found failing by, that of other hosts included.
	Count FailureCount
}

func (c *Core) notify(e Event, t *Target) {
	if c.cfg.Observe != nil {
		c.cfg.Observe(Notice{Event: e, Target: t})
	}
}

func (c *Core) notifyFailing(t *Target, n FailureCount) {
	if c.cfg.Observe != nil {
		c.cfg.Observe(Notice{Event: TargetFailing, Target: t, Count: n})
	}
}

// FlowEvent says what was decided on a flow, or what it showed.
type FlowEvent string

// Events of a FlowNotice.
const (
	// FlowPlaced: an opening packet goes to a target.
	FlowPlaced FlowEvent = "flow placed"
	// FlowReplaced: it goes to another one as well, as the first did not answer.
	FlowReplaced FlowEvent = "flow placed again"
	// FlowTaken: a flow that another host opened comes here.
	FlowTaken FlowEvent = "flow taken over"
	// FlowRejected: an opening packet is answered by a reset.
	FlowRejected FlowEvent = "flow rejected"
	// FlowReset: an open flow is reset.
	FlowReset FlowEvent = "flow reset"
	// FlowAnswered: the first answer reached the caller. Took is the time since.
	FlowAnswered FlowEvent = "flow answered"
	// RequestDone: the caller got more of an answer. Took is the time since the
	// request was forwarded.
	RequestDone FlowEvent = "request answered"
	// RequestWaited: a request was held and has gone to its target. Took is the time
	// that it waited.
	RequestWaited FlowEvent = "request waited"
)

// FlowNotice is one decision on a flow, with its inputs.
type FlowNotice struct {
	Event  FlowEvent
	Flow   packet.Flow
	Target *Target
	Reason Reason
	Took   time.Duration
	// Copies is the number of earlier sends of the opening packet.
	Copies uint32
}

func (c *Core) notifyFlow(n FlowNotice) {
	if c.cfg.ObserveFlow != nil {
		c.cfg.ObserveFlow(n)
	}
}

// Standing is the load of a target as a decision sees it.
type Standing struct {
	// Open counts the flows of this host, Opening those without a first answer, Busy
	// the requests in progress, Waiting those that are held here.
	Open    int `json:"open"`
	Opening int `json:"opening"`
	Busy    int `json:"busy"`
	Waiting int `json:"waiting"`
	// Window is the number of requests that this host may have in progress there.
	Window float64 `json:"window"`
	// Others is what the neighbours add.
	Others TargetLoad `json:"others"`
	// State is ready, draining, gone, suspect, failing, dead or collides.
	State string `json:"state"`
}

// Standing returns the load and the state of the target.
func (t *Target) Standing(now time.Duration) Standing {
	s := Standing{Open: t.open, Opening: t.opening, Busy: t.busy, Waiting: t.waiting.size(), Window: t.window.size, Others: t.others, State: "ready"}
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

// Flows returns the number of flows that are remembered.
func (c *Core) Flows() int {
	return len(c.flows)
}
