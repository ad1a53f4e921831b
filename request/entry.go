package request

import (
	"cmp"
	"slices"
	"time"
)

// maxEntries bounds the requests that one balancer has passed to keepers and
// not heard the end of. Beyond it the caller's own repeats have to do.
const maxEntries = 8192

// maxSilence is the number of unanswered hops after which the next keeper is
// tried.
const maxSilence = 2

// entry is a request that came in here and that a keeper elsewhere works on.
type entry struct {
	request  Request
	order    uint64
	deadline time.Duration
	keeper   Peer
	taken    bool
	tries    int
	silent   int
}

// received takes a caller's datagram.
func (c *Core) received(r Request) {
	if _, ok := c.config.Service(r.Service); !ok {
		return
	}
	r.Remaining = min(r.Remaining, c.cfg.MaxDeadline)
	if !r.Repeatable && c.now-c.paused <= c.cfg.MaxPause {
		c.emit(Reply{Key: r.Key, Service: r.Service, Outcome: OutcomeUnknown, Cause: CausePause})
		return
	}
	if e := c.entries[r.Key]; e != nil {
		c.passOn(e)
		return
	}
	k := c.keeperOf(r.Service)
	if k.Peer == c.cfg.Self.Peer {
		c.take(r, Peer{})
		return
	}
	c.order++
	e := &entry{request: r, order: c.order, deadline: c.now + r.Remaining, keeper: k.Peer}
	if len(c.entries) < maxEntries {
		c.entries[r.Key] = e
		c.after(r.Remaining-c.cfg.AnswerMargin/2, func() { c.giveUp(e, CauseCoordinator) })
	}
	c.passOn(e)
}

// passOn hops the request of e to its keeper and asks again while that is
// silent.
func (c *Core) passOn(e *entry) {
	e.tries++
	e.taken = false
	r := e.request
	r.Remaining = e.deadline - c.now
	if e.keeper == c.cfg.Self.Peer {
		delete(c.entries, r.Key)
		c.take(r, Peer{})
		return
	}
	c.emit(Send{To: e.keeper, Message: Hop{Request: r, Stamp: c.stamps[e.keeper]}})
	tries := e.tries
	c.after(c.cfg.ResendInterval, func() { c.hopSilent(e, tries) })
}

func (c *Core) hopSilent(e *entry, tries int) {
	if e.taken || e.tries != tries || c.entries[e.request.Key] != e {
		return
	}
	e.silent++
	if e.silent >= maxSilence {
		e.silent = 0
		c.mute(e.keeper)
		e.keeper = c.keeperOf(e.request.Service).Peer
	}
	c.passOn(e)
}

// mute passes over a keeper that did not answer, until it is heard again.
func (c *Core) mute(p Peer) {
	c.muted[p] = true
	c.findKeepers()
}

// heard ends what mute began.
func (c *Core) heard(p Peer) {
	if c.muted[p] {
		delete(c.muted, p)
		c.findKeepers()
	}
}

// findKeepers looks for the keepers again.
func (c *Core) findKeepers() {
	clear(c.keepers)
	for _, name := range c.names {
		c.pools[name].checkKeeping()
	}
}

// keeperOf returns the keeper of a service in the own failure domain by own
// view, which is the balancer itself when it sees no other.
func (c *Core) keeperOf(name string) Member {
	k, ok := c.keepers[name]
	if !ok {
		k = c.findKeeper(name)
		c.keepers[name] = k
	}
	return k
}

func (c *Core) findKeeper(name string) Member {
	members := slices.DeleteFunc(slices.Clone(c.view), func(m Member) bool {
		return c.muted[m.Peer] || c.stopping && m == c.cfg.Self
	})
	if !c.stopping && !slices.Contains(members, c.cfg.Self) {
		members = append(members, c.cfg.Self)
	}
	k, ok := keeper(members, c.cfg.Self.Domain, name)
	if !ok {
		return c.cfg.Self
	}
	return k
}

