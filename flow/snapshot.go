package flow

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// Snapshot is what shards route by. It is immutable; an EpochManager publishes a
// new one at each change.
type Snapshot struct {
	// epochs are the live ones, oldest first; the last is the newest.
	epochs []*Epoch
	// tables holds, for each service of the newest epoch, its table in each of
	// the live epochs.
	tables [][]*Table
	// floors holds, for each member of the oldest epoch, the index of the
	// oldest epoch by which flows of which it is the home may still be opened.
	floors []int
	// gone marks the members of the oldest epoch that have lost their part since,
	// skip those and the others that cannot be asked.
	gone []bool
	skip []bool
	// decide is the index of the epoch by which this member decides on flows of
	// which it is the home.
	decide int
	// self is the index of this member in the oldest epoch, or -1.
	self int
	// fresh is the time until which this member may open flows without a hop.
	fresh time.Duration
	// excluded marks targets that get nothing new.
	excluded map[TargetID]bool
	closed   closings
}

func (p *Snapshot) newest() *Epoch {
	return p.epochs[len(p.epochs)-1]
}

func (p *Snapshot) member(i int) string {
	if i < 0 {
		return ""
	}
	return p.oldest().members[i].Name
}

// oldest returns the epoch whose members decide on flows: a change of members
// counts once the epochs before it have retired.
func (p *Snapshot) oldest() *Epoch {
	return p.epochs[0]
}

func (p *Snapshot) home(hash uint64) int {
	return p.oldest().home(hash, p.skip)
}

// grown reports whether the newest epoch has a member that the oldest lacks.
func (p *Snapshot) grown() bool {
	for _, m := range p.newest().members {
		if i := p.oldest().member(m.Name); i < 0 || p.gone[i] {
			return true
		}
	}
	return false
}

// orphaned reports whether the home of a flow is gone.
func (p *Snapshot) orphaned(hash uint64) bool {
	home := p.oldest().home(hash, nil)
	return home >= 0 && p.gone[home]
}

// choice is the outcome of a look-up of a flow that a shard does not know.
type choice struct {
	target TargetID
	member int
	reason Reason
	// fallback is set when target is not the one of a table.
	fallback bool
}

// choose finds the target of a flow that is not known here, or the member that
// may know it (choice.member, when reason is not ReasonNone).
func (p *Snapshot) choose(now time.Duration, service int, hash uint64) choice {
	if now > p.fresh {
		return p.ask(hash, ReasonStale)
	}
	tables := p.tables[service]
	if target, ok := agree(tables, hash); ok {
		return p.unlessExcluded(service, hash, target)
	}
	home := p.home(hash)
	if home < 0 {
		return choice{member: -1, reason: ReasonNoMember}
	}
	if target, ok := agree(tables[p.floors[home]:], hash); ok {
		return p.unlessExcluded(service, hash, target)
	}
	if home != p.self {
		return choice{member: home, reason: ReasonTablesDiffer}
	}
	return p.byOwnTable(now, service, hash)
}

// byOwnTable decides as the home of a flow. On a target that has long taken
// nothing new it opens none: whether an unknown flow is a new one is known once
// the others have told what they know, and its caller repeats until then.
func (p *Snapshot) byOwnTable(now time.Duration, service int, hash uint64) choice {
	target, ok := p.tables[service][p.decide].Lookup(hash)
	if !ok {
		return choice{member: -1, reason: ReasonNoTarget}
	}
	if p.closed.late(now, target) {
		return choice{member: -1, reason: ReasonTablesDiffer}
	}
	return p.unlessExcluded(service, hash, target)
}

// agree returns the target that all tables name.
func agree(tables []*Table, hash uint64) (TargetID, bool) {
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

// unlessExcluded sends a flow whose target gets nothing new to the flow's home,
// which picks another target.
func (p *Snapshot) unlessExcluded(service int, hash uint64, target TargetID) choice {
	if !p.excluded[target] {
		return choice{target: target, member: -1}
	}
	home := p.home(hash)
	if home < 0 {
		return choice{member: -1, reason: ReasonNoMember}
	}
	if home != p.self {
		return choice{member: home, reason: ReasonExcluded}
	}
	other, ok := p.fallback(service, hash)
	if !ok {
		return choice{member: -1, reason: ReasonNoTarget}
	}
	return choice{target: other, member: -1, fallback: true}
}

// fallback picks the target of a flow among those of the newest table that are
// not excluded, by rendezvous.
func (p *Snapshot) fallback(service int, hash uint64) (TargetID, bool) {
	t := p.tables[service][len(p.epochs)-1]
	if t == nil {
		return 0, false
	}
	var best TargetID
	bestScore := uint64(math.MaxUint64)
	for i, target := range t.targets {
		if p.excluded[target] || !t.takes(i) {
			continue
		}
		if score := mix(uint64(target) ^ hash); score < bestScore {
			best, bestScore = target, score
		}
	}
	return best, bestScore != math.MaxUint64
}

// ask returns the best-ranked other member that may know a flow.
func (p *Snapshot) ask(hash uint64, reason Reason) choice {
	e := p.oldest()
	best, bestScore := -1, uint64(math.MaxUint64)
	for _, h := range e.homes {
		if h.member == p.self || p.skip[h.member] {
			continue
		}
		if score := mix(h.seed ^ hash); score < bestScore {
			best, bestScore = h.member, score
		}
	}
	if best < 0 {
		return choice{member: -1, reason: ReasonNoMember}
	}
	return choice{member: best, reason: reason}
}

// service returns the index of the service that owns a flow address.
func (p *Snapshot) service(address netip.AddrPort) (int, bool) {
	i, ok := p.newest().byAddr[address]
	return i, ok
}

// newTables lines up the tables of the newest epoch's services in all epochs.
func newTables(epochs []*Epoch) [][]*Table {
	newest := epochs[len(epochs)-1]
	out := make([][]*Table, len(newest.services))
	for i, s := range newest.services {
		for _, e := range epochs {
			out[i] = append(out[i], e.Table(s.name))
		}
		// A service that an epoch lacks had no flow then.
		first := slices.IndexFunc(out[i], func(t *Table) bool { return t != nil })
		for k := range first {
			out[i][k] = out[i][first]
		}
	}
	return out
}

// NewStandaloneSnapshot returns the snapshot of a member that is alone.
func NewStandaloneSnapshot(e *Epoch, self string) *Snapshot {
	epochs := []*Epoch{e}
	return &Snapshot{
		epochs: epochs,
		tables: newTables(epochs),
		floors: make([]int, len(e.members)),
		gone:   make([]bool, len(e.members)),
		skip:   make([]bool, len(e.members)),
		self:   e.member(self),
		fresh:  math.MaxInt64,
	}
}
