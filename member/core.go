package member

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Durations and limits of membership.
const (
	// TickInterval is the time between two Tick events.
	TickInterval = 100 * time.Millisecond
	// DefaultHeartbeatInterval is the time between two heartbeats to a ring successor,
	// unless Config sets another one.
	DefaultHeartbeatInterval = 500 * time.Millisecond
	// SuspicionTimeout is the time that a suspect member has to refute the suspicion
	// before it counts as unreachable.
	SuspicionTimeout = 3 * time.Second
	// DomainTimeout is the time without any heartbeat from another domain after which
	// the whole domain counts as unreachable.
	DomainTimeout = 6 * time.Second
	// RemovalDelay is how long an unreachable member that the platform no longer lists
	// is retained.
	RemovalDelay = 30 * time.Second

	// tombstoneTTL is how long the tombstone of a removed member is retained.
	tombstoneTTL = 10 * time.Minute
	// maxMissedReplies is the number of consecutive missed replies from which on a live
	// member becomes suspect.
	maxMissedReplies = 5
	// maxSuccessors is the maximum number of ring successors that get a heartbeat at each
	// interval.
	maxSuccessors = 2
	// maxTickGap is the time between two ticks above which this process counts as
	// paused.
	maxTickGap = 5 * TickInterval
	// maxRecordBytes limits the estimated encoded size of the records of one heartbeat.
	maxRecordBytes = 230
	// gossipFactor sets the number of heartbeats that carry an update: gossipFactor times
	// one plus the bit length of the number of members.
	gossipFactor = 3
)

// Config holds the settings of a Core.
type Config struct {
	// Self is this balancer. Its Life must be greater than that of any earlier process
	// instance of the same name, for example the start time in nanoseconds.
	Self Member
	// Seeds are the members that are known at the start, for a start without the
	// platform.
	Seeds []Member
	// Seed seeds the choice of random members, so that a run is reproducible.
	Seed uint64
	// HeartbeatInterval is the time between two heartbeats to a ring successor, at
	// least TickInterval; 0 means DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
}

// Core decides which members there are and in which state. It must be used by one
// goroutine only.
type Core struct {
	cfg     Config
	rnd     *rand.Rand
	self    *entry
	entries []*entry // sorted by name
	// rings has the entries of each domain in the order of their ring positions.
	rings map[string][]*entry
	// tombstones has the removed members by name, for tombstoneTTL.
	tombstones map[string]tombstone
	// gossipQueue has the entries whose records are still to be sent as updates.
	gossipQueue []*entry
	// syncCursor, modulo the number of entries, is the index of the next record to send to
	// a member with another digest.
	syncCursor int
	// digest is the bitwise exclusive or of the hashes of all records.
	digest uint64

	// started is set by the first Tick.
	started bool
	// lastTickAt is the time of the last Tick.
	lastTickAt time.Duration
	// nextHeartbeatAt is the time at which the next heartbeats are due.
	nextHeartbeatAt time.Duration
	// heartbeatRound counts the heartbeat intervals.
	heartbeatRound uint64
	// successors are the ring successors that get heartbeats at each interval.
	successors []*entry
	// lastContact is the time of the last heartbeat from each domain.
	lastContact map[string]time.Duration
	// partitioned has the domains that count as unreachable.
	partitioned map[string]bool
	// hasHostList is whether a host list of the platform has been received.
	hasHostList bool
	// hasUnhealthyMembers is whether some members may not be live. It may be set while
	// all are live, until the next check.
	hasUnhealthyMembers bool
	// viewChanged is whether the view has changed since it was last published.
	viewChanged bool
	viewNumber  uint64

	// configNumber is the number of the configuration that this balancer has.
	configNumber uint64
	// configDigest is the digest of that configuration.
	configDigest string
	// supersededBy is the Life of the latest instance that was reported by Superseded.
	supersededBy uint64
	// effects are the effects of the event that is being processed.
	effects []Effect
}