// reroute hops what entered here to a new keeper when the old one is gone.
func (c *Core) reroute() {
	var moved []*entry
	for _, e := range c.entries {
		if !c.alive(e.keeper) {
			moved = append(moved, e)
		}
	}
	slices.SortFunc(moved, func(a, b *entry) int { return cmp.Compare(a.order, b.order) })
	for _, e := range moved {
		e.keeper = c.keeperOf(e.request.Service).Peer
		c.passOn(e)
	}
}

// giveUp tells the caller that no keeper told the end of its request.
func (c *Core) giveUp(e *entry, why Cause) {
	if c.entries[e.request.Key] != e {
		return
	}
	delete(c.entries, e.request.Key)
	c.emit(Reply{Key: e.request.Key, Service: e.request.Service, Outcome: OutcomeUnknown, Cause: why})
}

// dropEntries ends what was passed to keepers before a pause.
func (c *Core) dropEntries() {
	var old []*entry
	for _, e := range c.entries {
		if !e.request.Repeatable {
			old = append(old, e)
		}
	}
	slices.SortFunc(old, func(a, b *entry) int { return cmp.Compare(a.order, b.order) })
	for _, e := range old {
		c.giveUp(e, CausePause)
	}
}

// stamp returns the own time as other balancers hand it back. It is never 0.
func (c *Core) stamp() uint64 {
	return uint64(c.now/time.Millisecond) + 1
}

// fresh reports whether a message with r may be acted on: an old one could bring
// back a request whose claims are forgotten. It asks the sender for another.
func (c *Core) fresh(r Request, stamp uint64, from Peer) bool {
	oldest := c.stamp() - min(c.stamp(), uint64(c.cfg.MaxPause/time.Millisecond))
	if r.Repeatable || stamp > 0 && stamp >= oldest {
		return true
	}
	c.send(from, StaleStamp{Key: r.Key, Stamp: c.stamp()})
	return false
}

func (c *Core) learnStamp(from Peer, stamp uint64) {
	if stamp > 0 {
		c.stamps[from] = max(c.stamps[from], stamp)
	}
}

// hop takes a request that entered at another balancer.
func (c *Core) hop(from Peer, m Hop) {
	if !c.fresh(m.Request, m.Stamp, from) {
		return
	}
	c.send(from, Taken{Key: m.Request.Key, Stamp: c.stamp()})
	c.take(m.Request, from)
}

func (c *Core) stale(m StaleStamp, from Peer) {
	c.learnStamp(from, m.Stamp)
	c.pushStale(m.Key, from)
	if e := c.entries[m.Key]; e != nil && e.keeper == from && !e.taken {
		c.passOn(e)
	}
}

func (c *Core) taken(m Taken, from Peer) {
	c.learnStamp(from, m.Stamp)
	k := m.Key
	e := c.entries[k]
	if e != nil && e.keeper == from {
		e.taken = true
		e.silent = 0
		tries := e.tries
		c.after((e.deadline-c.now)/2, func() { c.probe(e, tries) })
	}
	c.pushTaken(k, from)
	c.ownerTaken(k, from)
}

// probe asks a keeper again that has been silent for long after taking a
// request; the answer may have been lost.
func (c *Core) probe(e *entry, tries int) {
	if c.entries[e.request.Key] != e || e.tries != tries {
		return
	}
	c.passOn(e)
}

func (c *Core) done(k Key, from Peer) {
	if e := c.entries[k]; e != nil && e.keeper == from {
		delete(c.entries, k)
	}
	c.ownerDone(k, from)
}

func (c *Core) cancelled(e Cancelled) {
	c.send(c.keeperOf(e.Service).Peer, Cancel(e))
}

func (c *Core) cancel(m Cancel) {
	p := c.pools[m.Service]
	if p == nil {
		return
	}
	if rec := p.records[m.Key]; rec != nil {
		p.cancel(rec)
	}
}
