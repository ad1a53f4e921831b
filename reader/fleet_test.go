package reader_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/catalog"
	"wisteriaweir/reader"
	"wisteriaweir/route"
)

// maxPropagation is the time within which a change must have reached all hosts.
const maxPropagation = 3 * time.Second

// TestFewHostsRead guards against more readers and store calls than a fleet needs,
// and against changes that reach its hosts late.
func TestFewHostsRead(t *testing.T) {
	for _, size := range []struct{ domains, hostsPerDomain, readers int }{{4, 2, 2}, {1, 1, 1}, {4, 20, 2}, {4, 40, 8}} {
		f := newFleet(t, size.domains, size.hostsPerDomain)
		f.run(10 * time.Second)
		f.checkUpToDate(nil)
		qt.Check(t, f.countReaders(), qt.Equals, size.readers)
		calls := f.storeCalls
		f.run(15 * time.Second)
		qt.Check(t, f.storeCalls-calls <= size.readers*11, qt.IsTrue, qt.Commentf("%d calls in 15 s", f.storeCalls-calls))
		for range 20 {
			f.changeStore()
			f.run(300 * time.Millisecond)
			f.checkUpToDate(nil)
		}
	}
}

// TestReadersDie stops all readers repeatedly. It guards against hosts that do not
// take over reading, and against surplus readers that do not resign afterwards.
func TestReadersDie(t *testing.T) {
	f := newFleet(t, 4, 3)
	f.run(5 * time.Second)
	for range 5 {
		var stoppedReaders []*host
		for _, h := range f.hosts {
			if h.core.IsReading() {
				h.stopped = true
				stoppedReaders = append(stoppedReaders, h)
			}
		}
		f.changeStore()
		f.run(maxPropagation)
		f.checkUpToDate(nil)
		for _, h := range stoppedReaders {
			h.stopped = false
			h.core = reader.New(reader.Config{Self: h.Member})
			h.watchedRevision = 0
			f.applyEffects(h, h.core.SetMembers(f.now, f.members()))
		}
		f.run(maxPropagation)
		f.checkUpToDate(nil)
	}
	f.run(10 * time.Second)
	qt.Assert(t, f.countReaders(), qt.Equals, 2)
}

// TestReadersLoseTheStore makes the store unreachable for the readers only. It guards
// against a group in which no other host becomes a reader because the heartbeats of
// the readers still arrive, although their catalog is stale.
func TestReadersLoseTheStore(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.run(5 * time.Second)
	for range 3 {
		for _, h := range f.hosts {
			h.storeUnreachable = h.core.IsReading()
		}
		f.changeStore()
		f.run(maxPropagation)
		f.checkUpToDate(nil)
		for _, h := range f.hosts {
			h.storeUnreachable = false
		}
		f.run(8 * time.Second)
	}
}

// TestPartitionedDomain partitions a failure domain from the others. It guards against
// a domain that does not read the store for itself. A domain that has lost the store
// too continues with the catalog that it has; the test guards against one that does not
// catch up after the partition.
func TestPartitionedDomain(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.run(5 * time.Second)
	f.isPartitioned = func(a, b string) bool { return a != b && (a == "west-1" || b == "west-1") }
	f.changeStore()
	f.run(maxPropagation)
	f.checkUpToDate(nil)
	for _, h := range f.hosts {
		h.storeUnreachable = h.Domain == "west-1"
	}
	f.changeStore()
	f.run(maxPropagation)
	f.checkUpToDate(func(h *host) bool { return h.Domain == "west-1" })
	f.isPartitioned = func(string, string) bool { return false }
	f.run(maxPropagation)
	f.checkUpToDate(nil)
}

// TestMessagesLost loses 30 % of all messages. It guards against changes that do not
// reach all hosts in time.
func TestMessagesLost(t *testing.T) {
	for seed := range uint64(40) {
		f := newSeededFleet(t, seed, 4, 2)
		f.loss = 0.3
		f.run(5 * time.Second)
		for range 10 {
			f.changeStore()
			f.run(maxPropagation)
			f.checkUpToDate(nil)
		}
	}
}

// TestIgnoresOlderUpdates guards against a catalog that goes back to an older revision
// when a delayed update arrives.
func TestIgnoresOlderUpdates(t *testing.T) {
	c := reader.New(reader.Config{Self: self})
	newer := route.NewTable(9, time.Second, someRoutes(9))
	older := route.NewTable(8, time.Second, someRoutes(8))
	other := reader.Member{Name: "two", Domain: "west-a", Address: netip.MustParseAddrPort("10.1.0.11:7720")}
	c.HandleStoreUpdate(0, reader.Update{Position: at(20), Routes: &newer})
	c.HandleStoreUpdate(0, reader.Update{Position: at(20), HasAllTargets: true, Targets: someTargets(4)})
	c.HandleMessage(0, other, reader.Update{Position: at(19), Routes: &older})
	c.HandleMessage(0, other, reader.Update{Position: at(21), Routes: &older})
	c.HandleMessage(0, other, reader.Update{Position: at(19), HasAllTargets: true})
	c.HandleMessage(0, other, reader.Update{Position: at(20), Base: at(1), Changes: []catalog.Change{{Target: someTargets(1)[0], Removed: true}}})
	qt.Assert(t, c.Catalog().Routes().Number(), qt.Equals, uint64(9))
	qt.Assert(t, c.Catalog().Targets(), qt.HasLen, 4)
}

