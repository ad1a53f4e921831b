package flow

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// EpochManagerConfig holds the settings of an EpochManager.
type EpochManagerConfig struct {
	// Self is the name of this member, and Life its process instance.
	Self string
	Life uint64
	// BytesPerSecond limits the rate of sent batches; 0 means DefaultBytesPerSecond.
	BytesPerSecond int
}

// EpochManager is the control state of one member: the live epochs, and the pins
// and progress that it has to send to the other members before the older epochs may
// be retired. It is not safe for concurrent use.
type EpochManager struct {
	cfg EpochManagerConfig
	// live are the live epochs, oldest first.
	live []*Epoch
	// removed reports which members of the oldest live epoch lost their role in a
	// later one.
	removed []bool
	// pending are the epochs that are not applied yet, oldest first.
	pending []pendingEpoch
	// drainTimes are those of the newest epoch.
	drainTimes drainTimes
	// peers are the other members of the newest epoch, by name.
	peers map[string]*peer
	// peerNames are the keys of peers, sorted.
	peerNames []string
	// minEpochs maps each other owner to the number of the oldest epoch by which it
	// may still open flows.
	minEpochs map[string]uint64
	// activeEpoch is the number of the epoch by which this member, as an owner,
	// opens flows.
	activeEpoch uint64
	// collectedStep is the step for which the shards returned their flows last. It is
	// 0 while the first results for the newest epoch are outstanding.
	collectedStep Step
	// requestedStep is the step for which a Collect was emitted last.
	requestedStep Step
	// lastRequest is the number of that Collect.
	lastRequest uint64
	// unreported holds the pins that this member has to report to their owners: for
	// the name of each owner, the target of each flow hash.
	unreported map[string]map[uint64]TargetID
	// relayed is the set of flow hashes whose pins this member, as their owner, has
	// relayed to the other members since the newest epoch was applied.
	relayed map[uint64]bool
	// joined is the number of the epoch with which this member joined last.
	joined uint64
	// leavingSince is the time since which this member has been leaving, 0 if it is
	// not leaving, and -1 once it has requested its flows for the handover.
	leavingSince time.Duration
	// isHandedOver reports whether those flows are queued for their owners.
	isHandedOver bool
	// synced reports whether this member has the pins of the others.
	synced bool

	// unreachable and excluded are those of the last ReachabilityEvent.
	unreachable map[string]bool
	excluded    map[TargetID]bool

	lastTickAt    time.Duration
	lastPublishAt time.Duration
	// freshUntil is the time until which this member may assume that it has not missed
	// an epoch: MaxTickGap after the last tick at which isCurrent was true.
	freshUntil time.Duration
	// isCurrent is false from a detected pause until every reachable active member
	// has shown that its newest epoch is not newer than that of this member.
	isCurrent bool
	// sendBudget is the number of bytes that may be sent now.
	sendBudget float64
	// lastPeer is the index in peerNames of the member that sendDue handled last.
	lastPeer int
	// sentBytes is the size of all sent batches.
	sentBytes uint64
	// effects are the effects of the event that is being handled.
	effects []Effect
}

// pendingEpoch is an epoch that waits to be applied.
type pendingEpoch struct {
	epoch *Epoch
	// receivedAt is the time at which the epoch was received.
	receivedAt time.Duration
}

// NewEpochManager returns an EpochManager without an epoch.
func NewEpochManager(cfg EpochManagerConfig) *EpochManager {
	setInt(&cfg.BytesPerSecond, DefaultBytesPerSecond)
	return &EpochManager{cfg: cfg, peers: make(map[string]*peer), isCurrent: true}
}

// Status is a summary of an EpochManager.
type Status struct {
	// Newest is the number of the newest epoch, 0 if there is none.
	Newest uint64
	// Live is the number of live epochs. It is 1 when the older epochs are retired: every
	// owner has announced the pins that differ from the newest epoch.
	Live int
	// Ready reports whether the member has the pins of the other members.
	Ready bool
	// HandedOver reports whether a leaving member has queued its flows for their
	// owners. It may stop when Waiting is 0.
	HandedOver bool
	// Waiting is the number of pins and flows that are queued or not acknowledged,
	// over all receivers.
	Waiting int
	// Sent is the size of all sent batches, in bytes.
	Sent uint64
}

// Status returns the current summary.
func (em *EpochManager) Status() Status {
	s := Status{Live: len(em.live), Ready: em.synced && len(em.live) > 0, Sent: em.sentBytes, HandedOver: em.isHandedOver}
	if len(em.live) > 0 {
		s.Newest = em.newest().number
	}
	for _, p := range em.peers {
		s.Waiting += len(p.queuedPins) + len(p.unacked.Pins) + len(p.queuedHandover) + len(p.unacked.HandoverFlows)
	}
	return s
}

