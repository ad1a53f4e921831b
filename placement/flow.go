package placement

import (
	"time"

	"wisteriaweir/packet"
	"wisteriaweir/route"
)

const (
	// sweepInterval is the minimum time between two runs of Core.sweep.
	sweepInterval = 200 * time.Millisecond
	// closedRetention is how long a flow that its caller has ended is kept after its last
	// packet.
	closedRetention = time.Second
	// defaultIdleTimeout is the time without a packet after which a flow is removed, if
	// the routing table sets no idle timeout.
	defaultIdleTimeout = 15 * time.Second
	// openingTimeout is the time without a packet after which the opening of a flow
	// has failed.
	openingTimeout = 1500 * time.Millisecond
)

// flow is the state of a flow as this host has seen it.
type flow struct {
	key packet.FlowKey
	// number numbers the flows of the core in the order of their creation.
	number uint64
	target *Target
	kind   route.Kind
	// placedHere reports whether this host placed the flow.
	placedHere bool
	// openingSeq is the sequence number of the opening packet, if placedHere is set.
	openingSeq uint32
	// answered reports whether the target's response to the opening packet has
	// reached the caller.
	answered bool
	// awaitingResponse reports whether the caller has received nothing since its last
	// data.
	awaitingResponse bool
	// requestedAt is when the request in progress began.
	requestedAt time.Duration
	// countedBusy reports whether the request in progress is counted in target.busy.
	countedBusy bool
	// foundFreeSlot reports whether the target had a free slot, as far as this host knows,
	// when the request in progress was sent.
	foundFreeSlot bool
	// outcomePending reports whether the outcome of the newest request is still
	// unknown.
	outcomePending bool
	// shortResponse reports whether the response so far was counted as a failure
	// because it is short.
	shortResponse bool
	// requestNumber counts the requests of the flow.
	requestNumber uint32
	// hasSucceeded reports whether a request of the flow has succeeded, so that the flow is
	// counted; see countSuccess.
	hasSucceeded bool
	// baseAckSeq is the value of ackSeq when the newest request began.
	baseAckSeq uint32
	// stalledGeneration is the stallGeneration of the target in which the flow counts
	// as stalled, plus 1; 0 if it has not stalled on this target.
	stalledGeneration uint32
	// endSeq is the sequence number after the last data seen from the caller.
	endSeq uint32
	// ackSeq is the sequence number up to which the caller has received the target's
	// stream.
	ackSeq uint32
	// lastSentAt is when new data, or the opening packet, was last sent to the target.
	lastSentAt time.Duration
	// lastPacketAt is the time of the last packet from the caller.
	lastPacketAt time.Duration
	// hadGap reports whether packets of the caller most likely went through another host
	// between the last two that this host received; see isGap.
	hadGap bool
	// openedAt is when this host placed the flow or took it over.
	openedAt time.Duration
	// closed reports whether the caller has ended the flow.
	closed bool
	// removed reports whether the flow is no longer in the table.
	removed bool
	// queued is the request that waits for the target, nil if there is none.
	queued *queuedRequest
	// urgency is the queue class of the next request.
	urgency urgency

	// service is the service that the flow goes to. This field and the following ones
	// are used while the flow is opening.
	service string
	// openingDatagram is the opening packet as received from the caller.
	openingDatagram []byte
	// targetsTried is the number of targets that the opening packet was sent to since
	// it was last received from the caller.
	targetsTried int
	// openingDeadline is when the response to the opening packet is overdue.
	openingDeadline time.Duration
}

// openFlow adds a flow that has just been placed on t.
func (c *Core) openFlow(now time.Duration, p packet.Packet, t *Target, kind route.Kind) *flow {
	f := &flow{
		key:          p.Flow,
		target:       t,
		kind:         kind,
		placedHere:   true,
		openingSeq:   p.Seq,
		endSeq:       p.Seq,
		openedAt:     now,
		lastSentAt:   now,
		lastPacketAt: now,
		targetsTried: 1,
	}
	if p.Retransmits > 0 {
		f.urgency = overdue
	}
	c.addFlow(f)
	t.openingFlows++
	return f
}

