package member

import (
	"slices"
	"strings"
	"time"
)

// State is the state that one balancer assigns to a member.
type State string

// The states of a member.
const (
	// StateLive is the state of a member that replies to heartbeats.
	StateLive State = "live"
	// StateSuspect is the state of a member that has missed replies and may still refute
	// the suspicion. It still accepts new work.
	StateSuspect State = "suspect"
	// StateLeaving is the state of a member that accepts no new work.
	StateLeaving State = "leaving"
	// StateUnreachable is the state of a member that has not refuted a suspicion in time,
	// or whose whole domain does not answer.
	StateUnreachable State = "unreachable"
)

// Entry is one member of a view.
type Entry struct {
	Member
	State State `json:"state"`
	// Since is the time at which the state began, on the clock of the core.
	Since time.Duration `json:"since"`
}

// AcceptsWork reports whether the member accepts new work.
func (e Entry) AcceptsWork() bool {
	return e.State == StateLive || e.State == StateSuspect
}

// View is an immutable list of all known members. The zero View is empty.
type View struct {
	// Number grows by one with each change.
	Number uint64 `json:"number"`
	// Entries are sorted by name. They must not be changed.
	Entries []Entry `json:"entries"`

	// serving has the members that accept new work, by domain.
	serving map[string][]Member
}

// NewView returns a view of the given entries.
func NewView(number uint64, entries []Entry) View {
	v := View{Number: number, Entries: slices.Clone(entries), serving: make(map[string][]Member)}
	slices.SortFunc(v.Entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	for _, e := range v.Entries {
		if e.AcceptsWork() {
			v.serving[e.Domain] = append(v.serving[e.Domain], e.Member)
		}
	}
	return v
}

// With returns a copy of v with the next number, in which e replaces the entry
// of the same name or is added.
func (v View) With(e Entry) View {
	return NewView(v.Number+1, append(v.entriesWithout(e.Name), e))
}

// Without returns a copy of v with the next number and no entry called name.
func (v View) Without(name string) View {
	return NewView(v.Number+1, v.entriesWithout(name))
}

// entriesWithout returns a copy of the entries without the one called name.
func (v View) entriesWithout(name string) []Entry {
	return slices.DeleteFunc(slices.Clone(v.Entries), func(e Entry) bool { return e.Name == name })
}

// Entry returns the entry called name, and whether there is one.
func (v View) Entry(name string) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(v.Entries, name, func(e Entry, n string) int { return strings.Compare(e.Name, n) })
	if !ok {
		return Entry{}, false
	}
	return v.Entries[i], true
}

// Serving returns the members of a domain that accept new work, sorted by name. The caller
// must not modify the result.
func (v View) Serving(domain string) []Member {
	return v.serving[domain]
}

// Domains returns the names of all domains, sorted.
func (v View) Domains() []string {
	var names []string
	for _, e := range v.Entries {
		names = append(names, e.Domain)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
