package placement

import "time"

const (
	// reopenAfter is the time without an answer after which an opening packet goes
	// to another target as well. An answer takes two ways to the caller and one
	// between failure domains.
	reopenAfter = 60 * time.Millisecond
	// reopenMost bounds the targets that one opening packet is sent to.
	reopenMost = 3
)

// waiting is an opening packet whose answer may be overdue at a time.
type waiting struct {
	f  *flow
	at time.Duration
}

// await puts a flow into the queue of those whose answer is awaited.
func (c *Core) await(now time.Duration, f *flow) {
	f.awaited = now + reopenAfter
	c.openings = append(c.openings, waiting{f: f, at: f.awaited})
}

// NextDeadline returns when Tick has something to do, and whether there is such a time.
func (c *Core) NextDeadline() (time.Duration, bool) {
	at, ok := time.Duration(0), false
	if len(c.openings) > 0 {
		at, ok = c.openings[0].at, true
	}
	if len(c.holds) > 0 {
		if due := c.expiredAt + expireEvery; !ok || due < at {
			at, ok = due, true
		}
	}
	return at, ok
}

// SocketDrained says that all packets that had come by a time are handled. Stalls count
// only when this was so after the answer should have come.
func (c *Core) SocketDrained(now time.Duration) {
	c.drainedAt = now
}

// Tick sends opening packets that are overdue to other targets, and requests
// that have waited for long enough. It must be called when no packet waits to be
// handled: an answer may be among them.
func (c *Core) Tick(now time.Duration) {
	c.SocketDrained(now)
	c.expire(now)
	c.releaseOverdue(now)
	n := 0
	for ; n < len(c.openings) && c.openings[n].at <= now; n++ {
		f := c.openings[n].f
		if f.answered || f.dropped || f.awaited != c.openings[n].at {
			continue
		}
		c.doubt(now, f.target)
		c.reopen(now, f)
	}
	c.openings = append(c.openings[:0], c.openings[n:]...)
}

// reopen sends the opening packet of f to another target, if there is one.
func (c *Core) reopen(now time.Duration, f *flow) {
	if f.targets >= reopenMost {
		return
	}
	t := c.choose(now, f.service, f.target)
	if t == nil || t == f.target {
		return
	}
	c.notifyFlow(FlowNotice{Event: FlowPlacedAgain, Flow: f.key, Target: t})
	c.move(f, t)
	f.targets++
	f.sent = now
	c.await(now, f)
	c.emit(Resend{To: t, IsOpening: true, Datagram: f.datagram})
}
