// Package placement decides, for each packet of a caller, where it goes: the
// target of an open flow is found by the stamp that the packet carries, and a
// new flow is placed on a target by the load and the health that the flows
// themselves show.
//
// # Usage
//
//	c := placement.New(placement.Config{Domain: "west-a", Seed: 1})
//	c.SetCatalog(now, catalog)
//	switch d := c.Handle(now, p).(type) {
//	case placement.Forward:
//		// write d.To.Stamp into an opening packet, send it to d.To.At
//	case placement.Reject:
//		// reset the flow towards its caller
//	case placement.Drop:
//		// forget the packet, count d
//	}
//
// A Core has no input or output, no clock and no goroutine: time comes in as
// the time since the start of the process. It is not safe for concurrent use.
package placement

import (
	"math/rand/v2"
	"time"

	"wisteriaweir/catalog"
	"wisteriaweir/packet"
	"wisteriaweir/route"
)

// Decision says what to do with a packet: Forward, Reject, Drop or Queue.
type Decision interface {
	decision()
}

// Forward sends the packet to a target.
type Forward struct {
	To *Target
}

// Reject resets the flow towards its caller.
type Reject struct {
	Reason Reason
}

// Drop forgets the packet.
type Drop struct {
	Reason Reason
}

// Queue leaves the packet to the core, which sends it later by an Effect.
type Queue struct{}

func (Queue) decision()   {}
func (Forward) decision() {}
func (Reject) decision()  {}
func (Drop) decision()    {}

// Reason says why a packet is not forwarded.
type Reason uint8

// Reasons of Reject and Drop.
const (
	// NoRoute: no route leads from the address.
	NoRoute Reason = iota + 1
	// NoTarget: the route's service has no target that takes new flows.
	NoTarget
	// UnknownStamp: no target known has the stamp.
	UnknownStamp
	// CatalogIncomplete: routes or targets are not known yet.
	CatalogIncomplete
	// DeadTarget: the target of the open flow is dead.
	DeadTarget
	// Full: the table of flows is full.
	Full
	// Repeated: the packet repeats one that the core keeps.
	Repeated
	// Overloaded: more requests wait for each target than can be answered in time.
	Overloaded
)

// Config configures a Core.
type Config struct {
	// Domain is the failure domain of this host.
	Domain string
	// Seed seeds the choice between equal targets.
	Seed uint64
	// MaxFlows bounds the flows that are remembered.
	MaxFlows int
	// Observe is called for each change of what is believed of a target, if it is
	// set. It must not block.
	Observe func(TargetNotice)
	// ObserveFlow is called for each decision on a flow, if it is set. It must not
	// block.
	ObserveFlow func(FlowNotice)
}

// Core places flows.
type Core struct {
	cfg     Config
	rnd     *rand.Rand
	catalog catalog.Catalog
	targets map[string]*Target
	// order holds the targets, those born first in front.
	order   []*Target
	byStamp map[uint32]*Target
	pools   map[string][]*Target
	flows   map[packet.FlowKey]*flow
	// numbered is the number of the newest flow.
	numbered uint64
	// openings are the flows whose first answer is awaited, the oldest in front.
	openings []waiting
	// holds are the requests that wait for their targets, the oldest in front.
	holds []*held
	due   []Effect
	// requests are those in progress, the oldest in front.
	requests  []request
	expiredAt time.Duration
	// unanswered are the requests whose outcome is awaited, sizes the typical sizes
	// of answers by the address of their service.
	unanswered []unanswered
	sizes      map[route.Address]answerSize
	// neighbours are the other hosts of the failure domain by name.
	neighbours map[string]neighbour
	// told holds what other hosts have told of failures, by their names.
	told map[string]toldFailures
	// readyAt is when flows could first be placed.
	readyAt time.Duration
	ready   bool
	// outageAt is when the store was last away, outage whether it ever was.
	outageAt time.Duration
	outage   bool
	// drainedAt is when all packets that had come were last handled.
	drainedAt time.Duration
	// alive and stalls are the signs of life and the stalls of all targets.
	alive  recent
	stalls recent
	swept  time.Duration
}

// New returns a core that knows nothing yet.
func New(cfg Config) *Core {
	return &Core{
		cfg:     cfg,
		rnd:     rand.New(rand.NewPCG(cfg.Seed, 0)),
		targets: map[string]*Target{},
		byStamp: map[uint32]*Target{},
		pools:   map[string][]*Target{},
		flows:   map[packet.FlowKey]*flow{},

		neighbours: map[string]neighbour{},
		told:       map[string]toldFailures{},
		sizes:      map[route.Address]answerSize{},
	}
}

