package fleet

import (
	"cmp"
	"net/netip"
	"slices"

	"wisteriaweir/service"
)

// MovedAddress records that a ticket removed an address from a service. Until that
// ticket is active on every balancer, the address is not assigned to another
// service: a balancer with an older ticket still sends its datagrams to the
// previous owner.
type MovedAddress struct {
	// Address is the address that was removed.
	Address netip.AddrPort `json:"at"`
	// From is the service that owned the address before.
	From string `json:"from"`
	// Number is the number of the ticket that removed the address from it.
	Number uint64 `json:"number"`
}

// MovedBetween returns the addresses whose owner in old does not own them in next,
// where another service or no service owns them.
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

// withMovedAddresses returns f with the moved addresses of a proposal added if its
// head is newer, and without those whose ticket is active on every balancer. An empty
// list becomes nil, as it is in a Fleet without moved addresses.
func (f Fleet) withMovedAddresses(p Proposal) Fleet {
	moved := slices.DeleteFunc(slices.Clone(f.MovedAddresses), func(m MovedAddress) bool { return m.Number <= p.MinActiveTicket })
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
// addresses whose datagrams a balancer with an older ticket may still send to
// another service.
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
