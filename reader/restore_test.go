package reader_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wisteriaweir/catalog"
	"wisteriaweir/evacuation"
	"wisteriaweir/reader"
	"wisteriaweir/route"
)

// TestRestoredStore guards against hosts that ignore a store which is back from an older
// copy, against a routing table that goes back to that of the copy, and against two hosts
// that hold different content as the same position. The histories have writes, restores,
// lost messages, partitioned failure domains, hosts without the store and hosts that start.
func TestRestoredStore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t, 3, 2)
		f.run(3 * time.Second)
		numbers := map[*reader.Core]uint64{}
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			f.step(rt)
			f.run(time.Duration(rapid.IntRange(1, 30).Draw(rt, "pause")) * 50 * time.Millisecond)
			f.checkNumbers(rt, numbers)
			f.checkPositions(rt)
		}
		f.heal()
		f.changeStore()
		f.run(maxPropagation)
		if outdated := f.outdated(nil); outdated != "" {
			rt.Fatal(outdated)
		}
		f.checkPositions(rt)
	})
}

// step makes one random change of the store or of the hosts.
func (f *fleet) step(rt *rapid.T) {
	h := f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(rt, "host")]
	switch rapid.SampledFrom([]string{"write", "write", "restore", "loss", "partition", "store", "start", "heal"}).Draw(rt, "step") {
	case "write":
		f.changeStore()
	case "restore":
		lost := rapid.Uint64Range(1, 4).Draw(rt, "lost")
		f.restore(lost)
		f.run(time.Duration(rapid.IntRange(0, 20).Draw(rt, "until rewrite")) * 50 * time.Millisecond)
		f.rewrite(lost)
	case "loss":
		f.loss = 0.3
	case "partition":
		f.isPartitioned = func(a, b string) bool { return a != b && (a == h.Domain || b == h.Domain) }
	case "store":
		h.storeUnreachable = true
	case "start":
		h.core = reader.New(reader.Config{Self: h.Member})
		h.watchedRevision = 0
		f.applyEffects(h, h.core.SetMembers(f.now, f.members()))
	case "heal":
		f.heal()
	}
}

// heal ends all faults.
func (f *fleet) heal() {
	f.loss = 0
	f.isPartitioned = func(string, string) bool { return false }
	for _, h := range f.hosts {
		h.storeUnreachable = false
	}
}

// checkNumbers fails the test if the routing table of a process has gone back since the last
// call with these numbers.
func (f *fleet) checkNumbers(rt *rapid.T, numbers map[*reader.Core]uint64) {
	for _, h := range f.hosts {
		number := h.core.Catalog().Routes().Number()
		if number < numbers[h.core] {
			rt.Fatalf("%s went back from routes %d to %d", h.Name, numbers[h.core], number)
		}
		numbers[h.core] = number
	}
}

// checkPositions fails the test if two hosts have different content at one position.
func (f *fleet) checkPositions(rt *rapid.T) {
	routes, targets := map[catalog.Position]uint64{}, map[catalog.Position]uint64{}
	for _, h := range f.hosts {
		c := h.core.Catalog()
		if sum, ok := routes[c.RoutesPosition()]; ok && sum != c.Routes().Digest() {
			rt.Fatalf("%s has other routes than another host at %v", h.Name, c.RoutesPosition())
		}
		if sum, ok := targets[c.TargetsPosition()]; ok && sum != c.TargetsDigest() {
			rt.Fatalf("%s has other targets than another host at %v", h.Name, c.TargetsPosition())
		}
		routes[c.RoutesPosition()], targets[c.TargetsPosition()] = c.Routes().Digest(), c.TargetsDigest()
	}
}

// TestMessagesWithoutEra guards against a host that a reader of an earlier release misleads
// after the store has come back from an older copy: the messages of that release have
// revisions only, which may be those of the time before. It replaces a test by which such
// messages were taken for the present era. The host must not wait for these readers either.
func TestMessagesWithoutEra(t *testing.T) {
	named := func(revision uint64) catalog.Position { return catalog.Position{Era: 4, Revision: revision} }
	table, targets := route.NewTable(5, time.Second, someRoutes(2)), someTargets(2)
	c := reader.New(reader.Config{Self: self})
	c.HandleStoreUpdate(0, reader.Update{Position: named(480), Routes: &table})
	c.HandleStoreUpdate(0, reader.Update{Position: named(480), HasAllTargets: true, Targets: targets})
	other := reader.Member{Name: "two", Domain: "west-a", Address: netip.MustParseAddrPort("10.1.0.11:7720")}

	lost := table.Diff(route.NewTable(6, time.Second, someRoutes(1)))
	c.HandleMessage(0, other, reader.Update{Position: at(510), Base: at(480), RouteChanges: &lost})
	c.HandleMessage(0, other, reader.Update{Position: at(511), Base: at(480), Changes: []catalog.Change{{Target: catalog.Target{ID: targets[0].ID, Position: at(511)}, Removed: true}}})
	qt.Assert(t, c.Catalog().RoutesPosition(), qt.Equals, named(480))
	qt.Assert(t, c.Catalog().Targets(), qt.HasLen, 2)

	next := route.NewTable(6, time.Second, someRoutes(3))
	c.HandleStoreUpdate(0, reader.Update{Position: named(490), Routes: &next})
	qt.Assert(t, c.Catalog().RoutesPosition(), qt.Equals, named(490))
	qt.Assert(t, c.Catalog().Routes().Size(), qt.Equals, 3)

	beat := reader.Heartbeat{Positions: reader.Positions{Routes: at(512), Targets: at(511)}, IsReading: true}
	qt.Assert(t, c.HandleMessage(0, other, beat), qt.HasLen, 0)
	c.SetMembers(0, []reader.Member{other})
	for now := time.Duration(0); now <= 500*time.Millisecond; now += 100 * time.Millisecond {
		c.HandleMessage(now, other, beat)
		c.Tick(now)
	}
	qt.Assert(t, c.IsReading(), qt.IsTrue)
}

// TestEraWithoutChanges guards against hosts that do not learn of a new era, and do not
// check their own entries, because the copy of the store contains what they already hold.
func TestEraWithoutChanges(t *testing.T) {
	inEra := func(era, revision uint64) catalog.Position { return catalog.Position{Era: era, Revision: revision} }
	table, targets, evacuated := route.NewTable(5, time.Second, someRoutes(2)), someTargets(2), evacuation.NewSet("west-a")
	c := reader.New(reader.Config{Self: self, UsesEvacuations: true})
	for _, p := range []catalog.Position{inEra(1, 50), inEra(2, 40)} {
		c.HandleStoreUpdate(0, reader.Update{Position: p, Routes: &table})
		c.HandleStoreUpdate(0, reader.Update{Position: p, HasAllTargets: true, Targets: targets})
		c.HandleStoreUpdate(0, reader.Update{Position: p, Evacuations: &evacuated})
		qt.Assert(t, c.Catalog().RoutesPosition(), qt.Equals, p)
		qt.Assert(t, c.Catalog().TargetsPosition(), qt.Equals, p)
		qt.Assert(t, c.Catalog().EvacuationsPosition(), qt.Equals, p)
	}
	qt.Assert(t, c.HandleStoreUpdate(0, reader.Update{Position: inEra(2, 45), HasAllTargets: true, Targets: targets}), qt.HasLen, 0)
}
