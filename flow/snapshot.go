package flow

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// Snapshot is the control state by which shards route datagrams. It is immutable. An
// EpochManager publishes a new one at each change.
type Snapshot struct {
	// epochs are the live epochs, oldest first.
	epochs []*Epoch
	// tables holds, for each service of the newest epoch, its table in each of
	// the live epochs.
	tables [][]*Table
	// minEpochIndexes holds, for each member of the oldest epoch, the index of the
	// oldest epoch by which flows that it owns may still be opened.
	minEpochIndexes []int
	// removed reports which members of the oldest epoch have lost their role in a
	// later one.
	removed []bool
	// unavailable reports which other members of the oldest epoch were removed or
	// are unreachable.
	unavailable []bool
	// activeIndex is the index of the epoch by which this member decides on the flows
	// that it owns.
	activeIndex int
	// self is the index of this member in the oldest epoch, or -1.
	self int
	// selfName is the name of this member, which may be missing from the oldest epoch.
	selfName string
	// openUntil is the time until which this member may open flows without a hop.
	openUntil time.Duration
	// excluded is the set of targets that get no new flows from this member.
	excluded   map[TargetID]bool
	drainTimes drainTimes
}

func (s *Snapshot) newest() *Epoch {
	return s.epochs[len(s.epochs)-1]
}

// memberName returns the name of the member with the index i in the oldest epoch, or
// "" if i is negative.
func (s *Snapshot) memberName(i int) string {
	if i < 0 {
		return ""
	}
	return s.oldest().members[i].Name
}

// oldest returns the epoch whose members decide on flows. A change of members takes
// effect once the epochs before it have retired.
func (s *Snapshot) oldest() *Epoch {
	return s.epochs[0]
}

// ownerOf returns the index in the oldest epoch of the member that decides on a
// flow, or -1 if none is available.
func (s *Snapshot) ownerOf(hash uint64) int {
	return s.oldest().ownerOf(hash, s.unavailable)
}

// ownersOf returns the name of the member that decides on a flow, and those of the other
// members that decide on it in later live epochs. If this member decides on it in a later
// live epoch, it returns this member's name only.
func (s *Snapshot) ownersOf(hash uint64) (string, []string) {
	owner := s.memberName(s.ownerOf(hash))
	var next []string
	for _, e := range s.epochs[1:] {
		i := e.ownerOf(hash, nil)
		if i < 0 {
			continue
		}
		switch name := e.members[i].Name; {
		case name == s.selfName:
			return name, nil
		case name != owner && !slices.Contains(next, name):
			next = append(next, name)
		}
	}
	return owner, next
}

// hasNewMembers reports whether the newest epoch has a member that is missing from
// the oldest one or lost its role there.
func (s *Snapshot) hasNewMembers() bool {
	for _, m := range s.newest().members {
		if i := s.oldest().memberIndex(m.Name); i < 0 || s.removed[i] {
			return true
		}
	}
	return false
}

// hasRemovedOwner reports whether the owner of a flow, chosen among all active
// members of the oldest epoch, has been removed.
func (s *Snapshot) hasRemovedOwner(hash uint64) bool {
	owner := s.oldest().ownerOf(hash, nil)
	return owner >= 0 && s.removed[owner]
}

// choice is the result of choosing a target for a flow that a shard does not know.
type choice struct {
	target TargetID
	// member is the index in the oldest epoch of the member that gets the datagram as
	// a hop, or -1.
	member int
	// reason is ReasonNone if target is set.
	reason Reason
	// isFallback reports whether target replaces an excluded target of the tables.
	isFallback bool
}

// choose returns the target of a flow that the shard does not know. If the reason of
// the result is not ReasonNone, the result has no target, but may have a member that
// may know the flow or decides on it.
func (s *Snapshot) choose(now time.Duration, service int, hash uint64) choice {
	if now > s.openUntil {
		return s.lookupHop(hash, ReasonStale)
	}
	tables := s.tables[service]
	if target, ok := commonTarget(tables, hash); ok {
		return s.replaceExcluded(service, hash, target)
	}
	owner := s.ownerOf(hash)
	if owner < 0 {
		return choice{member: -1, reason: ReasonNoMember}
	}
	if target, ok := commonTarget(tables[s.minEpochIndex(owner, hash):], hash); ok {
		return s.replaceExcluded(service, hash, target)
	}
	if owner != s.self {
		return choice{member: owner, reason: ReasonTablesDiffer}
	}
	return s.chooseAsOwner(now, service, hash)
}

// minEpochIndex returns the index of the oldest epoch by which a flow may still be opened.
// The parameter owner is the index in the oldest epoch of the member that decides on it.
// A member that decides on it in a later epoch may open it by an older table until it has
// activated the newer ones, because it may have retired the oldest epoch before this member.
func (s *Snapshot) minEpochIndex(owner int, hash uint64) int {
	index := s.minEpochIndexes[owner]
	for _, e := range s.epochs[1:] {
		next := e.ownerOf(hash, nil)
		if next < 0 {
			continue
		}
		i := s.oldest().memberIndex(e.members[next].Name)
		switch {
		case i < 0:
			return 0
		case !s.unavailable[i]:
			index = min(index, s.minEpochIndexes[i])
		}
	}
	return index
}

