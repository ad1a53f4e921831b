package reader_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

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
	// updates is the number of updates that hosts sent to each other.
	updates int
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
	return newSeededFleet(t, 7, domains, hostsPerDomain)
}

// newSeededFleet is like newFleet, with another seed of the choice of lost messages.
func newSeededFleet(t *testing.T, seed uint64, domains, hostsPerDomain int) *fleet {
	f := &fleet{t: t, rnd: rand.New(rand.NewPCG(seed, 7)), era: 1, revision: 10, isPartitioned: func(string, string) bool { return false }}
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
		if u, ok := send.Message.(reader.Update); ok {
			f.updates++
			if u.HasAllTargets || u.Routes != nil {
				f.snapshots++
			}
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
