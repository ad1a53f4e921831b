package admission

import "time"

const (
	// maxHeldTokens is the number of held requests that may be sent at once after a pause, at
	// least: if more are allowed for each stepInterval, these may be sent at once.
	maxHeldTokens = 1
	// minHeldPerSecond is the least rate of held requests of a host, from which the rate grows
	// again after a surge.
	minHeldPerSecond = 1
)

// heldRate is a token bucket that limits the held requests: those of entirely rejected
// priorities that this host sends on open flows, which can't be rejected. It limits the rate
// and not the requests in progress, because the hosts know each other's requests only as of
// the last report: all of them would send one to a target that seems idle.
type heldRate struct {
	// perStep is the number of requests for each stepInterval.
	perStep float64
	tokens  float64
}

// scale multiplies the rate by a factor.
func (h *heldRate) scale(factor float64) {
	h.perStep = max(h.perStep*factor, minHeldPerSecond*stepInterval.Seconds())
}

// refill adds the tokens of one step.
func (h *heldRate) refill() {
	h.tokens = min(h.tokens+h.perStep, max(maxHeldTokens, h.perStep))
}

// CanSendHeld reports whether a request of a priority may be sent now on an open flow.
// Requests of priorities of which flows are admitted always may.
func (c *Controller) CanSendHeld(now time.Duration, priority int) bool {
	c.advance(now)
	return !c.isHeld(priority) || c.held.tokens >= 1
}

// RecordSent records that a request of a priority was sent to a target.
func (c *Controller) RecordSent(now time.Duration, priority int) {
	c.advance(now)
	if c.isHeld(priority) {
		c.held.tokens = max(c.held.tokens-1, -maxHeldTokens)
	}
}

// isHeld reports whether the level rejects all flows of a priority.
func (c *Controller) isHeld(priority int) bool {
	i := c.index(priority)
	return i > 0 && c.rejectedFraction(i) == 1
}