// entry is a record with the local state of this balancer about the member.
type entry struct {
	Record
	// since is the time at which this balancer last changed the record.
	since time.Duration
	// listed is whether the platform's host list has the member.
	listed bool
	// awaitingReply is set when a heartbeat is sent to the member as a ring successor,
	// until the next heartbeat from it or a report that it was reached.
	awaitingReply bool
	// missedReplies counts the consecutive heartbeat intervals without a reply.
	missedReplies int
	// peerDigest is the digest in the last heartbeat from the member.
	peerDigest uint64
	// remainingSends is the number of heartbeats that are still to carry the record.
	remainingSends int
	// queued is whether the entry is in gossipQueue.
	queued bool
	// ringPosition is the hash of the name.
	ringPosition uint64
	// requesters are the members that have requested an indirect probe of this one.
	requesters []requester
}

// tombstone is what remains of a removed member. It prevents records that are not newer
// from adding the member again.
type tombstone struct {
	life, incarnation uint64
	removedAt         time.Duration
}

// NewCore returns a core that knows this balancer and the seeds.
func NewCore(cfg Config) *Core {
	cfg.HeartbeatInterval = max(cmp.Or(cfg.HeartbeatInterval, DefaultHeartbeatInterval), TickInterval)
	c := &Core{
		cfg:         cfg,
		rnd:         rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Life)),
		rings:       make(map[string][]*entry),
		tombstones:  make(map[string]tombstone),
		lastContact: make(map[string]time.Duration),
		partitioned: make(map[string]bool),
	}
	c.merge(0, Record{Member: cfg.Self})
	c.self = c.find(cfg.Self.Name)
	for _, m := range cfg.Seeds {
		if m.Name != cfg.Self.Name {
			c.merge(0, Record{Member: m})
		}
	}
	return c
}

// Handle processes one event at the time now since the start of the process, and returns
// the effects to execute.
func (c *Core) Handle(now time.Duration, e Event) []Effect {
	c.effects = nil
	switch e := e.(type) {
	case Tick:
		c.tick(now)
	case HeartbeatReceived:
		c.receive(now, e.Heartbeat)
	case HostList:
		c.applyHostList(now, e.Hosts)
	case ConfigApplied:
		c.configNumber, c.configDigest = e.Number, e.Digest
	case Leave:
		c.leave()
	}
	return c.effects
}

func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

// find returns the entry called name, or nil.
func (c *Core) find(name string) *entry {
	i, ok := c.index(name)
	if !ok {
		return nil
	}
	return c.entries[i]
}

// index returns the index of the entry called name, or the one at which to insert it.
func (c *Core) index(name string) (int, bool) {
	return slices.BinarySearchFunc(c.entries, name, func(e *entry, n string) int { return strings.Compare(e.Name, n) })
}

// leave sets Leaving in the record of this balancer, so that the others send it no new
// work.
func (c *Core) leave() {
	if c.self.Leaving {
		return
	}
	r := c.self.Record
	r.Leaving = true
	r.Incarnation++
	c.setRecord(c.self, r)
}

// merge applies a record of any member. It ignores a record that is not newer than the
// tombstone of a removed member.
func (c *Core) merge(now time.Duration, r Record) {
	if t, ok := c.tombstones[r.Name]; ok && !t.isOlderThan(r) {
		return
	}
	e := c.find(r.Name)
	if e == nil {
		c.insert(now, r)
		return
	}
	if e == c.self {
		c.mergeSelf(r)
		return
	}
	next := e.merge(r)
	if next == e.Record {
		return
	}
	if next.Life != e.Life {
		e.missedReplies, e.awaitingReply = 0, false
	}
	e.since = now
	c.setRecord(e, next)
}

// isOlderThan reports whether r is newer than the record that was removed.
func (t tombstone) isOlderThan(r Record) bool {
	return r.Life > t.life || r.Life == t.life && r.Incarnation > t.incarnation
}

// mergeSelf applies a received record of this balancer. It refutes a wrong health by a
// higher incarnation, and emits Superseded if there is a later process instance.
func (c *Core) mergeSelf(r Record) {
	if r.Life > c.self.Life {
		if r.Life > c.supersededBy {
			c.supersededBy = r.Life
			c.emit(Superseded{Life: r.Life})
		}
		return
	}
	if r.Life < c.self.Life || r.Health == HealthLive || r.Incarnation < c.self.Incarnation {
		return
	}
	next := c.self.Record
	next.Incarnation = r.Incarnation + 1
	c.setRecord(c.self, next)
}

