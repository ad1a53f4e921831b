package flow

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// EpochManagerConfig holds what an EpochManager is made from.
type EpochManagerConfig struct {
	// Self and Life name this member.
	Self string
	Life uint64
	// BytesPerSecond bounds the batches sent; 0 is DefaultBytesPerSecond.
	BytesPerSecond int
}

// EpochManager is the control state of one member: the live epochs, and what
// has to be told to the others before an epoch may retire the older ones. It
// is not safe for concurrent use.
type EpochManager struct {
	cfg  EpochManagerConfig
	live []*Epoch
	// gone marks the members of the oldest live epoch that lost their part since.
	gone    []bool
	pending []pendingEpoch
	closed  closings
	peers   map[string]*peer
	names   []string
	// floors and decide are epoch numbers.
	floors map[string]uint64
	decide uint64
	// collected is the step for which the shards were read last.
	collected Step
	asked     Step
	owed      map[string]map[uint64]TargetID
	relayed   map[uint64]bool
	joined    uint64
	// leaving is the time since which this member is leaving, or 0; held is set
	// once its flows are collected.
	leaving time.Duration
	held    bool
	synced  bool

	unreachable map[string]bool
	excluded    map[TargetID]bool

	lastTick    time.Duration
	lastPublish time.Duration
	fresh       time.Duration
	awake       bool
	credit      float64
	turn        int
	sent        uint64
	out         []Effect
}

type pendingEpoch struct {
	epoch *Epoch
	since time.Duration
}

// NewEpochManager returns a member without an epoch.
func NewEpochManager(cfg EpochManagerConfig) *EpochManager {
	setInt(&cfg.BytesPerSecond, DefaultBytesPerSecond)
	return &EpochManager{cfg: cfg, peers: make(map[string]*peer), awake: true}
}

// Status is a short view of an EpochManager.
type Status struct {
	Newest uint64
	// Live is the number of live epochs; 1 when nothing is to be told.
	Live int
	// Ready is set once the member holds the pins of the others.
	Ready bool
	// HandedOver is set once a leaving member has queued its flows for their
	// homes; it may go when Waiting is 0.
	HandedOver bool
	// Waiting is the number of pins and flows to be sent, over all members.
	Waiting int
	// Sent counts the bytes of all batches sent.
	Sent uint64
}

// Status returns the present view.
func (g *EpochManager) Status() Status {
	s := Status{Live: len(g.live), Ready: g.synced && len(g.live) > 0, Sent: g.sent, HandedOver: g.held}
	if len(g.live) > 0 {
		s.Newest = g.newest().number
	}
	for _, p := range g.peers {
		s.Waiting += len(p.pins) + len(p.waiting.Pins) + len(p.known) + len(p.waiting.HandoverFlows)
	}
	return s
}

// Handle takes one event at a time that does not go back, and returns what is
// to be done.
func (g *EpochManager) Handle(now time.Duration, e Event) []Effect {
	g.out = nil
	switch e := e.(type) {
	case EpochEvent:
		g.offer(now, e.Epoch)
	case BatchEvent:
		g.receive(now, e.Batch)
	case CollectedEvent:
		g.take(e)
	case HandoverEvent:
		g.handOver(e.Flows)
	case PinsEvent:
		g.tellAll(e.Pins)
	case ReachabilityEvent:
		g.unreachable, g.excluded = maps.Clone(e.Unreachable), maps.Clone(e.Excluded)
		g.publish(now)
	case TickEvent:
		g.tick(now)
	}
	if len(g.live) > 0 {
		g.advance(now)
		g.send(now)
	}
	return g.out
}

func (g *EpochManager) newest() *Epoch {
	return g.live[len(g.live)-1]
}

func (g *EpochManager) emit(e Effect) {
	g.out = append(g.out, e)
}

// offer applies e, or keeps it until the members of the epochs before it have
// settled.
func (g *EpochManager) offer(now time.Duration, e *Epoch) {
	if len(g.live) > 0 && e.number <= g.newest().number {
		return
	}
	if n := len(g.pending); n > 0 && e.number <= g.pending[n-1].epoch.number {
		return
	}
	g.pending = append(g.pending, pendingEpoch{epoch: e, since: now})
	g.applyPending(now)
}

func (g *EpochManager) applyPending(now time.Duration) {
	force := g.passed(now) || g.cutOff() || slices.ContainsFunc(g.pending, func(p pendingEpoch) bool {
		return now-p.since >= forceAfter || (len(g.live) > 0 && lost(g.newest(), p.epoch))
	})
	for len(g.pending) > 0 && (force || g.mayApply(g.pending[0].epoch)) {
		p := g.pending[0]
		g.pending = g.pending[1:]
		g.apply(now, p)
	}
}

// passed reports whether a member has been beyond the newest epoch for a while.
// It missed that epoch, as members that were behind do, and will never settle
// it.
func (g *EpochManager) passed(now time.Duration) bool {
	for _, p := range g.peers {
		if p.aheadSince > 0 && now-p.aheadSince >= passedAfter {
			return true
		}
	}
	return false
}

// cutOff reports whether the newest epoch waits for a member that cannot be
// reached. That member may be cut off for long, so later epochs don't wait.
func (g *EpochManager) cutOff() bool {
	if len(g.live) == 0 {
		return false
	}
	number := g.newest().number
	return slices.ContainsFunc(g.homes(), func(n string) bool {
		return n != g.cfg.Self && g.unreachable[n] && g.floors[n] != number
	})
}

