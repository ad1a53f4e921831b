package reader_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/catalog"
	"wisteriaweir/evacuation"
	"wisteriaweir/reader"
	"wisteriaweir/route"
)

const (
	// timeStep is the step of the virtual time.
	timeStep = 10 * time.Millisecond
	// tickInterval is the time between two calls of Tick.
	tickInterval = 100 * time.Millisecond
	// watchTimeout is the time after which a watch without changes returns.
	watchTimeout = 1500 * time.Millisecond
)

// host is one host of a simulated fleet.
type host struct {
	reader.Member
	core *reader.Core
	// storeUnreachable reports whether the host cannot reach the store, and stopped
	// whether the host's process has been stopped.
	storeUnreachable, stopped bool
	// watchedRevision is the revision that the host's next watch continues from. 0 means
	// that a list is needed.
	watchedRevision uint64
	// watchedEra is the era of watchedRevision.
	watchedEra uint64
	// storeRespondedAt is when the store last responded to the host.
	storeRespondedAt time.Duration
	// watchedEvacuations is like watchedRevision, for the watch of the evacuations.
	watchedEvacuations uint64
}

// datagram is a message in flight, which arrives at the time at.
type datagram struct {
	at      time.Duration
	from    reader.Member
	to      string
	message reader.Message
}

// fleet is a simulated fleet with a store that changes.
type fleet struct {
	t        *testing.T
	rnd      *rand.Rand
	now      time.Duration
	hosts    []*host
	inFlight []datagram
	// revision is the store's revision, changedAt the time of its last change.
	revision  uint64
	changedAt time.Duration
	// loss is the fraction of messages that are lost.
	loss float64
	// isPartitioned reports whether no messages pass between two failure domains.
	isPartitioned func(a, b string) bool
	// storeCalls is the number of calls to the store.
	storeCalls int
	// snapshots is the number of snapshots that hosts sent to each other.
	snapshots int
	// evacuationChanges are the changes of the evacuations in the store. The first one has
	// revision 1, and so on. Evacuations are served only if usesEvacuations is set.
	evacuationChanges []evacuation.Change
	usesEvacuations   bool
	// era rises by one with each restore of the store.
	era uint64
	// lostNumbers is the number of versions of the routing table that restores have lost. The
	// operator continues after the last one that it wrote.
	lostNumbers uint64
	// hasExtra reports whether the store has one more route and one more target than
	// someRoutes and someTargets return.
	hasExtra bool
}

// table returns the store's routing table.
func (f *fleet) table() route.Table {
	routes := someRoutes(3)
	if f.hasExtra {
		routes = someRoutes(4)
	}
	return route.NewTable(f.number(), time.Second, routes)
}

// number returns the version number of the store's routing table.
func (f *fleet) number() uint64 {
	return f.revision + f.lostNumbers
}

// position returns the store's position.
func (f *fleet) position() catalog.Position {
	return catalog.Position{Era: f.era, Revision: f.revision}
}

// restore brings the store back from a copy that lacks the last changes. Until the operator
// writes again, the store has an older routing table.
func (f *fleet) restore(changes uint64) {
	f.era++
	f.revision -= changes
	f.changedAt = f.now
}

// rewrite makes the operator write the version of the routing table that follows the last
// one that it wrote before a restore.
func (f *fleet) rewrite(changes uint64) {
	f.lostNumbers += changes
	f.changeStore()
}

// targets returns the store's targets.
func (f *fleet) targets() []catalog.Target {
	targets := someTargets(int(f.revision))
	for i := range targets {
		targets[i].Position.Era = f.era
	}
	if f.hasExtra {
		extra := targets[0]
		extra.ID, extra.Position = "extra", f.position()
		targets = append(targets, extra)
	}
	return targets
}

// newFleet returns a fleet of hosts that know each other.
func newFleet(t *testing.T, domains, hostsPerDomain int) *fleet {
	f := &fleet{t: t, rnd: rand.New(rand.NewPCG(7, 7)), era: 1, revision: 10, isPartitioned: func(string, string) bool { return false }}
	for d := range domains {
		for i := range hostsPerDomain {
			m := reader.Member{
				Name: fmt.Sprintf("host-%d-%d", d, i), Domain: fmt.Sprintf("west-%d", d),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), 0, byte(i + 1)}), 7720),
			}
			f.hosts = append(f.hosts, &host{Member: m, core: reader.New(reader.Config{Self: m})})
		}
	}
	for _, h := range f.hosts {
		f.applyEffects(h, h.core.SetMembers(0, f.members()))
	}
	return f
}

