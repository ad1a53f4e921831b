package member

import (
	"slices"
	"time"
)

func (c *Core) tick(now time.Duration) {
	c.resume(now)
	c.lastTick = now
	if now >= c.nextBeat {
		c.nextBeat = max(c.nextBeat+c.cfg.HeartbeatInterval, now)
		c.expire(now)
		c.reach(now)
		c.check(now)
		c.probe()
	}
	if c.dirty {
		c.publish()
	}
}

// resume forgives all silence after a pause of this process: whoever slept
// could not hear anybody. It does the same at the first tick.
func (c *Core) resume(now time.Duration) {
	gap := now - c.lastTick
	if c.started && gap <= pauseLimit {
		return
	}
	if c.started {
		c.nextBeat = now
		c.emit(PauseDetected{Gap: gap})
	} else {
		c.started = true
		c.nextBeat = now + time.Duration(c.rnd.Int64N(int64(c.cfg.HeartbeatInterval)))
	}
	for _, e := range c.entries {
		e.awaiting, e.misses = false, 0
		if e.Health == HealthSuspect {
			e.since = now
		}
	}
	for d := range c.contact {
		c.contact[d] = now
	}
}

// expire ends suspicions that nobody refuted, and forgets who is gone for good.
func (c *Core) expire(now time.Duration) {
	if c.ailing {
		c.ailing = false
		for _, e := range slices.Clone(c.entries) {
			c.expireEntry(now, e)
		}
	}
	for name, t := range c.removed {
		if now-t.at > tombstoneTime {
			delete(c.removed, name)
		}
	}
}

func (c *Core) expireEntry(now time.Duration, e *entry) {
	if e == c.self || e.Health == HealthLive && !c.cut[e.Domain] {
		return
	}
	c.ailing = true
	if e.Health == HealthSuspect && now-e.since >= SuspicionTime {
		c.judge(now, e, HealthUnreachable)
	}
	if c.gone(now, e) {
		c.remove(now, e)
	}
}

// gone reports whether a silent member can be forgotten.
func (c *Core) gone(now time.Duration, e *entry) bool {
	if e.listed || !e.Leaving && !c.listKnown {
		return false
	}
	if e.Health == HealthUnreachable {
		return now-e.since >= RemoveTime
	}
	return c.cut[e.Domain] && now-c.contact[e.Domain] >= DomainTimeout+RemoveTime
}

func (c *Core) judge(now time.Duration, e *entry, h Health) {
	r := e.Record
	r.Health = h
	e.since = now
	c.set(e, r)
}

// reach decides which other domains are cut off from here.
func (c *Core) reach(now time.Duration) {
	for domain, at := range c.contact {
		cut := domain != c.self.Domain && now-at > DomainTimeout
		if c.cut[domain] != cut {
			c.cut[domain] = cut
			c.ailing = true
			c.dirty = true
		}
	}
}

// check counts the neighbours' missing replies.
func (c *Core) check(now time.Duration) {
	ring := c.successors()
	for _, e := range c.ring {
		if !e.awaiting || !slices.Contains(ring, e) {
			e.awaiting, e.misses = false, 0
			continue
		}
		e.misses++
		if e.misses >= askLimit {
			c.ask(e)
		}
		if e.misses >= missLimit && e.Health == HealthLive {
			c.judge(now, e, HealthSuspect)
		}
	}
	c.ring = ring
}

// successors returns the reachable members of the own domain that follow this
// one in the ring.
func (c *Core) successors() []*entry {
	ring := c.rings[c.self.Domain]
	own := slices.Index(ring, c.self)
	var next []*entry
	for i := 1; i < len(ring) && len(next) < neighbours; i++ {
		if e := ring[(own+i)%len(ring)]; e.Health != HealthUnreachable {
			next = append(next, e)
		}
	}
	return next
}

// probe sends the heartbeats of one interval: to the neighbours, to a random
// member of the own domain, to one that is unreachable, and at every second
// interval to a random member of each other domain.
func (c *Core) probe() {
	c.beat++
	targets := slices.Clone(c.ring)
	for _, e := range targets {
		e.awaiting = true
	}
	targets = append(targets, c.random(c.rings[c.self.Domain], reachable))
	if c.ailing {
		targets = append(targets, c.random(c.entries, unreachable))
	}
	if c.beat%2 == 0 {
		for _, domain := range c.otherDomains() {
			targets = append(targets, c.random(c.rings[domain], reachable))
		}
	}
	for i, e := range targets {
		if e != nil && !slices.Contains(targets[:i], e) {
			c.send(e, false)
		}
	}
}

func reachable(e *entry) bool { return e.Health != HealthUnreachable }

func unreachable(e *entry) bool { return e.Health == HealthUnreachable }

// random returns one of the others among entries for which ok is true, or nil.
// It takes the first one after a random place.
func (c *Core) random(entries []*entry, ok func(*entry) bool) *entry {
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

func (c *Core) otherDomains() []string {
	var names []string
	for d := range c.contact {
		if d != c.self.Domain {
			names = append(names, d)
		}
	}
	slices.Sort(names)
	return names
}

// send emits a heartbeat to e.
func (c *Core) send(e *entry, reply bool) {
	c.emit(Send{To: e.Member, Heartbeat: c.heartbeat(e, reply)})
}

func (c *Core) heartbeat(to *entry, reply bool) Heartbeat {
	return Heartbeat{
		Reply:        reply,
		From:         c.self.Record,
		Digest:       c.digest,
		Config:       c.config,
		ConfigDigest: c.configDigest,
		Records:      c.news(to),
	}
}

// news picks records for one heartbeat to e: first what e has to refute, then
// changes, then, if the two know different things, a part of everything.
func (c *Core) news(to *entry) []Record {
	var records []Record
	size := 0
	add := func(e *entry) bool {
		if size+e.size() > budgetBytes {
			return false
		}
		size += e.size()
		records = append(records, e.Record)
		return true
	}
	if to.Health != HealthLive {
		add(to)
	}
	for range len(c.queue) {
		e := c.queue[0]
		if e.left > 0 && !add(e) {
			return records
		}
		c.queue = c.queue[1:]
		e.left--
		if e.queued = e.left > 0; e.queued {
			c.queue = append(c.queue, e)
		}
	}
	if to.digest == c.digest || len(records) > 0 {
		return records
	}
	for range c.entries {
		if !add(c.entries[c.cursor%len(c.entries)]) {
			break
		}
		c.cursor++
	}
	return records
}

// publish emits a view of what is known now.
func (c *Core) publish() {
	c.dirty = false
	c.number++
	entries := make([]Entry, len(c.entries))
	for i, e := range c.entries {
		entries[i] = Entry{Member: e.Member, State: c.state(e), Since: e.since}
		if c.cut[e.Domain] {
			entries[i].Since = max(e.since, c.contact[e.Domain])
		}
	}
	c.emit(Publish{View: NewView(c.number, entries)})
}

func (c *Core) state(e *entry) State {
	switch {
	case e.Health == HealthUnreachable || c.cut[e.Domain]:
		return StateUnreachable
	case e.Leaving:
		return StateLeaving
	case e.Health == HealthSuspect:
		return StateSuspect
	default:
		return StateLive
	}
}
