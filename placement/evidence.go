package placement

import "time"

const (
	// repeatAfter is the least time after which a caller sends again what was not
	// acknowledged; sooner repetitions say nothing of the target.
	repeatAfter = 150 * time.Millisecond
	// suspectFor is how long a target gets no new flows after one stalled on it.
	suspectFor = time.Second
)

// evidence is what flows show of a target's health.
type evidence struct {
	// progressAt is when a flow last showed that the target works.
	progressAt time.Duration
	// suspectUntil is when new flows may go to the target again.
	suspectUntil time.Duration
	// stalled counts flows that got nothing back since progressAt.
	stalled int
}

// suspect reports whether new flows stay away from the target.
func (e *evidence) suspect(now time.Duration) bool {
	return now < e.suspectUntil
}

// progressed notes that the target of f has answered.
func (c *Core) progressed(now time.Duration, f *flow) {
	f.target.progressAt = now
	if f.stalled {
		f.stalled = false
		f.target.stalled--
	}
}

// openingRepeated notes that a caller got no answer to its opening packet.
func (c *Core) openingRepeated(now time.Duration, f *flow) {
	c.stall(now, f)
}

// dataRepeated notes that a caller sent data again.
func (c *Core) dataRepeated(now time.Duration, f *flow) {
	c.stall(now, f)
}

// stall notes that a flow got nothing back for what was forwarded, unless it
// was forwarded just now or the target has answered others since.
func (c *Core) stall(now time.Duration, f *flow) {
	t := f.target
	if now-f.sent < repeatAfter || t.progressAt > f.sent {
		return
	}
	if !f.stalled {
		f.stalled = true
		t.stalled++
	}
	if !t.suspect(now) {
		c.notify(TargetSuspect, t)
	}
	t.suspectUntil = now + suspectFor
}
