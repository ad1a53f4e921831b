package flow

import (
	"net/netip"
	"time"
)

// Action says what to do with a datagram.
type Action uint8

const (
	// Drop discards the datagram.
	Drop Action = iota
	// Forward sends it to Decision.Address.
	Forward
	// Hop sends it to Decision.Member, which knows or decides.
	Hop
	// Reset tells the caller that the flow has ended and discards the datagram.
	Reset
)

// Reason says why a datagram was not forwarded.
type Reason uint8

const (
	// ReasonNone belongs to Forward.
	ReasonNone Reason = iota
	// ReasonNoService marks an address that no service has for flows.
	ReasonNoService
	// ReasonNoTarget marks a service without a target that takes new flows.
	ReasonNoTarget
	// ReasonNoMember marks a flow on which no reachable member can decide.
	ReasonNoMember
	// ReasonTablesDiffer marks a flow on which the live tables differ.
	ReasonTablesDiffer
	// ReasonExcluded marks a new flow whose target gets nothing new.
	ReasonExcluded
	// ReasonStale marks a flow that this member may not open, as it may have
	// missed changes.
	ReasonStale
	// ReasonFull marks a new flow beyond the limit of the shard.
	ReasonFull
	// ReasonCallerLimit marks a new flow beyond the limit of its caller.
	ReasonCallerLimit
	// ReasonTargetGone marks a flow whose target left the configuration.
	ReasonTargetGone
	// ReasonSilent marks a flow whose target stopped answering on it alone.
	ReasonSilent
	// ReasonHops marks a datagram that hopped too often.
	ReasonHops
	// ReasonLookup marks a flow of which its home asks whether the member knows it.
	ReasonLookup
)

// Decision is the decision on one datagram.
type Decision struct {
	Action Action
	Reason Reason
	// Opened is set when the flow was not known here before.
	Opened bool
	// Address is the address of the target, with Forward.
	Address netip.AddrPort
	// Member is the name of the member to hop to, with Hop.
	Member string
	// Pin is the flow and its target, with Forward.
	Pin Pin
}

// ShardConfig holds the limits of a shard. Zero values take the defaults.
type ShardConfig struct {
	// MaxFlows is the number of flows held at most, pins included.
	MaxFlows int
	// MaxCallerFlows is the number of flows of one caller IP address.
	MaxCallerFlows int
	// Idle is the time after which a flow without datagrams is forgotten.
	Idle time.Duration
	// PinIdle is the time after which a pin without datagrams is forgotten. A
	// member that sees a datagram of a pinned flow tells the pin again after
	// half of it.
	PinIdle time.Duration
	// MaxUnansweredPackets and UnansweredTimeout bound an answered flow that went silent:
	// the datagrams in a row and the time without a reply.
	MaxUnansweredPackets int
	UnansweredTimeout    time.Duration
}

// Defaults of a ShardConfig.
const (
	DefaultMaxFlows             = 1 << 16
	DefaultMaxCallerFlows       = 1 << 12
	DefaultIdle                 = 5 * time.Minute
	DefaultPinIdle              = time.Hour
	DefaultMaxUnansweredPackets = 16
	DefaultUnansweredTimeout    = 10 * time.Second
)

func (c ShardConfig) withDefaults() ShardConfig {
	setInt(&c.MaxFlows, DefaultMaxFlows)
	setInt(&c.MaxCallerFlows, DefaultMaxCallerFlows)
	setInt(&c.MaxUnansweredPackets, DefaultMaxUnansweredPackets)
	setDuration(&c.Idle, DefaultIdle)
	setDuration(&c.PinIdle, DefaultPinIdle)
	setDuration(&c.UnansweredTimeout, DefaultUnansweredTimeout)
	return c
}

