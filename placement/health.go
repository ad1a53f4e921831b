package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minRetransmitInterval is the shortest time after which a caller retransmits data
	// that was not acknowledged. Data that is seen again sooner is a reordered packet.
	minRetransmitInterval = 150 * time.Millisecond
	// maxFirstRetransmit is the longest time after which a caller retransmits data for the
	// first time.
	maxFirstRetransmit = 400 * time.Millisecond
	// stallFactor is the multiple of a target's typical latency after which a
	// retransmission counts as a stall: callers also retransmit requests that wait in
	// the queue of a busy target.
	stallFactor = 4
	// crowdedFactor multiplies the stall threshold of a target that has refused a request
	// or responded slowly within reductionMemory: its queue may have grown since the
	// responses from which its typical latency is known.
	crowdedFactor = 2
	// maxStallThreshold is the upper limit of the stall threshold.
	maxStallThreshold = time.Second
	// latencyWeight is the weight of the newest response in the moving average of the
	// latency.
	latencyWeight = 0.2
	// initialLatency is the typical latency of a target that has not responded yet.
	initialLatency = 40 * time.Millisecond
	// socketDelayGrace is the time from data sent to a target until the acknowledgement
	// of the response should have reached this host's socket. If the socket was not
	// drained after that, the acknowledgement may still be unread: this host is slow,
	// not the target.
	socketDelayGrace = 100 * time.Millisecond
	// suspectDuration is how long a target is suspect after a flow stalled on it or it
	// has not answered an opening packet in time.
	suspectDuration = time.Second
	// minDeadStalls is the number of flows that have to stall on a target, without
	// any response in between, before it is considered dead.
	minDeadStalls = 2
	// deadTTL is the time after the last stall for which a target is considered dead.
	// After it, the next request shows whether the target responds again.
	deadTTL = 2 * time.Second
	// selfCheckWindow is the period before the decision on a target that is checked for
	// a fault of this host: a target is considered dead only if there were at least as
	// many responses, from all targets, as stalls on targets that were not dead.
	// Otherwise the fault is more likely on this host's side.
	selfCheckWindow = 400 * time.Millisecond
)

// healthState is the health of a target as this host's flows show it (passive
// health checking).
type healthState struct {
	// lastProgressAt is when a flow last showed a response of the target.
	lastProgressAt time.Duration
	// suspectUntil is when the target stops being suspect.
	suspectUntil time.Duration
	// stalledFlows is the number of flows that got no response to data sent after
	// lastProgressAt.
	stalledFlows int
	// stallGeneration grows whenever stalledFlows is reset, so that each flow counts
	// once between two resets.
	stallGeneration uint32
	// lastStallAt is when a flow last stalled on the target.
	lastStallAt time.Duration
	// latencyEWMA is the moving average of the time from a request to its response,
	// 0 before the first response.
	latencyEWMA time.Duration
	// dead reports whether the target is considered dead: it responds to no flow.
	dead bool
	suspicion
}

// recordLatency adds the latency of one response to the moving average.
func (h *healthState) recordLatency(latency time.Duration) {
	h.latencyEWMA = h.typicalLatency() + time.Duration(latencyWeight*float64(latency-h.typicalLatency()))
}

// typicalLatency returns the moving average of the latency, or its initial value.
func (h *healthState) typicalLatency() time.Duration {
	if h.latencyEWMA == 0 {
		return initialLatency
	}
	return h.latencyEWMA
}

// stallThreshold returns the time after which a retransmission of a request counts
// as a stall.
func (t *Target) stallThreshold(now time.Duration) time.Duration {
	threshold := max(minRetransmitInterval, stallFactor*t.typicalLatency())
	if t.window.isProven(now) {
		threshold *= crowdedFactor
	}
	return min(threshold, maxStallThreshold)
}

// isSuspect reports whether the target gets new flows only if no other target can
// accept them, because it has recently not responded to a flow.
func (h *healthState) isSuspect(now time.Duration) bool {
	return now < h.suspectUntil
}

// recordProgress records that the target of f has responded. The target is no
// longer suspect, dead or reported dead.
func (c *Core) recordProgress(now time.Duration, f *flow) {
	t := f.target
	c.recentProgress.add(now)
	t.lastProgressAt = now
	c.recordDomainProgress(now, t)
	if t.stalledFlows > 0 {
		t.clearStalls()
	}
	t.suspectUntil, t.reportedDeadUntil = 0, 0
	if t.dead {
		t.dead = false
		c.notify(TargetAlive, t)
	}
}

