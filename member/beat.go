package member

import (
	"slices"
	"time"
)

// tick does the periodic processing: once each heartbeat interval it updates the states and
// sends heartbeats, and it publishes a changed view.
func (c *Core) tick(now time.Duration) {
	c.resetAfterPause(now)
	c.lastTickAt = now
	if now >= c.nextHeartbeatAt {
		c.nextHeartbeatAt = max(c.nextHeartbeatAt+c.cfg.HeartbeatInterval, now)
		c.expireMembers(now)
		c.checkDomains(now)
		c.countMissedReplies(now)
		c.sendHeartbeats()
	}
	if c.viewChanged {
		c.publish()
	}
}

// resetAfterPause clears the missed replies and restarts the timeouts of suspicions and of
// domains after a pause of this process, since a process that did not run could not receive
// heartbeats. It emits PauseDetected, and heartbeats are sent at once. At the first tick it
// does the same without PauseDetected, and delays the first heartbeats by a random part of
// the heartbeat interval, so that members that start together do not send at the same time.
func (c *Core) resetAfterPause(now time.Duration) {
	gap := now - c.lastTickAt
	if c.started && gap <= maxTickGap {
		return
	}
	if c.started {
		c.nextHeartbeatAt = now
		c.emit(PauseDetected{Gap: gap})
	} else {
		c.started = true
		c.nextHeartbeatAt = now + time.Duration(c.rnd.Int64N(int64(c.cfg.HeartbeatInterval)))
	}
	for _, e := range c.entries {
		e.awaitingReply, e.missedReplies = false, 0
		if e.Health == HealthSuspect {
			e.since = now
		}
	}
	for d := range c.lastContact {
		c.lastContact[d] = now
	}
}

// expireMembers makes members unreachable that have not refuted a suspicion in time,
// removes those that have been unreachable for RemovalDelay, and deletes expired
// tombstones.
func (c *Core) expireMembers(now time.Duration) {
	if c.hasUnhealthyMembers {
		c.hasUnhealthyMembers = false
		for _, e := range slices.Clone(c.entries) {
			c.expireEntry(now, e)
		}
	}
	for name, t := range c.tombstones {
		if now-t.removedAt > tombstoneTTL {
			delete(c.tombstones, name)
		}
	}
}

// expireEntry makes a suspect member unreachable after SuspicionTimeout, and removes an
// unreachable one for which isRemovable is true.
func (c *Core) expireEntry(now time.Duration, e *entry) {
	if e == c.self || e.Health == HealthLive && !c.partitioned[e.Domain] {
		return
	}
	c.hasUnhealthyMembers = true
	if e.Health == HealthSuspect && now-e.since >= SuspicionTimeout {
		c.setHealth(now, e, HealthUnreachable)
	}
	if c.isRemovable(now, e) {
		c.remove(now, e)
	}
}

// isRemovable reports whether a member that has been unreachable for RemovalDelay can be
// removed. A member of the platform's host list is never removed; before a list is known,
// only a leaving member is.
func (c *Core) isRemovable(now time.Duration, e *entry) bool {
	if e.listed || !e.Leaving && !c.hasHostList {
		return false
	}
	if e.Health == HealthUnreachable {
		return now-e.since >= RemovalDelay
	}
	return c.partitioned[e.Domain] && now-c.lastContact[e.Domain] >= DomainTimeout+RemovalDelay
}

// setHealth changes the health in the record of e.
func (c *Core) setHealth(now time.Duration, e *entry, h Health) {
	r := e.Record
	r.Health = h
	e.since = now
	c.setRecord(e, r)
}

// checkDomains sets another domain as partitioned after DomainTimeout without a heartbeat
// from it, and as reachable again after the next one.
func (c *Core) checkDomains(now time.Duration) {
	for domain, at := range c.lastContact {
		isPartitioned := domain != c.self.Domain && now-at > DomainTimeout
		if c.partitioned[domain] != isPartitioned {
			c.partitioned[domain] = isPartitioned
			c.hasUnhealthyMembers = true
			c.viewChanged = true
		}
	}
}

// countMissedReplies counts the heartbeats to which ring successors have not replied. From
// indirectProbeThreshold missed replies on it requests indirect probes, and from
// maxMissedReplies on it sets a live member to HealthSuspect. It also updates the list of
// successors.
func (c *Core) countMissedReplies(now time.Duration) {
	successors := c.findSuccessors()
	for _, e := range c.successors {
		if !e.awaitingReply || !slices.Contains(successors, e) {
			e.awaitingReply, e.missedReplies = false, 0
			continue
		}
		e.missedReplies++
		if e.missedReplies >= indirectProbeThreshold {
			c.requestIndirectProbe(e)
		}
		if e.missedReplies >= maxMissedReplies && e.Health == HealthLive {
			c.setHealth(now, e, HealthSuspect)
		}
	}
	c.successors = successors
}

