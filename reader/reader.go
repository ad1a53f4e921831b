// Package reader elects the hosts that read the platform's store, and distributes
// what they read to the other hosts.
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
//			// use e.Catalog from now on
//		}
//	}
//	if c.IsReading() {
//		// list and watch the store, and pass its responses to HandleStoreUpdate
//	}
//
// Hosts that share readers form a group: the whole fleet or, in a large fleet, one
// failure domain. A few hosts of a group, ranked by rendezvous hashing, are readers:
// they read the store, send its changes to the group, and send heartbeats. The
// others receive these, request the updates that they lack, and become readers when
// heartbeats stop or report that the store is unreachable. Readers do not write to
// the store, so that more readers than needed do no harm. Each part of the catalog
// has a position in the store: the era, which rises when the store comes back from an
// older copy, and the revision within it. A host never replaces a part by an older one. Of
// two routing tables of different eras, the one with the higher version number is newer.
//
// A Core has no input or output, no clock and no goroutine: the parameter now of its methods is
// the time since the start of the process. It is not safe for
// concurrent use.
package reader

import (
	"maps"
	"time"

	"wisteriaweir/catalog"
	"wisteriaweir/evacuation"
)

const (
	// minHeartbeatInterval is the time between two heartbeats of a reader in a group of
	// up to maxHostsAtMinInterval hosts. In larger groups, the interval is longer in
	// proportion to the size, so that a reader does not send more bytes per second.
	minHeartbeatInterval = 300 * time.Millisecond
	// maxHostsAtMinInterval is the size, in hosts, of the largest group whose heartbeat
	// interval is minHeartbeatInterval.
	maxHostsAtMinInterval = 40
	// wantedReaders is the number of readers that a group needs.
	wantedReaders = 2
	// maxSingleGroupHosts is the size, in hosts, of the largest fleet that is one group.
	// In a larger fleet, each failure domain is a group.
	maxSingleGroupHosts = 120
	// unlistedTTL is how long a host that the store does not list remains known after
	// its last message.
	unlistedTTL = time.Minute
)

// Config configures a Core.
type Config struct {
	// Self is this host.
	Self Member
	// UsesEvacuations reports whether the store has the kind of the evacuations. If it is
	// set, the catalog is incomplete as long as they are unknown.
	UsesEvacuations bool
}

// Core holds the state of one host and makes its decisions.
type Core struct {
	cfg   Config
	peers map[string]*peer
	// group are the hosts that share readers with this one, itself included, in the
	// order in which they become readers.
	group []Member
	// domainPeers are the other hosts of this host's failure domain.
	domainPeers []Member
	// membersVersion is incremented whenever updateGroup runs; see MembersVersion.
	membersVersion uint64
	catalog        catalog.Catalog
	// routeLog and targetLog hold the last changes of the catalog's routes and targets.
	routeLog  updateLog
	targetLog updateLog
	// needsRoutes and needsTargets report whether the last delta of the part did not fit
	// the catalog's content, so that a snapshot is needed.
	needsRoutes, needsTargets bool
	// lostEvacuations are evacuations that the store has lost by coming back from an older
	// copy. They stay in force until lostUntil.
	lostEvacuations evacuation.Set
	lostUntil       time.Duration
	effects         []Effect

	// reading reports whether this host reads the store.
	reading bool
	// catchingUp reports whether this host reads only because it lacked an update.
	catchingUp bool
	// storeRespondedAt is when the store last responded to this host, valid if
	// hasStoreResponse is set.
	storeRespondedAt time.Duration
	hasStoreResponse bool
	// tooFewReadersSince is when the group began to have fewer readers than it needs.
	// 0 means that it has enough.
	tooFewReadersSince time.Duration
	// behindSince is when another host was first known to have newer content than the
	// catalog. 0 means that none has.
	behindSince time.Duration
	// surplusReadersSince is when the group began to have enough higher-ranked readers
	// without this host, while this host reads. 0 means that it does not have enough or
	// that this host does not read.
	surplusReadersSince time.Duration
	// lastHeartbeatSentAt is when this host, as a reader, last sent a heartbeat to its
	// group.
	lastHeartbeatSentAt time.Duration
	// lastRequestAt is when this host last sent an update request.
	lastRequestAt time.Duration
}

// New returns a core that knows only its own host.
func New(cfg Config) *Core {
	c := &Core{cfg: cfg, peers: map[string]*peer{}}
	if cfg.UsesEvacuations {
		c.catalog = c.catalog.WithEvacuationsRequired()
	}
	c.updateGroup()
	return c
}

// IsReading reports whether this host is a reader and has to read the store.
func (c *Core) IsReading() bool {
	return c.reading
}

// Catalog returns the current catalog.
func (c *Core) Catalog() catalog.Catalog {
	return c.catalog
}

// SetMembers applies the list of hosts in the store. It sends a Hello to each host
// that is new or has a new address, and removes hosts that are neither listed nor
// have sent a message within unlistedTTL.
func (c *Core) SetMembers(now time.Duration, members []Member) []Effect {
	listed := map[string]bool{}
	for _, m := range members {
		listed[m.Name] = true
		if m.Name == c.cfg.Self.Name {
			continue
		}
		if p := c.peers[m.Name]; p == nil || p.Address != m.Address {
			c.peers[m.Name] = &peer{Member: m, lastHeartbeatAt: now, lastMessageAt: now}
			c.send(m, Hello{})
		}
	}
	maps.DeleteFunc(c.peers, func(name string, p *peer) bool { return !listed[name] && now-p.lastMessageAt > unlistedTTL })
	c.updateGroup()
	return c.drainEffects()
}

