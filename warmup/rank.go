package warmup

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// outsideDivisor divides the limit to get the share of the hosts that are not in the
	// target's failure domain. Most flows for a target arrive in its domain; the share of the
	// others lets it warm up if no host of its domain works.
	outsideDivisor = 4
	// minOutsideLimit is the least share of the hosts of other domains: one place stays free,
	// and one can be used. If the limit is less than 2 x minOutsideLimit, the hosts of other
	// domains get nothing, and those of the target's domain at most minOutsideLimit. The
	// remainder is not used, because no share may shrink when the limit grows: the hosts may
	// learn of a new limit at different times.
	minOutsideLimit = 2
	// hostsPerRoom is the number of known hosts of a group for which one place stays free.
	hostsPerRoom = 10
	// roomDivisor divides the limit of a group to get the largest number of places that stay
	// free, rounded up.
	roomDivisor = 4
)

// Split returns the limits of the two groups of hosts: those in the target's failure
// domain, and the others.
func Split(limit int) (inside, outside int) {
	if limit < 2*minOutsideLimit {
		return min(limit, minOutsideLimit), 0
	}
	outside = max(limit/outsideDivisor, minOutsideLimit)
	return limit - outside, outside
}

// Room returns the number of places that stay free in a group. The limit of the group holds
// as long as the list of each of its hosts lacks at most that many hosts that send. hosts is
// the number of hosts of the group in the list, limit is the limit of the group.
func Room(hosts, limit int) int {
	return min(ceilDiv(hosts, hostsPerRoom), ceilDiv(limit, roomDivisor))
}

// rankedHost is a Host with the hash of its name.
type rankedHost struct {
	Host
	hash uint64
}

// rankedHosts returns hosts with their hashes, sorted by name.
func rankedHosts(hosts []Host) []rankedHost {
	ranked := make([]rankedHost, 0, len(hosts))
	for _, h := range hosts {
		ranked = append(ranked, rankedHost{Host: h, hash: xxhash.Sum64String(h.Name)})
	}
	slices.SortFunc(ranked, func(a, b rankedHost) int { return strings.Compare(a.Name, b.Name) })
	return ranked
}

// partOf returns the part of the limit that a list of hosts gives the host self: the
// number of units that fall to its place if the limit of its group is dealt out
// round-robin. It is 0 if the list does not contain self.
func partOf(hosts []rankedHost, self string, t *Target, limit int) int {
	i, ok := slices.BinarySearchFunc(hosts, self, func(h rankedHost, name string) int { return strings.Compare(h.Name, name) })
	if !ok {
		return 0
	}
	isInside := hosts[i].Domain == t.domain
	inside, outside := Split(limit)
	if limit = inside; !isInside {
		limit = outside
	}
	size, rank := 0, 0
	own := hosts[i].score(t)
	for j, h := range hosts {
		if (h.Domain == t.domain) != isInside {
			continue
		}
		size++
		if s := h.score(t); s > own || s == own && j < i {
			rank++
		}
		if rank >= limit {
			return 0
		}
	}
	room := Room(size, limit)
	return ceilDiv(max(limit-room-rank, 0), size+room)
}

// score returns the score of a host for a target. The hosts with the highest scores rank
// first.
func (h rankedHost) score(t *Target) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], h.hash)
	binary.LittleEndian.PutUint64(b[8:], t.hash)
	return xxhash.Sum64(b[:])
}

// ceilDiv returns a/b, rounded up. a must not be negative, and b must be positive.
func ceilDiv(a, b int) int {
	return (a + b - 1) / b
}