// insert adds a member and queues its record as an update.
func (c *Core) insert(now time.Duration, r Record) {
	delete(c.tombstones, r.Name)
	i, _ := c.index(r.Name)
	e := &entry{Record: r, since: now, ringPosition: xxhash.Sum64String(r.Name)}
	c.entries = slices.Insert(c.entries, i, e)
	c.addToRing(e)
	if _, ok := c.lastContact[r.Domain]; !ok {
		c.lastContact[r.Domain] = now
	}
	c.digest ^= r.hash()
	c.queueUpdate(e)
}

// setRecord replaces the record of e and queues it as an update.
func (c *Core) setRecord(e *entry, r Record) {
	c.digest ^= e.hash()
	c.removeFromRing(e)
	e.Record = r
	c.addToRing(e)
	c.digest ^= e.hash()
	c.queueUpdate(e)
}

// remove removes a member and leaves a tombstone.
func (c *Core) remove(now time.Duration, e *entry) {
	i, _ := c.index(e.Name)
	c.entries = slices.Delete(c.entries, i, i+1)
	c.removeFromRing(e)
	c.digest ^= e.hash()
	e.remainingSends = 0
	c.tombstones[e.Name] = tombstone{life: e.Life, incarnation: e.Incarnation, removedAt: now}
	c.viewChanged = true
}

// queueUpdate queues the record of e as an update. The number of heartbeats that carry it
// grows with the logarithm of the number of members.
func (c *Core) queueUpdate(e *entry) {
	c.viewChanged = true
	c.hasUnhealthyMembers = c.hasUnhealthyMembers || e.Health != HealthLive
	e.remainingSends = gossipFactor * (1 + bits.Len(uint(len(c.entries))))
	if !e.queued {
		e.queued = true
		c.gossipQueue = append(c.gossipQueue, e)
	}
}

// applyHostList applies the platform's host list.
func (c *Core) applyHostList(now time.Duration, hosts []Host) {
	c.hasHostList = true
	for _, e := range c.entries {
		e.listed = false
	}
	for _, h := range hosts {
		c.applyHost(now, h)
	}
}

// applyHost applies one host of the list. The record of a member that the list adds is not
// sent as an update: the other members receive the list too, and the digests differ if one
// of them has not.
func (c *Core) applyHost(now time.Duration, h Host) {
	wasKnown := c.find(h.Name) != nil
	c.merge(now, Record{Member: h.Member, Leaving: h.Leaving && h.Name != c.self.Name})
	e := c.find(h.Name)
	if e == nil || e.Life > h.Life {
		return
	}
	e.listed = true
	if !wasKnown {
		e.remainingSends = 0
	}
}

// receive processes a heartbeat and replies to it unless it is a reply itself. A heartbeat
// of an earlier process instance has no effect beyond its records.
func (c *Core) receive(now time.Duration, h Heartbeat) {
	if h.From.Name == c.self.Name {
		c.mergeSelf(h.From)
		return
	}
	c.merge(now, h.From)
	for _, r := range h.Records {
		c.merge(now, r)
	}
	e := c.find(h.From.Name)
	if e == nil {
		c.requestRefutation(h.From)
		return
	}
	if e.Life != h.From.Life {
		return
	}
	e.awaitingReply, e.missedReplies, e.peerDigest = false, 0, h.Digest
	c.lastContact[e.Domain] = now
	if h.ConfigNumber != c.configNumber || h.ConfigDigest != c.configDigest {
		c.emit(PeerConfigReceived{From: e.Member, Number: h.ConfigNumber, Digest: h.ConfigDigest})
	}
	c.handleProbes(now, e, h)
	if !h.IsReply {
		c.sendHeartbeat(e, true)
	}
}

// requestRefutation sends a heartbeat to a member that was removed and still runs. The
// heartbeat carries the member's record as unreachable, with the incarnation at the
// removal. The member refutes it with a higher incarnation, which the tombstone accepts.
func (c *Core) requestRefutation(r Record) {
	t := c.tombstones[r.Name]
	if r.Life != t.life {
		return
	}
	r.Incarnation, r.Health = t.incarnation, HealthUnreachable
	c.emit(Send{To: r.Member, Heartbeat: Heartbeat{IsReply: true, From: c.self.Record, Records: []Record{r}}})
}
