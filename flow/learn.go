package flow

import "time"

// CollectedFlow is a flow that deviates from the newest table.
type CollectedFlow struct {
	Pin Pin
	// Owner is the name of the member that decides on the flow.
	Owner string
	// IsAnnounced is set when the home has told all members before.
	IsAnnounced bool
}

// DrainPins returns the pins that the shard made since the last call, and
// forgets them. The result is valid until the next Route.
func (s *Shard) DrainPins() []Pin {
	pins := s.fresh
	s.fresh = s.fresh[:0]
	return pins
}

// Collect returns every flow that deviates from the newest table, and marks
// those of which this member is the home as told. They include the pins that
// DrainPins has not yet returned.
func (s *Shard) Collect(now time.Duration) []CollectedFlow {
	if s.snap == nil {
		return nil
	}
	s.untell()
	var out []CollectedFlow
	e := s.snap.newest()
	grown := s.snap.grown()
	for i := range s.flows.entries {
		f := &s.flows.entries[i]
		if f.hash == 0 {
			continue
		}
		if !e.deviates(f.hash, f.target) {
			if grown {
				// The newcomers are not told of it now, so it has to be told
				// again when it deviates.
				f.flags &^= flagTold
			}
			continue
		}
		home := s.snap.epochs[0].home(f.hash, s.snap.skip)
		told := f.flags&flagTold != 0 && !s.snap.orphaned(f.hash)
		if home >= 0 && home == s.snap.self {
			f.flags |= flagTold
		}
		f.flags |= flagPinned
		f.told = ticks(now)
		out = append(out, CollectedFlow{Pin: f.pin(), Owner: s.snap.member(home), IsAnnounced: told})
	}
	return out
}

// untell takes back the pins that wait for DrainPins.
func (s *Shard) untell() {
	for _, p := range s.fresh {
		if e := s.flows.find(p.Hash); e != nil {
			e.flags &^= flagTold
		}
	}
	s.fresh = s.fresh[:0]
}

// Learn takes pins that all members are told.
func (s *Shard) Learn(now time.Duration, pins []Pin) {
	for _, p := range pins {
		if e := s.learn(now, p); e != nil {
			e.flags |= flagTold
		}
	}
}

// LearnUnannounced takes pins that only this member was told. Collect returns them as
// not told.
func (s *Shard) LearnUnannounced(now time.Duration, pins []Pin) {
	for _, p := range pins {
		if e := s.flows.find(usable(p.Hash)); e != nil && e.target != p.Target {
			e.flags &^= flagTold
		}
		s.learn(now, p)
	}
}

// learn takes a pin, and returns its entry, nil if there is no room.
func (s *Shard) learn(now time.Duration, p Pin) *entry {
	e := s.flows.find(usable(p.Hash))
	if e == nil {
		e = s.flows.insert(usable(p.Hash))
	}
	if e == nil {
		s.stats.Refused++
		return nil
	}
	e.target = p.Target
	e.flags |= flagPinned
	e.told = ticks(now)
	return e
}

// CollectHandover returns every flow of which a datagram came here, with its home
// among the other members.
func (s *Shard) CollectHandover() []CollectedFlow {
	var out []CollectedFlow
	for i := range s.flows.entries {
		f := &s.flows.entries[i]
		if f.hash == 0 || f.flags&flagCounted == 0 {
			continue
		}
		c := s.snap.ask(f.hash, ReasonNone)
		out = append(out, CollectedFlow{Pin: f.pin(), Owner: s.snap.member(c.member)})
	}
	return out
}

// LearnHandover takes flows that a leaving member handed over.
func (s *Shard) LearnHandover(now time.Duration, known []Pin) {
	for _, p := range known {
		if s.flows.find(usable(p.Hash)) != nil {
			continue
		}
		if e := s.flows.insert(usable(p.Hash)); e != nil {
			e.target, e.seen = p.Target, ticks(now)
		}
	}
}

// AdoptPin takes the pin that a member returned for a hop, and reports whether
// the flow was taken in.
func (s *Shard) AdoptPin(now time.Duration, k Key, p Pin) bool {
	if s.snap == nil || s.flows.find(usable(p.Hash)) != nil {
		return false
	}
	return s.open(now, k, usable(p.Hash), p.Target).Action == Forward
}

// MaxHops is the number of times that a datagram may hop.
const MaxHops = 2

// RouteHop decides on a datagram that came from another member, which had
// reason to ask, after the given number of hops.
func (s *Shard) RouteHop(now time.Duration, k Key, reason Reason, hops int) Decision {
	if _, known := s.Target(k.Hash()); reason == ReasonLookup && !known {
		return Decision{Reason: ReasonExcluded}
	}
	if hash := k.Hash(); reason == ReasonSilent && !s.replyingTo(now, usable(hash)) {
		s.Remove(hash)
		s.stats.Silent++
		return Decision{Action: Reset, Reason: ReasonSilent}
	}
	v := s.Route(now, k)
	if v.Action == Hop && hops >= MaxHops {
		return Decision{Reason: ReasonHops}
	}
	return v
}

// replyingTo reports whether a reply to the flow was seen here lately.
func (s *Shard) replyingTo(now time.Duration, hash uint64) bool {
	e := s.flows.find(hash)
	return e != nil && e.flags&flagAnswered != 0 && ticks(now)-e.replied <= ticks(s.cfg.UnansweredTimeout)
}
