package placement

import "time"

const (
	// hedgeDelay is the time without a response after which an opening packet is sent
	// to another target as well (hedging). It covers the three paths until the response
	// is noticed: the opening packet to a target in another failure domain, the response
	// to the caller, and the caller's acknowledgement to this host.
	hedgeDelay = 60 * time.Millisecond
	// maxHedgeTargets is the maximum number of targets that one opening packet is sent
	// to.
	maxHedgeTargets = 3
)

// pendingOpening is an opening packet that waits for a response until the deadline.
type pendingOpening struct {
	f        *flow
	deadline time.Duration
}

// awaitOpening starts the wait for the response to the opening packet of f, which is sent
// to its target now.
func (c *Core) awaitOpening(now time.Duration, f *flow) {
	c.recordOpening(now, f.target)
	f.openingDeadline = now + hedgeDelay
	c.openings = append(c.openings, pendingOpening{f: f, deadline: f.openingDeadline})
}

// NextDeadline returns the time at which Tick must be called next. It returns false
// if Tick need not be called, because nothing is opening, queued or to be judged.
func (c *Core) NextDeadline() (time.Duration, bool) {
	at, ok := time.Duration(0), false
	if len(c.openings) > 0 {
		at, ok = c.openings[0].deadline, true
	}
	if len(c.suspicions) > 0 && (!ok || c.suspicions[0].deadAt < at) {
		at, ok = c.suspicions[0].deadAt, true
	}
	if len(c.queuedRequests) > 0 {
		if due := c.lastExpiryAt + expireInterval; !ok || due < at {
			at, ok = due, true
		}
	}
	return at, ok
}

// RecordSocketDrained records that all packets received before now have been handled. A
// stall counts only if the socket was drained at a time by which the acknowledgement
// of the response should have arrived.
func (c *Core) RecordSocketDrained(now time.Duration) {
	c.socketDrainedAt = now
}

// Tick sends opening packets without a response to other targets, discards queued
// requests whose callers have given up, sends those for which there is room, ends requests in
// progress that have reached their deadline, and decides on suspected targets. It must be called only when no received packet is unread,
// because such a packet may acknowledge a response.
func (c *Core) Tick(now time.Duration) {
	c.RecordSocketDrained(now)
	c.expireRequests(now)
	c.expireQueued(now)
	c.dispatchDue(now)
	c.judgeDue(now)
	n := 0
	for ; n < len(c.openings) && c.openings[n].deadline <= now; n++ {
		f := c.openings[n].f
		if f.answered || f.removed || f.openingDeadline != c.openings[n].deadline {
			continue
		}
		c.setSuspect(now, f.target)
		c.hedgeOpening(now, f)
	}
	c.openings = append(c.openings[:0], c.openings[n:]...)
}

// hedgeOpening sends the opening packet of f to another target, unless there is none
// or maxHedgeTargets is reached.
func (c *Core) hedgeOpening(now time.Duration, f *flow) {
	if f.targetsTried >= maxHedgeTargets {
		return
	}
	t, elsewhere := c.choose(now, f.service, f.target)
	if t == nil || t == f.target {
		return
	}
	c.notifyFlow(FlowNotice{Event: FlowPlacedAgain, Flow: f.key, Target: t, Elsewhere: elsewhere})
	c.moveFlow(f, t)
	f.targetsTried++
	f.lastSentAt = now
	c.awaitOpening(now, f)
	c.emit(Resend{To: t, IsOpening: true, Datagram: f.openingDatagram})
}
