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

// Times and limits of membership.
const (
	// TickInterval is the time between two Tick events.
	TickInterval = 100 * time.Millisecond
	// DefaultHeartbeatInterval is the time between two heartbeats to a neighbour, unless
	// Config says otherwise.
	DefaultHeartbeatInterval = 500 * time.Millisecond
	// SuspicionTime is what a suspect has to refute.
	SuspicionTime = 3 * time.Second
	// DomainTimeout is the silence after which a whole other domain counts as
	// unreachable.
	DomainTimeout = 6 * time.Second
	// RemoveTime is how long an unreachable member that the platform no longer
	// lists is kept.
	RemoveTime = 30 * time.Second

	tombstoneTime = 10 * time.Minute
	missLimit     = 5
	neighbours    = 2
	pauseLimit    = 5 * TickInterval
	budgetBytes   = 230
	spreadFactor  = 3
)

// Config holds the settings of a Core.
type Config struct {
	// Self is this balancer. Its life must be greater than that of any earlier
	// run under the same name, for example the start time in nanoseconds.
	Self Member
	// Seeds are members to begin with, for a start without the platform.
	Seeds []Member
	// Seed makes the choice of random members reproducible.
	Seed uint64
	// HeartbeatInterval is the time between two heartbeats to a neighbour, at least
	// TickInterval; 0 means DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
}

// Core decides about membership. It is used by one goroutine.
type Core struct {
	cfg     Config
	rnd     *rand.Rand
	self    *entry
	entries []*entry // sorted by name
	rings   map[string][]*entry
	removed map[string]tombstone
	queue   []*entry // with news left to tell
	cursor  int
	digest  uint64

	started   bool
	lastTick  time.Duration
	nextBeat  time.Duration
	beat      uint64
	ring      []*entry
	contact   map[string]time.Duration
	cut       map[string]bool
	listKnown bool
	ailing    bool // some members may not be live
	dirty     bool
	number    uint64

	config       uint64
	configDigest string
	superseded   uint64
	effects      []Effect
}

// entry is a record with what this balancer alone knows about the member.
type entry struct {
	Record
	since    time.Duration
	listed   bool
	awaiting bool
	misses   int
	digest   uint64
	left     int
	queued   bool
	place    uint64
	askers   []asker
}

// tombstone keeps old news from bringing a removed member back.
type tombstone struct {
	life, incarnation uint64
	at                time.Duration
}

// NewCore returns a core that knows itself and the seeds.
func NewCore(cfg Config) *Core {
	cfg.HeartbeatInterval = max(cmp.Or(cfg.HeartbeatInterval, DefaultHeartbeatInterval), TickInterval)
	c := &Core{
		cfg:     cfg,
		rnd:     rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Life)),
		rings:   make(map[string][]*entry),
		removed: make(map[string]tombstone),
		contact: make(map[string]time.Duration),
		cut:     make(map[string]bool),
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

// Handle takes one event at a time since the start of the process and returns
// what has to be done.
func (c *Core) Handle(now time.Duration, e Event) []Effect {
	c.effects = nil
	switch e := e.(type) {
	case Tick:
		c.tick(now)
	case HeartbeatReceived:
		c.receive(now, e.Heartbeat)
	case HostList:
		c.hosts(now, e.Hosts)
	case ConfigApplied:
		c.config, c.configDigest = e.Number, e.Digest
	case Leave:
		c.leave()
	}
	return c.effects
}

func (c *Core) emit(e Effect) {
	c.effects = append(c.effects, e)
}

func (c *Core) find(name string) *entry {
	i, ok := c.index(name)
	if !ok {
		return nil
	}
	return c.entries[i]
}

func (c *Core) index(name string) (int, bool) {
	return slices.BinarySearchFunc(c.entries, name, func(e *entry, n string) int { return strings.Compare(e.Name, n) })
}

// leave tells the others that nothing new should come here.
func (c *Core) leave() {
	if c.self.Leaving {
		return
	}
	r := c.self.Record
	r.Leaving = true
	r.Incarnation++
	c.set(c.self, r)
}