// mayApply reports whether e may come on top of the live epochs: while they
// are unsettled, only one with the same members.
func (g *EpochManager) mayApply(e *Epoch) bool {
	if len(g.live) < 2 || g.newest().member(g.cfg.Self) < 0 || g.rejoins(e) {
		return true
	}
	return slices.Equal(g.live[0].members, g.newest().members) && slices.Equal(g.newest().members, e.members)
}

// lost reports whether a member that was not leaving is gone from next.
func lost(prev, next *Epoch) bool {
	for _, m := range prev.members {
		i := next.member(m.Name)
		if m.State != Leaving && (i < 0 || next.members[i].Life != m.Life) {
			return true
		}
	}
	return false
}

// apply makes e the newest epoch and begins to tell what deviates from it.
func (g *EpochManager) apply(now time.Duration, p pendingEpoch) {
	e := p.epoch
	if g.rejoins(e) {
		g.restart(e)
	}
	g.setLive(append(g.live, e))
	g.closed = g.closed.with(e, p.since)
	g.updatePeers(e)
	for _, p := range g.peers {
		p.aheadSince = 0
	}
	g.collected, g.asked = 0, StepAnnounced
	g.owed, g.relayed = make(map[string]map[uint64]TargetID), make(map[uint64]bool)
	g.publish(now)
	g.emit(Collect{Epoch: e.number, Step: StepAnnounced})
}

// rejoins reports whether this member is new in e: the others have forgotten
// what they told it.
func (g *EpochManager) rejoins(e *Epoch) bool {
	if len(g.live) == 0 {
		return true
	}
	i, j := g.newest().member(g.cfg.Self), e.member(g.cfg.Self)
	if j < 0 {
		return false
	}
	return i < 0 || (e.members[j].State == Joining && g.newest().members[i].State != Joining)
}

func (g *EpochManager) restart(e *Epoch) {
	g.live = nil
	for n, p := range g.peers {
		g.peers[n] = p.renew(p.member, e.number)
	}
	g.floors = make(map[string]uint64)
	g.decide, g.joined = e.number, e.number
	i := e.member(g.cfg.Self)
	g.synced = i >= 0 && e.members[i].State == Active
}

// updatePeers drops the members that are gone and adds the new ones.
func (g *EpochManager) updatePeers(e *Epoch) {
	peers := make(map[string]*peer)
	for _, m := range e.members {
		if m.Name == g.cfg.Self {
			continue
		}
		p := g.peers[m.Name]
		switch {
		case p == nil || p.member.Life != m.Life:
			p = newPeer(m, e.number)
			delete(g.floors, m.Name)
		case m.State == Joining && p.member.State != Joining:
			p = p.renew(m, e.number)
			delete(g.floors, m.Name)
		}
		p.member = m
		peers[m.Name] = p
	}
	g.peers = peers
	g.names = slices.Sorted(maps.Keys(peers))
}

// homes returns the names of the members that decide on flows.
func (g *EpochManager) homes() []string {
	var out []string
	for i, m := range g.live[0].members {
		if m.State == Active && (m.Name == g.cfg.Self || !g.gone[i]) {
			out = append(out, m.Name)
		}
	}
	return out
}

func (g *EpochManager) isHome() bool {
	i := g.live[0].member(g.cfg.Self)
	return i >= 0 && g.live[0].members[i].State == Active && g.newest().member(g.cfg.Self) >= 0
}

// setLive replaces the live epochs.
func (g *EpochManager) setLive(epochs []*Epoch) {
	g.live = epochs
	g.gone = gone(epochs)
}

// skip marks the members of the oldest live epoch that cannot be asked.
func (g *EpochManager) skip() []bool {
	out := make([]bool, len(g.gone))
	for i, m := range g.live[0].members {
		out[i] = m.Name != g.cfg.Self && (g.gone[i] || g.unreachable[m.Name])
	}
	return out
}

// publish emits a snapshot of the present state.
func (g *EpochManager) publish(now time.Duration) {
	if len(g.live) == 0 {
		return
	}
	g.lastPublish = now
	old := g.live[0]
	s := &Snapshot{
		epochs: slices.Clone(g.live), tables: newTables(g.live),
		floors: make([]int, len(old.members)), gone: g.gone, skip: g.skip(),
		decide: g.index(g.decide), self: old.member(g.cfg.Self),
		fresh: g.freshUntil(), excluded: g.excluded, closed: g.closed,
	}
	for i, m := range old.members {
		s.floors[i] = g.index(g.floors[m.Name])
	}
	if s.self >= 0 {
		s.floors[s.self] = s.decide
	}
	g.emit(Publish{Snapshot: s})
}

func (g *EpochManager) freshUntil() time.Duration {
	if !g.synced || g.newest().member(g.cfg.Self) < 0 {
		return math.MinInt64
	}
	return g.fresh
}

// index returns the place among the live epochs of the newest one that is not
// newer than number.
func (g *EpochManager) index(number uint64) int {
	i, ok := slices.BinarySearchFunc(g.live, number, func(e *Epoch, n uint64) int { return cmp.Compare(e.number, n) })
	if ok {
		return i
	}
	return max(i-1, 0)
}
