// Package reader decides which hosts read the platform's store, and spreads
// what they find to the others.
//
// # Usage
//
//	c := reader.New(reader.Config{Self: self})
//	c.SetMembers(now, members)
//	for _, e := range c.Tick(now) {
//		switch e := e.(type) {
//		case reader.Send:
//			// send e.Message to e.To
//		case reader.Publish:
//			// e.Catalog is what is believed now
//		}
//	}
//	if c.IsReading() {
//		// list and watch the store, and pass what it answers to HandleStoreUpdate
//	}
//
// A few hosts of a group, chosen by rendezvous hashing, read the store and beat;
// the others listen, ask for what they lack, and step in when the beats cease or
// the beats say that the store is out of reach. Readers write nothing, so two of
// them at once do no harm. Revisions of the store number what is believed, and
// every host only moves forward in them.
//
// A Core has no input or output, no clock and no goroutine. It is not safe for
// concurrent use.
package reader

import (
	"maps"
	"time"

	"wisteriaweir/catalog"
)

const (
	// beatLeast is the time between two beats of a reader in a group of beatHosts
	// hosts or fewer; in a larger one it grows with the group, so that a reader's
	// bytes a second do not.
	beatLeast = 300 * time.Millisecond
	beatHosts = 40
	// readersWanted is the number of readers of a group.
	readersWanted = 2
	// smallFleet is the largest fleet that is one group; in a larger one each
	// failure domain is a group.
	smallFleet = 120
	// forgetAfter is how long a host that the store does not list is remembered after
	// its last note.
	forgetAfter = time.Minute
)

// Config configures a Core.
type Config struct {
	Self Member
}

// Effect is something to be done: Send or Publish.
type Effect interface {
	effect()
}

// Send sends a note to a host.
type Send struct {
	To      Member
	Message Message
}

// Publish makes a catalog what is believed.
type Publish struct {
	Catalog catalog.Catalog
}

func (Send) effect()    {}
func (Publish) effect() {}

// peer is what is known of another host.
type peer struct {
	Member
	beat    Heartbeat
	heardAt time.Duration
	heard   bool
	// metAt is when any note came from it, or it was listed anew.
	metAt time.Duration
}

// Core is the state of one host.
type Core struct {
	cfg   Config
	peers map[string]*peer
	// group are the hosts that share readers with this one, itself included, in the
	// order in which they become readers; neighbours the peers of its failure domain.
	group      []Member
	neighbours []Member
	catalog    catalog.Catalog
	// routeTrail and targetTrail are the last changes of the catalog.
	routeTrail  trail
	targetTrail trail
	effects     []Effect

	// reading says that this host reads the store, storeAt when the store last
	// answered it, answered whether it ever did.
	reading  bool
	storeAt  time.Duration
	answered bool
	// shortSince and spareSince are the times since when readers are too few, or
	// more than are needed without this host; 0 if they are not.
	shortSince time.Duration
	spareSince time.Duration
	beatAt     time.Duration
	askAt      time.Duration
}

// New returns a core that knows only its own host.
func New(cfg Config) *Core {
	c := &Core{cfg: cfg, peers: map[string]*peer{}}
	c.findGroup()
	return c
}

// IsReading reports whether this host has to read the store.
func (c *Core) IsReading() bool {
	return c.reading
}

// Catalog returns what is believed.
func (c *Core) Catalog() catalog.Catalog {
	return c.catalog
}

// SetMembers takes in the list of hosts, greets those that are new and forgets
// those that are neither listed nor heard.
func (c *Core) SetMembers(now time.Duration, members []Member) []Effect {
	listed := map[string]bool{}
	for _, m := range members {
		listed[m.Name] = true
		if m.Name == c.cfg.Self.Name {
			continue
		}
		if p := c.peers[m.Name]; p == nil || p.Address != m.Address {
			c.peers[m.Name] = &peer{Member: m, heardAt: now, metAt: now}
			c.tell(m, Hello{})
		}
	}
	maps.DeleteFunc(c.peers, func(name string, p *peer) bool { return !listed[name] && now-p.metAt > forgetAfter })
	c.findGroup()
	return c.take()
}

// Tick does what is due at a time.
func (c *Core) Tick(now time.Duration) []Effect {
	c.decide(now)
	if c.reading && now-c.beatAt >= c.beatEvery() {
		c.beatAt = now
		c.tellGroup(c.beat(now))
	}
	return c.take()
}

// HandleMessage takes in a note.
func (c *Core) HandleMessage(now time.Duration, from Member, n Message) []Effect {
	p := c.meet(now, from)
	switch n := n.(type) {
	case Hello:
		c.tell(from, c.beat(now))
	case Heartbeat:
		p.beat, p.heardAt, p.heard = n, now, true
		c.askIfBehind(now, p)
	case UpdateRequest:
		c.answer(from, n)
	case Update:
		c.learn(now, p, n)
	case Load:
		// The targets' load is for package placement.
	}
	return c.take()
}

// HandleStoreUpdate takes in what the store answered: content, or nothing new.
func (c *Core) HandleStoreUpdate(now time.Duration, n Update) []Effect {
	c.storeAt, c.answered = now, true
	if n.Routes == nil && !n.HasAllTargets && len(n.Changes) == 0 {
		return nil
	}
	before := c.catalog
	n.BaseRevision = before.TargetsRevision()
	short := shorten(before, n)
	if short.RouteChanges == nil && short.Routes == nil && !short.HasAllTargets && len(short.Changes) == 0 {
		return nil // A list that brought nothing new.
	}
	if c.apply(short) && c.reading {
		c.tellGroup(short)
	}
	return c.take()
}

// shorten turns a routing table, or all targets, into the changes that lead
// there, if there was something before.
func shorten(before catalog.Catalog, n Update) Update {
	switch {
	case n.Routes != nil && before.RoutesRevision() > 0:
		ch := before.Routes().Diff(*n.Routes)
		return Update{Revision: n.Revision, BaseRevision: before.RoutesRevision(), RouteChanges: &ch}
	case n.HasAllTargets && before.TargetsRevision() > 0:
		return Update{Revision: n.Revision, BaseRevision: before.TargetsRevision(), Changes: before.Diff(n.Targets, n.Revision)}
	default:
		return n
	}
}

// beatEvery returns the time between two beats of a reader of this host's group.
func (c *Core) beatEvery() time.Duration {
	return beatLeast * time.Duration(max(beatHosts, len(c.group))) / beatHosts
}

// meet returns the peer that a note came from.
func (c *Core) meet(now time.Duration, m Member) *peer {
	p := c.peers[m.Name]
	if p == nil || p.Address != m.Address {
		p = &peer{Member: m, heardAt: now}
		c.peers[m.Name] = p
		c.findGroup()
	}
	p.metAt = now
	return p
}

// beat returns what this host says of itself.
func (c *Core) beat(now time.Duration) Heartbeat {
	b := Heartbeat{RoutesRevision: c.catalog.RoutesRevision(), TargetsRevision: c.catalog.TargetsRevision(), IsReading: c.reading}
	if c.answered {
		b.StoreAge = now - c.storeAt
	} else {
		b.StoreAge = now + c.staleReader()
	}
	return b
}

func (c *Core) tell(to Member, n Message) {
	c.effects = append(c.effects, Send{To: to, Message: n})
}

func (c *Core) tellGroup(n Message) {
	for _, m := range c.group {
		if m.Name != c.cfg.Self.Name {
			c.tell(m, n)
		}
	}
}

func (c *Core) take() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}
