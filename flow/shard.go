package flow

import "time"

// tick is the unit of the times in an entry.
const tick = 100 * time.Millisecond

// ticks returns a duration in units of tick, rounded down.
func ticks(d time.Duration) uint32 {
	return uint32(d / tick)
}

// Shard stores the flows of one traffic worker and routes their datagrams. It is not
// safe for concurrent use: one worker owns it at a time.
type Shard struct {
	cfg       ShardConfig
	snapshot  *Snapshot
	flows     entryTable
	callers   callerSketch
	replyRuns map[TargetID]replyRun
	// newPins are the pins that wait for DrainPins.
	newPins []Pin
	// lookups counts the datagrams of unknown flows whose target is excluded, by
	// flow hash.
	lookups map[uint64]uint8
	stats   Stats
}

// Stats holds the counters of a shard.
type Stats struct {
	// Open is the number of flows and pins in the shard.
	Open int
	// Opened counts the flows that were opened, Expired those that were removed as
	// idle, Silent those that were ended because their target no longer replied to
	// them, and Refused the flows and pins for which a limit left no room.
	Opened, Expired, Silent, Refused uint64
	// Hops counts datagrams that were sent to another member.
	Hops uint64
}

// maxNewPins is the largest number of pins that wait for DrainPins. A pin beyond this
// number is announced after the next Collect.
const maxNewPins = 1 << 12

// NewShard returns an empty shard, which drops every datagram until the first Apply.
func NewShard(cfg ShardConfig) *Shard {
	cfg = cfg.withDefaults()
	return &Shard{
		cfg:       cfg,
		flows:     newEntryTable(cfg.MaxFlows),
		callers:   newCallerSketch(cfg.MaxFlows/2, cfg.MaxCallerFlows),
		replyRuns: make(map[TargetID]replyRun),
		newPins:   make([]Pin, 0, maxNewPins),
		lookups:   make(map[uint64]uint8),
	}
}

