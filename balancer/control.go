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
	"wisteriaweir/request"
	"wisteriaweir/rollout"
	"wisteriaweir/rollout/rolloutpb"
	"wisteriaweir/service"
	"wisteriaweir/target/targetpb"
)

const (
	// maxQueuedTasks is the number of tasks that may be queued for the control
	// goroutine.
	maxQueuedTasks = 1024
	// platformRetryDelay is the delay after a failed call to the platform.
	platformRetryDelay = 500 * time.Millisecond
	// kindFlow is the kind of envelopes that carry a flow.Batch.
	kindFlow = "flow"
)

// control owns the control state. Its fields belong to the goroutine of run.
// Other goroutines use them only in tasks, which they queue by enqueue,
// enqueueContext or tryEnqueue.
type control struct {
	b     *Balancer
	tasks chan func()
	// ended is closed when run returns; no task runs after that.
	ended chan struct{}

	fleet  fleet.Fleet
	config service.Config
	// effectiveConfig is config without the addresses that are being moved
	// between services.
	effectiveConfig service.Config
	epochs          *flow.EpochManager
	// epoch is the epoch of fleet, the last one that was passed to epochs.
	epoch         *flow.Epoch
	members       *members
	statusReports *statusReports
	rolloutRunner *rolloutRunner
	targets       *targets
	leaseRunner   *leaseRunner
	proposer      *proposer
	shareBalancer *shareBalancer
	isLeaving     bool
	// isStale is true after a pause of the process, until the active
	// configuration is confirmed.
	isStale bool
}

func newControl(b *Balancer) *control {
	c := &control{
		b:     b,
		tasks: make(chan func(), maxQueuedTasks),
		ended: make(chan struct{}),
		epochs: flow.NewEpochManager(flow.EpochManagerConfig{
			Self:           b.self.Name,
			Life:           b.self.Life,
			BytesPerSecond: b.cfg.Setting.Limits.ControlBytes * pinBudgetPercent / 100,
		}),
	}
	c.members = newMembers(c)
	c.statusReports = newStatusReports(c)
	c.rolloutRunner = newRolloutRunner(c)
	c.targets = newTargets(c)
	c.leaseRunner = newLeaseRunner(c)
	c.proposer = newProposer(c)
	c.shareBalancer = newShareBalancer(c)
	return c
}

// pinBudgetPercent is the share of the control traffic budget that pins may
// use, in percent. The rest is for heartbeats, claims and the configuration.
const pinBudgetPercent = 70

// enqueueContext queues a task for the control goroutine. It blocks while the
// queue is full, and drops the task when ctx ends.
func (c *control) enqueueContext(ctx context.Context, task func()) {
	select {
	case c.tasks <- task:
	case <-ctx.Done():
	}
}

// enqueue queues a task for the control goroutine. It blocks while the queue is full, and
// drops the task once run has returned.
func (c *control) enqueue(task func()) {
	select {
	case c.tasks <- task:
	case <-c.ended:
	}
}

