package fleet_test

import (
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wisteriaweir/fleet"
	"wisteriaweir/service"
	"wisteriaweir/ticket"
)

// movedAddress is the address that changes its service.
var movedAddress = netip.MustParseAddrPort("127.0.1.1:5683")

// configWithOwner returns a configuration in which the named service owns the moved
// address, or no service if the name is empty.
func configWithOwner(number uint64, owner string) service.Config {
	cfg := service.Config{}.WithNumber(number)
	for _, name := range []string{"levy-desk", "ledger-intake"} {
		s := service.Service{Name: name}
		if name == owner {
			s.Addresses = []service.Address{{AddrPort: movedAddress, Mode: service.ModeRequest}}
		}
		cfg = cfg.WithService(s)
	}
	return cfg
}

// ownershipSim simulates a fleet whose balancers apply its states at different
// times.
type ownershipSim struct {
	// fleet is the newest state.
	fleet fleet.Fleet
	// configs holds the configurations by ticket number.
	configs map[uint64]service.Config
	// states are all states, the oldest first.
	states []fleet.Fleet
	// stateIndexes holds, for each balancer, the index in states of its active state.
	stateIndexes []int
}

// propose makes one proposal of a lease holder: with the newest accepted ticket,
// and with the lowest ticket number that is active on a balancer.
func (o *ownershipSim) propose(head uint64) {
	applied := head
	for _, i := range o.stateIndexes {
		applied = min(applied, o.states[i].Head.Number)
	}
	p := fleet.Proposal{Domain: "west-a", Head: ticket.Head{Number: head}, MinActiveTicket: applied}
	if head > o.fleet.Head.Number {
		p.MovedAddresses = fleet.MovedBetween(o.configs[o.fleet.Head.Number], o.configs[head])
	}
	next, changed := o.fleet.Next(p)
	if changed {
		o.fleet = next
		o.states = append(o.states, next)
	}
}

// currentOwners returns the services to which a balancer assigns the moved address.
func (o *ownershipSim) currentOwners() map[string]bool {
	out := make(map[string]bool)
	for _, i := range o.stateIndexes {
		f := o.states[i]
		if s, _, ok := f.EffectiveConfig(o.configs[f.Head.Number]).Lookup(movedAddress); ok {
			out[s.Name] = true
		}
	}
	return out
}

// TestAnAddressHasOneOwnerOnAllBalancers guards against two balancers that send
// datagrams for one address to different services. It moves an address between
// two services, and removes it from both, while the balancers apply the states at
// different times.
func TestAnAddressHasOneOwnerOnAllBalancers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &ownershipSim{
			configs:      map[uint64]service.Config{0: {}},
			states:       []fleet.Fleet{{}},
			stateIndexes: make([]int, 4),
		}
		var head uint64
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				head++
				owner := rapid.SampledFrom([]string{"levy-desk", "ledger-intake", ""}).Draw(t, "owner")
				o.configs[head] = configWithOwner(head, owner)
			case 1:
				o.propose(head)
			default:
				i := rapid.IntRange(0, len(o.stateIndexes)-1).Draw(t, "balancer")
				o.stateIndexes[i] = rapid.IntRange(o.stateIndexes[i], len(o.states)-1).Draw(t, "state")
			}
			if owners := o.currentOwners(); len(owners) > 1 {
				t.Fatalf("owners %v", owners)
			}
		}
	})
}

// TestAMovedAddressIsServedInTheEnd guards against a moved address that is never
// assigned to its new service: once all balancers have applied the ticket, the new
// service owns the address.
func TestAMovedAddressIsServedInTheEnd(t *testing.T) {
	c := qt.New(t)
	o := &ownershipSim{
		configs:      map[uint64]service.Config{0: {}, 1: configWithOwner(1, "levy-desk"), 2: configWithOwner(2, "ledger-intake")},
		states:       []fleet.Fleet{{}},
		stateIndexes: make([]int, 3),
	}
	for _, step := range []struct {
		head  uint64
		owner string
	}{{1, "levy-desk"}, {2, ""}, {2, "ledger-intake"}} {
		o.propose(step.head)
		for i := range o.stateIndexes {
			o.stateIndexes[i] = len(o.states) - 1
		}
		want := map[string]bool{}
		if step.owner != "" {
			want[step.owner] = true
		}
		c.Assert(o.currentOwners(), qt.DeepEquals, want, qt.Commentf("%s", fmt.Sprint(step)))
	}
}
