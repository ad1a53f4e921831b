package reader_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/catalog"
)

// TestDeltaOfAnotherBase guards against a host that keeps a route or a target which the
// store no longer has: two readers that cannot reach each other read different changes of
// the store, and a third host applies the delta of one to the content of the other.
func TestDeltaOfAnotherBase(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.run(5 * time.Second)
	var readers []*host
	for _, h := range f.hosts {
		if h.core.IsReading() {
			readers = append(readers, h)
		}
	}
	qt.Assert(t, readers, qt.HasLen, 2)
	first, second := readers[0], readers[1]
	f.isPartitioned = func(a, b string) bool {
		return a == first.Domain && b == second.Domain || a == second.Domain && b == first.Domain
	}

	second.storeUnreachable = true
	first.watchedRevision, second.watchedRevision = 0, 0 // The store has dropped its history, so both have to list.
	f.hasExtra = true
	f.changeStore()
	f.run(100 * time.Millisecond) // The first reader publishes the extra route and target.
	first.storeUnreachable, second.storeUnreachable = true, false
	f.hasExtra = false
	f.changeStore()
	f.run(100 * time.Millisecond) // The second reader has never seen them.
	first.storeUnreachable = false
	first.watchedRevision = 0
	f.isPartitioned = func(string, string) bool { return false }
	f.run(maxPropagation)

	f.checkUpToDate(nil)
	want := catalog.Catalog{}.WithTargets(f.targets(), at(f.revision)).TargetsDigest()
	for _, h := range f.hosts {
		qt.Check(t, h.core.Catalog().Routes().Digest(), qt.Equals, f.table().Digest(), qt.Commentf("routes of %s", h.Name))
		qt.Check(t, h.core.Catalog().TargetsDigest(), qt.Equals, want, qt.Commentf("targets of %s", h.Name))
	}
}
