package reader_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/reader"
)

// listing returns entries named a, b, c and so on with the given revisions.
func listing(revisions ...uint64) []reader.HostEntry {
	var out []reader.HostEntry
	for i, r := range revisions {
		out = append(out, reader.HostEntry{Name: string(rune('a' + i)), Position: at(r)})
	}
	return out
}

// TestStaleEntryIsDetected guards against an entry that is not reported after four
// listings without a renewal, and against the report of a renewed one.
func TestStaleEntryIsDetected(t *testing.T) {
	c := qt.New(t)
	r := reader.NewStaleEntryDetector()
	for i := range uint64(3) {
		c.Assert(r.AddListing(listing(10+i, 5)), qt.HasLen, 0)
	}
	c.Assert(r.AddListing(listing(13, 5)), qt.DeepEquals, []reader.HostEntry{{Name: "b", Position: at(5)}})
}

// TestRenewalResetsListingCount guards against listings before a renewal that count as
// listings without one.
func TestRenewalResetsListingCount(t *testing.T) {
	c := qt.New(t)
	r := reader.NewStaleEntryDetector()
	for _, l := range [][]reader.HostEntry{listing(5), listing(5), listing(5), listing(6), listing(6), listing(6)} {
		c.Assert(r.AddListing(l), qt.HasLen, 0)
	}
	c.Assert(r.AddListing(listing(6)), qt.HasLen, 1)
}

// TestMissingEntryResetsListingCount guards against listings before an entry was absent
// that count together with those after it.
func TestMissingEntryResetsListingCount(t *testing.T) {
	c := qt.New(t)
	r := reader.NewStaleEntryDetector()
	for _, l := range [][]reader.HostEntry{listing(5), listing(5), listing(5), nil, listing(5)} {
		c.Assert(r.AddListing(l), qt.HasLen, 0)
	}
}
