package flow

import (
	"cmp"
	"slices"
	"time"
)

// handleCollected handles the flows of the shards that deviate from the newest
// epoch. As an owner, this member announces those that are not announced yet to all
// members, and the announced ones to the new members. It records the unannounced
// ones of other owners, to report them.
func (em *EpochManager) handleCollected(e CollectedEvent) {
	if len(em.live) == 0 {
		return
	}
	slices.SortFunc(e.Flows, func(a, b CollectedFlow) int {
		return cmp.Or(cmp.Compare(a.Pin.Target, b.Pin.Target), cmp.Compare(a.Pin.Hash, b.Pin.Hash))
	})
	newMembers := em.newMembers()
	for _, f := range e.Flows {
		switch {
		case f.Owner == em.cfg.Self && f.IsAnnounced && e.Step == StepAnnounced:
			em.announce(newMembers, f.Pin)
		case f.Owner == em.cfg.Self && !f.IsAnnounced:
			em.announce(em.peerNames, f.Pin)
		case f.Owner != em.cfg.Self && !f.IsAnnounced && e.Step == StepAnnounced:
			em.addUnreported(f)
		}
	}
	if e.Request == em.lastRequest {
		em.collectedStep = e.Step
	}
}

// collect requests the flows of the shards for a step of the newest epoch. Results of
// earlier requests, which belong to other live epochs, no longer perform a step.
func (em *EpochManager) collect(step Step) {
	em.requestedStep = step
	em.lastRequest++
	em.emit(Collect{Epoch: em.newest().number, Step: step, Request: em.lastRequest})
}

// newMembers returns the names of the members for which StepAnnounced was never
// queued.
func (em *EpochManager) newMembers() []string {
	var out []string
	for _, n := range em.peerNames {
		if em.peers[n].sentProgress[StepAnnounced] == 0 {
			out = append(out, n)
		}
	}
	return out
}

// addUnreported records a pin that this member has to report to its owners.
func (em *EpochManager) addUnreported(f CollectedFlow) {
	for _, owner := range append(f.NextOwners, f.Owner) {
		if em.unreported[owner] == nil {
			em.unreported[owner] = make(map[uint64]TargetID)
		}
		em.unreported[owner][f.Pin.Hash] = f.Pin.Target
	}
}

// announce queues a pin for the named members.
func (em *EpochManager) announce(names []string, pin Pin) {
	for _, n := range names {
		em.peers[n].queuePin(pin)
	}
}

// announceAll queues pins for all members.
func (em *EpochManager) announceAll(pins []Pin) {
	for _, pin := range pins {
		em.announce(em.peerNames, pin)
	}
}

// announceProgress queues a step of the newest epoch for all members.
func (em *EpochManager) announceProgress(step Step) {
	for _, n := range em.peerNames {
		em.peers[n].queueProgress(EpochProgress{Epoch: em.newest().number, Step: step})
	}
}

// advance performs each step of the newest epoch whose conditions are met.
func (em *EpochManager) advance(now time.Duration) {
	if em.collectedStep >= StepAnnounced {
		if em.isOwner() {
			em.announceProgress(StepAnnounced)
		}
		em.reportUnannounced()
	}
	em.activateNewest(now)
	if em.collectedStep == StepActivated {
		em.announceProgress(StepActivated)
	}
	em.retire(now)
	em.applyPending(now)
	em.startHandover(now)
}

// startHandover requests the flows of this member for the handover if the member has
// been leaving for handoverDelay and only one epoch is live. Within handoverDelay the
// fabric stops sending datagrams to the member.
func (em *EpochManager) startHandover(now time.Duration) {
	i := em.newest().memberIndex(em.cfg.Self)
	if i < 0 || em.newest().members[i].State != Leaving {
		em.leavingSince, em.isHandedOver = 0, false
		return
	}
	if em.leavingSince == 0 {
		em.leavingSince = now
	}
	if em.leavingSince < 0 || now-em.leavingSince < handoverDelay || len(em.live) > 1 {
		return
	}
	em.leavingSince = -1
	em.emit(CollectHandover{})
}

