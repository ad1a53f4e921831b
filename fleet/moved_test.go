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

var moving = netip.MustParseAddrPort("127.0.1.1:5683")

// owned returns a configuration in which the named service owns the moving
// address, or none if the name is empty.
func owned(number uint64, owner string) service.Config {
	cfg := service.Config{}.WithNumber(number)
	for _, name := range []string{"levy-desk", "ledger-intake"} {
		s := service.Service{Name: name}
		if name == owner {
			s.Addresses = []service.Address{{AddrPort: moving, Mode: service.ModeRequest}}
		}
		cfg = cfg.WithService(s)
	}
	return cfg
}

// ownership is a fleet whose balancers follow its states at their own pace.
type ownership struct {
	fleet   fleet.Fleet
	configs map[uint64]service.Config
	states  []fleet.Fleet
	// follows is the index in states that each balancer follows.
	follows []int
}

// propose lets a holder of the lease propose once: with the newest accepted
// ticket, and with the lowest ticket that every balancer has in force.
func (o *ownership) propose(head uint64) {
	applied := head
	for _, i := range o.follows {
		applied = min(applied, o.states[i].Head.Number)
	}
	p := fleet.Proposal{Domain: "west-a", Head: ticket.Head{Number: head}, MinAppliedTicket: applied}
	if head > o.fleet.Head.Number {
		p.MovedAddresses = fleet.MovedBetween(o.configs[o.fleet.Head.Number], o.configs[head])
	}
	next, changed := o.fleet.Next(p)
	if changed {
		o.fleet = next
		o.states = append(o.states, next)
	}
}

// owners returns the services to which some balancer gives the address.
func (o *ownership) owners() map[string]bool {
	out := make(map[string]bool)
	for _, i := range o.follows {
		f := o.states[i]
		if s, _, ok := f.EffectiveConfig(o.configs[f.Head.Number]).Lookup(moving); ok {
			out[s.Name] = true
		}
	}
	return out
}

// TestAnAddressHasOneOwnerOnAllBalancers moves an address to and fro between
// services and out of both, while balancers follow unevenly.
func TestAnAddressHasOneOwnerOnAllBalancers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &ownership{
			configs: map[uint64]service.Config{0: {}},
			states:  []fleet.Fleet{{}},
			follows: make([]int, 4),
		}
		var head uint64
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				head++
				owner := rapid.SampledFrom([]string{"levy-desk", "ledger-intake", ""}).Draw(t, "owner")
				o.configs[head] = owned(head, owner)
			case 1:
				o.propose(head)
			default:
				i := rapid.IntRange(0, len(o.follows)-1).Draw(t, "balancer")
				o.follows[i] = rapid.IntRange(o.follows[i], len(o.states)-1).Draw(t, "state")
			}
			if owners := o.owners(); len(owners) > 1 {
				t.Fatalf("owners %v", owners)
			}
		}
	})
}

// TestAMovedAddressIsServedInTheEnd lets everybody follow.
func TestAMovedAddressIsServedInTheEnd(t *testing.T) {
	c := qt.New(t)
	o := &ownership{
		configs: map[uint64]service.Config{0: {}, 1: owned(1, "levy-desk"), 2: owned(2, "ledger-intake")},
		states:  []fleet.Fleet{{}},
		follows: make([]int, 3),
	}
	for _, step := range []struct {
		head  uint64
		owner string
	}{{1, "levy-desk"}, {2, ""}, {2, "ledger-intake"}} {
		o.propose(step.head)
		for i := range o.follows {
			o.follows[i] = len(o.states) - 1
		}
		want := map[string]bool{}
		if step.owner != "" {
			want[step.owner] = true
		}
		c.Assert(o.owners(), qt.DeepEquals, want, qt.Commentf("%s", fmt.Sprint(step)))
	}
}