// Handle handles one event and returns the effects that the process has to execute.
// The time now must not go back from one call to the next.
func (em *EpochManager) Handle(now time.Duration, e Event) []Effect {
	em.effects = nil
	switch e := e.(type) {
	case EpochEvent:
		em.enqueueEpoch(now, e.Epoch)
	case BatchEvent:
		em.receive(now, e.Batch)
	case CollectedEvent:
		em.handleCollected(e)
	case HandoverEvent:
		em.queueHandover(e.Flows)
	case PinsEvent:
		em.announceAll(e.Pins)
	case ReachabilityEvent:
		em.unreachable, em.excluded = maps.Clone(e.Unreachable), maps.Clone(e.Excluded)
		em.publish(now)
	case TickEvent:
		em.handleTick(now)
	}
	if len(em.live) > 0 {
		em.advance(now)
		em.sendDue(now)
	}
	return em.effects
}

func (em *EpochManager) newest() *Epoch {
	return em.live[len(em.live)-1]
}

func (em *EpochManager) emit(e Effect) {
	em.effects = append(em.effects, e)
}

// enqueueEpoch applies e, or stores it until the epochs before it have converged. It
// ignores an epoch that is not newer than the newest one that it received.
func (em *EpochManager) enqueueEpoch(now time.Duration, e *Epoch) {
	if len(em.live) > 0 && e.number <= em.newest().number {
		return
	}
	if n := len(em.pending); n > 0 && e.number <= em.pending[n-1].epoch.number {
		return
	}
	em.pending = append(em.pending, pendingEpoch{epoch: e, receivedAt: now})
	em.applyPending(now)
}

// applyPending applies the pending epochs that need not wait for the epochs before
// them to converge. It applies all of them if this member is behind its peers, if the
// newest epoch waits for an unreachable owner, if a pending epoch has waited for
// forceApplyTimeout or if one shows that a member has failed.
func (em *EpochManager) applyPending(now time.Duration) {
	applyAll := em.isBehindPeers(now) || em.waitsForUnreachable() || slices.ContainsFunc(em.pending, func(p pendingEpoch) bool {
		return now-p.receivedAt >= forceApplyTimeout || (len(em.live) > 0 && hasFailedMember(em.newest(), p.epoch))
	})
	for len(em.pending) > 0 && (applyAll || em.mayApply(em.pending[0].epoch)) {
		p := em.pending[0]
		em.pending = em.pending[1:]
		em.apply(now, p)
	}
}

// isBehindPeers reports whether a peer has been at a newer epoch than this member for
// behindTimeout. A member that was behind skips epochs: such a peer has skipped the
// newest epoch of this member and will never activate it.
func (em *EpochManager) isBehindPeers(now time.Duration) bool {
	for _, p := range em.peers {
		if p.aheadSince > 0 && now-p.aheadSince >= behindTimeout {
			return true
		}
	}
	return false
}

// waitsForUnreachable reports whether an unreachable owner has not activated the
// newest epoch. It may stay unreachable for long, so later epochs do not wait for
// it.
func (em *EpochManager) waitsForUnreachable() bool {
	if len(em.live) == 0 {
		return false
	}
	number := em.newest().number
	return slices.ContainsFunc(em.owners(), func(n string) bool {
		return n != em.cfg.Self && em.unreachable[n] && em.minEpochs[n] != number
	})
}

// mayApply reports whether e may be added to the live epochs. While these have not
// converged, only an epoch with the same members may be added, unless this member
// is not in the newest epoch or rejoins with e.
func (em *EpochManager) mayApply(e *Epoch) bool {
	if len(em.live) < 2 || em.newest().memberIndex(em.cfg.Self) < 0 || em.rejoins(e) {
		return true
	}
	return slices.Equal(em.live[0].members, em.newest().members) && slices.Equal(em.newest().members, e.members)
}

// hasFailedMember reports whether a member of prev that was not leaving is missing
// from next or is another process instance there.
func hasFailedMember(prev, next *Epoch) bool {
	for _, m := range prev.members {
		i := next.memberIndex(m.Name)
		if m.State != Leaving && (i < 0 || next.members[i].Life != m.Life) {
			return true
		}
	}
	return false
}

// apply makes the epoch of p the newest one and requests the flows that deviate
// from it.
func (em *EpochManager) apply(now time.Duration, p pendingEpoch) {
	e := p.epoch
	if em.rejoins(e) {
		em.restart(e)
	}
	em.setLive(append(em.live, e))
	em.drainTimes = em.drainTimes.withEpoch(e, p.receivedAt)
	em.updatePeers(e)
	for _, p := range em.peers {
		p.aheadSince = 0
	}
	em.collectedStep = 0
	em.unreported, em.relayed = make(map[string]map[uint64]TargetID), make(map[uint64]bool)
	em.publish(now)
	em.collect(StepAnnounced)
}

