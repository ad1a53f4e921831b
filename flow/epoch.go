package flow

import (
	"maps"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wisteriaweir/service"
)

// State is the part that a member plays in an epoch.
type State int

const (
	// Active members carry traffic and are homes of flows.
	Active State = iota
	// Joining members take the pins and are not yet homes.
	Joining
	// Leaving members still carry traffic and tell what they know; they are no
	// longer homes.
	Leaving
)

// Member is one life of a balancer.
type Member struct {
	Name  string
	Life  uint64
	State State
}

// EpochConfig holds what an epoch is computed from. Balancers that hold the
// same number must hold the same content.
type EpochConfig struct {
	// Number orders the epochs: every change of configuration, eligible
	// targets, shares or members takes the next number.
	Number uint64
	Config service.Config
	// Members are the balancers of all failure domains.
	Members []Member
	// Shares replaces the share of single targets; the others have their weight
	// times ShareUnit, and draining ones have 0.
	Shares map[TargetID]int
	// Down marks targets that are lost: they get nothing new, and their flows
	// are ended.
	Down map[TargetID]bool
}

// Epoch is one numbered state of tables and members. It is immutable.
type Epoch struct {
	number  uint64
	members []Member
	// places holds the index of each member by name.
	places   map[string]int
	homes    []home
	services []epochService
	targets  map[TargetID]endpoint
	byAddr   map[netip.AddrPort]int
	down     map[TargetID]bool
}

type home struct {
	member int
	seed   uint64
}

type epochService struct {
	name   string
	shares []Share
	table  *Table
}

type endpoint struct {
	at      netip.AddrPort
	domain  string
	service string
}

// NewEpoch computes an epoch. Tables of previous (which may be nil) whose
// shares did not change are taken over.
func NewEpoch(cfg EpochConfig, previous *Epoch) *Epoch {
	e := &Epoch{
		number:  cfg.Number,
		members: slices.Clone(cfg.Members),
		places:  make(map[string]int, len(cfg.Members)),
		targets: make(map[TargetID]endpoint),
		byAddr:  make(map[netip.AddrPort]int),
		down:    maps.Clone(cfg.Down),
	}
	for i, m := range e.members {
		e.places[m.Name] = i
		if m.State == Active {
			e.homes = append(e.homes, home{member: i, seed: xxhash.Sum64String(m.Name)})
		}
	}
	for i, s := range cfg.Config.Services {
		e.addService(i, s, cfg, previous)
	}
	return e
}

func (e *Epoch) addService(i int, s service.Service, cfg EpochConfig, previous *Epoch) {
	es := epochService{name: s.Name}
	for _, t := range s.Pool {
		id := NewTargetID(s.Name, t.Name)
		e.targets[id] = endpoint{at: t.Address, domain: t.Domain, service: s.Name}
		es.shares = append(es.shares, Share{Target: id, Base: t.Weight * ShareUnit, Share: shareOf(id, t, cfg)})
	}
	for _, a := range s.Addresses {
		if a.Mode == service.ModeFlow {
			e.byAddr[a.AddrPort] = i
		}
	}
	if old := previous.service(s.Name); old != nil && slices.Equal(old.shares, es.shares) {
		es.table = old.table
	} else {
		es.table = NewTable(es.shares)
	}
	e.services = append(e.services, es)
}

func shareOf(id TargetID, t service.Target, cfg EpochConfig) int {
	if t.Drain || cfg.Down[id] {
		return 0
	}
	if n, ok := cfg.Shares[id]; ok {
		return n
	}
	return t.Weight * ShareUnit
}

func (e *Epoch) service(name string) *epochService {
	if e == nil {
		return nil
	}
	for i := range e.services {
		if e.services[i].name == name {
			return &e.services[i]
		}
	}
	return nil
}

// Number returns the place of the epoch in their order.
func (e *Epoch) Number() uint64 {
	return e.number
}

// Members returns the members of the epoch.
func (e *Epoch) Members() []Member {
	return slices.Clone(e.members)
}

// Targets returns the addresses of all targets.
func (e *Epoch) Targets() map[TargetID]netip.AddrPort {
	out := make(map[TargetID]netip.AddrPort, len(e.targets))
	for id, t := range maps.All(e.targets) {
		out[id] = t.at
	}
	return out
}

// Table returns the table of a service, or nil.
func (e *Epoch) Table(name string) *Table {
	if s := e.service(name); s != nil {
		return s.table
	}
	return nil
}

// home returns the index of the member that decides on flow hash, by
// rendezvous over the active members for which skip is not set, or -1.
func (e *Epoch) home(hash uint64, skip []bool) int {
	best, bestScore := -1, uint64(math.MaxUint64)
	for _, h := range e.homes {
		if skip != nil && skip[h.member] {
			continue
		}
		if score := mix(h.seed ^ hash); score < bestScore {
			best, bestScore = h.member, score
		}
	}
	return best
}

func (e *Epoch) member(name string) int {
	if i, ok := e.places[name]; ok {
		return i
	}
	return -1
}

// gone marks the members of the oldest of epochs that have lost their part
// since: they are missing in a later epoch, or in another life, or join again.
// What they were told as homes counts for nothing.
func gone(epochs []*Epoch) []bool {
	out := make([]bool, len(epochs[0].members))
	for i, m := range epochs[0].members {
		out[i] = slices.ContainsFunc(epochs[1:], func(e *Epoch) bool { return !e.keeps(m) })
	}
	return out
}

// keeps reports whether m has kept its part in e.
func (e *Epoch) keeps(m Member) bool {
	i := e.member(m.Name)
	return i >= 0 && e.members[i].Life == m.Life && (e.members[i].State != Joining || m.State == Joining)
}

// deviates reports whether a flow on target is not where the table of the
// target's service puts it.
func (e *Epoch) deviates(hash uint64, target TargetID) bool {
	t, ok := e.targets[target]
	if !ok || e.down[target] {
		return false
	}
	want, ok := e.Table(t.service).Lookup(hash)
	return !ok || want != target
}
