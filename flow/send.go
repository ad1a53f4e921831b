package flow

import "time"

// handleTick adds to the send budget, detects pauses and extends the time until
// which this member may open flows without a hop.
func (em *EpochManager) handleTick(now time.Duration) {
	gap := now - em.lastTickAt
	em.lastTickAt = now
	rate := float64(em.cfg.BytesPerSecond)
	em.sendBudget = min(em.sendBudget+rate*gap.Seconds(), max(rate*burstDuration.Seconds(), maxBatchSize))
	if gap > MaxTickGap && em.freshUntil > 0 {
		em.startPauseRecovery()
	}
	em.endPauseRecovery(now)
	if em.isCurrent {
		em.freshUntil = now + MaxTickGap
	}
	if now-em.lastPublishAt >= publishInterval {
		em.publish(now)
	}
}

// startPauseRecovery is called after a pause. The other members have to confirm that
// this member has not missed an epoch.
func (em *EpochManager) startPauseRecovery() {
	em.isCurrent = false
	for _, p := range em.peers {
		p.hasAnswered, p.helloSentAt = false, 0
	}
}

// endPauseRecovery ends the recovery from a pause once every reachable active member
// has reported a newest epoch that is not newer than that of this member.
func (em *EpochManager) endPauseRecovery(now time.Duration) {
	if em.isCurrent || len(em.live) == 0 {
		return
	}
	for _, n := range em.peerNames {
		p := em.peers[n]
		if p.member.State == Active && !p.hasAnswered && !em.unreachable[n] {
			return
		}
	}
	em.isCurrent = true
	em.freshUntil = now + MaxTickGap
	em.publish(now)
}

// sendDue sends the due batches while the send budget lasts: at most one to each
// reachable member, beginning after the member that was handled last.
func (em *EpochManager) sendDue(now time.Duration) {
	if em.newest().memberIndex(em.cfg.Self) < 0 {
		return
	}
	for range em.peerNames {
		if em.sendBudget < maxBatchSize {
			return
		}
		em.lastPeer = (em.lastPeer + 1) % len(em.peerNames)
		n := em.peerNames[em.lastPeer]
		if !em.unreachable[n] {
			em.sendTo(now, n, em.peers[n])
		}
	}
}

// sendTo sends one batch to a member if a batch, a hello or an acknowledgement is
// due.
func (em *EpochManager) sendTo(now time.Duration, name string, p *peer) {
	isHelloDue := !em.isCurrent && !p.hasAnswered && (p.helloSentAt == 0 || now-p.helloSentAt >= helloInterval)
	isBatchDue := p.hasDueBatch(now)
	if !isBatchDue && !isHelloDue && !p.ackPending {
		return
	}
	var b Batch
	if isBatchDue {
		if p.unacked.Seq == 0 {
			p.fillBatch()
		}
		b = p.unacked
		p.sentAt = now
	}
	if isHelloDue {
		b.Hello = true
		p.helloSentAt = now
	}
	p.ackPending = false
	b.From, b.Life, b.NewestEpoch = em.cfg.Self, em.cfg.Life, em.newest().number
	b.AckSession, b.Ack = p.receivedSession, p.receivedSeq
	size := b.Size()
	em.sendBudget -= float64(size)
	em.sentBytes += uint64(size)
	em.emit(Send{To: name, Batch: b})
}