// takeOver adds a flow that another host, or an earlier process instance of this
// one, has placed. It returns nil if the table of flows is full.
func (c *Core) takeOver(now time.Duration, p packet.Packet, t *Target) *flow {
	if len(c.flows) >= c.cfg.MaxFlows {
		return nil
	}
	f := &flow{
		key:          p.Flow,
		target:       t,
		endSeq:       p.Seq,
		ackSeq:       p.AckSeq,
		answered:     true,
		hasSucceeded: true, // Another host has most likely counted the flow.
		openedAt:     now,
		lastSentAt:   now,
		lastPacketAt: now,
	}
	if now-c.readyAt < restartWindow {
		f.urgency = unknownAge
	}
	if r, ok := c.catalog.Routes().Lookup(route.Address{IP: p.Flow.ServiceIP, Port: p.Flow.ServicePort}); ok {
		f.kind = r.Kind
	}
	c.addFlow(f)
	c.notifyFlow(FlowNotice{Event: FlowTakenOver, Flow: f.key, Target: t})
	return f
}

// addFlow adds a flow to the table and to the count of its target.
func (c *Core) addFlow(f *flow) {
	c.lastFlowNumber++
	f.number = c.lastFlowNumber
	c.flows[f.key] = f
	f.target.openFlows++
}

// moveFlow changes the target of a flow. A queued request of the flow is discarded.
func (c *Core) moveFlow(f *flow, t *Target) {
	c.releaseSlot(f)
	f.queued = nil
	f.target.openFlows--
	t.openFlows++
	if !f.answered {
		f.target.openingFlows--
		t.openingFlows++
	}
	f.target = t
	f.stalledGeneration = 0
}

// removeFlow removes a flow from the table and from the counts of its target.
func (c *Core) removeFlow(f *flow) {
	c.releaseSlot(f)
	if !f.answered {
		f.target.openingFlows--
	}
	f.target.openFlows--
	f.queued = nil
	f.removed = true
	delete(c.flows, f.key)
}

// track updates the state of an open flow, and the health of its target, from one
// packet of the caller.
func (c *Core) track(now time.Duration, f *flow, p packet.Packet) {
	f.hadGap = f.isGap(now)
	f.lastPacketAt = now
	hasProgressed := false
	if !f.answered {
		f.answered = true
		f.openingDatagram = nil
		f.target.openingFlows--
		f.ackSeq = p.AckSeq
		hasProgressed = true
		c.recordPath(now, f)
		c.notifyFlow(FlowNotice{Event: FlowAnswered, Flow: f.key, Target: f.target, Duration: now - f.openedAt})
	}
	if packet.SeqAfter(p.AckSeq, f.ackSeq) {
		f.ackSeq = p.AckSeq
		f.urgency = onTime
		c.recordResponse(now, f, p.AckSeq-f.baseAckSeq)
		c.finishRequest(now, f)
		c.dispatch(now, f.target)
		hasProgressed = true
	}
	if hasProgressed {
		c.recordProgress(now, f)
	}
	if p.Flags&(packet.Fin|packet.Rst) != 0 {
		f.closed = true
		c.recordAbort(now, f)
		f.queued = nil
		c.releaseSlot(f)
		c.dispatch(now, f.target)
	}
}

// sweep removes flows that are idle or have ended, targets that were removed from
// the catalog long ago, and expired load reports. It then updates the assignment of targets
// to hosts and the speeds of targets.
func (c *Core) sweep(now time.Duration) {
	c.sweptAt = now
	idleTimeout := c.catalog.Routes().IdleTimeout()
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	}
	for _, f := range c.flows {
		idleFor := now - f.lastPacketAt
		if f.closed && idleFor > closedRetention || idleFor > idleTimeout || !f.answered && idleFor > openingTimeout {
			c.removeFlow(f)
		}
	}
	c.removeExpiredTargets(now)
	for _, t := range c.targetsInStartOrder {
		t.expirePeerStalls(now)
	}
	c.sumPeerLoad(now)
	c.assignSubsets(now)
	c.updateSpeeds(now)
}