// findSuccessors returns the next reachable members after this balancer on the ring of its
// domain, at most maxSuccessors.
func (c *Core) findSuccessors() []*entry {
	ring := c.rings[c.self.Domain]
	position := slices.Index(ring, c.self)
	var next []*entry
	for i := 1; i < len(ring) && len(next) < maxSuccessors; i++ {
		if e := ring[(position+i)%len(ring)]; e.Health != HealthUnreachable {
			next = append(next, e)
		}
	}
	return next
}

// sendHeartbeats sends the heartbeats of one interval: to the ring successors, to a
// random member of the same domain, to a random unreachable member, and at every second
// interval to a random member of each other domain.
func (c *Core) sendHeartbeats() {
	c.heartbeatRound++
	receivers := slices.Clone(c.successors)
	for _, e := range receivers {
		e.awaitingReply = true
	}
	receivers = append(receivers, c.randomEntry(c.rings[c.self.Domain], isReachable))
	if c.hasUnhealthyMembers {
		receivers = append(receivers, c.randomEntry(c.entries, isUnreachable))
	}
	if c.heartbeatRound%2 == 0 {
		for _, domain := range c.otherDomains() {
			receivers = append(receivers, c.randomEntry(c.rings[domain], isReachable))
		}
	}
	for i, e := range receivers {
		if e != nil && !slices.Contains(receivers[:i], e) {
			c.sendHeartbeat(e, false)
		}
	}
}

// isReachable reports whether the member is live or suspect. It disregards whether its
// domain is partitioned.
func isReachable(e *entry) bool { return e.Health != HealthUnreachable }

func isUnreachable(e *entry) bool { return e.Health == HealthUnreachable }

// randomEntry returns an entry other than that of this balancer for which ok is true, or
// nil. It is the first one from a random index on.
func (c *Core) randomEntry(entries []*entry, ok func(*entry) bool) *entry {
	if len(entries) == 0 {
		return nil
	}
	start := c.rnd.IntN(len(entries))
	for i := range entries {
		if e := entries[(start+i)%len(entries)]; e != c.self && ok(e) {
			return e
		}
	}
	return nil
}

// otherDomains returns the names of all domains but this balancer's, sorted.
func (c *Core) otherDomains() []string {
	var names []string
	for d := range c.lastContact {
		if d != c.self.Domain {
			names = append(names, d)
		}
	}
	slices.Sort(names)
	return names
}

// sendHeartbeat emits a heartbeat to e.
func (c *Core) sendHeartbeat(e *entry, reply bool) {
	c.emit(Send{To: e.Member, Heartbeat: c.newHeartbeat(e, reply)})
}

// newHeartbeat returns a heartbeat for a member, with records selected for it.
func (c *Core) newHeartbeat(to *entry, reply bool) Heartbeat {
	return Heartbeat{
		IsReply:      reply,
		From:         c.self.Record,
		Digest:       c.digest,
		ConfigNumber: c.configNumber,
		ConfigDigest: c.configDigest,
		Records:      c.selectRecords(to),
	}
}

// selectRecords returns the records for one heartbeat to a member, up to maxRecordBytes:
// first the member's own record if it is not live there, so that the member can refute it,
// then queued updates. If there are neither and the digests differ, it returns some of all
// records, and the following ones at the next call.
func (c *Core) selectRecords(to *entry) []Record {
	var records []Record
	size := 0
	add := func(e *entry) bool {
		if size+e.size() > maxRecordBytes {
			return false
		}
		size += e.size()
		records = append(records, e.Record)
		return true
	}
	if to.Health != HealthLive {
		add(to)
	}
	for range len(c.gossipQueue) {
		e := c.gossipQueue[0]
		if e.remainingSends > 0 && !add(e) {
			return records
		}
		c.gossipQueue = c.gossipQueue[1:]
		e.remainingSends--
		if e.queued = e.remainingSends > 0; e.queued {
			c.gossipQueue = append(c.gossipQueue, e)
		}
	}
	if to.peerDigest == c.digest || len(records) > 0 {
		return records
	}
	for range c.entries {
		if !add(c.entries[c.syncCursor%len(c.entries)]) {
			break
		}
		c.syncCursor++
	}
	return records
}

// publish emits a view of the current state.
func (c *Core) publish() {
	c.viewChanged = false
	c.viewNumber++
	entries := make([]Entry, len(c.entries))
	for i, e := range c.entries {
		entries[i] = Entry{Member: e.Member, State: c.stateOf(e), Since: e.since}
		if c.partitioned[e.Domain] {
			entries[i].Since = max(e.since, c.lastContact[e.Domain])
		}
	}
	c.emit(Publish{View: NewView(c.viewNumber, entries)})
}

// stateOf returns the state of a member in the view.
func (c *Core) stateOf(e *entry) State {
	switch {
	case e.Health == HealthUnreachable || c.partitioned[e.Domain]:
		return StateUnreachable
	case e.Leaving:
		return StateLeaving
	case e.Health == HealthSuspect:
		return StateSuspect
	default:
		return StateLive
	}
}
