package reader

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Member is one entry host.
type Member struct {
	// Name identifies the host in the fleet.
	Name string
	// Domain is the failure domain of the host.
	Domain string
	// Address is the UDP address on which the host receives messages from other hosts.
	Address netip.AddrPort
	// HasSpareCapacity reports whether the host has CPU and link capacity to spare for
	// work on behalf of other hosts.
	HasSpareCapacity bool
}

// rank returns the members in the order in which they become readers: those with
// spare capacity first, and each of the two classes by the hash of the name
// (rendezvous hashing). All hosts that know the same members compute the same order,
// and adding or removing a member does not change the order of the others.
func rank(members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		if a.HasSpareCapacity != b.HasSpareCapacity {
			if a.HasSpareCapacity {
				return -1
			}
			return 1
		}
		x, y := xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return strings.Compare(a.Name, b.Name)
		}
	})
	return sorted
}
