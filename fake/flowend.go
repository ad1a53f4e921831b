package fake

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// sendWindowSegments is the maximum number of unacknowledged segments.
	sendWindowSegments = 16
	// initialRTO is the time before the first retransmission of a segment; it doubles
	// with each further one.
	initialRTO = 200 * time.Millisecond
	// maxRTO is the maximum time before a retransmission.
	maxRTO = 1600 * time.Millisecond
	// maxRetransmits is the number of retransmissions of a segment after which the
	// endpoint gives up.
	maxRetransmits = 8
)

// endpoint is one end of a flow, which sends a stream of bytes and receives another
// one, as in TCP. It is not safe for concurrent use: its owner holds a lock.
type endpoint struct {
	local, remote netip.AddrPort
	// stamp is the stamp of the last received segment, which is copied into each sent
	// one.
	stamp uint32
	// nextSeq is the sequence number of the next new segment. ackedSeq is the
	// acknowledgement number with which the target accepted the flow; it is not read.
	nextSeq, ackedSeq uint32
	// inFlight are the segments that were sent and not acknowledged, oldest first.
	inFlight []segment
	// queued is the data that is not sent yet because the send window is full.
	queued []byte
	// finQueued reports whether the stream ends after the queued data.
	finQueued bool
	// finSent reports whether the end of the stream was sent.
	finSent bool
	// retransmitAt is when the oldest segment in flight is sent again.
	retransmitAt time.Time
	// rto is the current retransmission timeout.
	rto time.Duration
	// retransmits is the number of retransmissions since the last acknowledgement.
	retransmits int
	// expectedSeq is the sequence number that is expected next from the other end.
	expectedSeq uint32
	// outOfOrder are received segments, by sequence number, that cannot be added to
	// stream before earlier segments have arrived.
	outOfOrder map[uint32]segment
	// stream is the received data that was not consumed yet.
	stream []byte
	// remoteClosed reports whether the other end has ended its stream.
	remoteClosed bool
	// transmit sends a segment to the other end.
	transmit func(segment)
}

// write queues data for sending; with fin, the stream ends after the data.
func (e *endpoint) write(now time.Time, data []byte, fin bool) {
	e.queued = append(e.queued, data...)
	e.finQueued = e.finQueued || fin
	e.sendQueued(now)
}

// sendQueued sends queued data as far as the send window allows.
func (e *endpoint) sendQueued(now time.Time) {
	for len(e.inFlight) < sendWindowSegments && (len(e.queued) > 0 || e.finQueued && !e.finSent) {
		n := min(len(e.queued), maxSegmentData)
		s := segment{flags: segAck, seq: e.nextSeq, data: slices.Clone(e.queued[:n])}
		e.queued = e.queued[n:]
		e.nextSeq += uint32(n)
		if len(e.queued) == 0 && e.finQueued {
			s.flags |= segFin
			e.nextSeq++
			e.finSent = true
		}
		if len(e.inFlight) == 0 {
			e.rto, e.retransmits = initialRTO, 0
			e.retransmitAt = now.Add(initialRTO)
		}
		e.inFlight = append(e.inFlight, s)
		e.send(s)
	}
}

// send transmits s with the endpoint's addresses, stamp and acknowledgement.
func (e *endpoint) send(s segment) {
	s.stamp, s.to, s.from, s.ack = e.stamp, e.remote, e.local, e.expectedSeq
	e.transmit(s)
}

// receive processes a segment and reports whether the received stream grew or ended.
func (e *endpoint) receive(now time.Time, s segment) bool {
	e.stamp = s.stamp
	e.handleAck(now, s.ack)
	length := uint32(len(s.data))
	if s.has(segFin) {
		length++
	}
	if length == 0 {
		return false
	}
	if int32(s.seq-e.expectedSeq) >= 0 && len(e.outOfOrder) < 2*sendWindowSegments {
		e.outOfOrder[s.seq] = s
	}
	grew := false
	for {
		next, ok := e.outOfOrder[e.expectedSeq]
		if !ok {
			break
		}
		delete(e.outOfOrder, e.expectedSeq)
		e.stream = append(e.stream, next.data...)
		e.expectedSeq += uint32(len(next.data))
		if next.has(segFin) {
			e.expectedSeq++
			e.remoteClosed = true
		}
		grew = true
	}
	e.send(segment{flags: segAck, seq: e.nextSeq})
	return grew
}

// handleAck removes the acknowledged segments from inFlight and sends more queued
// data.
func (e *endpoint) handleAck(now time.Time, ack uint32) {
	progress := false
	for len(e.inFlight) > 0 {
		endSeq := e.inFlight[0].seq + uint32(len(e.inFlight[0].data))
		if e.inFlight[0].has(segFin) {
			endSeq++
		}
		if int32(ack-endSeq) < 0 {
			break
		}
		e.inFlight = e.inFlight[1:]
		progress = true
	}
	if progress {
		e.rto, e.retransmits = initialRTO, 0
		e.retransmitAt = now.Add(initialRTO)
		e.sendQueued(now)
	}
}

// retransmitOverdue retransmits the oldest unacknowledged segment if it is overdue.
// It returns false if there are no retransmissions left.
func (e *endpoint) retransmitOverdue(now time.Time) bool {
	if len(e.inFlight) == 0 || now.Before(e.retransmitAt) {
		return true
	}
	if e.retransmits == maxRetransmits {
		return false
	}
	e.retransmits++
	e.rto = min(2*e.rto, maxRTO)
	e.retransmitAt = now.Add(e.rto)
	e.send(e.inFlight[0])
	return true
}
