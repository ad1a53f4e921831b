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
	// hopReply is the kind of hop datagrams that answer another one, with a pin
	// after the header. Every other kind is a flow.Reason.
	hopReply peer.HopKind = 255
	// hopPinBytes is the length of a pin in a hop datagram, in bytes.
	hopPinBytes = 16
	// expiryInterval is the shortest interval at which a shard is searched for
	// idle flows.
	expiryInterval = time.Second
	// expiryDivisor is the number of searches that cover a whole shard: each
	// search covers 1/expiryDivisor of its slots.
	expiryDivisor = 8
)

// flowWorker owns one flow shard and the serial queue of its datagrams.
type flowWorker struct {
	b     *Balancer
	queue *serialQueue
	shard *flow.Shard
	// nextExpiryAt is the earliest time of the next search for idle flows.
	nextExpiryAt time.Duration
	maxFlows     int
	// open is the number of flows and pins in the shard.
	open atomic.Int64
	// expired is the number of expired flows of the shard that the counter of
	// idle flows contains already.
	expired uint64
	// datagramCounts counts the datagrams of each target since the last report
	// to the control goroutine. The next report is due at nextCountsReportAt.
	datagramCounts     map[flow.TargetID]datagramCounts
	nextCountsReportAt time.Duration
}

// newFlowWorker returns a worker with an empty shard and an empty queue.
func newFlowWorker(b *Balancer) *flowWorker {
	s := b.cfg.Setting
	return &flowWorker{
		b:              b,
		queue:          newSerialQueue(b.pool, s.Limits.ShardQueue),
		maxFlows:       s.Limits.FlowsPerShard,
		datagramCounts: make(map[flow.TargetID]datagramCounts),
		shard: flow.NewShard(flow.ShardConfig{
			MaxFlows:          s.Limits.FlowsPerShard,
			MaxCallerFlows:    s.Limits.FlowsPerCaller,
			IdleTimeout:       s.Times.FlowIdle,
			UnansweredTimeout: s.Times.FlowSilence,
		}),
	}
}

// flowWorker returns the worker of the flow between caller and address.
func (b *Balancer) flowWorker(caller, address netip.AddrPort) *flowWorker {
	return b.workerFor(flow.Key{Caller: caller, Address: address}.Hash())
}

// workerFor returns the worker of the flows with the given hash.
func (b *Balancer) workerFor(hash uint64) *flowWorker {
	return b.flowWorkers[hash%uint64(len(b.flowWorkers))]
}

// push queues a task for a datagram. It counts a drop if the queue is full.
func (w *flowWorker) push(task func()) {
	if !w.queue.push(task) {
		w.b.counters.DroppedQueue.Inc()
	}
}

// handleDatagram routes a caller's datagram.
func (w *flowWorker) handleDatagram(h entry.Header, d []byte) {
	w.push(func() {
		w.expireIdle()
		decision := w.shard.Route(w.b.now(), flowKey(h))
		w.execute(h, d, decision, 1)
	})
}

// handleReply sends a target's datagram to the fabric.
func (w *flowWorker) handleReply(h entry.Header, d []byte) {
	w.push(func() {
		w.recordReply(h)
		w.b.send(d, w.b.cfg.Setting.Addresses.Fabric)
	})
}

// recordReply records a reply of a flow's target.
func (w *flowWorker) recordReply(h entry.Header) {
	now := w.b.now()
	id, ok := w.shard.RecordReply(now, flow.Key{Caller: h.Destination, Address: h.Source})
	if !ok {
		return
	}
	n := w.datagramCounts[id]
	n.replied++
	w.datagramCounts[id] = n
	w.reportDatagramCounts(now)
}

// handleHop routes a caller's datagram that another balancer forwarded, and
// returns the flow's pin to that balancer if the datagram was sent to a target.
func (w *flowWorker) handleHop(h entry.Header, d []byte, p peer.HopPacket) {
	w.push(func() {
		decision := w.shard.RouteHop(w.b.now(), flowKey(h), flow.Reason(p.Kind), int(p.HopCount))
		w.execute(h, d, decision, p.HopCount+1)
		if decision.Action == flow.Forward {
			w.b.sendHopReply(p.From, h, decision.Pin)
		}
	})
}

// handleHopReply applies the pin that another balancer returned for a forwarded
// datagram.
func (w *flowWorker) handleHopReply(h entry.Header, pin flow.Pin) {
	w.push(func() { w.shard.AdoptPin(w.b.now(), flowKey(h), pin) })
}

// execute carries out the decision on a caller's datagram. The argument hops is
// the number of hops that the datagram has made, including the one that the
// decision may add.
func (w *flowWorker) execute(h entry.Header, d []byte, decision flow.Decision, hops uint8) {
	if decision.Opened {
		w.b.counters.FlowsOpened.Inc()
	}
	switch decision.Action {
	case flow.Forward:
		w.b.sendTarget(d, decision.Address)
		n := w.datagramCounts[decision.Pin.Target]
		n.forwarded++
		w.datagramCounts[decision.Pin.Target] = n
		w.reportDatagramCounts(w.b.now())
	case flow.Hop:
		w.b.hopTo(decision.Member, decision.Reason, hops, d)
	case flow.Reset:
		w.reset(h, decision.Reason)
	case flow.Drop:
		w.countDrop(decision.Reason)
	}
}

