package balancer

import (
	"context"
	"time"

	"wisteriaweir/fleet"
	"wisteriaweir/flow"
	"wisteriaweir/flow/flowpb"
	"wisteriaweir/member"
	"wisteriaweir/member/memberpb"
	"wisteriaweir/monitor"
	"wisteriaweir/peer"
	"wisteriaweir/platform"
	"wisteriaweir/request"
	"wisteriaweir/rollout"
	"wisteriaweir/rollout/rolloutpb"
	"wisteriaweir/service"
	"wisteriaweir/target/targetpb"
)

const (
	// taskQueue bounds what waits for the control goroutine.
	taskQueue = 1024
	// platformPause is the wait after a call to the platform that failed.
	platformPause = 500 * time.Millisecond
	// kindFlow marks envelopes that carry a batch of package flow.
	kindFlow = "flow"
)

// control owns the control state. Its fields belong to the goroutine of run;
// others reach it by post.
type control struct {
	b     *Balancer
	tasks chan func()

	fleet  fleet.Fleet
	config service.Config
	// served is config without the addresses that are being moved.
	served  service.Config
	gens    *flow.EpochManager
	epoch   *flow.Epoch
	members *members
	duties  *duties
	rollout *rollouts
	targets *targets
	lease   *leaseKeeper
	propose *proposer
	shares  *shareKeeper
	leaving bool
	// stale says that the process was paused and does not know what is in force.
	stale bool
}

func newControl(b *Balancer) *control {
	c := &control{
		b:     b,
		tasks: make(chan func(), taskQueue),
		gens: flow.NewEpochManager(flow.EpochManagerConfig{
			Self:           b.self.Name,
			Life:           b.self.Life,
			BytesPerSecond: b.cfg.Setting.Limits.ControlBytes * flowBudgetShare / 100,
		}),
	}
	c.members = newMembers(c)
	c.duties = newDuties(c)
	c.rollout = newRollouts(c)
	c.targets = newTargets(c)
	c.lease = newLeaseKeeper(c)
	c.propose = newProposer(c)
	c.shares = newShareKeeper(c)
	return c
}

// flowBudgetShare is the part of the control budget that pins may use, in
// percent; the rest is for heartbeats, claims and the configuration.
const flowBudgetShare = 70

// post runs a task on the control goroutine. It waits while too many are
// queued, and gives up when the balancer ends.
func (c *control) post(ctx context.Context, task func()) {
	select {
	case c.tasks <- task:
	case <-ctx.Done():
	}
}

// run owns the control state until ctx ends.
func (c *control) run(ctx context.Context) {
	tick := time.NewTicker(flow.TickInterval)
	defer tick.Stop()
	go c.keepAnnounced(ctx)
	go c.keepHosts(ctx)
	c.rollout.start(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-c.tasks:
			task()
		case <-tick.C:
			c.tick(ctx)
		}
	}
}

func (c *control) tick(ctx context.Context) {
	c.handleFlow(flow.PinsEvent{Pins: c.b.takePins()})
	c.handleFlow(flow.TickEvent{})
	c.members.tick()
	c.lease.tick(ctx)
	c.rollout.tick()
	c.refresh()
	c.duties.tick()
	c.targets.tick()
	c.shares.tick()
	c.propose.tick(ctx)
	c.report()
}

// refresh lets traffic go on for as long as a pause may last that needs no word
// of the others.
func (c *control) refresh() {
	stale := !c.rollout.core.IsFresh()
	if stale != c.stale {
		c.stale = stale
		c.b.log.WithField("waiting", stale).Warn("paused: traffic waits for what is in force")
	}
	if !stale {
		c.b.freshUntil.Store(int64(c.b.now() + rollout.MaxPause))
	}
}

