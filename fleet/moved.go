package fleet

import (
	"cmp"
	"net/netip"
	"slices"

	"wisteriaweir/service"
)

// MovedAddress records that a ticket took an address away from a service. Until every
// balancer has that ticket in force, no other service gets the address: a
// balancer that is behind still sends its datagrams to the old owner.
type MovedAddress struct {
	Address netip.AddrPort `json:"at"`
	// From is the service that owned the address.
	From string `json:"from"`
	// Number is the ticket from which on it does not.
	Number uint64 `json:"number"`
}

// MovedBetween returns the addresses that next takes away from services of old.
func MovedBetween(old, next service.Config) []MovedAddress {
	var out []MovedAddress
	for _, s := range old.Services {
		for _, a := range s.Addresses {
			owner, _, ok := next.Lookup(a.AddrPort)
			if !ok || owner.Name != s.Name {
				out = append(out, MovedAddress{Address: a.AddrPort, From: s.Name, Number: next.Number})
			}
		}
	}
	return out
}

// withMoved returns f with the records of a proposal added, and those released
// that every balancer has in force.
func (f Fleet) withMoved(p Proposal) Fleet {
	moved := slices.DeleteFunc(slices.Clone(f.MovedAddresses), func(m MovedAddress) bool { return m.Number <= p.MinAppliedTicket })
	if p.Head.Number > f.Head.Number {
		moved = append(moved, p.MovedAddresses...)
	}
	slices.SortFunc(moved, func(a, b MovedAddress) int {
		return cmp.Or(a.Address.Compare(b.Address), cmp.Compare(a.From, b.From), cmp.Compare(a.Number, b.Number))
	})
	if len(moved) == 0 {
		moved = nil
	}
	f.MovedAddresses = moved
	return f
}

// EffectiveConfig returns the configuration that traffic follows: cfg without the
// addresses that a balancer which is behind may still give to another service.
func (f Fleet) EffectiveConfig(cfg service.Config) service.Config {
	if len(f.MovedAddresses) == 0 {
		return cfg
	}
	services := slices.Clone(cfg.Services)
	for i, s := range services {
		services[i].Addresses = slices.DeleteFunc(slices.Clone(s.Addresses), func(a service.Address) bool {
			return slices.ContainsFunc(f.MovedAddresses, func(m MovedAddress) bool { return m.Address == a.AddrPort && m.From != s.Name })
		})
	}
	return cfg.WithServices(services)
}