// TestGapsAreFilledByDeltas guards against snapshots for hosts that missed only some
// changes: in a large fleet they would fill the readers' links.
func TestGapsAreFilledByDeltas(t *testing.T) {
	f := newFleet(t, 4, 20)
	f.run(5 * time.Second)
	f.loss = 0.2
	f.snapshots = 0
	for range 30 {
		f.changeStore()
		f.run(700 * time.Millisecond)
	}
	f.run(maxPropagation)
	f.checkUpToDate(nil)
	qt.Assert(t, f.snapshots, qt.Equals, 0)
}

// TestRemovesStoppedHosts lists a fleet without a host that has stopped and without
// one that runs. It guards against messages to the stopped host, and against the
// removal of the other one, whose messages still arrive.
func TestRemovesStoppedHosts(t *testing.T) {
	f := newFleet(t, 2, 3)
	f.run(5 * time.Second)
	stoppedHost, unlisted := f.hosts[0], f.hosts[1]
	stoppedHost.stopped = true
	f.run(2 * time.Minute)
	var listed []reader.Member
	for _, h := range f.hosts {
		if h != stoppedHost && h != unlisted {
			listed = append(listed, h.Member)
		}
	}
	for range 2 {
		for _, h := range f.hosts {
			if !h.stopped {
				f.applyEffects(h, h.core.HandleMessage(f.now, unlisted.Member, reader.Hello{}))
				f.applyEffects(h, h.core.SetMembers(f.now, listed))
			}
		}
		f.run(time.Second)
	}
	for _, h := range f.hosts[2:] {
		qt.Assert(t, h.core.Members(), qt.Not(qt.Contains), stoppedHost.Member)
		qt.Assert(t, h.core.Members(), qt.Contains, unlisted.Member)
	}
}

// TestStoreRefusesMostHosts guards against a change that reaches the hosts late because
// the store refuses all readers and, one after the other, most hosts that take over. Some
// hosts have left and are still listed.
func TestStoreRefusesMostHosts(t *testing.T) {
	const hostsPerDomain = 4
	for accepted := range 3 * hostsPerDomain {
		for phase := range 8 {
			f := newFleet(t, 3, hostsPerDomain)
			f.run(5*time.Second + time.Duration(phase)*200*time.Millisecond)
			for i, h := range f.hosts {
				h.storeUnreachable = i != accepted
				h.stopped = i%hostsPerDomain == 0 && i != accepted && !h.core.IsReading()
			}
			f.changeStore()
			f.run(maxPropagation)
			f.checkUpToDate(nil)
		}
	}
}

// TestCatchingUpHostSendsNothingKnown guards against hosts that read because an update is on
// its way to them for long, as in a large fleet, and that then all send it to all others.
func TestCatchingUpHostSendsNothingKnown(t *testing.T) {
	table, next := route.NewTable(5, time.Second, someRoutes(2)), route.NewTable(6, time.Second, someRoutes(3))
	two := reader.Member{Name: "two", Domain: "west-a", Address: netip.MustParseAddrPort("10.1.0.11:7720")}
	three := reader.Member{Name: "three", Domain: "west-a", Address: netip.MustParseAddrPort("10.1.0.12:7720")}
	c := reader.New(reader.Config{Self: self})
	c.SetMembers(0, []reader.Member{self, two, three})
	c.HandleMessage(0, two, reader.Update{Position: at(10), Routes: &table})
	now := time.Duration(0)
	for ; !c.IsReading(); now += tickInterval {
		qt.Assert(t, now < maxPropagation, qt.IsTrue)
		for _, m := range []reader.Member{two, three} {
			c.HandleMessage(now, m, reader.Heartbeat{Positions: reader.Positions{RoutesNumber: 6, Routes: at(20)}, IsReading: true})
		}
		c.Tick(now)
	}
	sent := func(effects []reader.Effect) int {
		updates := 0
		for _, e := range effects {
			if s, ok := e.(reader.Send); ok {
				if _, ok := s.Message.(reader.Update); ok {
					updates++
				}
			}
		}
		return updates
	}
	qt.Assert(t, sent(c.HandleStoreUpdate(now, reader.Update{Position: at(20), Routes: &next})), qt.Equals, 0)
	qt.Assert(t, c.Catalog().Routes().Number(), qt.Equals, uint64(6))
	later := route.NewTable(7, time.Second, someRoutes(4))
	qt.Assert(t, sent(c.HandleStoreUpdate(now, reader.Update{Position: at(21), Routes: &later})), qt.Equals, 2)
}