// chooseAsOwner chooses the target of a flow that this member owns. It chooses none
// if the target is past its drain grace: whether the unknown flow is a new one is
// only certain after the others have reported their pins. The caller repeats its
// datagrams until then.
func (s *Snapshot) chooseAsOwner(now time.Duration, service int, hash uint64) choice {
	target, ok := s.tables[service][s.activeIndex].Lookup(hash)
	if !ok {
		return choice{member: -1, reason: ReasonNoTarget}
	}
	if s.drainTimes.isPastGrace(now, target) {
		return choice{member: -1, reason: ReasonTablesDiffer}
	}
	return s.replaceExcluded(service, hash, target)
}

// commonTarget returns the target to which all tables assign a flow, and false if
// they differ or have none.
func commonTarget(tables []*Table, hash uint64) (TargetID, bool) {
	target, ok := tables[0].Lookup(hash)
	if !ok {
		return 0, false
	}
	for _, t := range tables[1:] {
		if o, ok := t.Lookup(hash); !ok || o != target {
			return 0, false
		}
	}
	return target, true
}

// replaceExcluded chooses the given target unless it is excluded. A flow on an
// excluded target goes to its owner, which chooses another target.
func (s *Snapshot) replaceExcluded(service int, hash uint64, target TargetID) choice {
	if !s.excluded[target] {
		return choice{target: target, member: -1}
	}
	owner := s.ownerOf(hash)
	if owner < 0 {
		return choice{member: -1, reason: ReasonNoMember}
	}
	if owner != s.self {
		return choice{member: owner, reason: ReasonExcluded}
	}
	other, ok := s.fallbackTarget(service, hash)
	if !ok {
		return choice{member: -1, reason: ReasonNoTarget}
	}
	return choice{target: other, member: -1, isFallback: true}
}

// fallbackTarget chooses the target of a flow by rendezvous hashing among the targets
// of the newest table that get new flows and are not excluded.
func (s *Snapshot) fallbackTarget(service int, hash uint64) (TargetID, bool) {
	t := s.tables[service][len(s.epochs)-1]
	if t == nil {
		return 0, false
	}
	var best TargetID
	bestScore := uint64(math.MaxUint64)
	for i, target := range t.targets {
		if s.excluded[target] || !t.acceptsNew(i) {
			continue
		}
		if score := mix(uint64(target) ^ hash); score < bestScore {
			best, bestScore = target, score
		}
	}
	return best, bestScore != math.MaxUint64
}

// lookupHop returns a hop to the other available owner with the lowest rendezvous
// score, which may know the flow. The hop has the given reason.
func (s *Snapshot) lookupHop(hash uint64, reason Reason) choice {
	e := s.oldest()
	best, bestScore := -1, uint64(math.MaxUint64)
	for _, o := range e.owners {
		if o.member == s.self || s.unavailable[o.member] {
			continue
		}
		if score := mix(o.seed ^ hash); score < bestScore {
			best, bestScore = o.member, score
		}
	}
	if best < 0 {
		return choice{member: -1, reason: ReasonNoMember}
	}
	return choice{member: best, reason: reason}
}

// serviceIndex returns the index of the service that has the flow address.
func (s *Snapshot) serviceIndex(address netip.AddrPort) (int, bool) {
	i, ok := s.newest().serviceByAddress[address]
	return i, ok
}

// tablesByService returns, for each service of the newest epoch, its tables in all
// epochs.
func tablesByService(epochs []*Epoch) [][]*Table {
	newest := epochs[len(epochs)-1]
	out := make([][]*Table, len(newest.services))
	for i, s := range newest.services {
		for _, e := range epochs {
			out[i] = append(out[i], e.Table(s.name))
		}
		// A service that is missing from an epoch had no flows then, so its first
		// table is used for that epoch.
		first := slices.IndexFunc(out[i], func(t *Table) bool { return t != nil })
		for k := range first {
			out[i][k] = out[i][first]
		}
	}
	return out
}

// NewStandaloneSnapshot returns a snapshot of a single epoch for the member named
// self, which may open flows at any time. It is meant for a fleet of one member.
func NewStandaloneSnapshot(e *Epoch, self string) *Snapshot {
	epochs := []*Epoch{e}
	return &Snapshot{
		epochs:          epochs,
		tables:          tablesByService(epochs),
		minEpochIndexes: make([]int, len(e.members)),
		removed:         make([]bool, len(e.members)),
		unavailable:     make([]bool, len(e.members)),
		self:            e.memberIndex(self),
		openUntil:       math.MaxInt64,
	}
}
