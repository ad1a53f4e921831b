package reader

import "slices"

// staleListings is the number of listings in a row that have to show an entry
// unchanged before its host counts as gone. Hosts renew their entries about once
// between two listings.
const staleListings = 4

// Entry is a host's entry in the store.
type Entry struct {
	Name string
	// Revision is the revision of the entry's last change.
	Revision uint64
}

// Roster tells which entries in the store belong to hosts that are gone: those
// that are not renewed. It counts listings, not time, so that entries that nobody
// could renew while the store was away do not count as left behind.
type Roster struct {
	seen map[string]sighting
}

// sighting is how often in a row an entry was listed with one revision.
type sighting struct {
	revision uint64
	listings int
}

// NewRoster returns a roster that has seen no listing.
func NewRoster() *Roster {
	return &Roster{seen: map[string]sighting{}}
}

// Take takes in a listing and returns the entries to remove, on condition that
// they still have the revision that was listed.
func (r *Roster) Take(listed []Entry) []Entry {
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
	return slices.DeleteFunc(slices.Clone(listed), func(e Entry) bool { return seen[e.Name].listings < staleListings })
}
