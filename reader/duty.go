package reader

import (
	"slices"
	"strings"
	"time"
)

const (
	// staleAfter is the age of the store's last answer, beside a beat's wait, at which
	// a reader no longer counts. A watch may be held for most of it.
	staleAfter = 1600 * time.Millisecond
	// silentBeats is the number of beats that have to be missing before a reader no
	// longer counts.
	silentBeats = 3
	// stepInNone and stepInFew are the waits before a host steps in when no reader
	// is left, and when there are fewer than wanted; each better-ranked host that
	// does not read adds stepInEach.
	stepInNone = 100 * time.Millisecond
	stepInFew  = 1500 * time.Millisecond
	stepInEach = 100 * time.Millisecond
	// stepOutAfter is how long better-ranked readers have to suffice before this
	// host stops reading.
	stepOutAfter = 3 * time.Second
)

// findGroup sets the hosts that share readers with this one, itself included, in
// the order in which they become readers, and its neighbours.
func (c *Core) findGroup() {
	whole := len(c.peers)+1 <= smallFleet
	members := []Member{c.cfg.Self}
	c.neighbours = nil
	for _, p := range c.peers {
		near := p.Domain == c.cfg.Self.Domain
		if whole || near {
			members = append(members, p.Member)
		}
		if near {
			c.neighbours = append(c.neighbours, p.Member)
		}
	}
	c.group = rank(members)
}

// GroupPeers returns the other hosts that share readers with this one.
func (c *Core) GroupPeers() []Member {
	return slices.DeleteFunc(slices.Clone(c.group), func(m Member) bool { return m.Name == c.cfg.Self.Name })
}

// staleReader returns the age of the store's last answer at which a reader no
// longer counts.
func (c *Core) staleReader() time.Duration {
	return staleAfter + c.beatEvery()
}

// reads reports whether a peer is a reader whose word is fresh.
func (c *Core) reads(now time.Duration, p *peer) bool {
	silence := now - p.heardAt
	return p.heard && p.beat.IsReading && silence < silentBeats*c.beatEvery() && p.beat.StoreAge+silence < c.staleReader()
}

// decide starts or stops reading.
func (c *Core) decide(now time.Duration) {
	better, others, idle := c.readers(now)
	if c.reading {
		c.decideStop(now, better)
		return
	}
	if others >= readersWanted {
		c.shortSince = 0
		return
	}
	if c.shortSince == 0 {
		c.shortSince = now
	}
	wait := stepInFew
	if others == 0 {
		wait = stepInNone
	}
	if idle >= readersWanted-others {
		wait += time.Duration(idle) * stepInEach
	} else if others == 0 {
		wait = 0
	}
	if now-c.shortSince >= wait {
		c.reading = true
		c.shortSince, c.spareSince = 0, 0
		c.beatAt = now
		c.tellGroup(c.beat(now))
	}
}

// decideStop stops reading when better-ranked readers suffice.
func (c *Core) decideStop(now time.Duration, better int) {
	if better < readersWanted {
		c.spareSince = 0
		return
	}
	if c.spareSince == 0 {
		c.spareSince = now
	}
	if now-c.spareSince < stepOutAfter {
		return
	}
	c.reading = false
	c.spareSince = 0
	c.tellGroup(c.beat(now))
}

// readers counts the fresh readers ranked before this host, all the others, and
// the hosts ranked before this one that do not read.
func (c *Core) readers(now time.Duration) (better, others, idle int) {
	before := true
	for _, m := range c.group {
		if m.Name == c.cfg.Self.Name {
			before = false
			continue
		}
		reads := c.reads(now, c.peers[m.Name])
		switch {
		case reads && before:
			better++
			others++
		case reads:
			others++
		case before:
			idle++
		}
	}
	return better, others, idle
}

// LastConfirmed returns when the store last answered this host or a reader that it
// hears, and whether it ever did.
func (c *Core) LastConfirmed() (time.Duration, bool) {
	at, ok := c.storeAt, c.answered
	for _, p := range c.peers {
		if p.heard && p.beat.IsReading && (!ok || p.heardAt-p.beat.StoreAge > at) {
			at, ok = p.heardAt-p.beat.StoreAge, true
		}
	}
	return at, ok
}

// DomainPeers returns the other known hosts of this host's failure domain.
func (c *Core) DomainPeers() []Member {
	return c.neighbours
}

// Members returns the known hosts, this one included, sorted by name.
func (c *Core) Members() []Member {
	members := []Member{c.cfg.Self}
	for _, p := range c.peers {
		members = append(members, p.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}