// adopt puts a newer state of the fleet in force.
func (c *control) adopt(s rollout.State) {
	f, cfg := s.Fleet, s.Config
	if cfg.Number != c.config.Number {
		c.b.log.WithField("number", cfg.Number).WithField("digest", cfg.Digest).Info("configuration in force")
	}
	c.b.log.WithField("fleet", f.Number).WithField("members", len(f.Members)).
		WithField("holders", f.ClaimHolders.Number).Info("fleet state in force")
	c.fleet = f
	c.config = cfg
	c.served = f.EffectiveConfig(cfg)
	c.b.current.Store(c.b.snapshot().withConfig(c.served))
	c.epoch = flow.NewEpoch(flow.EpochConfig{
		Number:  f.Number,
		Config:  c.served,
		Members: flowMembers(f),
		Shares:  tableShares(f, cfg),
	}, c.epoch)
	c.handleFlow(flow.EpochEvent{Epoch: c.epoch})
	c.targets.adopted(f, cfg)
	c.b.requests.must(c.targets.usable())
	c.members.publish()
	c.b.requests.must(request.HoldersChanged{Set: holderSet(f)})
	c.propose.adopted()
	c.duties.adopted()
}

// report shows the phase of the process.
func (c *control) report() {
	switch {
	case c.leaving:
	case !c.rollout.core.IsFresh():
		c.b.monitor.SetState(monitor.State{Phase: monitor.PhaseStarting, Reason: "paused, asks what is in force"})
	case c.active() && c.gens.Status().Ready:
		c.b.monitor.SetState(monitor.State{Phase: monitor.PhaseReady})
	case c.fleet.Number == 0:
		c.b.monitor.SetState(monitor.State{Phase: monitor.PhaseStarting, Reason: "no configuration yet"})
	default:
		c.b.monitor.SetState(monitor.State{Phase: monitor.PhaseStarting, Reason: "taking over flows"})
	}
}

// active says whether this life is an active member of the fleet.
func (c *control) active() bool {
	m, ok := c.fleet.Member(c.b.self.Name)
	return ok && m.Life == c.b.self.Life && m.State == fleet.StateActive
}

// handleFlow gives the generations an event and performs the effects.
func (c *control) handleFlow(e flow.Event) {
	for _, effect := range c.gens.Handle(c.b.now(), e) {
		c.performFlow(effect)
	}
}

func (c *control) performFlow(effect flow.Effect) {
	switch e := effect.(type) {
	case flow.Publish:
		c.b.publish(e.Snapshot)
	case flow.Collect:
		read := func(s *flow.Shard) []flow.CollectedFlow { return s.Collect(c.b.now()) }
		c.b.gather(read, func(found []flow.CollectedFlow) {
			c.tasks <- func() {
				c.handleFlow(flow.CollectedEvent{Epoch: e.Epoch, Step: e.Step, Flows: found})
			}
		})
	case flow.CollectHandover:
		c.b.gather((*flow.Shard).CollectHandover, func(found []flow.CollectedFlow) {
			c.tasks <- func() { c.handleFlow(flow.HandoverEvent{Flows: found}) }
		})
	case flow.Learn:
		c.b.learn(e.Pins, (*flow.Shard).Learn)
	case flow.LearnUnannounced:
		c.b.learn(e.Pins, (*flow.Shard).LearnUnannounced)
	case flow.LearnHandover:
		c.b.learn(e.Flows, (*flow.Shard).LearnHandover)
	case flow.Send:
		to, ok := c.b.snapshot().members[e.To]
		if !ok {
			return
		}
		payload, err := flowpb.Marshal(e.Batch)
		if err != nil {
			c.b.log.WithError(err).Error("batch cannot be encoded")
			return
		}
		// The generations repeat a batch until it is acknowledged.
		c.b.tell(to, kindFlow, payload)
	}
}

// delivered takes an envelope of another balancer. It is called by the
// transport's goroutines.
func (c *control) delivered(from peer.Sender, kind peer.Kind, payload []byte) {
	task, err := c.read(from, kind, payload)
	if err != nil {
		c.b.log.WithError(err).WithField("from", from.Name).WithField("kind", kind).Warn("envelope cannot be read")
		return
	}
	if !c.offer(task) {
		c.b.count.DroppedQueue.Inc()
	}
}

// offer runs a task on the control goroutine, unless too many are queued.
func (c *control) offer(task func()) bool {
	select {
	case c.tasks <- task:
		return true
	default:
		return false
	}
}

// kindError reports an envelope of a kind that this balancer does not know.
type kindError struct {
	Kind peer.Kind
}