// Handle decides on one packet. The datagram that holds it is only read, and
// copied where it is kept.
func (c *Core) Handle(now time.Duration, p packet.Packet, datagram []byte) Decision {
	if !c.catalog.Complete() {
		return Drop{Reason: CatalogIncomplete}
	}
	if now-c.swept >= sweepEvery {
		c.sweep(now)
	}
	if now-c.expiredAt >= expireEvery {
		c.expire(now)
		c.releaseOverdue(now)
	}
	if p.IsOpening() {
		return c.handleOpen(now, p, datagram)
	}
	return c.handleData(now, p, datagram)
}

// handleOpen places a new flow, or the copy of an opening packet.
func (c *Core) handleOpen(now time.Duration, p packet.Packet, datagram []byte) Decision {
	r, ok := c.catalog.Routes().Lookup(route.Address{IP: p.Flow.ServiceIP, Port: p.Flow.ServicePort})
	if !ok {
		return c.reject(p, NoRoute)
	}
	f := c.flows[p.Flow]
	if f != nil && f.placed && f.seq == p.Seq && p.Retransmits > 0 {
		if f.answered {
			return Drop{Reason: Repeated} // Overtaken by the packet that opened the flow.
		}
		return c.handleCopy(now, p, f, r)
	}
	if f != nil {
		c.drop(f)
	}
	service := r.Pick(c.rnd.Float64())
	t := c.choose(now, service, nil)
	if t == nil {
		return c.reject(p, NoTarget)
	}
	if t.overloaded(r.Priority) {
		c.notifyFlow(FlowNotice{Event: FlowRejected, Flow: p.Flow, Target: t, Reason: Overloaded, Retransmits: p.Retransmits})
		return Reject{Reason: Overloaded}
	}
	if len(c.flows) >= c.cfg.MaxFlows {
		return c.reject(p, Full)
	}
	c.notifyFlow(FlowNotice{Event: FlowPlaced, Flow: p.Flow, Target: t, Retransmits: p.Retransmits})
	f = c.open(now, p, t, r.Kind)
	f.service = service
	f.datagram = append([]byte(nil), datagram...)
	c.await(now, f)
	return Forward{To: t}
}

// reject answers an opening packet by a reset.
func (c *Core) reject(p packet.Packet, reason Reason) Decision {
	c.notifyFlow(FlowNotice{Event: FlowRejected, Flow: p.Flow, Reason: reason, Retransmits: p.Retransmits})
	return Reject{Reason: reason}
}

// handleCopy sends the copy of an opening packet to another target if the one
// that has it did not answer.
func (c *Core) handleCopy(now time.Duration, p packet.Packet, f *flow, r route.Route) Decision {
	c.stall(now, f)
	f.urgency = late
	if !r.Allows(f.service) {
		f.service = r.Pick(c.rnd.Float64())
	}
	t := c.choose(now, f.service, f.target)
	if t == nil {
		c.drop(f)
		return c.reject(p, NoTarget)
	}
	c.notifyFlow(FlowNotice{Event: FlowPlacedAgain, Flow: p.Flow, Target: t, Retransmits: p.Retransmits})
	c.move(f, t)
	f.sent = now
	f.targets = 1
	c.await(now, f)
	return Forward{To: t}
}

// handleData finds the target of an open flow by the stamp.
func (c *Core) handleData(now time.Duration, p packet.Packet, datagram []byte) Decision {
	t := c.byStamp[p.Stamp]
	if t == nil {
		return Drop{Reason: UnknownStamp}
	}
	f := c.flows[p.Flow]
	if f == nil {
		f = c.adopt(now, p, t)
	}
	if f == nil {
		return Forward{To: t}
	}
	if f.target != t {
		c.move(f, t)
	}
	c.follow(now, f, p)
	if p.Size > 0 {
		return c.handleRequest(now, f, p, datagram)
	}
	return Forward{To: t}
}

// handleRequest decides on data from the caller: a new request, more of one, or
// a repetition of what the target has not acknowledged.
func (c *Core) handleRequest(now time.Duration, f *flow, p packet.Packet, datagram []byte) Decision {
	c.takeBack(now, f.target)
	if f.target.dead && f.kind == route.Safe {
		c.notifyFlow(FlowNotice{Event: FlowReset, Flow: f.key, Target: f.target, Reason: DeadTarget})
		c.drop(f)
		return Reject{Reason: DeadTarget}
	}
	if !packet.SeqAfter(p.End(), f.end) {
		if f.held != nil {
			return Drop{Reason: Repeated}
		}
		c.stall(now, f)
		if f.dropped {
			return Drop{Reason: DeadTarget}
		}
		return Forward{To: f.target}
	}
	f.end = p.End()
	switch {
	case f.held != nil:
		f.held.holdMore(datagram)
		return Queue{}
	case !f.busy && c.mayWait(f):
		c.hold(now, f, datagram)
		return Queue{}
	default:
		f.sent = now
		c.begin(now, f)
		return Forward{To: f.target}
	}
}