// reset ends a flow by sending its caller an empty datagram, as the content of
// flows is opaque to the balancer.
func (w *flowWorker) reset(h entry.Header, reason flow.Reason) {
	if reason == flow.ReasonSilent {
		w.b.counters.FlowsSilent.Inc()
	} else {
		w.b.counters.FlowsLost.Inc()
	}
	d := entry.AppendHeader(nil, entry.Header{Source: h.Destination, Destination: h.Source})
	w.b.send(d, w.b.cfg.Setting.Addresses.Fabric)
}

// countDrop counts a dropped datagram by its reason.
func (w *flowWorker) countDrop(reason flow.Reason) {
	switch reason {
	case flow.ReasonNoService:
		w.b.counters.DroppedAddress.Inc()
	case flow.ReasonShardFull, flow.ReasonCallerLimit:
		w.b.counters.DroppedLimit.Inc()
	default:
		w.b.counters.DroppedNoTarget.Inc()
	}
}

// expireIdle removes idle flows and updates the numbers of open and expired
// flows, at most once per expiryInterval.
func (w *flowWorker) expireIdle() {
	now := w.b.now()
	if now < w.nextExpiryAt {
		return
	}
	w.nextExpiryAt = now + expiryInterval
	w.shard.Expire(now, w.maxFlows/expiryDivisor)
	s := w.shard.Stats()
	w.open.Store(int64(s.Open))
	w.b.counters.FlowsIdle.Add(int(s.Expired - w.expired))
	w.expired = s.Expired
}

// flowKey returns the flow key of a caller's datagram.
func flowKey(h entry.Header) flow.Key {
	return flow.Key{Caller: h.Source, Address: h.Destination}
}

// hopTo forwards a datagram to a member that may know the flow or that decides
// on it.
func (b *Balancer) hopTo(name string, reason flow.Reason, hops uint8, d []byte) {
	to, ok := b.snapshot().members[name]
	if !ok {
		b.counters.DroppedNoTarget.Inc()
		return
	}
	if !b.isPartitionedFrom(to) && b.hop.Send(to, peer.HopKind(reason), hops, d) == nil {
		b.counters.HopsSent.Inc()
	}
}

// sendHopReply returns the pin of a flow to the balancer that forwarded a
// datagram of it.
func (b *Balancer) sendHopReply(to netip.AddrPort, h entry.Header, pin flow.Pin) {
	d := entry.AppendHeader(nil, h)
	d = binary.BigEndian.AppendUint64(d, pin.Hash)
	d = binary.BigEndian.AppendUint64(d, uint64(pin.Target))
	for _, m := range b.snapshot().members {
		if m.Hop == to && !b.isPartitionedFrom(m) {
			// After a lost reply, the next forwarded datagram of the flow gets
			// another one.
			_ = b.hop.Send(m, hopReply, 1, d)
		}
	}
}

// handleHop handles a datagram from another balancer.
func (b *Balancer) handleHop(p peer.HopPacket) {
	p.Datagram = slices.Clone(p.Datagram)
	h, payload, err := entry.ParseHeader(p.Datagram)
	if err != nil {
		b.counters.DroppedMalformed.Inc()
		return
	}
	b.counters.FromHop.Inc()
	if !b.isFresh() {
		b.counters.DroppedStale.Inc()
		return
	}
	w := b.flowWorker(h.Source, h.Destination)
	if p.Kind != hopReply {
		w.handleHop(h, p.Datagram, p)
		return
	}
	if len(payload) != hopPinBytes {
		b.counters.DroppedMalformed.Inc()
		return
	}
	w.handleHopReply(h, flow.Pin{
		Hash:   binary.BigEndian.Uint64(payload),
		Target: flow.TargetID(binary.BigEndian.Uint64(payload[8:])),
	})
}

// publishFlowSnapshot passes a flow snapshot to every shard.
func (b *Balancer) publishFlowSnapshot(p *flow.Snapshot) {
	for _, w := range b.flowWorkers {
		w.queue.pushAlways(func() { w.shard.Apply(p) })
	}
	b.counters.TablesPublished.Inc()
}

// collectFlows reads flows from every shard and calls done once with all of
// them, on a goroutine of its own. It drops them if the control goroutine ends before.
func (b *Balancer) collectFlows(read func(*flow.Shard) []flow.CollectedFlow, done func([]flow.CollectedFlow)) {
	results := make(chan []flow.CollectedFlow, len(b.flowWorkers))
	for _, w := range b.flowWorkers {
		w.queue.pushAlways(func() { results <- read(w.shard) })
	}
	go func() {
		var flows []flow.CollectedFlow
		for range b.flowWorkers {
			select {
			case found := <-results:
				flows = append(flows, found...)
			case <-b.control.ended:
				return
			}
		}
		done(flows)
	}()
}

// distributePins passes pins to the shards that own their hashes.
func (b *Balancer) distributePins(pins []flow.Pin, apply func(*flow.Shard, time.Duration, []flow.Pin)) {
	byWorker := make(map[*flowWorker][]flow.Pin)
	for _, p := range pins {
		w := b.workerFor(p.Hash)
		byWorker[w] = append(byWorker[w], p)
	}
	for w, workerPins := range byWorker {
		w.queue.pushAlways(func() { apply(w.shard, b.now(), workerPins) })
	}
}

// collectPins queues a read of the new pins of every shard, and returns the
// pins that were read since the last call.
func (b *Balancer) collectPins() []flow.Pin {
	for _, w := range b.flowWorkers {
		w.queue.pushAlways(func() {
			pins := w.shard.DrainPins()
			if len(pins) == 0 {
				return
			}
			b.counters.PinsSent.Add(len(pins))
			b.pins.add(pins)
		})
	}
	return b.pins.drain()
}
