package catalog_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/catalog"
	"wisteriaweir/route"
)

func target(id string, revision uint64) catalog.Target {
	return catalog.Target{ID: id, Service: "desk", Revision: revision}
}

// TestOlderRevisionIsIgnored guards against an update that arrives late, for example
// from another host, and replaces newer routes or targets.
func TestOlderRevisionIsIgnored(t *testing.T) {
	c := catalog.Catalog{}.WithTargets([]catalog.Target{target("a", 5)}, 10)
	qt.Assert(t, c.WithTargets(nil, 10).Targets(), qt.HasLen, 1)
	qt.Assert(t, c.WithTargets(nil, 9).Targets(), qt.HasLen, 1)
	qt.Assert(t, c.WithTargets(nil, 11).Targets(), qt.HasLen, 0)

	c = c.WithRoutes(route.NewTable(7, 0, nil), 10)
	qt.Assert(t, c.WithRoutes(route.NewTable(6, 0, nil), 12).Routes().Number(), qt.Equals, uint64(7))
	qt.Assert(t, c.WithRoutes(route.NewTable(8, 0, nil), 10).Routes().Number(), qt.Equals, uint64(7))
	qt.Assert(t, c.WithRoutes(route.NewTable(8, 0, nil), 11).Routes().Number(), qt.Equals, uint64(8))
}

// TestChanges guards against older entries in place of newer ones: the same changes can
// arrive twice, and can start at an older revision than that of the catalog.
func TestChanges(t *testing.T) {
	c := catalog.Catalog{}.WithTargets([]catalog.Target{target("a", 5), target("b", 9)}, 10)
	c = c.WithChanges([]catalog.Change{{Target: target("b", 8)}, {Target: target("c", 11)}}, 11)
	b, _ := c.Target("b")
	qt.Assert(t, b.Revision, qt.Equals, uint64(9))
	qt.Assert(t, c.Targets(), qt.HasLen, 3)
	before := c
	c = c.WithChanges([]catalog.Change{{Target: target("a", 12), Removed: true}, {Target: target("b", 3), Removed: true}}, 12)
	qt.Assert(t, c.Targets(), qt.HasLen, 2)
	qt.Assert(t, before.Targets(), qt.HasLen, 3)
	qt.Assert(t, c.TargetsRevision(), qt.Equals, uint64(12))
}