// queueHandover queues the flows of this member for their owners.
func (em *EpochManager) queueHandover(flows []CollectedFlow) {
	slices.SortFunc(flows, func(a, b CollectedFlow) int {
		return cmp.Or(cmp.Compare(a.Pin.Target, b.Pin.Target), cmp.Compare(a.Pin.Hash, b.Pin.Hash))
	})
	for _, f := range flows {
		if p := em.peers[f.Owner]; p != nil {
			p.queuedHandover = append(p.queuedHandover, f.Pin)
		}
	}
	em.isHandedOver = true
}

// reportUnannounced queues the recorded pins for their owners, and StepReported for
// every member. For an owner it waits until the owner has announced its own pins,
// because those need not be reported.
func (em *EpochManager) reportUnannounced() {
	number := em.newest().number
	owners := em.owners()
	for _, n := range em.peerNames {
		p := em.peers[n]
		if p.sentProgress[StepReported] >= number {
			continue
		}
		if slices.Contains(owners, n) && p.receivedProgress[StepAnnounced] != number {
			continue
		}
		for _, pin := range sortedPins(em.unreported[n]) {
			p.queueUnannounced(pin)
		}
		delete(em.unreported, n)
		p.queueProgress(EpochProgress{Epoch: number, Step: StepReported})
	}
}

// sortedPins returns the pins of m, a map from flow hash to target, sorted by target
// and hash.
func sortedPins(m map[uint64]TargetID) []Pin {
	out := make([]Pin, 0, len(m))
	for h, t := range m {
		out = append(out, Pin{Hash: h, Target: t})
	}
	slices.SortFunc(out, func(a, b Pin) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Hash, b.Hash))
	})
	return out
}

// activateNewest makes this member, as an owner, open flows by the newest epoch once
// every other member that is not joining has reported the pins that it knew.
func (em *EpochManager) activateNewest(now time.Duration) {
	number := em.newest().number
	if em.activeEpoch == number && em.requestedStep == StepActivated || em.collectedStep < StepAnnounced || !em.isOwner() {
		return
	}
	for _, n := range em.peerNames {
		p := em.peers[n]
		if p.member.State != Joining && p.receivedProgress[StepReported] != number {
			return
		}
	}
	em.activeEpoch = number
	em.publish(now)
	em.collect(StepActivated)
}

// retire records which epochs the other owners have activated, and drops the older
// epochs once every owner opens flows by the newest one.
func (em *EpochManager) retire(now time.Duration) {
	number := em.newest().number
	needsPublish := false
	for _, n := range em.owners() {
		if n == em.cfg.Self {
			continue
		}
		activated := em.peers[n].receivedProgress[StepActivated]
		if activated <= em.minEpochs[n] || activated > number {
			continue
		}
		needsPublish = true
		em.minEpochs[n] = activated
	}
	if em.retireOlder(now) {
		return
	}
	if em.isConverged() && (len(em.live) > 1 || !em.synced) {
		em.setLive(em.live[len(em.live)-1:])
		em.synced = true
		needsPublish = true
	}
	if needsPublish {
		em.publish(now)
	}
}

// retireOlder drops the live epochs before the newest one that every owner has
// activated, also while even newer epochs are live, and reports whether it dropped any.
// The other members no longer send hops to the members of the dropped epochs.
//
// If it drops epochs, it requests the flows of the shards again. This member then
// reports its unannounced pins to the current owners. If it is an owner, it announces
// the pins that the former owners did not announce to the members that joined since.
func (em *EpochManager) retireOlder(now time.Duration) bool {
	lowest := em.newest().number
	if em.isOwner() {
		lowest = em.activeEpoch
	}
	for _, n := range em.owners() {
		if n != em.cfg.Self {
			lowest = min(lowest, em.minEpochs[n])
		}
	}
	k := em.epochIndex(lowest)
	if k == 0 || k == len(em.live)-1 {
		return false
	}
	number := em.newest().number
	for n, p := range em.peers {
		p.sentProgress[StepReported] = min(p.sentProgress[StepReported], number-1)
		if em.joinedSince(n) {
			p.sentProgress[StepAnnounced] = 0
		}
	}
	em.setLive(em.live[k:])
	em.collectedStep = 0
	em.unreported = make(map[string]map[uint64]TargetID)
	em.publish(now)
	em.collect(StepAnnounced)
	return true
}

