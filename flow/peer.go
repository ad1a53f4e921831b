package flow

import "time"

// peer is the state that a member has about another one.
type peer struct {
	member Member
	// session is the number of the epoch at which this member began to send to the
	// peer.
	session uint64
	// receivedProgress holds, for each step, the newest epoch for which the peer has
	// reported it.
	receivedProgress [StepActivated + 1]uint64
	// sentProgress holds, for each step, the newest epoch for which it was queued for
	// the peer.
	sentProgress [StepActivated + 1]uint64
	// queuedPins, queuedHandover and queuedProgress are not in a batch yet.
	queuedPins     []queuedPin
	queuedHandover []Pin
	queuedProgress []queuedEpochProgress
	// unacked is the batch that the peer has not acknowledged. Its Seq is 0 if there
	// is none.
	unacked Batch
	// sentAt is the time at which unacked was sent last.
	sentAt time.Duration
	// lastSeq is the Seq of the last batch of the session.
	lastSeq uint64
	// receivedSession and receivedSeq are those of the newest batch that was received
	// in order.
	receivedSession uint64
	receivedSeq     uint64
	// ackPending reports whether the peer expects a batch, as an acknowledgement or
	// in return for a hello.
	ackPending bool
	// hasAnswered reports whether the peer has sent a batch, since the last detected
	// pause, whose newest epoch is not newer than that of this member.
	hasAnswered bool
	// aheadSince is the time at which the peer first reported a newer epoch than that
	// of this member, 0 if its newest epoch is not newer.
	aheadSince time.Duration
	// helloSentAt is the time at which a hello was sent last since the last detected
	// pause, 0 if none was sent.
	helloSentAt time.Duration
}

// queuedPin is a pin to be sent.
type queuedPin struct {
	pin Pin
	// unannounced reports whether the receiver has to announce the pin.
	unannounced bool
}

// queuedEpochProgress is a progress report to be sent. It is sent after the pins
// that were queued before it, of which pinsBefore are left.
type queuedEpochProgress struct {
	progress   EpochProgress
	pinsBefore int
}

func newPeer(m Member, session uint64) *peer {
	return &peer{member: m, session: session}
}

// withSession returns a peer with a new sending session, to which nothing has been
// sent. Its receiving state is that of p.
func (p *peer) withSession(m Member, session uint64) *peer {
	n := newPeer(m, session)
	n.receivedSession, n.receivedSeq, n.receivedProgress = p.receivedSession, p.receivedSeq, p.receivedProgress
	return n
}

// queuePin queues a pin that this member announces.
func (p *peer) queuePin(pin Pin) {
	p.queuedPins = append(p.queuedPins, queuedPin{pin: pin})
}

// queueUnannounced queues a pin that the peer has to announce.
func (p *peer) queueUnannounced(pin Pin) {
	p.queuedPins = append(p.queuedPins, queuedPin{pin: pin, unannounced: true})
}

// queueProgress queues a progress report, unless one of the same step was queued for
// this epoch or a newer one.
func (p *peer) queueProgress(progress EpochProgress) {
	if p.sentProgress[progress.Step] >= progress.Epoch {
		return
	}
	p.sentProgress[progress.Step] = progress.Epoch
	p.queuedProgress = append(p.queuedProgress, queuedEpochProgress{progress: progress, pinsBefore: len(p.queuedPins)})
}

// hasDueBatch reports whether a batch has to be sent or repeated.
func (p *peer) hasDueBatch(now time.Duration) bool {
	if p.unacked.Seq != 0 {
		return now-p.sentAt >= resendTimeout
	}
	return len(p.queuedPins) > 0 || len(p.queuedProgress) > 0 || len(p.queuedHandover) > 0
}

// fillBatch moves the heads of the queues into the next unacknowledged batch. A batch
// with pins contains no handover flows.
func (p *peer) fillBatch() {
	pinCount := min(len(p.queuedPins), maxBatchPins)
	p.lastSeq++
	pins, unannounced := sortedByAnnounced(p.queuedPins[:pinCount])
	p.unacked = Batch{Session: p.session, Seq: p.lastSeq, Pins: pins, UnannouncedCount: unannounced}
	p.queuedPins = p.queuedPins[pinCount:]
	if pinCount == 0 {
		flowCount := min(len(p.queuedHandover), maxBatchPins)
		p.unacked.HandoverFlows = p.queuedHandover[:flowCount:flowCount]
		p.queuedHandover = p.queuedHandover[flowCount:]
	}
	remaining := p.queuedProgress[:0]
	for _, q := range p.queuedProgress {
		q.pinsBefore -= pinCount
		if q.pinsBefore <= 0 && len(p.unacked.Progress) < maxBatchProgress {
			p.unacked.Progress = append(p.unacked.Progress, q.progress)
			continue
		}
		remaining = append(remaining, q)
	}
	p.queuedProgress = remaining
}

// sortedByAnnounced returns the pins with the unannounced ones last, and the number
// of unannounced ones.
func sortedByAnnounced(queued []queuedPin) (pins []Pin, unannounced int) {
	for _, q := range queued {
		if !q.unannounced {
			pins = append(pins, q.pin)
		}
	}
	announced := len(pins)
	for _, q := range queued {
		if q.unannounced {
			pins = append(pins, q.pin)
		}
	}
	return pins, len(pins) - announced
}

// setAhead records whether the newest epoch of the peer is newer than that of this
// member.
func (p *peer) setAhead(now time.Duration, isAhead bool) {
	switch {
	case !isAhead:
		p.aheadSince = 0
	case p.aheadSince == 0:
		p.aheadSince = now
	}
}

// handleAck removes the unacknowledged batch if the acknowledgement is for it.
func (p *peer) handleAck(session, seq uint64) {
	if session == p.session && seq == p.unacked.Seq {
		p.unacked = Batch{}
	}
}

// accept reports whether b is the next batch in order, and if so records it as
// received. A batch of a newer session resets the state of the one before.
func (p *peer) accept(b Batch) bool {
	if b.Session > p.receivedSession {
		p.receivedSession, p.receivedSeq = b.Session, 0
		p.receivedProgress = [StepActivated + 1]uint64{}
	}
	if b.Session != p.receivedSession || b.Seq != p.receivedSeq+1 {
		return false
	}
	p.receivedSeq = b.Seq
	return true
}
