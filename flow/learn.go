package flow

import "time"

// CollectedFlow is a flow that Shard.Collect or Shard.CollectHandover returns.
type CollectedFlow struct {
	Pin Pin
	// Owner is the name of the member that decides on the flow, "" if there is none. It
	// is this member if it decides on the flow in any live epoch.
	Owner string
	// NextOwners are the names of the other members that decide on the flow in later live
	// epochs. Members that have retired the older epochs consider one of them the owner.
	NextOwners []string
	// IsAnnounced reports whether the owner has announced the pin to all members
	// before.
	IsAnnounced bool
}

// DrainPins returns the pins that the shard has created since the last call and
// removes them from its queue. The result is valid until the next Route.
func (s *Shard) DrainPins() []Pin {
	pins := s.newPins
	s.newPins = s.newPins[:0]
	return pins
}

// Collect returns every flow that deviates from the newest table and marks those
// that this member owns as announced. The result includes the pins that DrainPins
// has not returned yet, and the queue of DrainPins is empty afterwards.
func (s *Shard) Collect(now time.Duration) []CollectedFlow {
	if s.snapshot == nil {
		return nil
	}
	s.unmarkAnnounced()
	var out []CollectedFlow
	e := s.snapshot.newest()
	hasNewMembers := s.snapshot.hasNewMembers()
	for i := range s.flows.entries {
		f := &s.flows.entries[i]
		if f.hash == 0 {
			continue
		}
		if !e.deviates(f.hash, f.target) {
			if hasNewMembers {
				// The flow is not announced to the new members now, so it has to
				// be announced again when it deviates.
				f.flags &^= flagAnnounced
			}
			continue
		}
		owner, nextOwners := s.snapshot.ownersOf(f.hash)
		isAnnounced := f.flags&flagAnnounced != 0 && !s.snapshot.hasRemovedOwner(f.hash)
		if owner == s.snapshot.selfName && owner != "" {
			f.flags |= flagAnnounced
		}
		f.flags |= flagPinned
		f.announcedAt = ticks(now)
		out = append(out, CollectedFlow{Pin: f.pin(), Owner: owner, NextOwners: nextOwners, IsAnnounced: isAnnounced})
	}
	return out
}

// unmarkAnnounced removes the pins that wait for DrainPins and clears their
// announced flags.
func (s *Shard) unmarkAnnounced() {
	for _, p := range s.newPins {
		if e := s.flows.find(p.Hash); e != nil {
			e.flags &^= flagAnnounced
		}
	}
	s.newPins = s.newPins[:0]
}

// Learn stores pins that are announced to all members.
func (s *Shard) Learn(now time.Duration, pins []Pin) {
	for _, p := range pins {
		if e := s.storePin(now, p); e != nil {
			e.flags |= flagAnnounced
		}
	}
}

// LearnUnannounced stores pins that were not announced to all members. Collect returns
// them as unannounced, unless this shard already has the same pin as announced.
func (s *Shard) LearnUnannounced(now time.Duration, pins []Pin) {
	for _, p := range pins {
		if e := s.flows.find(nonZeroHash(p.Hash)); e != nil && e.target != p.Target {
			e.flags &^= flagAnnounced
		}
		s.storePin(now, p)
	}
}

// storePin stores a pin and returns its entry, or nil if there is no room.
func (s *Shard) storePin(now time.Duration, p Pin) *entry {
	e := s.flows.find(nonZeroHash(p.Hash))
	if e == nil {
		e = s.flows.insert(nonZeroHash(p.Hash))
	}
	if e == nil {
		s.stats.Refused++
		return nil
	}
	e.target = p.Target
	e.flags |= flagPinned
	e.announcedAt = ticks(now)
	return e
}

// CollectHandover returns every flow of which a datagram arrived at this member while
// the caller was below its limit. The Owner is the one of the other available owners
// that has the lowest rendezvous score for the flow.
func (s *Shard) CollectHandover() []CollectedFlow {
	var out []CollectedFlow
	for i := range s.flows.entries {
		f := &s.flows.entries[i]
		if f.hash == 0 || f.flags&flagCounted == 0 {
			continue
		}
		c := s.snapshot.lookupHop(f.hash, ReasonNone)
		out = append(out, CollectedFlow{Pin: f.pin(), Owner: s.snapshot.memberName(c.member)})
	}
	return out
}

// LearnHandover stores flows that a leaving member handed over. A flow that the
// shard already has keeps its target.
func (s *Shard) LearnHandover(now time.Duration, flows []Pin) {
	for _, p := range flows {
		if s.flows.find(nonZeroHash(p.Hash)) != nil {
			continue
		}
		if e := s.flows.insert(nonZeroHash(p.Hash)); e != nil {
			e.target, e.activeAt = p.Target, ticks(now)
		}
	}
}

// AdoptPin opens a flow with the pin that another member returned for a hop. It
// reports whether the flow was opened: it is not if the shard already has the flow, if
// a limit is reached, if the target is unknown or down, or before the first Apply.
func (s *Shard) AdoptPin(now time.Duration, k Key, p Pin) bool {
	if s.snapshot == nil || s.flows.find(nonZeroHash(p.Hash)) != nil {
		return false
	}
	return s.openFlow(now, k, nonZeroHash(p.Hash), p.Target).Action == Forward
}

// MaxHops is the largest number of hops of a datagram.
const MaxHops = 2

// RouteHop decides on a datagram that another member sent here for the given reason.
// The parameter hops is the number of hops so far. A lookup hop for an unknown flow is
// dropped. A hop with ReasonSilent ends the flow unless this member has observed a
// recent reply to it.
func (s *Shard) RouteHop(now time.Duration, k Key, reason Reason, hops int) Decision {
	if _, isKnown := s.Target(k.Hash()); reason == ReasonLookup && !isKnown {
		return Decision{Reason: ReasonExcluded}
	}
	if hash := k.Hash(); reason == ReasonSilent && !s.hasRecentReply(now, nonZeroHash(hash)) {
		s.Remove(hash)
		s.stats.Silent++
		return Decision{Action: Reset, Reason: ReasonSilent}
	}
	v := s.Route(now, k)
	if v.Action == Hop && hops >= MaxHops {
		return Decision{Reason: ReasonHopLimit}
	}
	return v
}

// hasRecentReply reports whether this member observed a reply to the flow within
// the UnansweredTimeout.
func (s *Shard) hasRecentReply(now time.Duration, hash uint64) bool {
	e := s.flows.find(hash)
	return e != nil && e.flags&flagAnswered != 0 && ticks(now)-e.repliedAt <= ticks(s.cfg.UnansweredTimeout)
}
