package flow

import (
	"maps"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wisteriaweir/service"
)

// State is the role of a member in an epoch.
type State int

const (
	// Active members carry traffic and own flows.
	Active State = iota
	// Joining members receive the pins and do not own flows yet.
	Joining
	// Leaving members still carry traffic and report the pins that they know. They
	// no longer own flows.
	Leaving
)

// Member is one process instance of a balancer, identified by its start time Life.
type Member struct {
	Name  string
	Life  uint64
	State State
}

// EpochConfig is the input from which an epoch is computed. All balancers must use the
// same content for the same Number.
type EpochConfig struct {
	// Number orders the epochs. Every change of the configuration, of eligible
	// targets, of shares or of members gets the next number.
	Number uint64
	Config service.Config
	// Members are the balancers of all failure domains.
	Members []Member
	// Shares overrides the shares of single targets. The share of another target is
	// its weight times ShareUnit. A draining target always has a share of 0.
	Shares map[TargetID]int
	// DownTargets is the set of failed targets. They get no new flows, and their flows are
	// ended.
	DownTargets map[TargetID]bool
}

// Epoch is one numbered version of the assignment tables and the members. It is
// immutable.
type Epoch struct {
	number  uint64
	members []Member
	// indexByName maps the name of a member to its index in members.
	indexByName map[string]int
	// owners are the active members, in the order of members.
	owners   []owner
	services []epochService
	targets  map[TargetID]epochTarget
	// serviceByAddress maps a flow address to the index of its service.
	serviceByAddress map[netip.AddrPort]int
	down             map[TargetID]bool
}

// owner is a member that decides on flows.
type owner struct {
	// member is the index of the member in the epoch.
	member int
	// seed is the hash of its name, from which its rendezvous scores are computed.
	seed uint64
}

// epochService is a service of an epoch.
type epochService struct {
	name   string
	shares []Share
	table  *Table
}

// epochTarget is a target of an epoch.
type epochTarget struct {
	address netip.AddrPort
	domain  string
	service string
}

// NewEpoch computes an epoch. The epoch shares the tables of previous, which may be
// nil, for services whose shares did not change.
func NewEpoch(cfg EpochConfig, previous *Epoch) *Epoch {
	e := &Epoch{
		number:           cfg.Number,
		members:          slices.Clone(cfg.Members),
		indexByName:      make(map[string]int, len(cfg.Members)),
		targets:          make(map[TargetID]epochTarget),
		serviceByAddress: make(map[netip.AddrPort]int),
		down:             maps.Clone(cfg.DownTargets),
	}
	for i, m := range e.members {
		e.indexByName[m.Name] = i
		if m.State == Active {
			e.owners = append(e.owners, owner{member: i, seed: xxhash.Sum64String(m.Name)})
		}
	}
	for i, s := range cfg.Config.Services {
		e.addService(i, s, cfg, previous)
	}
	return e
}

// addService adds the service with the index i of the configuration.
func (e *Epoch) addService(i int, s service.Service, cfg EpochConfig, previous *Epoch) {
	es := epochService{name: s.Name}
	for _, t := range s.Pool {
		id := NewTargetID(s.Name, t.Name)
		e.targets[id] = epochTarget{address: t.Address, domain: t.Domain, service: s.Name}
		es.shares = append(es.shares, Share{Target: id, Base: t.Weight * ShareUnit, Current: shareOf(id, t, cfg)})
	}
	for _, a := range s.Addresses {
		if a.Mode == service.ModeFlow {
			e.serviceByAddress[a.AddrPort] = i
		}
	}
	if old := previous.service(s.Name); old != nil && slices.Equal(old.shares, es.shares) {
		es.table = old.table
	} else {
		es.table = NewTable(es.shares)
	}
	e.services = append(e.services, es)
}

// shareOf returns the share of a target: 0 if it is draining or down, otherwise that
// of cfg.Shares or its weight times ShareUnit.
func shareOf(id TargetID, t service.Target, cfg EpochConfig) int {
	if t.Draining || cfg.DownTargets[id] {
		return 0
	}
	if n, ok := cfg.Shares[id]; ok {
		return n
	}
	return t.Weight * ShareUnit
}

// service returns the service called name, or nil if e is nil or has no such service.
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

// Number returns the number of the epoch, which is larger than those of the epochs
// before it.
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
		out[id] = t.address
	}
	return out
}

// OmittedTargets returns, by the name of the service, how many targets get no new flows
// because the table of a service has at most maxTargets. It contains no services without
// such targets.
func (e *Epoch) OmittedTargets() map[string]int {
	out := make(map[string]int)
	for _, s := range e.services {
		n := 0
		for _, share := range s.shares {
			if share.Base > 0 {
				n++
			}
		}
		if n > maxTargets {
			out[s.name] = n - maxTargets
		}
	}
	return out
}

// Table returns the table of the service called name, or nil if the epoch has no
// such service.
func (e *Epoch) Table(name string) *Table {
	if s := e.service(name); s != nil {
		return s.table
	}
	return nil
}

// ownerOf returns the index of the member that decides on the flow with the given
// hash: the one with the lowest rendezvous score among the active members that are
// not unavailable, or -1 if there is none. The parameter unavailable may be nil.
func (e *Epoch) ownerOf(hash uint64, unavailable []bool) int {
	best, bestScore := -1, uint64(math.MaxUint64)
	for _, o := range e.owners {
		if unavailable != nil && unavailable[o.member] {
			continue
		}
		if score := mix(o.seed ^ hash); score < bestScore {
			best, bestScore = o.member, score
		}
	}
	return best
}

// memberIndex returns the index of the member called name, or -1.
func (e *Epoch) memberIndex(name string) int {
	if i, ok := e.indexByName[name]; ok {
		return i
	}
	return -1
}

// removedMembers reports which members of the oldest of epochs have lost their role
// in a later one: they are missing from it, are another process instance or join
// again. Pins that were reported to them as owners count as unannounced.
func removedMembers(epochs []*Epoch) []bool {
	out := make([]bool, len(epochs[0].members))
	for i, m := range epochs[0].members {
		out[i] = slices.ContainsFunc(epochs[1:], func(e *Epoch) bool { return !e.retainsRole(m) })
	}
	return out
}

// retainsRole reports whether e contains the same process instance as m, and not as
// a joining member unless m is one.
func (e *Epoch) retainsRole(m Member) bool {
	i := e.memberIndex(m.Name)
	return i >= 0 && e.members[i].Life == m.Life && (e.members[i].State != Joining || m.State == Joining)
}

// deviates reports whether the table of the target's service assigns the flow to
// another target or to none. It reports false for a target that is not in the epoch or
// is down.
func (e *Epoch) deviates(hash uint64, target TargetID) bool {
	t, ok := e.targets[target]
	if !ok || e.down[target] {
		return false
	}
	wanted, ok := e.Table(t.service).Lookup(hash)
	return !ok || wanted != target
}
