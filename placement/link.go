package placement

import "time"

const (
	// linkFraction is the fraction of the link speed above which the link counts as full.
	linkFraction = 0.8
	// minLinkBacklog is the backlog above linkFraction from which the link counts as full,
	// in time at linkFraction. A few full packets at once are no sign of a queue.
	minLinkBacklog = 20 * time.Millisecond
)

// link estimates from the packets of this host whether packets wait for its link. Packets
// that arrive at the speed of the link have most likely waited in a queue before it, and
// the acknowledgements of responses still do.
type link struct {
	// bytesPerSecond is the rate above which the link counts as full, 0 if it is not known.
	bytesPerSecond float64
	// backlog is the time in which the link would have passed what exceeds that rate.
	backlog time.Duration
	// receivedAt is when the last packet was received.
	receivedAt time.Duration
	// fullAt is when the link was last full, 0 if never.
	fullAt time.Duration
}

// newLink returns a link with a speed in Mbit/s. A speed of 0 means that it is not known:
// such a link is never full.
func newLink(mbps float64) link {
	return link{bytesPerSecond: mbps * 1e6 / 8 * linkFraction}
}

// receive records a packet of size bytes.
func (l *link) receive(now time.Duration, size int) {
	if l.bytesPerSecond == 0 {
		return
	}
	l.backlog = max(0, l.backlog-(now-l.receivedAt))
	l.backlog += time.Duration(float64(size) / l.bytesPerSecond * float64(time.Second))
	l.receivedAt = now
	if l.backlog >= minLinkBacklog {
		l.fullAt = now
	}
}

// wasFullSince reports whether the link was full at t or later.
func (l *link) wasFullSince(t time.Duration) bool {
	return l.fullAt > 0 && l.fullAt >= t
}