// joinedSince reports whether a member has joined since the oldest live epoch: it is not
// in that epoch or has lost the role that it had there.
func (em *EpochManager) joinedSince(name string) bool {
	i := em.live[0].memberIndex(name)
	return i < 0 || em.removed[i]
}

// isConverged reports whether every owner opens flows by the newest epoch.
func (em *EpochManager) isConverged() bool {
	number := em.newest().number
	for _, n := range em.owners() {
		if n != em.cfg.Self && em.minEpochs[n] != number {
			return false
		}
	}
	return !em.isOwner() || em.collectedStep == StepActivated
}

// receive handles a batch of another member.
func (em *EpochManager) receive(now time.Duration, b Batch) {
	p := em.peers[b.From]
	if p == nil || p.member.Life != b.Life {
		return
	}
	p.handleAck(b.AckSession, b.Ack)
	p.setAhead(now, len(em.live) > 0 && b.NewestEpoch > em.newest().number)
	if len(em.live) > 0 && b.NewestEpoch <= em.newest().number {
		p.hasAnswered = true
	}
	p.ackPending = p.ackPending || b.Hello || b.Seq != 0
	if b.Seq == 0 || !p.accept(b) {
		return
	}
	for _, progress := range b.Progress {
		if progress.Step >= StepAnnounced && progress.Step <= StepActivated {
			p.receivedProgress[progress.Step] = max(p.receivedProgress[progress.Step], progress.Epoch)
		}
	}
	if len(b.HandoverFlows) > 0 {
		em.emit(LearnHandover{Flows: b.HandoverFlows})
	}
	em.learnPins(p, b)
	em.endPauseRecovery(now)
}

// learnPins handles the pins of a batch. This member no longer has to report these pins
// to the sender, which knows them. Pins that the sender announced, and pins that this
// member owns in a live epoch, are learned as announced; the latter are relayed to the
// other members. Other pins that were reported to this member are learned as unannounced.
func (em *EpochManager) learnPins(from *peer, b Batch) {
	if len(b.Pins) == 0 || len(em.live) == 0 {
		return
	}
	var announced, unannounced []Pin
	unavailable := em.unavailable()
	for i, pin := range b.Pins {
		delete(em.unreported[from.member.Name], pin.Hash)
		isOwner := em.owns(pin.Hash, unavailable)
		if isOwner {
			em.relay(from, pin)
		}
		if isOwner || i < len(b.Pins)-b.UnannouncedCount {
			announced = append(announced, pin)
		} else {
			unannounced = append(unannounced, pin)
		}
	}
	if len(announced) > 0 {
		em.emit(Learn{Pins: announced})
	}
	if len(unannounced) > 0 {
		em.emit(LearnUnannounced{Pins: unannounced})
	}
}

// relay announces a pin that this member owns to all members except the one that
// sent it, at most once while the same epoch is the newest.
func (em *EpochManager) relay(from *peer, pin Pin) {
	if em.relayed[pin.Hash] {
		return
	}
	em.relayed[pin.Hash] = true
	for _, n := range em.peerNames {
		if n != from.member.Name {
			em.peers[n].queuePin(pin)
		}
	}
}

// owns reports whether this member decides on a flow in a live epoch.
func (em *EpochManager) owns(hash uint64, unavailable []bool) bool {
	for i, e := range em.live {
		if i > 0 {
			unavailable = nil
		}
		if o := e.ownerOf(hash, unavailable); o >= 0 && e.members[o].Name == em.cfg.Self {
			return true
		}
	}
	return false
}
