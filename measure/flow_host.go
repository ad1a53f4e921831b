package measure

import (
	"time"

	"wisteriaweir/flow"
)

// flowHost is one simulated balancer.
type flowHost struct {
	fleet  *FlowSimulation
	name   string
	domain string
	life   uint64
	state  flow.State

	gen   *flow.EpochManager
	shard *flow.Shard
	own   *ownTable
	// homes is set for StrategyOwner and StrategyOwnerCache alone.
	homes *homeTable

	dead, frozen bool
	// reachable is what the others believe.
	reachable bool
	downSince time.Duration
	// inbox holds what arrived while the host was frozen.
	inbox   []func()
	epochAt time.Duration
	extra   uint64
	sentAt  uint64
	worst   uint64
}

// boot gives the host a new life with nothing in memory.
func (h *flowHost) boot() {
	h.own = newOwnTable()
	if h.fleet.cfg.Strategy == StrategyOwner || h.fleet.cfg.Strategy == StrategyOwnerCache {
		h.homes = newHomeTable(h)
	}
	if h.fleet.cfg.Strategy != StrategyPins {
		return
	}
	h.gen = flow.NewEpochManager(flow.EpochManagerConfig{Self: h.name, Life: h.life})
	h.shard = flow.NewShard(flow.ShardConfig{MaxFlows: h.fleet.cfg.MaxFlows})
	life := h.life
	offset := time.Duration(h.fleet.rng.Int64N(int64(flow.TickInterval)))
	h.fleet.tl.After(offset, func() { h.tick(life) })
}

func (h *flowHost) up() bool { return !h.dead && !h.frozen }

func (h *flowHost) tick(life uint64) {
	if h.dead || h.life != life {
		return
	}
	if !h.frozen {
		h.handle(flow.PinsEvent{Pins: h.shard.DrainPins()})
		h.handle(flow.TickEvent{})
	}
	h.fleet.tl.After(flow.TickInterval, func() { h.tick(life) })
}

// handle runs one event and carries out its effects.
func (h *flowHost) handle(e flow.Event) {
	now := h.fleet.tl.Now()
	queue := []flow.Event{e}
	for len(queue) > 0 {
		effects := h.gen.Handle(now, queue[0])
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
				queue = append(queue, flow.CollectedEvent{Epoch: eff.Epoch, Step: eff.Step, Flows: h.shard.Collect(now)})
			case flow.Send:
				h.send(eff)
			}
		}
	}
}

func (h *flowHost) send(s flow.Send) {
	to := h.fleet.host(s.To)
	d, ok := h.fleet.delay(h.domain, to.domain, false)
	if !ok {
		return
	}
	h.fleet.tl.After(d, func() { to.receive(func() { to.handle(flow.BatchEvent{Batch: s.Batch}) }) })
}

// receive runs f now, or when the host wakes up.
func (h *flowHost) receive(f func()) {
	switch {
	case h.dead:
	case h.frozen:
		h.inbox = append(h.inbox, f)
	default:
		f()
	}
}

// offer delivers an epoch after d, never before an older one.
func (h *flowHost) offer(e *flow.Epoch, d time.Duration) {
	now := h.fleet.tl.Now()
	h.epochAt = max(h.epochAt, now+d)
	life := h.life
	h.fleet.tl.After(h.epochAt-now, func() {
		h.receive(func() {
			if h.life != life {
				return
			}
			h.own.apply(e)
			if h.homes != nil {
				h.homes.apply(e)
			}
			if h.gen != nil {
				h.handle(flow.EpochEvent{Epoch: e})
			}
		})
	})
}

func (h *flowHost) thaw() {
	h.frozen = false
	inbox := h.inbox
	h.inbox = nil
	for _, f := range inbox {
		f()
	}
}

func (h *flowHost) sent() uint64 {
	if h.gen == nil {
		return h.extra
	}
	return h.gen.Status().Sent + h.extra
}