// recordStall records that the data last sent on f got no response, and decides
// whether the target is dead. It does nothing if the data was sent less than the
// stall threshold ago, if the target has responded to any flow since, or if the
// response may have been acknowledged without this host's knowledge; see mayMissResponse.
func (c *Core) recordStall(now time.Duration, f *flow) {
	t := f.target
	if now-f.lastSentAt < t.stallThreshold(now) || t.lastResponseAt() > f.lastSentAt || c.mayMissResponse(f) {
		return
	}
	if f.stalledGeneration != t.stallGeneration+1 {
		f.stalledGeneration = t.stallGeneration + 1
		if t.stalledFlows == 0 || f.lastSentAt < t.since {
			t.since = f.lastSentAt
		}
		t.stalledFlows++
		if !t.dead {
			c.recentStalls.add(now)
			c.reportUrgent = true
		}
	}
	t.newestSince = max(t.newestSince, f.lastSentAt)
	t.lastStallAt = now
	c.setSuspect(now, t)
	c.judgeDomain(now, t.Domain)
}

// mayMissResponse reports whether the response to the data last sent on f may have been
// acknowledged without this host's knowledge: the acknowledgement may be unread, may wait
// for the link, or may have gone through another host.
func (c *Core) mayMissResponse(f *flow) bool {
	return c.socketDrainedAt < f.lastSentAt+socketDelayGrace || c.link.wasFullSince(f.lastSentAt) || f.hadGap
}

// isGap reports whether a copy of the data last sent on f was most likely sent through
// another host, if no packet of f arrives between the last one and now: callers double the
// interval between two copies.
func (f *flow) isGap(now time.Duration) bool {
	return now-f.lastPacketAt > maxFirstRetransmit+2*(f.lastPacketAt-f.lastSentAt)
}

// isKnownDead reports whether the target is considered dead by evidence that has not
// expired. It does not expire if the target has no entry any more.
func (t *Target) isKnownDead(now time.Duration) bool {
	return t.dead && (now-t.lastStallAt < deadTTL || t.removed && !t.mayRun(now))
}

// expireDead ends the dead state of a target if no flow has stalled on it within
// deadTTL. A single stall is then enough to consider it dead again.
func (c *Core) expireDead(now time.Duration, t *Target) {
	if !t.dead || t.isKnownDead(now) {
		return
	}
	t.dead = false
	t.stalledFlows = minDeadStalls - 1
	t.stallGeneration++
	c.notify(TargetDeadExpired, t)
}

// setSuspect makes a target suspect for suspectDuration.
func (c *Core) setSuspect(now time.Duration, t *Target) {
	if !t.isSuspect(now) {
		c.notify(TargetSuspect, t)
	}
	t.suspectUntil = now + suspectDuration
}

// isDead decides whether a target responds to no flow, by the stalled flows of this host and
// of its domain peers. One stalled flow of this host is enough for a target that has no entry
// any more, that another host has reported dead, or whose failure domain is silent.
func (c *Core) isDead(now time.Duration, t *Target) bool {
	if c.recentProgress.countWithin(now, selfCheckWindow) < c.recentStalls.countWithin(now, selfCheckWindow) {
		return false
	}
	if t.stalledFlows == 0 {
		return false
	}
	if t.removed && !t.mayRun(now) || t.isReportedDead(now) {
		return true
	}
	return t.stalledFlows+t.peerStallCount(now, 0) >= minDeadStalls || c.isDomainSilent(now, t.Domain)
}

// failOver acts on the flows that wait for a response of a dead target: opening
// packets are sent to another target, and flows with idempotent requests in progress
// or queued are reset, so that their callers retry at once. Other flows stay.
func (c *Core) failOver(now time.Duration, t *Target) {
	for _, f := range c.flowsOf(t) {
		switch {
		case !f.answered:
			c.hedgeOpening(now, f)
		case (f.awaitingResponse || f.queued != nil) && f.kind.IsIdempotent() && !f.isGap(now):
			c.resetFlow(f)
		}
	}
}

// flowsOf returns the flows of a target, oldest first.
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

// resetFlow removes an open flow whose target is dead, and emits a Reset for its
// caller.
func (c *Core) resetFlow(f *flow) {
	c.notifyFlow(FlowNotice{Event: FlowReset, Flow: f.key, Target: f.target, Reason: DeadTarget})
	c.emit(Reset{Flow: f.key, AckSeq: f.ackSeq, Reason: DeadTarget, Target: f.target})
	c.removeFlow(f)
}
