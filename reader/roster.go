package reader

import "slices"

// staleListings is the number of listings in a row that have to show an entry
// unchanged before its host counts as gone. Hosts renew their entries about once
// between two listings.
const staleListings = 4

// HostEntry is a host's entry in the store.
type HostEntry struct {
	Name string
	// Revision is the revision of the entry's last change.
	Revision uint64
}

// StaleEntryDetector tells which entries in the store belong to hosts that are gone: those
// that are not renewed. It counts listings, not time, so that entries that nobody
// could renew while the store was away do not count as left behind.
type StaleEntryDetector struct {
	seen map[string]sighting
}

// sighting is how often in a row an entry was listed with one revision.
type sighting struct {
	revision uint64
	listings int
}

// NewStaleEntryDetector returns a roster that has seen no listing.
func NewStaleEntryDetector() *StaleEntryDetector {
	return &StaleEntryDetector{seen: map[string]sighting{}}
}

// AddListing takes in a listing and returns the entries to remove, on condition that
// they still have the revision that was listed.
func (r *StaleEntryDetector) AddListing(listed []HostEntry) []HostEntry {
	seen := make(map[string]sighting, len(listed))
	for _, e := range listed {
		s := r.seen[e.Name]
		if s.revision != e.Revision {
			s = sighting{revision: e.Revision}
		}
		s.listings++
		seen[e.Name] = s
	}
	r.seen = seen
	return slices.DeleteFunc(slices.Clone(listed), func(e HostEntry) bool { return seen[e.Name].listings < staleListings })
}