func setInt(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

func setDuration(v *time.Duration, d time.Duration) {
	if *v == 0 {
		*v = d
	}
}

// tick is the unit of the times in an entry.
const tick = 100 * time.Millisecond

func ticks(d time.Duration) uint32 {
	return uint32(d / tick)
}

// Shard holds the flows of one traffic worker. It is not safe for concurrent
// use: one worker owns it at a time.
type Shard struct {
	cfg     ShardConfig
	snap    *Snapshot
	flows   slots
	callers callers
	replied map[TargetID]replies
	fresh   []Pin
	// asked counts datagrams of unknown flows whose target is out of reach.
	asked map[uint64]uint8
	stats Stats
}

// Stats counts what a shard did.
type Stats struct {
	// Open is the number of flows and pins held.
	Open int
	// Opened, Expired, Silent and Refused count flows.
	Opened, Expired, Silent, Refused uint64
	// Hops counts datagrams that were sent to another member.
	Hops uint64
}

// maxFreshPins bounds the pins that wait to be taken; one that is not told for
// lack of room is told at the next Collect.
const maxFreshPins = 1 << 12

// NewShard returns an empty shard. It drops everything until Apply.
func NewShard(cfg ShardConfig) *Shard {
	cfg = cfg.withDefaults()
	return &Shard{
		cfg:     cfg,
		flows:   newSlots(cfg.MaxFlows),
		callers: newCallers(cfg.MaxFlows/2, cfg.MaxCallerFlows),
		replied: make(map[TargetID]replies),
		fresh:   make([]Pin, 0, maxFreshPins),
		asked:   make(map[uint64]uint8),
	}
}

// Apply makes the shard route by p.
func (s *Shard) Apply(p *Snapshot) {
	s.snap = p
}

// Stats returns the counters of the shard.
func (s *Shard) Stats() Stats {
	st := s.stats
	st.Open = s.flows.used
	return st
}

// Route decides on a datagram that came from a caller.
func (s *Shard) Route(now time.Duration, k Key) Decision {
	return s.RouteHash(now, k, k.Hash())
}

// RouteHash is Route for a caller that already has the hash of k.
func (s *Shard) RouteHash(now time.Duration, k Key, hash uint64) Decision {
	if s.snap == nil {
		return Decision{Reason: ReasonNoService}
	}
	service, ok := s.snap.service(k.Address)
	if !ok {
		return Decision{Reason: ReasonNoService}
	}
	hash = usable(hash)
	if e := s.flows.find(hash); e != nil {
		return s.known(now, k, e, service)
	}
	c := s.snap.choose(now, service, hash)
	if c.reason != ReasonNone {
		return s.elsewhere(c)
	}
	if c.fallback {
		if n := s.asks(hash); n < fallbackAsks {
			return s.elsewhere(s.snap.askNext(hash, n))
		}
		delete(s.asked, hash)
	}
	return s.open(now, k, hash, c.target)
}

// A flow whose target cannot be reached from here may be an established one. Its
// home asks another member with each datagram, and a repeated one may reach a
// member on the target's side. Only what was asked fallbackAsks times is opened
// elsewhere.
const (
	fallbackAsks = 8
	maxAsked     = 1 << 12
)

// asks counts the datagrams of an unknown flow without a reachable target.
func (s *Shard) asks(hash uint64) int {
	if len(s.asked) >= maxAsked {
		clear(s.asked)
	}
	s.asked[hash]++
	return int(s.asked[hash])
}

// elsewhere turns a choice without a target into a verdict.
func (s *Shard) elsewhere(c choice) Decision {
	if c.member < 0 {
		return Decision{Reason: c.reason}
	}
	s.stats.Hops++
	return Decision{Action: Hop, Reason: c.reason, Member: s.snap.member(c.member)}
}

// known routes a datagram of a flow that the shard holds.
func (s *Shard) known(now time.Duration, k Key, e *entry, service int) Decision {
	t, ok := s.snap.newest().targets[e.target]
	if !ok || t.service != s.snap.newest().services[service].name || s.snap.newest().down[e.target] {
		s.drop(e)
		return Decision{Action: Reset, Reason: ReasonTargetGone}
	}
	e.seen = ticks(now)
	if e.flags&flagCounted == 0 && s.callers.take(k.callerHash()) {
		e.caller = k.callerHash()
		e.flags |= flagCounted
	}
	if s.silent(now, e) {
		if c := s.snap.ask(e.hash, ReasonSilent); c.member >= 0 {
			return s.elsewhere(c)
		}
		s.stats.Silent++
		s.drop(e)
		return Decision{Action: Reset, Reason: ReasonSilent}
	}
	e.unanswered += 1 - e.unanswered>>15
	if e.flags&flagPinned != 0 && e.seen-e.told > ticks(s.cfg.PinIdle/2) {
		s.tell(e)
	}
	return Decision{Action: Forward, Address: t.at, Pin: e.pin()}
}

// open admits a flow that was not known here.
func (s *Shard) open(now time.Duration, k Key, hash uint64, target TargetID) Decision {
	t, ok := s.snap.newest().targets[target]
	if !ok || s.snap.newest().down[target] {
		return Decision{Action: Reset, Reason: ReasonTargetGone}
	}
	caller := k.callerHash()
	if s.flows.used >= s.flows.limit {
		s.stats.Refused++
		return Decision{Reason: ReasonFull}
	}
	if !s.callers.take(caller) {
		s.stats.Refused++
		return Decision{Reason: ReasonCallerLimit}
	}
	e := s.flows.insert(hash)
	e.target, e.caller, e.seen, e.flags = target, caller, ticks(now), flagCounted
	s.stats.Opened++
	if s.snap.newest().deviates(hash, target) {
		e.flags |= flagPinned
		e.told = e.seen
		if s.snap.home(hash) == s.snap.self {
			s.tell(e)
		}
	}
	return Decision{Action: Forward, Opened: true, Address: t.at, Pin: Pin{Hash: hash, Target: target}}
}

// tell queues a pin for DrainPins.
func (s *Shard) tell(e *entry) {
	if len(s.fresh) == cap(s.fresh) {
		return
	}
	e.told = e.seen
	e.flags |= flagPinned | flagTold
	s.fresh = append(s.fresh, e.pin())
}

func (s *Shard) drop(e *entry) {
	if e.flags&flagCounted != 0 {
		s.callers.release(e.caller)
	}
	s.flows.remove(e.hash)
}

// RecordReply notes a reply of a target to a flow, and returns the target if the
// flow is known here.
func (s *Shard) RecordReply(now time.Duration, k Key) (TargetID, bool) {
	return s.RecordReplyHash(now, k.Hash())
}

// RecordReplyHash is RecordReply for a caller that already has the hash of the key.
func (s *Shard) RecordReplyHash(now time.Duration, hash uint64) (TargetID, bool) {
	e := s.flows.find(usable(hash))
	if e == nil {
		return 0, false
	}
	e.longest = max(e.longest, e.unanswered)
	e.replied, e.seen, e.unanswered = ticks(now), ticks(now), 0
	e.flags |= flagAnswered
	s.replied[e.target] = s.replied[e.target].with(e.replied)
	return e.target, true
}

// Remove forgets a flow that has ended.
func (s *Shard) Remove(hash uint64) {
	if e := s.flows.find(usable(hash)); e != nil {
		s.drop(e)
	}
}

// Expire looks at the next n slots and forgets the flows in them that were idle
// for too long. A worker calls it between datagrams.
func (s *Shard) Expire(now time.Duration, n int) {
	t := ticks(now)
	for range min(n, len(s.flows.entries)) {
		// Another entry may move into the slot that is freed.
		for s.expired(t, &s.flows.entries[s.flows.cursor]) {
			s.stats.Expired++
			s.drop(&s.flows.entries[s.flows.cursor])
		}
		s.flows.cursor = s.flows.next(s.flows.cursor)
	}
}

func (s *Shard) expired(now uint32, e *entry) bool {
	return e.hash != 0 && now-max(e.seen, e.told) > s.idle(e)
}

func (s *Shard) idle(e *entry) uint32 {
	if e.flags&flagPinned != 0 {
		return ticks(s.cfg.PinIdle)
	}
	return ticks(s.cfg.Idle)
}

// CountRecentFlows counts the flows of each target of which a datagram came within the
// given time.
func (s *Shard) CountRecentFlows(now, within time.Duration) map[TargetID]int {
	out := make(map[TargetID]int)
	since := ticks(max(now-within, 0))
	for i := range s.flows.entries {
		e := &s.flows.entries[i]
		if e.flags&flagCounted != 0 && e.seen >= since {
			out[e.target]++
		}
	}
	return out
}

// Target returns the target of a flow that the shard holds.
func (s *Shard) Target(hash uint64) (TargetID, bool) {
	if e := s.flows.find(usable(hash)); e != nil {
		return e.target, true
	}
	return 0, false
}

// Size returns the memory that the shard holds, in bytes.
func (s *Shard) Size() int {
	const pinSize = 16
	return len(s.flows.entries)*entrySize + 2*len(s.callers.rows)*len(s.callers.rows[0]) + pinSize*cap(s.fresh)
}
