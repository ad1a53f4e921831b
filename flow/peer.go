package flow

import "time"

// peer is what a member keeps about another one.
type peer struct {
	member  Member
	session uint64
	// marks holds the newest epoch of each step that the peer has done.
	marks [StepActivated + 1]uint64
	// marked holds the newest epoch of each step that the peer was told.
	marked  [StepActivated + 1]uint64
	pins    []queuedPin
	known   []Pin
	queued  []queuedMark
	waiting Batch
	sentAt  time.Duration
	seq     uint64
	// heardSession and heard are those of the newest batch in order.
	heardSession uint64
	heard        uint64
	owesAck      bool
	greeted      bool
	// aheadSince is when the peer was first heard with a newer epoch, 0 if it is
	// not.
	aheadSince time.Duration
	helloAt    time.Duration
}

// queuedPin is a pin to be sent; owed says that the peer has to tell it on.
type queuedPin struct {
	pin  Pin
	owed bool
}

// queuedMark is sent once the pins that were queued before it are sent.
type queuedMark struct {
	mark  EpochProgress
	after int
}

func newPeer(m Member, session uint64) *peer {
	return &peer{member: m, session: session}
}

// renew returns a peer to which nothing was told, and which goes on hearing
// where p stopped.
func (p *peer) renew(m Member, session uint64) *peer {
	n := newPeer(m, session)
	n.heardSession, n.heard, n.marks = p.heardSession, p.heard, p.marks
	return n
}

func (p *peer) tell(pin Pin) {
	p.pins = append(p.pins, queuedPin{pin: pin})
}

func (p *peer) pay(pin Pin) {
	p.pins = append(p.pins, queuedPin{pin: pin, owed: true})
}

func (p *peer) mark(m EpochProgress) {
	if p.marked[m.Step] >= m.Epoch {
		return
	}
	p.marked[m.Step] = m.Epoch
	p.queued = append(p.queued, queuedMark{mark: m, after: len(p.pins)})
}

// due reports whether there is a batch to send or to repeat.
func (p *peer) due(now time.Duration) bool {
	if p.waiting.Seq != 0 {
		return now-p.sentAt >= resendAfter
	}
	return len(p.pins) > 0 || len(p.queued) > 0 || len(p.known) > 0
}

// take moves the head of the queues into the waiting batch.
func (p *peer) take() {
	n := min(len(p.pins), maxBatchPins)
	p.seq++
	pins, owed := sortedByOwed(p.pins[:n])
	p.waiting = Batch{Session: p.session, Seq: p.seq, Pins: pins, UnannouncedCount: owed}
	p.pins = p.pins[n:]
	if n == 0 {
		n := min(len(p.known), maxBatchPins)
		p.waiting.HandoverFlows = p.known[:n:n]
		p.known = p.known[n:]
	}
	rest := p.queued[:0]
	for _, q := range p.queued {
		q.after -= n
		if q.after <= 0 && len(p.waiting.Progress) < maxBatchMarks {
			p.waiting.Progress = append(p.waiting.Progress, q.mark)
			continue
		}
		rest = append(rest, q)
	}
	p.queued = rest
}

// sortedByOwed returns the pins, owed ones last, and the number of these.
func sortedByOwed(queued []queuedPin) (pins []Pin, owed int) {
	for _, q := range queued {
		if !q.owed {
			pins = append(pins, q.pin)
		}
	}
	told := len(pins)
	for _, q := range queued {
		if q.owed {
			pins = append(pins, q.pin)
		}
	}
	return pins, len(pins) - told
}

// ahead notes whether the peer follows a newer epoch.
func (p *peer) ahead(now time.Duration, is bool) {
	switch {
	case !is:
		p.aheadSince = 0
	case p.aheadSince == 0:
		p.aheadSince = now
	}
}

// acked takes an acknowledgement.
func (p *peer) acked(session, seq uint64) {
	if session == p.session && seq == p.waiting.Seq {
		p.waiting = Batch{}
	}
}

// accept reports whether b is the next one in order.
func (p *peer) accept(b Batch) bool {
	if b.Session > p.heardSession {
		p.heardSession, p.heard = b.Session, 0
		p.marks = [StepActivated + 1]uint64{}
	}
	if b.Session != p.heardSession || b.Seq != p.heard+1 {
		return false
	}
	p.heard = b.Seq
	return true
}
