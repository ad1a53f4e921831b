package reader

import (
	"slices"

	"wisteriaweir/catalog"
)

// minStaleListings is the number of consecutive listings with the same position of an
// entry from which the entry is stale. Hosts renew their entries about once between
// two listings.
const minStaleListings = 4

// HostEntry is a host's entry in the store.
type HostEntry struct {
	// Name is the name of the host.
	Name string
	// Position is the position of the entry's last change.
	Position catalog.Position
}

// StaleEntryDetector finds the entries in the store that are no longer renewed,
// because their host no longer runs. It counts listings instead of time, so that
// entries that could not be renewed while the store was unavailable do not count as
// stale. It is not safe for concurrent use.
type StaleEntryDetector struct {
	// counts has the entries of the last listing by name.
	counts map[string]listingCount
}

// listingCount is the number of consecutive listings of an entry with one position.
type listingCount struct {
	position catalog.Position
	count    int
}

// NewStaleEntryDetector returns a detector without any listing.
func NewStaleEntryDetector() *StaleEntryDetector {
	return &StaleEntryDetector{counts: map[string]listingCount{}}
}

// AddListing processes a listing of all entries and returns the stale ones. The caller
// should remove an entry only if it still has the listed position.
func (d *StaleEntryDetector) AddListing(listed []HostEntry) []HostEntry {
	counts := make(map[string]listingCount, len(listed))
	for _, e := range listed {
		s := d.counts[e.Name]
		if s.position != e.Position {
			s = listingCount{position: e.Position}
		}
		s.count++
		counts[e.Name] = s
	}
	d.counts = counts
	return slices.DeleteFunc(slices.Clone(listed), func(e HostEntry) bool { return counts[e.Name].count < minStaleListings })
}