// Apply replaces the snapshot by which the shard routes.
func (s *Shard) Apply(snapshot *Snapshot) {
	s.snapshot = snapshot
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

// RouteHash is Route with the hash of k, so that it is not computed again.
func (s *Shard) RouteHash(now time.Duration, k Key, hash uint64) Decision {
	if s.snapshot == nil {
		return Decision{Reason: ReasonNoService}
	}
	service, ok := s.snapshot.serviceIndex(k.Address)
	if !ok {
		return Decision{Reason: ReasonNoService}
	}
	hash = nonZeroHash(hash)
	if e := s.flows.find(hash); e != nil {
		return s.routeKnown(now, k, e, service)
	}
	c := s.snapshot.choose(now, service, hash)
	if c.reason != ReasonNone {
		return s.hopDecision(c)
	}
	if c.isFallback {
		if n := s.countLookup(hash); n < maxLookups {
			return s.hopDecision(s.snapshot.nextLookup(hash, n))
		}
		delete(s.lookups, hash)
	}
	return s.openFlow(now, k, hash, c.target)
}

// An unknown flow whose target is excluded may be an established one that another
// member knows. Its owner sends the datagrams of the flow as lookup hops to the other
// members in turn, so that a datagram that the caller repeats may reach a member that
// knows the flow and can still reach the target.
const (
	// maxLookups is the number of datagrams after which a flow opens on another target:
	// the last of them opens it, and those before it are sent as lookup hops.
	maxLookups = 8
	// maxLookupFlows is the number of flows in Shard.lookups at which the map is cleared.
	maxLookupFlows = 1 << 12
)

// countLookup counts a datagram of an unknown flow whose target is excluded, and
// returns the number of such datagrams of the flow so far.
func (s *Shard) countLookup(hash uint64) int {
	if len(s.lookups) >= maxLookupFlows {
		clear(s.lookups)
	}
	s.lookups[hash]++
	return int(s.lookups[hash])
}

// hopDecision returns the decision for a choice without a target: a hop to the
// member of the choice, or a drop if it has none.
func (s *Shard) hopDecision(c choice) Decision {
	if c.member < 0 {
		return Decision{Reason: c.reason}
	}
	s.stats.Hops++
	return Decision{Action: Hop, Reason: c.reason, Member: s.snapshot.memberName(c.member)}
}

// routeKnown routes a datagram of a flow that is in the shard.
func (s *Shard) routeKnown(now time.Duration, k Key, e *entry, service int) Decision {
	t, ok := s.snapshot.newest().targets[e.target]
	if !ok || t.service != s.snapshot.newest().services[service].name || s.snapshot.newest().down[e.target] {
		s.removeEntry(e)
		return Decision{Action: Reset, Reason: ReasonTargetRemoved}
	}
	e.activeAt = ticks(now)
	if e.flags&flagCounted == 0 && s.callers.tryAdd(k.callerHash()) {
		e.caller = k.callerHash()
		e.flags |= flagCounted
	}
	if s.isUnanswered(now, e) {
		if c := s.snapshot.lookupHop(e.hash, ReasonSilent); c.member >= 0 {
			return s.hopDecision(c)
		}
		s.stats.Silent++
		s.removeEntry(e)
		return Decision{Action: Reset, Reason: ReasonSilent}
	}
	// The counter stops at 1<<15, so that it cannot overflow.
	e.unanswered += 1 - e.unanswered>>15
	if e.flags&flagPinned != 0 && e.activeAt-e.announcedAt > ticks(s.cfg.PinIdleTimeout/2) {
		s.queuePin(e)
	}
	return Decision{Action: Forward, Address: t.address, Pin: e.pin()}
}

// openFlow adds a flow that is not in the shard, unless its target is unknown or down
// or a limit is reached.
func (s *Shard) openFlow(now time.Duration, k Key, hash uint64, target TargetID) Decision {
	t, ok := s.snapshot.newest().targets[target]
	if !ok || s.snapshot.newest().down[target] {
		return Decision{Action: Reset, Reason: ReasonTargetRemoved}
	}
	caller := k.callerHash()
	if s.flows.used >= s.flows.limit {
		s.stats.Refused++
		return Decision{Reason: ReasonShardFull}
	}
	if !s.callers.tryAdd(caller) {
		s.stats.Refused++
		return Decision{Reason: ReasonCallerLimit}
	}
	e := s.flows.insert(hash)
	e.target, e.caller, e.activeAt, e.flags = target, caller, ticks(now), flagCounted
	s.stats.Opened++
	if s.snapshot.newest().deviates(hash, target) {
		e.flags |= flagPinned
		e.announcedAt = e.activeAt
		if s.snapshot.ownerOf(hash) == s.snapshot.self {
			s.queuePin(e)
		}
	}
	return Decision{Action: Forward, Opened: true, Address: t.address, Pin: Pin{Hash: hash, Target: target}}
}

// queuePin queues a pin for DrainPins, unless maxNewPins are waiting.
func (s *Shard) queuePin(e *entry) {
	if len(s.newPins) == cap(s.newPins) {
		return
	}
	e.announcedAt = e.activeAt
	e.flags |= flagPinned | flagAnnounced
	s.newPins = append(s.newPins, e.pin())
}

// removeEntry removes a flow and its count against the caller's limit.
func (s *Shard) removeEntry(e *entry) {
	if e.flags&flagCounted != 0 {
		s.callers.release(e.caller)
	}
	s.flows.remove(e.hash)
}

// RecordReply records a reply of a target to a flow. It returns the target, or false
// if the flow is not in the shard.
func (s *Shard) RecordReply(now time.Duration, k Key) (TargetID, bool) {
	return s.RecordReplyHash(now, k.Hash())
}

// RecordReplyHash is RecordReply with the hash of the key, so that it is not computed
// again.
func (s *Shard) RecordReplyHash(now time.Duration, hash uint64) (TargetID, bool) {
	e := s.flows.find(nonZeroHash(hash))
	if e == nil {
		return 0, false
	}
	e.longestUnanswered = max(e.longestUnanswered, e.unanswered)
	e.repliedAt, e.activeAt, e.unanswered = ticks(now), ticks(now), 0
	e.flags |= flagAnswered
	s.replyRuns[e.target] = s.replyRuns[e.target].withReply(e.repliedAt)
	return e.target, true
}

// Remove removes a flow that has ended.
func (s *Shard) Remove(hash uint64) {
	if e := s.flows.find(nonZeroHash(hash)); e != nil {
		s.removeEntry(e)
	}
}

// Expire checks the next n slots and removes the flows in them whose idle time has
// passed. A worker calls it between datagrams. After the last slot it also removes the old
// reply runs.
func (s *Shard) Expire(now time.Duration, n int) {
	t := ticks(now)
	for range min(n, len(s.flows.entries)) {
		// Removing an entry may move another one into its slot.
		for s.isExpired(t, &s.flows.entries[s.flows.expireCursor]) {
			s.stats.Expired++
			s.removeEntry(&s.flows.entries[s.flows.expireCursor])
		}
		s.flows.expireCursor = s.flows.next(s.flows.expireCursor)
		if s.flows.expireCursor == 0 {
			s.removeOldReplyRuns(t)
		}
	}
}

// isExpired reports whether the slot has a flow whose idle time has passed. The time
// now is in ticks.
func (s *Shard) isExpired(now uint32, e *entry) bool {
	return e.hash != 0 && now-max(e.activeAt, e.announcedAt) > s.idleTimeout(e)
}

// idleTimeout returns the time after which an idle flow is removed, in ticks.
func (s *Shard) idleTimeout(e *entry) uint32 {
	if e.flags&flagPinned != 0 {
		return ticks(s.cfg.PinIdleTimeout)
	}
	return ticks(s.cfg.IdleTimeout)
}

// CountRecentFlows returns, for each target, the number of flows of which a datagram
// has arrived at this member and whose last datagram or reply is not older than the
// duration within.
func (s *Shard) CountRecentFlows(now, within time.Duration) map[TargetID]int {
	out := make(map[TargetID]int)
	since := ticks(max(now-within, 0))
	for i := range s.flows.entries {
		e := &s.flows.entries[i]
		if e.flags&flagCounted != 0 && e.activeAt >= since {
			out[e.target]++
		}
	}
	return out
}

// Target returns the target of a flow, and false if the flow is not in the shard.
func (s *Shard) Target(hash uint64) (TargetID, bool) {
	if e := s.flows.find(nonZeroHash(hash)); e != nil {
		return e.target, true
	}
	return 0, false
}

// Size returns the memory of the shard's flows, caller counters and pin queue, in
// bytes.
func (s *Shard) Size() int {
	const pinSize = 16
	return len(s.flows.entries)*entrySize + 2*len(s.callers.rows)*len(s.callers.rows[0]) + pinSize*cap(s.newPins)
}
