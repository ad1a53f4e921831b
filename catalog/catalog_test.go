package catalog_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/catalog"
	"wisteriaweir/evacuation"
	"wisteriaweir/route"
)

func target(id string, revision uint64) catalog.Target {
	return catalog.Target{ID: id, Service: "desk", Position: at(revision)}
}

// TestOlderRevisionIsIgnored guards against an update that arrives late, for example
// from another host, and replaces newer routes or targets.
func TestOlderRevisionIsIgnored(t *testing.T) {
	c := catalog.Catalog{}.WithTargets([]catalog.Target{target("a", 5)}, at(10))
	qt.Assert(t, c.WithTargets(nil, at(10)).Targets(), qt.HasLen, 1)
	qt.Assert(t, c.WithTargets(nil, at(9)).Targets(), qt.HasLen, 1)
	qt.Assert(t, c.WithTargets(nil, at(11)).Targets(), qt.HasLen, 0)

	c = c.WithRoutes(route.NewTable(7, 0, nil), at(10))
	qt.Assert(t, c.WithRoutes(route.NewTable(6, 0, nil), at(12)).Routes().Number(), qt.Equals, uint64(7))
	qt.Assert(t, c.WithRoutes(route.NewTable(8, 0, nil), at(10)).Routes().Number(), qt.Equals, uint64(7))
	qt.Assert(t, c.WithRoutes(route.NewTable(8, 0, nil), at(11)).Routes().Number(), qt.Equals, uint64(8))
}

// TestChanges guards against older entries in place of newer ones: the same changes can
// arrive twice, and can start at an older revision than that of the catalog.
func TestChanges(t *testing.T) {
	c := catalog.Catalog{}.WithTargets([]catalog.Target{target("a", 5), target("b", 9)}, at(10))
	c = c.WithChanges([]catalog.Change{{Target: target("b", 8)}, {Target: target("c", 11)}}, at(11))
	b, _ := c.Target("b")
	qt.Assert(t, b.Position, qt.Equals, at(9))
	qt.Assert(t, c.Targets(), qt.HasLen, 3)
	before := c
	c = c.WithChanges([]catalog.Change{{Target: target("a", 12), Removed: true}, {Target: target("b", 3), Removed: true}}, at(12))
	qt.Assert(t, c.Targets(), qt.HasLen, 2)
	qt.Assert(t, before.Targets(), qt.HasLen, 3)
	qt.Assert(t, c.TargetsPosition(), qt.Equals, at(12))
}

// TestEntriesStayInLaterSnapshot guards against a drained target that gets new flows again,
// because a snapshot replaces its entry by an older one. The entry is newer than the position
// of the catalog, or the host that sent the snapshot counts it as newer than it is.
func TestEntriesStayInLaterSnapshot(t *testing.T) {
	draining := target("a", 12)
	draining.Draining = true
	c := catalog.Catalog{}.WithTargets([]catalog.Target{draining, target("b", 5), target("new", 13)}, at(10))
	c = c.WithTargets([]catalog.Target{target("a", 5), target("c", 11)}, at(11))
	a, _ := c.Target("a")
	qt.Assert(t, a, qt.Equals, draining)
	qt.Assert(t, c.Targets(), qt.HasLen, 3)
	_, ok := c.Target("b")
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, c.TargetsDigest(), qt.Equals, catalog.Catalog{}.WithTargets([]catalog.Target{draining, target("c", 11), target("new", 13)}, at(13)).TargetsDigest())
	c = c.WithTargets([]catalog.Target{target("c", 11)}, at(14))
	qt.Assert(t, c.Targets(), qt.HasLen, 1)
}

// TestInvalidEntries guards against an invalid entry that counts as the removal of its target,
// that outlasts the target's own entry, or that a list does not end.
func TestInvalidEntries(t *testing.T) {
	c := catalog.Catalog{}.WithTargets([]catalog.Target{target("a", 5), target("b", 9)}, at(10))
	digest := c.WithChanges([]catalog.Change{{Target: target("a", 11), Removed: true}}, at(11)).TargetsDigest()
	invalid := c.WithChanges([]catalog.Change{{Target: target("a", 11), Removed: true, Invalid: true}}, at(11))
	qt.Assert(t, invalid.HasInvalidEntry("a"), qt.IsTrue)
	qt.Assert(t, invalid.Targets(), qt.HasLen, 1)
	qt.Assert(t, invalid.TargetsDigest(), qt.Equals, digest, qt.Commentf("hosts of earlier releases count it as removed"))
	qt.Assert(t, c.HasInvalidEntry("a"), qt.IsFalse)

	qt.Assert(t, invalid.WithChanges([]catalog.Change{{Target: target("a", 8)}}, at(12)).HasInvalidEntry("a"), qt.IsTrue)
	valid := invalid.WithChanges([]catalog.Change{{Target: target("a", 12)}}, at(12))
	qt.Assert(t, valid.HasInvalidEntry("a"), qt.IsFalse)
	qt.Assert(t, valid.Targets(), qt.HasLen, 2)
	qt.Assert(t, invalid.WithChanges([]catalog.Change{{Target: target("a", 12), Removed: true}}, at(12)).HasInvalidEntry("a"), qt.IsFalse)

	entry := catalog.InvalidEntry{ID: "b", Position: at(13)}
	changes := invalid.Diff([]catalog.Target{target("a", 12)}, at(14), entry)
	next := invalid.WithChanges(changes, at(14))
	qt.Assert(t, next.InvalidEntries(), qt.DeepEquals, []catalog.InvalidEntry{entry})
	qt.Assert(t, next.Targets(), qt.HasLen, 1)
	qt.Assert(t, next.Diff([]catalog.Target{target("a", 12)}, at(15), entry), qt.HasLen, 0)
	qt.Assert(t, next.WithChanges(next.Diff([]catalog.Target{target("a", 12)}, at(15)), at(15)).InvalidEntries(), qt.HasLen, 0)
	qt.Assert(t, c.WithTargets([]catalog.Target{target("a", 12)}, at(14), entry).HasInvalidEntry("b"), qt.IsTrue)
}

