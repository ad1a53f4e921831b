package measure

import (
	"time"

	"wisteriaweir/flow"
)

// flowHost is one simulated balancer.
type flowHost struct {
	sim    *FlowSimulation
	name   string
	domain string
	// life is the number of the process instance.
	life  uint64
	state flow.State

	// epochs and shard are set for StrategyPins alone.
	epochs     *flow.EpochManager
	shard      *flow.Shard
	localTable *localTable
	// ownerTable is set for StrategyOwner and StrategyOwnerCache alone.
	ownerTable *ownerTable

	dead, paused bool
	// isReachable reports whether the other balancers consider this one reachable.
	isReachable bool
	// downSince is the time at which the balancer crashed or was paused last.
	downSince time.Duration
	// deferred holds the messages, epochs and datagrams that arrived during a pause and
	// are processed at its end.
	deferred []func()
	// lastEpochAt is the delivery time of the newest epoch.
	lastEpochAt time.Duration
	// extraBytes counts control bytes that package flow does not count; countedBytes
	// is the value of sentBytes at the last recordByteRates.
	extraBytes   uint64
	countedBytes uint64
	// maxBytesPerSecond is the highest number of control bytes sent in one second.
	maxBytesPerSecond uint64
}

// start initializes the state of a balancer without any flows, and starts its ticks.
func (h *flowHost) start() {
	h.localTable = newLocalTable()
	if h.sim.cfg.Strategy == StrategyOwner || h.sim.cfg.Strategy == StrategyOwnerCache {
		h.ownerTable = newOwnerTable(h)
	}
	if h.sim.cfg.Strategy != StrategyPins {
		return
	}
	h.epochs = flow.NewEpochManager(flow.EpochManagerConfig{Self: h.name, Life: h.life})
	h.shard = flow.NewShard(flow.ShardConfig{MaxFlows: h.sim.cfg.MaxFlows})
	life := h.life
	offset := time.Duration(h.sim.rng.Int64N(int64(flow.TickInterval)))
	h.sim.tl.After(offset, func() { h.tick(life) })
}

// isUp reports whether the balancer is neither dead nor paused.
func (h *flowHost) isUp() bool { return !h.dead && !h.paused }

// tick sends the new pins and a tick to the epoch manager each flow.TickInterval. It
// ends when the process does.
func (h *flowHost) tick(life uint64) {
	if h.dead || h.life != life {
		return
	}
	if !h.paused {
		h.handle(flow.PinsEvent{Pins: h.shard.DrainPins()})
		h.handle(flow.TickEvent{})
	}
	h.sim.tl.After(flow.TickInterval, func() { h.tick(life) })
}

// handle passes an event to the epoch manager and carries out its effects.
func (h *flowHost) handle(e flow.Event) {
	now := h.sim.tl.Now()
	queue := []flow.Event{e}
	for len(queue) > 0 {
		effects := h.epochs.Handle(now, queue[0])
		queue = queue[1:]
		for _, eff := range effects {
			switch eff := eff.(type) {
			case flow.Publish:
				h.shard.Apply(eff.Snapshot)
			case flow.Learn:
				h.shard.Learn(now, eff.Pins)
			case flow.LearnUnannounced:
				h.shard.LearnUnannounced(now, eff.Pins)
			case flow.LearnHandover:
				h.shard.LearnHandover(now, eff.Flows)
			case flow.CollectHandover:
				queue = append(queue, flow.HandoverEvent{Flows: h.shard.CollectHandover()})
			case flow.Collect:
				queue = append(queue, flow.CollectedEvent{Epoch: eff.Epoch, Step: eff.Step, Request: eff.Request, Flows: h.shard.Collect(now)})
			case flow.Send:
				h.send(eff)
			}
		}
	}
}

// send sends a batch to another balancer.
func (h *flowHost) send(s flow.Send) {
	to := h.sim.host(s.To)
	d, ok := h.sim.delay(h.domain, to.domain, false)
	if !ok {
		return
	}
	h.sim.tl.After(d, func() { to.receive(func() { to.handle(flow.BatchEvent{Batch: s.Batch}) }) })
}

// receive calls f now or, on a paused balancer, at the end of the pause. A dead
// balancer ignores it.
func (h *flowHost) receive(f func()) {
	switch {
	case h.dead:
	case h.paused:
		h.deferred = append(h.deferred, f)
	default:
		f()
	}
}

// deliverEpoch delivers an epoch after d, but not before an older one.
func (h *flowHost) deliverEpoch(e *flow.Epoch, d time.Duration) {
	now := h.sim.tl.Now()
	h.lastEpochAt = max(h.lastEpochAt, now+d)
	life := h.life
	h.sim.tl.After(h.lastEpochAt-now, func() {
		h.receive(func() {
			if h.life != life {
				return
			}
			h.localTable.apply(e)
			if h.ownerTable != nil {
				h.ownerTable.apply(e)
			}
			if h.epochs != nil {
				h.handle(flow.EpochEvent{Epoch: e})
			}
		})
	})
}

// resume ends a pause and processes what arrived meanwhile.
func (h *flowHost) resume() {
	h.paused = false
	inbox := h.deferred
	h.deferred = nil
	for _, f := range inbox {
		f()
	}
}

// sentBytes returns the control bytes sent so far.
func (h *flowHost) sentBytes() uint64 {
	if h.epochs == nil {
		return h.extraBytes
	}
	return h.epochs.Status().Sent + h.extraBytes
}
