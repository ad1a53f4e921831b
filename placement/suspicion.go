package placement

import (
	"maps"
	"time"
)

const (
	// stallReportTTL is the age above which a stall that another host has reported is
	// ignored.
	stallReportTTL = time.Second
	// refutationTimeout is the time for which a host that considers a target dead waits for
	// domain peers that have seen a response of it. It covers two messages between hosts of
	// one failure domain and the delays of their loops.
	refutationTimeout = 25 * time.Millisecond
	// refutationTTL is the time for which a host repeats that it has seen a response of a
	// target that another host suspects.
	refutationTTL = 200 * time.Millisecond
	// minSilentDomainTargets is the number of targets of one failure domain that must have
	// stalled, without a response of any target of the domain, before a single stall is
	// enough to consider one of them dead.
	minSilentDomainTargets = 3
)

// suspicion is the evidence of this host and of its domain peers that a target does not
// respond. A host reports each stall to its domain peers. A peer that has seen a response of
// the target since then refutes it; the others add the stall to their own evidence. Many
// hosts with a few flows each on a target thus find a crash as fast as one host with all
// these flows, and a loss of packets on one host is not taken for a crash.
type suspicion struct {
	// since is when the oldest data of the stalled flows of this host was sent, and newestSince
	// when the newest was. They are valid if stalledFlows is above 0.
	since, newestSince time.Duration
	// respondedElsewhereAt is when the target last responded as far as other hosts have
	// reported. It is not passed on: ages that are passed on grow younger by each delay.
	respondedElsewhereAt time.Duration
	// peerStalls holds the stalls that other hosts have reported, by host name.
	peerStalls map[string]peerStall
	// refuteUntil is until when this host reports the last response of the target.
	refuteUntil time.Duration
	// deadAt is when the target is considered dead unless the suspicion is refuted, 0 if
	// there is not enough evidence.
	deadAt time.Duration
}

// peerStall is the report of another host that a flow got no response of a target.
type peerStall struct {
	// since is when the data was sent.
	since time.Duration
	// receivedAt is when the report was received.
	receivedAt time.Duration
}

// lastResponseAt returns when the target last responded, to this host or another one.
func (t *Target) lastResponseAt() time.Duration {
	return max(t.lastProgressAt, t.respondedElsewhereAt)
}

// expirePeerStalls deletes the reports of other hosts that are older than stallReportTTL.
func (t *Target) expirePeerStalls(now time.Duration) {
	maps.DeleteFunc(t.peerStalls, func(_ string, s peerStall) bool { return now-s.receivedAt > stallReportTTL })
}

// peerStallCount returns the number of other hosts that have reported a stall on the target,
// within stallReportTTL, of data that was sent after the given time and the last response.
func (t *Target) peerStallCount(now, after time.Duration) int {
	t.expirePeerStalls(now)
	n := 0
	for _, s := range t.peerStalls {
		if s.since > max(after, t.lastResponseAt()) {
			n++
		}
	}
	return n
}

// hasStallAfter reports whether data that was sent to the target after the given time got no
// response, on this host or on one that has reported it within stallReportTTL.
func (t *Target) hasStallAfter(now, after time.Duration) bool {
	stalledHere := t.stalledFlows > 0 && now-t.lastStallAt < stallReportTTL && t.newestSince > after
	return stalledHere || t.peerStallCount(now, after) > 0
}

// isDomainSilent reports whether flows have stalled on several targets of a failure domain
// and no target of it has responded since: the domain has lost power, or is out of reach.
func (c *Core) isDomainSilent(now time.Duration, domain string) bool {
	n := 0
	for _, t := range c.targetsInStartOrder {
		if t.Domain == domain && t.hasStallAfter(now, c.domainProgressAt[domain]) {
			n++
		}
	}
	return n >= minSilentDomainTargets
}

// addStallReports adds the stalls of this host, and the responses that refute the stalls of
// other hosts, to a load report.
func (c *Core) addStallReports(now time.Duration, l *LoadReport) {
	for _, t := range c.targetsInStartOrder {
		if t.stalledFlows > 0 && !t.dead && now-t.lastStallAt < stallReportTTL {
			l.Stalled = withAge(l.Stalled, t.Stamp, now-t.newestSince)
		}
		if now < t.refuteUntil {
			l.Responded = withAge(l.Responded, t.Stamp, now-t.lastProgressAt)
		}
	}
	c.reportUrgent = false
}

