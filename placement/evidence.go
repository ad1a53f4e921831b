package placement

import (
	"cmp"
	"slices"
	"time"

	"wisteriaweir/route"
)

const (
	// repeatAfter is the least time after which a caller sends again what was not
	// acknowledged; sooner repetitions are packets that overtook each other.
	repeatAfter = 150 * time.Millisecond
	// stallTimes is the number of usual answer times of a target after which a
	// repetition counts as a stall, stallMost bounds them: a caller repeats a request
	// that waits in the queue of a busy target as well.
	stallTimes = 4
	stallMost  = time.Second
	// tookShare is the weight of the newest answer in the usual time, tookFirst is that
	// of a target which has not answered yet.
	tookShare = 0.2
	tookFirst = 40 * time.Millisecond
	// answerWithin is the time after which an answer's sign should have come. Unless
	// all packets were handled at some time after it, a sign may still be waiting in
	// the socket: this host is slow, not the target.
	answerWithin = 100 * time.Millisecond
	// suspectFor is how long a target gets no new flows after a flow stalled on it.
	suspectFor = time.Second
	// deadStalls is the number of flows that have to stall on a target, with no
	// sign of life in between, before it counts as dead.
	deadStalls = 2
	// deadLife is the time after the last stall in which the verdict on a dead target
	// holds. Then the next request shows whether the target answers again.
	deadLife = 2 * time.Second
	// judgeSpan is the span in which at least as many signs of life as stalls have to
	// come, over all targets that do not count as dead: else the fault is more likely
	// on this host's side.
	judgeSpan = 400 * time.Millisecond
)

// evidence is what flows show of a target's health.
type evidence struct {
	// progressAt is when a flow last showed that the target works.
	progressAt time.Duration
	// suspectUntil is when new flows may go to the target again.
	suspectUntil time.Duration
	// stalled counts flows that got nothing back for what was sent after
	// progressAt. Each sign of life starts a new round.
	stalled int
	round   uint32
	// stalledAt is when a flow last got nothing back.
	stalledAt time.Duration
	// took is the usual time from a request to its answer, 0 before the first.
	took time.Duration
	// dead is the verdict that the target answers nobody.
	dead bool
}

// answered takes in the time of an answer.
func (e *evidence) answered(took time.Duration) {
	e.took = e.usual() + time.Duration(tookShare*float64(took-e.usual()))
}

// usual returns the usual time of an answer.
func (e *evidence) usual() time.Duration {
	if e.took == 0 {
		return tookFirst
	}
	return e.took
}

// stallAfter returns the time after which a repetition of a request counts.
func (e *evidence) stallAfter() time.Duration {
	return max(repeatAfter, min(stallTimes*e.usual(), stallMost))
}

// suspect reports whether new flows stay away from the target.
func (e *evidence) suspect(now time.Duration) bool {
	return now < e.suspectUntil
}

// progressed notes that the target of f has answered.
func (c *Core) progressed(now time.Duration, f *flow) {
	t := f.target
	c.alive.add(now)
	t.progressAt = now
	if t.stalled > 0 {
		t.stalled = 0
		t.round++
	}
	t.suspectUntil, t.deadToldUntil = 0, 0
	if t.dead {
		t.dead = false
		c.notify(TargetAlive, t)
	}
}

// stall notes that a flow got nothing back for what was forwarded, unless it
// was forwarded just now, the target has answered others since, or this host is
// behind with its packets.
func (c *Core) stall(now time.Duration, f *flow) {
	t := f.target
	if now-f.sent < t.stallAfter() || t.progressAt > f.sent || c.drainedAt < f.sent+answerWithin {
		return
	}
	if f.stalledIn != t.round+1 {
		f.stalledIn = t.round + 1
		t.stalled++
		if !t.dead {
			c.stalls.add(now)
		}
	}
	t.stalledAt = now
	c.doubt(now, t)
	if !t.dead && c.isDead(now, t) {
		t.dead = true
		c.notify(TargetDead, t)
		c.abandon(now, t)
	}
}

// takeBack takes back the verdict on a dead target for which there is no evidence
// of late. One stall is enough for another.
func (c *Core) takeBack(now time.Duration, t *Target) {
	if !t.dead || now-t.stalledAt < deadLife {
		return
	}
	t.dead = false
	t.stalled = deadStalls - 1
	t.round++
	c.notify(TargetDeadExpired, t)
}

// doubt keeps new flows away from a target for a while.
func (c *Core) doubt(now time.Duration, t *Target) {
	if !t.suspect(now) {
		c.notify(TargetSuspect, t)
	}
	t.suspectUntil = now + suspectFor
}

// isDead decides whether a target answers nobody. One flow is enough for a
// target that has left the catalog, or that a neighbour has found dead.
func (c *Core) isDead(now time.Duration, t *Target) bool {
	if c.alive.within(now, judgeSpan) < c.stalls.within(now, judgeSpan) {
		return false
	}
	if t.gone && !t.mayReturn(now) || t.deadTold(now) {
		return t.stalled > 0
	}
	return t.stalled >= deadStalls
}

// abandon frees the flows that wait for a dead target: those that are opening go
// to another target, idempotent requests in progress are reset so that their
// callers repeat them at once.
func (c *Core) abandon(now time.Duration, t *Target) {
	for _, f := range c.flowsOf(t) {
		switch {
		case !f.answered:
			c.reopen(now, f)
		case (f.asking || f.held != nil) && f.kind == route.Safe:
			c.reset(f)
		}
	}
}

// flowsOf returns the flows of a target, the oldest in front.
func (c *Core) flowsOf(t *Target) []*flow {
	var flows []*flow
	for _, f := range c.flows {
		if f.target == t {
			flows = append(flows, f)
		}
	}
	slices.SortFunc(flows, func(a, b *flow) int { return cmp.Compare(a.number, b.number) })
	return flows
}

// reset ends an open flow whose target is dead.
func (c *Core) reset(f *flow) {
	c.notifyFlow(FlowNotice{Event: FlowReset, Flow: f.key, Target: f.target, Reason: DeadTarget})
	c.emit(Reset{Flow: f.key, AckSeq: f.acked, Reason: DeadTarget, Target: f.target})
	c.drop(f)
}