// run executes tasks and ticks until ctx ends.
func (c *control) run(ctx context.Context) {
	defer close(c.ended)
	tick := time.NewTicker(flow.TickInterval)
	defer tick.Stop()
	go c.retryAnnounce(ctx)
	go c.pollHosts(ctx)
	c.rolloutRunner.start(ctx)
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

// tick does the periodic work of every part of the control state.
func (c *control) tick(ctx context.Context) {
	c.handleFlow(flow.PinsEvent{Pins: c.b.collectPins()})
	c.handleFlow(flow.TickEvent{})
	c.members.tick()
	c.leaseRunner.tick(ctx)
	c.rolloutRunner.tick()
	c.extendFreshness()
	c.statusReports.tick()
	c.targets.tick()
	c.shareBalancer.tick()
	c.proposer.tick(ctx)
	c.reportPhase()
}

// extendFreshness lets traffic use the snapshot for another rollout.MaxPause,
// the longest pause of the process after which the active configuration needs
// no confirmation by other balancers. While a confirmation is outstanding, it
// extends nothing, and datagrams are dropped.
func (c *control) extendFreshness() {
	stale := !c.rolloutRunner.core.IsFresh()
	if stale != c.isStale {
		c.isStale = stale
		c.b.log.WithField("waiting", stale).Warn("process paused: datagrams are dropped while the active configuration waits for confirmation")
	}
	if !stale {
		c.b.freshUntil.Store(int64(c.b.now() + rollout.MaxPause))
	}
}

// applyState makes a newer state of the fleet the active one.
func (c *control) applyState(s rollout.State) {
	f, cfg := s.Fleet, s.Config
	if cfg.Number != c.config.Number {
		c.b.log.WithField("number", cfg.Number).WithField("digest", cfg.Digest).Info("configuration in force")
	}
	c.b.log.WithField("fleet", f.Number).WithField("members", len(f.Members)).
		WithField("holders", f.ClaimHolders.Number).Info("fleet state in force")
	c.fleet = f
	c.config = cfg
	c.effectiveConfig = f.EffectiveConfig(cfg)
	c.b.current.Store(c.b.snapshot().withConfig(c.effectiveConfig))
	c.epoch = flow.NewEpoch(flow.EpochConfig{
		Number:  f.Number,
		Config:  c.effectiveConfig,
		Members: flowMembers(f),
		Shares:  tableShares(f, cfg),
	}, c.epoch)
	for name, n := range c.epoch.OmittedTargets() {
		c.b.log.WithField("service", name).WithField("omitted", n).Error("service has too many targets, some of them get no new flows")
	}
	c.handleFlow(flow.EpochEvent{Epoch: c.epoch})
	c.targets.applyFleet(f, cfg)
	c.b.requests.enqueue(c.targets.usableConfig())
	c.members.publish()
	c.b.requests.enqueue(request.ClaimHoldersChanged{Set: claimHolderSet(f)})
	c.proposer.recordClaimHolders()
	c.statusReports.applyFleet()
}

// reportPhase sets the phase of the process that the monitor server exposes.
func (c *control) reportPhase() {
	switch {
	case c.isLeaving:
	case !c.rolloutRunner.core.IsFresh():
		c.b.monitor.SetState(monitor.State{Phase: monitor.PhaseStarting, Reason: "paused, waiting for confirmation of the active configuration"})
	case c.isActive() && c.epochs.Status().Ready:
		c.b.monitor.SetState(monitor.State{Phase: monitor.PhaseReady})
	case c.fleet.Number == 0:
		c.b.monitor.SetState(monitor.State{Phase: monitor.PhaseStarting, Reason: "no configuration yet"})
	default:
		c.b.monitor.SetState(monitor.State{Phase: monitor.PhaseStarting, Reason: "taking over flows"})
	}
}

// isActive reports whether this process instance is an active member of the
// fleet.
func (c *control) isActive() bool {
	m, ok := c.fleet.Member(c.b.self.Name)
	return ok && m.Life == c.b.self.Life && m.State == fleet.StateActive
}

// handleFlow passes an event of package flow to the epoch manager, and executes
// the resulting effects.
func (c *control) handleFlow(e flow.Event) {
	for _, effect := range c.epochs.Handle(c.b.now(), e) {
		c.executeFlow(effect)
	}
}

func (c *control) executeFlow(effect flow.Effect) {
	switch e := effect.(type) {
	case flow.Publish:
		c.b.publishFlowSnapshot(e.Snapshot)
	case flow.Collect:
		read := func(s *flow.Shard) []flow.CollectedFlow { return s.Collect(c.b.now()) }
		c.b.collectFlows(read, func(found []flow.CollectedFlow) {
			c.enqueue(func() {
				c.handleFlow(flow.CollectedEvent{Epoch: e.Epoch, Step: e.Step, Request: e.Request, Flows: found})
			})
		})
	case flow.CollectHandover:
		c.b.collectFlows((*flow.Shard).CollectHandover, func(found []flow.CollectedFlow) {
			c.enqueue(func() { c.handleFlow(flow.HandoverEvent{Flows: found}) })
		})
	case flow.Learn:
		c.b.distributePins(e.Pins, (*flow.Shard).Learn)
	case flow.LearnUnannounced:
		c.b.distributePins(e.Pins, (*flow.Shard).LearnUnannounced)
	case flow.LearnHandover:
		c.b.distributePins(e.Flows, (*flow.Shard).LearnHandover)
	case flow.Send:
		to, ok := c.b.snapshot().members[e.To]
		if !ok {
			return
		}
		payload, err := flowpb.Marshal(e.Batch)
		if err != nil {
			c.b.log.WithError(err).Error("flow batch cannot be encoded")
			return
		}
		// The epoch manager resends a batch until it is acknowledged.
		c.b.sendEnvelope(to, kindFlow, payload)
	}
}

// handleEnvelope decodes an envelope from another balancer, and queues the task
// that handles it. It runs on the transport's goroutines, and drops the envelope
// if the queue is full.
func (c *control) handleEnvelope(from peer.Sender, kind peer.Kind, payload []byte) {
	task, err := c.decode(from, kind, payload)
	if err != nil {
		c.b.log.WithError(err).WithField("from", from.Name).WithField("kind", kind).Warn("envelope cannot be read")
		return
	}
	if !c.tryEnqueue(task) {
		c.b.counters.DroppedQueue.Inc()
	}
}

// tryEnqueue queues a task for the control goroutine and reports whether the
// queue had room for it.
func (c *control) tryEnqueue(task func()) bool {
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
	return "unknown envelope kind " + string(e.Kind)
}

// decode decodes an envelope and returns the task that handles its content on
// the control goroutine.
func (c *control) decode(from peer.Sender, kind peer.Kind, payload []byte) (func(), error) {
	switch kind {
	case kindFlow:
		batch, err := flowpb.Unmarshal(payload)
		if err != nil {
			return nil, err
		}
		return func() { c.handleFlow(flow.BatchEvent{Batch: batch}) }, nil
	case kindMember:
		heartbeat, err := memberpb.Unmarshal(payload)
		if err != nil {
			return nil, err
		}
		return func() { c.members.handle(member.HeartbeatReceived{Heartbeat: heartbeat}) }, nil
	case kindStatusReport:
		d, err := decodeStatusReport(payload)
		if err != nil {
			return nil, err
		}
		return func() { c.statusReports.handle(from, d) }, nil
	case kindCount:
		n, err := flowpb.UnmarshalCount(payload)
		if err != nil {
			return nil, err
		}
		return func() { c.shareBalancer.handleCount(from, n) }, nil
	case kindAck:
		a, err := targetpb.UnmarshalAck(payload)
		if err != nil {
			return nil, err
		}
		return func() { c.statusReports.observations.handleAck(from, a) }, nil
	case kindRollout:
		m, err := rolloutpb.Unmarshal(payload)
		if err != nil {
			return nil, err
		}
		return func() { c.rolloutRunner.handle(rollout.MessageReceived{From: from.Name, Message: m}) }, nil
	default:
		return nil, &kindError{Kind: kind}
	}
}
