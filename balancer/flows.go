package balancer

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"wisteriaweir/entry"
	"wisteriaweir/flow"
	"wisteriaweir/peer"
)

const (
	// hopAnswer marks a hop datagram that answers one, with a pin behind the
	// header. The other kinds are the reasons of package flow.
	hopAnswer peer.HopKind = 255
	// hopPinLen is the length of a pin in a hop datagram, in bytes.
	hopPinLen = 16
	// expireInterval is the time between two looks for idle flows.
	expireInterval = time.Second
	// expireShare is the part of the slots of a shard that each look takes in.
	expireShare = 8
)

// flowLane owns a part of the flows.
type flowLane struct {
	b     *Balancer
	lane  *lane
	shard *flow.Shard
	// expires is when idle flows are looked for next.
	expires time.Duration
	limit   int
	// open is the number of flows and pins held, expired that of flows forgotten.
	open    atomic.Int64
	expired uint64
	// tallies sums up what was seen of each target until observes.
	tallies  map[flow.TargetID]flowTally
	observes time.Duration
}

func newFlowLane(b *Balancer) *flowLane {
	s := b.cfg.Setting
	return &flowLane{
		b:       b,
		lane:    newLane(b.pool, s.Limits.ShardQueue),
		limit:   s.Limits.FlowsPerShard,
		tallies: make(map[flow.TargetID]flowTally),
		shard: flow.NewShard(flow.ShardConfig{
			MaxFlows:          s.Limits.FlowsPerShard,
			MaxCallerFlows:    s.Limits.FlowsPerCaller,
			Idle:              s.Times.FlowIdle,
			UnansweredTimeout: s.Times.FlowSilence,
		}),
	}
}

// flowLane returns the lane of the flow between caller and address.
func (b *Balancer) flowLane(caller, address netip.AddrPort) *flowLane {
	return b.laneOf(flow.Key{Caller: caller, Address: address}.Hash())
}

func (b *Balancer) laneOf(hash uint64) *flowLane {
	return b.flows[hash%uint64(len(b.flows))]
}

// push queues a datagram's task.
func (l *flowLane) push(task func()) {
	if !l.lane.push(task) {
		l.b.count.DroppedQueue.Inc()
	}
}

// received takes a caller's datagram.
func (l *flowLane) received(h entry.Header, d []byte) {
	l.push(func() {
		l.expire()
		v := l.shard.Route(l.b.now(), flowKey(h))
		l.perform(h, d, v, 1)
	})
}

// answered takes a target's datagram.
func (l *flowLane) answered(h entry.Header, d []byte) {
	l.push(func() {
		l.replied(h)
		l.b.send(d, l.b.cfg.Setting.Addresses.Fabric)
	})
}

// replied notes a reply of a flow's target.
func (l *flowLane) replied(h entry.Header) {
	now := l.b.now()
	id, ok := l.shard.RecordReply(now, flow.Key{Caller: h.Destination, Address: h.Source})
	if !ok {
		return
	}
	n := l.tallies[id]
	n.replied++
	l.tallies[id] = n
	l.observe(now)
}

// hopped takes a caller's datagram that another balancer handed over.
func (l *flowLane) hopped(h entry.Header, d []byte, p peer.HopPacket) {
	l.push(func() {
		v := l.shard.RouteHop(l.b.now(), flowKey(h), flow.Reason(p.Kind), int(p.HopCount))
		l.perform(h, d, v, p.HopCount+1)
		if v.Action == flow.Forward {
			l.b.answerHop(p.From, h, v.Pin)
		}
	})
}

// told takes the answer to a datagram that was handed over.
func (l *flowLane) told(h entry.Header, pin flow.Pin) {
	l.push(func() { l.shard.AdoptPin(l.b.now(), flowKey(h), pin) })
}

// perform carries out the verdict on a caller's datagram.
func (l *flowLane) perform(h entry.Header, d []byte, v flow.Decision, hops uint8) {
	if v.Opened {
		l.b.count.FlowsOpened.Inc()
	}
	switch v.Action {
	case flow.Forward:
		l.b.sendTarget(d, v.Address)
		n := l.tallies[v.Pin.Target]
		n.forwarded++
		l.tallies[v.Pin.Target] = n
		l.observe(l.b.now())
	case flow.Hop:
		l.b.hopTo(v.Member, v.Reason, hops, d)
	case flow.Reset:
		l.reset(h, v.Reason)
	case flow.Drop:
		l.drop(v.Reason)
	}
}

// reset ends a flow towards its caller: an empty datagram, since the content
// of flows is opaque.
func (l *flowLane) reset(h entry.Header, reason flow.Reason) {
	if reason == flow.ReasonSilent {
		l.b.count.FlowsSilent.Inc()
	} else {
		l.b.count.FlowsLost.Inc()
	}
	d := entry.AppendHeader(nil, entry.Header{Source: h.Destination, Destination: h.Source})
	l.b.send(d, l.b.cfg.Setting.Addresses.Fabric)
}