// TestEvacuations guards against a set of evacuations that goes back to an older one, and
// against a catalog that is complete before the evacuations are known, so that a host that
// starts would send flows to an evacuated failure domain.
func TestEvacuations(t *testing.T) {
	c := catalog.Catalog{}.WithTargets(nil, at(1)).WithRoutes(route.NewTable(1, 0, nil), at(1))
	qt.Assert(t, c.IsComplete(), qt.IsTrue)
	c = c.WithEvacuationsRequired()
	qt.Assert(t, c.IsComplete(), qt.IsFalse)
	c = c.WithEvacuations(evacuation.NewSet("west-a"), at(5))
	qt.Assert(t, c.IsComplete(), qt.IsTrue)
	qt.Assert(t, c.WithEvacuations(evacuation.NewSet(), at(4)).Evacuations().Has("west-a"), qt.IsTrue)
	qt.Assert(t, c.WithEvacuations(evacuation.NewSet(), at(5)).Evacuations().Has("west-a"), qt.IsTrue)
	qt.Assert(t, c.WithEvacuations(evacuation.NewSet(), at(6)).Evacuations().Has("west-a"), qt.IsFalse)
	c = c.WithTargets(nil, at(9)).WithRoutes(route.NewTable(2, 0, nil), at(9))
	qt.Assert(t, c.Evacuations().Has("west-a"), qt.IsTrue)
	qt.Assert(t, c.EvacuationsPosition(), qt.Equals, at(5))
}

// TestRevisionsOfLaterEra guards against a catalog that ignores a store which is back from
// an older copy, because its revisions are lower, and against a routing table that goes back
// to the older one in that copy.
func TestRevisionsOfLaterEra(t *testing.T) {
	restored := func(revision uint64) catalog.Position { return catalog.Position{Era: 1, Revision: revision} }
	c := catalog.Catalog{}.WithTargets([]catalog.Target{target("a", 5), target("b", 9)}, at(10)).WithRoutes(route.NewTable(7, 0, nil), at(10))
	c = c.WithEvacuations(evacuation.NewSet("west-a"), at(10))

	kept, lost := target("a", 5), target("b", 9)
	kept.Position = restored(5)
	changes := c.Diff([]catalog.Target{kept}, restored(6))
	qt.Assert(t, changes, qt.DeepEquals, []catalog.Change{{Target: catalog.Target{ID: lost.ID, Position: restored(6)}, Removed: true}})
	qt.Assert(t, c.WithChanges(changes, restored(6)).Targets(), qt.HasLen, 1)
	qt.Assert(t, c.WithTargets([]catalog.Target{kept}, restored(6)).Targets(), qt.HasLen, 1)
	qt.Assert(t, c.WithEvacuations(evacuation.NewSet(), restored(4)).Evacuations().Has("west-a"), qt.IsFalse)

	qt.Assert(t, c.WithRoutes(route.NewTable(5, 0, nil), restored(6)).Routes().Number(), qt.Equals, uint64(7))
	qt.Assert(t, c.WithRoutes(route.NewTable(7, 0, nil), restored(6)).RoutesPosition(), qt.Equals, restored(6))
	older := c.WithRoutes(route.NewTable(8, 0, nil), restored(6))
	qt.Assert(t, older.Routes().Number(), qt.Equals, uint64(8))
	qt.Assert(t, older.WithRoutes(route.NewTable(9, 0, nil), at(11)).Routes().Number(), qt.Equals, uint64(9))
	later := older.WithTargets([]catalog.Target{kept}, restored(6))
	qt.Assert(t, later.WithTargets(nil, at(11)).Targets(), qt.HasLen, 1)
}

// at returns the position of a revision in the first era.
func at(revision uint64) catalog.Position {
	return catalog.Position{Revision: revision}
}