func (e *kindError) Error() string {
	return "unknown kind " + string(e.Kind)
}

// read decodes an envelope and returns what to do about it.
func (c *control) read(from peer.Sender, kind peer.Kind, payload []byte) (func(), error) {
	switch kind {
	case kindFlow:
		batch, err := flowpb.Unmarshal(payload)
		if err != nil {
			return nil, err
		}
		return func() { c.handleFlow(flow.BatchEvent{Batch: batch}) }, nil
	case kindMember:
		beat, err := memberpb.Unmarshal(payload)
		if err != nil {
			return nil, err
		}
		return func() { c.members.handle(member.HeartbeatReceived{Heartbeat: beat}) }, nil
	case kindDuty:
		d, err := decodeDuty(payload)
		if err != nil {
			return nil, err
		}
		return func() { c.duties.take(from, d) }, nil
	case kindCount:
		n, err := flowpb.UnmarshalCount(payload)
		if err != nil {
			return nil, err
		}
		return func() { c.shares.take(from, n) }, nil
	case kindAck:
		a, err := targetpb.UnmarshalAck(payload)
		if err != nil {
			return nil, err
		}
		return func() { c.duties.seen.acknowledged(from, a) }, nil
	case kindRollout:
		m, err := rolloutpb.Unmarshal(payload)
		if err != nil {
			return nil, err
		}
		return func() { c.rollout.handle(rollout.Received{From: from.Name, Message: m}) }, nil
	default:
		return nil, &kindError{Kind: kind}
	}
}

// keepHosts reads the platform's list now and then. The lease holder reads it
// more often.
func (c *control) keepHosts(ctx context.Context) {
	for ctx.Err() == nil {
		hosts, err := c.b.platform.Hosts(ctx)
		if err != nil {
			_ = platform.Sleep(ctx, platformPause)
			continue
		}
		c.post(ctx, func() { c.members.hosts(hosts) })
		_ = platform.Sleep(ctx, hostsInterval)
	}
}

// keepAnnounced tells the platform about this balancer until it is told.
func (c *control) keepAnnounced(ctx context.Context) {
	for ctx.Err() == nil {
		if c.announce(ctx, platform.StateLive) == nil {
			return
		}
		_ = platform.Sleep(ctx, platformPause)
	}
}

func (c *control) announce(ctx context.Context, state platform.State) error {
	self := c.b.self
	return c.b.platform.Announce(ctx, platform.Host{
		Name:    self.Name,
		Domain:  self.Domain,
		Control: self.Control.String(),
		Hop:     self.Hop.String(),
		Life:    self.Life,
		State:   state,
	})
}

// reach tells the generations which members and which targets cannot be
// reached.
func (c *control) reach() {
	c.handleFlow(flow.ReachabilityEvent{Unreachable: c.members.unreachable, Excluded: c.targets.excluded})
}

// leave says that the balancer is leaving and gives back its lease. The last
// balancer of a failure domain keeps it, since nobody else could take the
// balancer out of the fleet.
func (c *control) leave(ctx context.Context) {
	c.post(ctx, func() {
		c.leaving = true
		c.members.handle(member.Leave{})
		if c.members.othersServe() {
			c.lease.leave(ctx)
		}
	})
	go func() {
		if err := c.announce(ctx, platform.StateLeaving); err != nil {
			c.b.log.WithError(err).Warn("leaving is not announced to the platform")
		}
	}()
}

// gone says whether the fleet no longer has this life of the balancer.
func (c *control) gone() bool {
	m, ok := c.fleet.Member(c.b.self.Name)
	return !ok || m.Life != c.b.self.Life
}

// left says whether the fleet went on without this balancer.
func (c *control) left(ctx context.Context) bool {
	answer := make(chan bool, 1)
	c.post(ctx, func() { answer <- c.gone() })
	select {
	case gone := <-answer:
		return gone
	case <-ctx.Done():
		return false
	}
}

// handedOver says whether nothing is left that only this balancer knows.
func (c *control) handedOver() bool {
	s := c.gens.Status()
	return s.HandedOver && s.Waiting == 0
}