func (f *fleet) members() []reader.Member {
	var members []reader.Member
	for _, h := range f.hosts {
		members = append(members, h.Member)
	}
	return members
}

// applyEffects sends the messages among the effects, of which some are lost.
func (f *fleet) applyEffects(from *host, effects []reader.Effect) {
	for _, e := range effects {
		send, ok := e.(reader.Send)
		if !ok {
			continue
		}
		if u, ok := send.Message.(reader.Update); ok && (u.HasAllTargets || u.Routes != nil) {
			f.snapshots++
		}
		if f.rnd.Float64() < f.loss {
			continue
		}
		f.inFlight = append(f.inFlight, datagram{at: f.now + timeStep, from: from.Member, to: send.To.Name, message: send.Message})
	}
}

// changeStore advances the store to its next revision, which has one more target and a
// new number of the routing table.
func (f *fleet) changeStore() {
	f.revision++
	f.changedAt = f.now
}

// run advances the virtual time.
func (f *fleet) run(duration time.Duration) {
	for end := f.now + duration; f.now < end; {
		f.now += timeStep
		f.deliver()
		for _, h := range f.hosts {
			if h.stopped {
				continue
			}
			f.serveWatch(h)
			f.serveEvacuations(h)
			if f.now%tickInterval == 0 {
				f.applyEffects(h, h.core.Tick(f.now))
			}
		}
	}
}

// deliver delivers the messages that are due.
func (f *fleet) deliver() {
	due := f.inFlight
	f.inFlight = nil
	for _, d := range due {
		if d.at > f.now {
			f.inFlight = append(f.inFlight, d)
			continue
		}
		for _, h := range f.hosts {
			if h.Name == d.to && !h.stopped && !f.isPartitioned(h.Domain, d.from.Domain) {
				f.applyEffects(h, h.core.HandleMessage(f.now, d.from, d.message))
			}
		}
	}
}

// serveWatch returns the store's response to the watch of a reader, if it is due.
func (f *fleet) serveWatch(h *host) {
	if !h.core.IsReading() {
		h.watchedRevision = 0
		return
	}
	if h.watchedEra != f.era {
		h.watchedRevision, h.watchedEra = 0, f.era
	}
	if h.storeUnreachable || h.watchedRevision == f.revision && f.now-h.storeRespondedAt < watchTimeout {
		return
	}
	f.storeCalls++
	h.storeRespondedAt = f.now
	if h.watchedRevision == f.revision {
		f.applyEffects(h, h.core.HandleStoreUpdate(f.now, reader.Update{Position: f.position()}))
		return
	}
	table := f.table()
	f.applyEffects(h, h.core.HandleStoreUpdate(f.now, reader.Update{Position: f.position(), Routes: &table}))
	u := reader.Update{Position: f.position(), HasAllTargets: true, Targets: f.targets()}
	if h.watchedRevision > 0 {
		u.HasAllTargets, u.Targets = false, nil
		for _, t := range f.targets()[h.watchedRevision:] {
			u.Changes = append(u.Changes, catalog.Change{Target: t})
		}
	}
	f.applyEffects(h, h.core.HandleStoreUpdate(f.now, u))
	h.watchedRevision = f.revision
}

// countReaders returns the number of running hosts that are readers.
func (f *fleet) countReaders() int {
	n := 0
	for _, h := range f.hosts {
		if !h.stopped && h.core.IsReading() {
			n++
		}
	}
	return n
}

// checkUpToDate fails the test if a running host that is not excluded does not have
// the newest revision.
func (f *fleet) checkUpToDate(exclude func(*host) bool) {
	f.t.Helper()
	if outdated := f.outdated(exclude); outdated != "" {
		f.t.Fatal(outdated)
	}
}

// outdated describes a running host that is not excluded and does not have the newest
// revision. It is empty if there is none.
func (f *fleet) outdated(exclude func(*host) bool) string {
	for _, h := range f.hosts {
		if h.stopped || exclude != nil && exclude(h) {
			continue
		}
		c := h.core.Catalog()
		if c.Routes().Number() != f.number() || len(c.Targets()) != int(f.revision) {
			return fmt.Sprintf("at %v, %v after the change, %s has routes %d of %d and %d targets of %d",
				f.now, f.now-f.changedAt, h.Name, c.Routes().Number(), f.number(), len(c.Targets()), f.revision)
		}
	}
	return ""
}

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
	f := newFleet(t, 4, 2)
	f.loss = 0.3
	f.run(5 * time.Second)
	for range 10 {
		f.changeStore()
		f.run(maxPropagation)
		f.checkUpToDate(nil)
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
