package placement

import (
	"time"

	"wisteriaweir/packet"
	"wisteriaweir/route"
)

const (
	// sweepEvery is the time between two searches for flows that have gone quiet.
	sweepEvery = 200 * time.Millisecond
	// closedLinger is how long a flow is remembered after its caller ended it.
	closedLinger = time.Second
	// defaultIdle is the time after which a quiet flow is forgotten if the routing
	// table names none.
	defaultIdle = 15 * time.Second
	// openingLimit is the time after which the opening of a flow has failed.
	openingLimit = 1500 * time.Millisecond
)

// flow is what one balancer has seen of a flow.
type flow struct {
	key packet.FlowKey
	// number counts the flows of the core.
	number uint64
	target *Target
	kind   route.Kind
	// placed says that this host placed the flow; seq is the position of its opening
	// packet then.
	placed bool
	seq    uint32
	// answered says that the target's answer to the opening packet has reached the
	// caller.
	answered bool
	// asking says that the caller has got nothing since its last data, asked when
	// that request began; busy says that it counts as load.
	asking bool
	asked  time.Duration
	busy   bool
	// pending says that the outcome of the newest request is not known yet, request
	// counts the requests; base is what the caller had got when it began, short says
	// that the answer so far was counted as a failure for its size.
	pending bool
	short   bool
	request uint32
	base    uint32
	// stalledIn is 1 above the round of its target's evidence in which the flow
	// counts as stalled.
	stalledIn uint32
	// end is the end of the data seen from the caller, acked what it has got.
	end   uint32
	acked uint32
	// sent is when the newest data was forwarded, last the time of the last packet.
	sent   time.Duration
	last   time.Duration
	opened time.Duration
	closed bool
	// dropped says that the flow is forgotten.
	dropped bool
	// held is the request that waits for the target, urgency that of the next one.
	held    *held
	urgency urgency

	// While the flow is opening: the service it goes to, the opening packet, the
	// number of targets that got it, and when its answer is overdue.
	service  string
	datagram []byte
	targets  int
	awaited  time.Duration
}

// open adds a flow that has just been placed.
func (c *Core) open(now time.Duration, p packet.Packet, t *Target, kind route.Kind) *flow {
	f := &flow{
		key:     p.Flow,
		target:  t,
		kind:    kind,
		placed:  true,
		seq:     p.Seq,
		end:     p.Seq,
		opened:  now,
		sent:    now,
		last:    now,
		targets: 1,
	}
	if p.Retransmits > 0 {
		f.urgency = late
	}
	c.add(f)
	t.opening++
	return f
}

// adopt adds a flow that another balancer, or an earlier life of this one, has
// placed. It returns nil if there is no room.
func (c *Core) adopt(now time.Duration, p packet.Packet, t *Target) *flow {
	if len(c.flows) >= c.cfg.MaxFlows {
		return nil
	}
	f := &flow{
		key:      p.Flow,
		target:   t,
		end:      p.Seq,
		acked:    p.AckSeq,
		answered: true,
		opened:   now,
		sent:     now,
		last:     now,
	}
	if now-c.readyAt < returnSpan {
		f.urgency = unknown
	}
	if r, ok := c.catalog.Routes().Lookup(route.Address{IP: p.Flow.ServiceIP, Port: p.Flow.ServicePort}); ok {
		f.kind = r.Kind
	}
	c.add(f)
	c.notifyFlow(FlowNotice{Event: FlowTakenOver, Flow: f.key, Target: t})
	return f
}

// add puts a flow into the table.
func (c *Core) add(f *flow) {
	c.numbered++
	f.number = c.numbered
	c.flows[f.key] = f
	f.target.open++
}

// move takes a flow from its target to another one.
func (c *Core) move(f *flow, t *Target) {
	c.settle(f)
	f.held = nil
	f.target.open--
	t.open++
	if !f.answered {
		f.target.opening--
		t.opening++
	}
	f.target = t
	f.stalledIn = 0
}

// drop forgets a flow and takes it out of the counts of its target.
func (c *Core) drop(f *flow) {
	c.settle(f)
	if !f.answered {
		f.target.opening--
	}
	f.target.open--
	f.held = nil
	f.dropped = true
	delete(c.flows, f.key)
}

// follow takes in one packet of an open flow.
func (c *Core) follow(now time.Duration, f *flow, p packet.Packet) {
	f.last = now
	progress := false
	if !f.answered {
		f.answered = true
		f.datagram = nil
		f.target.opening--
		f.acked = p.AckSeq
		progress = true
		c.notifyFlow(FlowNotice{Event: FlowAnswered, Flow: f.key, Target: f.target, Took: now - f.opened})
	}
	if packet.SeqAfter(p.AckSeq, f.acked) {
		f.acked = p.AckSeq
		f.urgency = timely
		c.answer(now, f, p.AckSeq-f.base)
		c.finish(now, f)
		c.release(now, f.target)
		progress = true
	}
	if progress {
		c.progressed(now, f)
	}
	if p.Flags&(packet.Fin|packet.Rst) != 0 {
		f.closed = true
		c.giveUp(now, f)
		f.held = nil
		c.settle(f)
		c.release(now, f.target)
	}
}

// sweep forgets flows that have gone quiet or have ended.
func (c *Core) sweep(now time.Duration) {
	c.swept = now
	idle := c.catalog.Routes().IdleTimeout()
	if idle == 0 {
		idle = defaultIdle
	}
	for _, f := range c.flows {
		quiet := now - f.last
		if f.closed && quiet > closedLinger || quiet > idle || !f.answered && quiet > openingLimit {
			c.drop(f)
		}
	}
	c.forget(now)
	c.addNeighbours(now)
}