// merge takes in what was told about a member.
func (c *Core) merge(now time.Duration, r Record) {
	if t, ok := c.removed[r.Name]; ok && !t.outdated(r) {
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
		e.misses, e.awaiting = 0, false
	}
	e.since = now
	c.set(e, next)
}

// outdated reports whether r is newer than the removal.
func (t tombstone) outdated(r Record) bool {
	return r.Life > t.life || r.Life == t.life && r.Incarnation > t.incarnation
}

// mergeSelf refutes what others wrongly believe about this balancer.
func (c *Core) mergeSelf(r Record) {
	if r.Life > c.self.Life {
		if r.Life > c.superseded {
			c.superseded = r.Life
			c.emit(Superseded{Life: r.Life})
		}
		return
	}
	if r.Life < c.self.Life || r.Health == HealthLive || r.Incarnation < c.self.Incarnation {
		return
	}
	next := c.self.Record
	next.Incarnation = r.Incarnation + 1
	c.set(c.self, next)
}

func (c *Core) insert(now time.Duration, r Record) {
	delete(c.removed, r.Name)
	i, _ := c.index(r.Name)
	e := &entry{Record: r, since: now, place: xxhash.Sum64String(r.Name)}
	c.entries = slices.Insert(c.entries, i, e)
	c.join(e)
	if _, ok := c.contact[r.Domain]; !ok {
		c.contact[r.Domain] = now
	}
	c.digest ^= r.hash()
	c.changed(e)
}

// set replaces the record of e and tells others.
func (c *Core) set(e *entry, r Record) {
	c.digest ^= e.hash()
	c.part(e)
	e.Record = r
	c.join(e)
	c.digest ^= e.hash()
	c.changed(e)
}

func (c *Core) remove(now time.Duration, e *entry) {
	i, _ := c.index(e.Name)
	c.entries = slices.Delete(c.entries, i, i+1)
	c.part(e)
	c.digest ^= e.hash()
	e.left = 0
	c.removed[e.Name] = tombstone{life: e.Life, incarnation: e.Incarnation, at: now}
	c.dirty = true
}

// changed queues the news about a member, to be told a number of times that
// grows with the logarithm of the number of members.
func (c *Core) changed(e *entry) {
	c.dirty = true
	c.ailing = c.ailing || e.Health != HealthLive
	e.left = spreadFactor * (1 + bits.Len(uint(len(c.entries))))
	if !e.queued {
		e.queued = true
		c.queue = append(c.queue, e)
	}
}

// hosts takes in the platform's list.
func (c *Core) hosts(now time.Duration, hosts []Host) {
	c.listKnown = true
	for _, e := range c.entries {
		e.listed = false
	}
	for _, h := range hosts {
		c.list(now, h)
	}
}

// list takes in one host of the list. It is no news to others, who have the list
// too; they notice by their digests if they don't.
func (c *Core) list(now time.Duration, h Host) {
	known := c.find(h.Name) != nil
	c.merge(now, Record{Member: h.Member, Leaving: h.Leaving && h.Name != c.self.Name})
	e := c.find(h.Name)
	if e == nil || e.Life > h.Life {
		return
	}
	e.listed = true
	if !known {
		e.left = 0
	}
}

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
		c.challenge(h.From)
		return
	}
	if e.Life != h.From.Life {
		return
	}
	e.awaiting, e.misses, e.digest = false, 0, h.Digest
	c.contact[e.Domain] = now
	if h.Config != c.config || h.ConfigDigest != c.configDigest {
		c.emit(PeerConfigReceived{From: e.Member, Number: h.Config, Digest: h.ConfigDigest})
	}
	c.relay(now, e, h)
	if !h.Reply {
		c.send(e, true)
	}
}

// challenge tells a member that was removed, and is still there, to refute it.
func (c *Core) challenge(r Record) {
	t := c.removed[r.Name]
	if r.Life != t.life {
		return
	}
	r.Incarnation, r.Health = t.incarnation, HealthUnreachable
	c.emit(Send{To: r.Member, Heartbeat: Heartbeat{Reply: true, From: c.self.Record, Records: []Record{r}}})
}
