package fake

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// endWindow is the number of segments that may be on their way.
	endWindow = 16
	// resendFirst and resendMost bound the time before a segment is sent again.
	resendFirst = 200 * time.Millisecond
	resendMost  = 1600 * time.Millisecond
	// resendTries is the number of repetitions after which an end gives up.
	resendTries = 8
)

// flowEnd is one end of a flow: it sends a stream of bytes and receives another.
// Its owner calls it from one goroutine.
type flowEnd struct {
	local, remote netip.AddrPort
	echo          uint32
	// next is the position behind the data that was handed over, acked what the
	// other end has, sent what is on its way behind acked.
	next, acked uint32
	sent        []segment
	queued      []byte
	finish      bool
	finished    bool
	resendAt    time.Time
	resendAfter time.Duration
	tries       int
	// got is the position up to which the other end's stream is here, early holds
	// segments that came before their turn.
	got    uint32
	early  map[uint32]segment
	stream []byte
	closed bool
	// out sends a segment.
	out func(segment)
}

// write hands data over, for the end of the stream if last is set.
func (e *flowEnd) write(now time.Time, data []byte, last bool) {
	e.queued = append(e.queued, data...)
	e.finish = e.finish || last
	e.pump(now)
}

// pump sends what the window allows.
func (e *flowEnd) pump(now time.Time) {
	for len(e.sent) < endWindow && (len(e.queued) > 0 || e.finish && !e.finished) {
		n := min(len(e.queued), segmentData)
		s := segment{flags: segAck, seq: e.next, data: slices.Clone(e.queued[:n])}
		e.queued = e.queued[n:]
		e.next += uint32(n)
		if len(e.queued) == 0 && e.finish {
			s.flags |= segFin
			e.next++
			e.finished = true
		}
		if len(e.sent) == 0 {
			e.resendAfter, e.tries = resendFirst, 0
			e.resendAt = now.Add(resendFirst)
		}
		e.sent = append(e.sent, s)
		e.send(s)
	}
}

func (e *flowEnd) send(s segment) {
	s.echo, s.to, s.from, s.ack = e.echo, e.remote, e.local, e.got
	e.out(s)
}

// receive takes in a segment and reports whether the stream grew or ended.
func (e *flowEnd) receive(now time.Time, s segment) bool {
	e.echo = s.echo
	e.acknowledge(now, s.ack)
	length := uint32(len(s.data))
	if s.has(segFin) {
		length++
	}
	if length == 0 {
		return false
	}
	if int32(s.seq-e.got) >= 0 && len(e.early) < 2*endWindow {
		e.early[s.seq] = s
	}
	grew := false
	for {
		n, ok := e.early[e.got]
		if !ok {
			break
		}
		delete(e.early, e.got)
		e.stream = append(e.stream, n.data...)
		e.got += uint32(len(n.data))
		if n.has(segFin) {
			e.got++
			e.closed = true
		}
		grew = true
	}
	e.send(segment{flags: segAck, seq: e.next})
	return grew
}

// acknowledge drops what the other end has.
func (e *flowEnd) acknowledge(now time.Time, ack uint32) {
	progress := false
	for len(e.sent) > 0 {
		end := e.sent[0].seq + uint32(len(e.sent[0].data))
		if e.sent[0].has(segFin) {
			end++
		}
		if int32(ack-end) < 0 {
			break
		}
		e.sent = e.sent[1:]
		progress = true
	}
	if progress {
		e.resendAfter, e.tries = resendFirst, 0
		e.resendAt = now.Add(resendFirst)
		e.pump(now)
	}
}

// tick sends again what is overdue, and reports whether the end goes on.
func (e *flowEnd) tick(now time.Time) bool {
	if len(e.sent) == 0 || now.Before(e.resendAt) {
		return true
	}
	if e.tries == resendTries {
		return false
	}
	e.tries++
	e.resendAfter = min(2*e.resendAfter, resendMost)
	e.resendAt = now.Add(e.resendAfter)
	e.send(e.sent[0])
	return true
}