func (l *flowLane) drop(reason flow.Reason) {
	switch reason {
	case flow.ReasonNoService:
		l.b.count.DroppedAddress.Inc()
	case flow.ReasonFull, flow.ReasonCallerLimit:
		l.b.count.DroppedLimit.Inc()
	default:
		l.b.count.DroppedNoTarget.Inc()
	}
}

// expire forgets idle flows now and then.
func (l *flowLane) expire() {
	now := l.b.now()
	if now < l.expires {
		return
	}
	l.expires = now + expireInterval
	l.shard.Expire(now, l.limit/expireShare)
	s := l.shard.Stats()
	l.open.Store(int64(s.Open))
	l.b.count.FlowsIdle.Add(int(s.Expired - l.expired))
	l.expired = s.Expired
}

func flowKey(h entry.Header) flow.Key {
	return flow.Key{Caller: h.Source, Address: h.Destination}
}

// hopTo hands a datagram over to the member that knows or decides.
func (b *Balancer) hopTo(name string, reason flow.Reason, hops uint8, d []byte) {
	to, ok := b.snapshot().members[name]
	if !ok {
		b.count.DroppedNoTarget.Inc()
		return
	}
	if !b.cut(to) && b.hop.Send(to, peer.HopKind(reason), hops, d) == nil {
		b.count.HopsSent.Inc()
	}
}

// answerHop tells the balancer that handed a datagram over where its flow is.
func (b *Balancer) answerHop(to netip.AddrPort, h entry.Header, pin flow.Pin) {
	d := entry.AppendHeader(nil, h)
	d = binary.BigEndian.AppendUint64(d, pin.Hash)
	d = binary.BigEndian.AppendUint64(d, uint64(pin.Target))
	for _, m := range b.snapshot().members {
		if m.Hop == to && !b.cut(m) {
			// A lost answer is given again with the next hop.
			_ = b.hop.Send(m, hopAnswer, 1, d)
		}
	}
}

// takeHop takes a datagram of another balancer.
func (b *Balancer) takeHop(p peer.HopPacket) {
	p.Datagram = slices.Clone(p.Datagram)
	h, payload, err := entry.ParseHeader(p.Datagram)
	if err != nil {
		b.count.DroppedMalformed.Inc()
		return
	}
	b.count.FromHop.Inc()
	if !b.fresh() {
		b.count.DroppedStale.Inc()
		return
	}
	l := b.flowLane(h.Source, h.Destination)
	if p.Kind != hopAnswer {
		l.hopped(h, p.Datagram, p)
		return
	}
	if len(payload) != hopPinLen {
		b.count.DroppedMalformed.Inc()
		return
	}
	l.told(h, flow.Pin{
		Hash:   binary.BigEndian.Uint64(payload),
		Target: flow.TargetID(binary.BigEndian.Uint64(payload[8:])),
	})
}

// publish gives every shard a snapshot.
func (b *Balancer) publish(p *flow.Snapshot) {
	for _, l := range b.flows {
		l.lane.pushAlways(func() { l.shard.Apply(p) })
	}
	b.count.TablesPublished.Inc()
}

// gather reads from every shard and calls done once with all of it.
func (b *Balancer) gather(read func(*flow.Shard) []flow.CollectedFlow, done func([]flow.CollectedFlow)) {
	results := make(chan []flow.CollectedFlow, len(b.flows))
	for _, l := range b.flows {
		l.lane.pushAlways(func() { results <- read(l.shard) })
	}
	go func() {
		var found []flow.CollectedFlow
		for range b.flows {
			found = append(found, <-results...)
		}
		done(found)
	}()
}

// learn gives pins to the shards that own their hashes.
func (b *Balancer) learn(pins []flow.Pin, take func(*flow.Shard, time.Duration, []flow.Pin)) {
	parts := make(map[*flowLane][]flow.Pin)
	for _, p := range pins {
		l := b.laneOf(p.Hash)
		parts[l] = append(parts[l], p)
	}
	for l, part := range parts {
		l.lane.pushAlways(func() { take(l.shard, b.now(), part) })
	}
}

// takePins asks every shard for its new pins and returns those that have come
// since the last call.
func (b *Balancer) takePins() []flow.Pin {
	for _, l := range b.flows {
		l.lane.pushAlways(func() {
			pins := l.shard.DrainPins()
			if len(pins) == 0 {
				return
			}
			b.count.PinsSent.Add(len(pins))
			b.pins.put(pins)
		})
	}
	return b.pins.take()
}
