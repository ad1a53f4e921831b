package reader

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Member is one entry host.
type Member struct {
	Name   string
	Domain string
	// Address is the UDP address on which the host hears the others.
	Address netip.AddrPort
	// HasSpareCapacity says that the host has processor and link to spare for the others.
	HasSpareCapacity bool
}

// rank sorts members, strong ones in front, by rendezvous hashing: all hosts that
// know the same members find the same order, and a member that comes or goes
// moves no other.
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