// Tick starts or stops reading and sends a heartbeat, if either is due.
func (c *Core) Tick(now time.Duration) []Effect {
	c.expireLostEvacuations(now)
	c.updateReading(now)
	if c.reading && now-c.lastHeartbeatSentAt >= c.heartbeatInterval() {
		c.lastHeartbeatSentAt = now
		c.broadcast(c.ownHeartbeat(now))
	}
	return c.drainEffects()
}

// HandleMessage processes a message from another host.
func (c *Core) HandleMessage(now time.Duration, from Member, msg Message) []Effect {
	p := c.peerFor(now, from)
	switch m := msg.(type) {
	case Hello:
		c.send(from, c.ownHeartbeat(now))
	case Heartbeat:
		p.recordHeartbeat(now, m)
		if c.isComparableHeartbeat(m) {
			c.requestIfBehind(now, p)
		}
	case UpdateRequest:
		c.sendMissing(from, m)
	case Update:
		if c.isComparableUpdate(m) {
			c.handleUpdate(now, p, m)
		}
	case EvacuationUpdate:
		if isComparable(m.Position, c.catalog.EvacuationsPosition()) {
			c.applyEvacuations(now, m)
		}
	case Load, Lookup, Found:
		// Package placement processes these.
	}
	return c.drainEffects()
}

// HandleStoreUpdate applies a response of the store, and sends the changes to the
// group if this host is a reader. An update without content means that the store
// has nothing new.
func (c *Core) HandleStoreUpdate(now time.Duration, u Update) []Effect {
	c.recordStoreResponse(now)
	if u.Evacuations != nil || len(u.EvacuationChanges) > 0 {
		return c.handleStoreEvacuations(now, u)
	}
	if u.Routes == nil && !u.HasAllTargets && len(u.Changes) == 0 {
		return c.drainEffects()
	}
	previous := c.catalog
	u.Base = previous.TargetsPosition()
	delta := toDelta(previous, u)
	isNewEra := u.Position.Era > previous.TargetsPosition().Era
	if delta.RouteChanges == nil && delta.Routes == nil && !delta.HasAllTargets && len(delta.Changes) == 0 && !isNewEra {
		return c.drainEffects() // The list contains nothing new.
	}
	delta.Digest = digestOfPart(c.afterUpdate(delta), delta)
	switch advanced := c.apply(delta); {
	case !advanced:
		c.reportIgnored(u)
	case c.mustSend(now, delta):
		c.broadcast(delta)
	}
	return c.drainEffects()
}

// recordStoreResponse records that the store has responded to this host. If the host is a
// reader that the group did not count as a fresh one, it reports so at once, as other hosts
// wait for it before they take over.
func (c *Core) recordStoreResponse(now time.Duration) {
	wasFresh := c.hasStoreResponse && now-c.storeRespondedAt < c.maxReaderStoreAge()
	c.storeRespondedAt, c.hasStoreResponse = now, true
	if c.reading && !wasFresh {
		c.lastHeartbeatSentAt = now
		c.broadcast(c.ownHeartbeat(now))
	}
}

// reportIgnored adds an Ignored effect if a response of the store that was not applied has
// other content than the catalog.
func (c *Core) reportIgnored(u Update) {
	ignored := Ignored{Position: u.Position, CatalogPosition: c.catalog.TargetsPosition(), CatalogNumber: c.catalog.Routes().Number()}
	if u.Routes != nil {
		if u.Routes.Digest() == c.catalog.Routes().Digest() {
			return
		}
		ignored.CatalogPosition, ignored.Number = c.catalog.RoutesPosition(), u.Routes.Number()
	} else if !c.catalog.Lacks(u.Changes) && (!u.HasAllTargets || len(c.catalog.Diff(u.Targets, u.Position, u.InvalidEntries...)) == 0) {
		return
	}
	c.effects = append(c.effects, ignored)
}

// toDelta converts a snapshot of the routing table or of all targets into the
// changes since the previous catalog. It returns u unchanged if u is no snapshot, or
// if the previous catalog has no routing table or no targets to compare it with.
func toDelta(previous catalog.Catalog, u Update) Update {
	switch {
	case u.Routes != nil && previous.RoutesPosition().IsKnown():
		changes := previous.Routes().Diff(*u.Routes)
		return Update{Position: u.Position, Base: previous.RoutesPosition(), RouteChanges: &changes}
	case u.HasAllTargets && previous.TargetsPosition().IsKnown():
		return Update{Position: u.Position, Base: previous.TargetsPosition(), Changes: previous.Diff(u.Targets, u.Position, u.InvalidEntries...)}
	default:
		return u
	}
}

// heartbeatInterval returns the time between two heartbeats of a reader of this
// host's group.
func (c *Core) heartbeatInterval() time.Duration {
	return minHeartbeatInterval * time.Duration(max(maxHostsAtMinInterval, len(c.group))) / maxHostsAtMinInterval
}

// ownHeartbeat returns the heartbeat of this host. If the store never responded to
// it, the heartbeat's StoreAge is large enough for the host not to count as a
// reader.
func (c *Core) ownHeartbeat(now time.Duration) Heartbeat {
	h := Heartbeat{Positions: c.ownPositions(), IsReading: c.reading, Uptime: now}
	if c.hasStoreResponse {
		h.StoreAge = now - c.storeRespondedAt
	} else {
		h.StoreAge = now + c.maxReaderStoreAge()
	}
	return h
}

// send adds the effect of sending a message.
func (c *Core) send(to Member, msg Message) {
	c.effects = append(c.effects, Send{To: to, Message: msg})
}

// broadcast sends a message to all other hosts of the group.
func (c *Core) broadcast(msg Message) {
	for _, m := range c.group {
		if m.Name != c.cfg.Self.Name {
			c.send(m, msg)
		}
	}
}

// drainEffects returns the effects since the last call and clears them.
func (c *Core) drainEffects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}