// rejoins reports whether this member is new in e: the other members have dropped
// their record of what they sent to it.
func (em *EpochManager) rejoins(e *Epoch) bool {
	if len(em.live) == 0 {
		return true
	}
	i, j := em.newest().memberIndex(em.cfg.Self), e.memberIndex(em.cfg.Self)
	if j < 0 {
		return false
	}
	return i < 0 || (e.members[j].State == Joining && em.newest().members[i].State != Joining)
}

// restart drops the live epochs and starts a new session with every peer, as this
// member is new in e.
func (em *EpochManager) restart(e *Epoch) {
	em.live = nil
	for n, p := range em.peers {
		em.peers[n] = p.withSession(p.member, e.number)
	}
	em.minEpochs = make(map[string]uint64)
	em.activeEpoch, em.joined = e.number, e.number
	i := e.memberIndex(em.cfg.Self)
	em.synced = i >= 0 && e.members[i].State == Active
}

// updatePeers removes the peers that are not in e and adds those that are new in it.
func (em *EpochManager) updatePeers(e *Epoch) {
	peers := make(map[string]*peer)
	for _, m := range e.members {
		if m.Name == em.cfg.Self {
			continue
		}
		p := em.peers[m.Name]
		switch {
		case p == nil || p.member.Life != m.Life:
			p = newPeer(m, e.number)
			delete(em.minEpochs, m.Name)
		case m.State == Joining && p.member.State != Joining:
			p = p.withSession(m, e.number)
			delete(em.minEpochs, m.Name)
		}
		p.member = m
		peers[m.Name] = p
	}
	em.peers = peers
	em.peerNames = slices.Sorted(maps.Keys(peers))
}

// owners returns the names of the members that decide on flows: the active members
// of the oldest live epoch that were not removed since.
func (em *EpochManager) owners() []string {
	var out []string
	for i, m := range em.live[0].members {
		if m.State == Active && (m.Name == em.cfg.Self || !em.removed[i]) {
			out = append(out, m.Name)
		}
	}
	return out
}

// isOwner reports whether this member decides on flows.
func (em *EpochManager) isOwner() bool {
	i := em.live[0].memberIndex(em.cfg.Self)
	return i >= 0 && em.live[0].members[i].State == Active && em.newest().memberIndex(em.cfg.Self) >= 0
}

// setLive replaces the live epochs and updates the set of removed members.
func (em *EpochManager) setLive(epochs []*Epoch) {
	em.live = epochs
	em.removed = removedMembers(epochs)
}

// unavailable reports which other members of the oldest live epoch were removed or
// are unreachable.
func (em *EpochManager) unavailable() []bool {
	out := make([]bool, len(em.removed))
	for i, m := range em.live[0].members {
		out[i] = m.Name != em.cfg.Self && (em.removed[i] || em.unreachable[m.Name])
	}
	return out
}

// publish emits a snapshot of the current state.
func (em *EpochManager) publish(now time.Duration) {
	if len(em.live) == 0 {
		return
	}
	em.lastPublishAt = now
	old := em.live[0]
	s := &Snapshot{
		epochs: slices.Clone(em.live), tables: tablesByService(em.live),
		minEpochIndexes: make([]int, len(old.members)), removed: em.removed, unavailable: em.unavailable(),
		activeIndex: em.epochIndex(em.activeEpoch), self: old.memberIndex(em.cfg.Self),
		openUntil: em.openUntil(), excluded: em.excluded, drainTimes: em.drainTimes, selfName: em.cfg.Self,
	}
	for i, m := range old.members {
		s.minEpochIndexes[i] = em.epochIndex(em.minEpochs[m.Name])
	}
	if s.self >= 0 {
		s.minEpochIndexes[s.self] = s.activeIndex
	}
	em.emit(Publish{Snapshot: s})
}

// openUntil returns the time until which this member may open flows without a hop.
// The result lies in the past if the member does not have the pins of the others or
// is not in the newest epoch.
func (em *EpochManager) openUntil() time.Duration {
	if !em.synced || em.newest().memberIndex(em.cfg.Self) < 0 {
		return math.MinInt64
	}
	return em.freshUntil
}

// epochIndex returns the index of the newest live epoch that is not newer than
// number, or 0 if there is none.
func (em *EpochManager) epochIndex(number uint64) int {
	i, ok := slices.BinarySearchFunc(em.live, number, func(e *Epoch, n uint64) int { return cmp.Compare(e.number, n) })
	if ok {
		return i
	}
	return max(i-1, 0)
}