// withAge returns ages, created if it is nil, with the age of a target.
func withAge(ages map[uint32]time.Duration, stamp uint32, age time.Duration) map[uint32]time.Duration {
	if ages == nil {
		ages = map[uint32]time.Duration{}
	}
	ages[stamp] = age
	return ages
}

// HasUrgentReport reports whether the next load report contains a new stall or a new
// refutation, so that it should be sent at once.
func (c *Core) HasUrgentReport() bool {
	return c.reportUrgent
}

// setStallReports processes the stalls and the responses in the load report of a domain
// peer. Responses come first: they may refute the stalls of the same report.
func (c *Core) setStallReports(now time.Duration, name string, l LoadReport) {
	for stamp, age := range l.Responded {
		if t := c.targetsByStamp[stamp]; t != nil {
			c.recordResponseElsewhere(t, now-age)
		}
	}
	for stamp, age := range l.Stalled {
		if t := c.targetsByStamp[stamp]; t != nil {
			c.setPeerStall(now, t, name, now-age)
		}
	}
}

// recordResponseElsewhere records that another host saw a response of t at the given time.
func (c *Core) recordResponseElsewhere(t *Target, at time.Duration) {
	c.domainProgressAt[t.Domain] = max(c.domainProgressAt[t.Domain], at)
	if at <= t.lastResponseAt() {
		return
	}
	t.respondedElsewhereAt = at
	if t.stalledFlows == 0 || at <= t.since {
		return
	}
	t.clearStalls()
	if t.dead {
		t.dead = false
		c.notify(TargetAlive, t)
	}
}

// setPeerStall records that data which another host sent to t at the given time got no
// response. If this host has seen a response of t since, or else of any target of the same
// failure domain, it reports that. Otherwise the stall may complete its own evidence.
func (c *Core) setPeerStall(now time.Duration, t *Target, name string, since time.Duration) {
	if t.lastProgressAt > since {
		c.refute(now, t)
		return
	}
	if newest := c.lastResponding[t.Domain]; newest != nil && newest.lastProgressAt > since {
		c.refute(now, newest)
	}
	if t.peerStalls == nil {
		t.peerStalls = map[string]peerStall{}
	}
	t.peerStalls[name] = peerStall{since: since, receivedAt: now}
	c.judgeDomain(now, t.Domain)
}

// refute lets the next load reports contain the last response of t.
func (c *Core) refute(now time.Duration, t *Target) {
	if now >= t.refuteUntil {
		c.reportUrgent = true
	}
	t.refuteUntil = now + refutationTTL
}

// recordDomainProgress records that a target has responded to this host.
func (c *Core) recordDomainProgress(now time.Duration, t *Target) {
	c.domainProgressAt[t.Domain] = now
	c.lastResponding[t.Domain] = t
}

// judgeDomain decides on all targets of a failure domain on which flows have stalled: new
// evidence on one of them may show that the domain is silent.
func (c *Core) judgeDomain(now time.Duration, domain string) {
	for _, t := range c.targetsInStartOrder {
		if t.Domain == domain && t.stalledFlows > 0 {
			c.judge(now, t)
		}
	}
}

// judge decides whether t is dead by the evidence so far. A host with domain peers waits
// for their refutations first.
func (c *Core) judge(now time.Duration, t *Target) {
	if t.dead || t.deadAt > 0 || !c.isDead(now, t) {
		return
	}
	if len(c.domainPeers) == 0 {
		c.declareDead(now, t)
		return
	}
	t.deadAt = now + refutationTimeout
	c.suspicions = append(c.suspicions, t)
}

// judgeDue decides on the targets for whose refutation the time has passed.
func (c *Core) judgeDue(now time.Duration) {
	n := 0
	for ; n < len(c.suspicions) && c.suspicions[n].deadAt <= now; n++ {
		t := c.suspicions[n]
		t.deadAt = 0
		if !t.dead && c.isDead(now, t) {
			c.declareDead(now, t)
		}
	}
	c.suspicions = append(c.suspicions[:0], c.suspicions[n:]...)
}

// declareDead makes t dead and acts on its flows.
func (c *Core) declareDead(now time.Duration, t *Target) {
	t.dead = true
	c.notify(TargetDead, t)
	c.failOver(now, t)
}

// clearStalls discards the evidence that the target does not respond.
func (t *Target) clearStalls() {
	t.stalledFlows = 0
	t.stallGeneration++
	t.suspectUntil, t.reportedDeadUntil = 0, 0
}
