package reader_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/catalog"
	"wisteriaweir/reader"
	"wisteriaweir/route"
)

const (
	// step is the step of the virtual time.
	step = 10 * time.Millisecond
	// tickEvery is how often a host looks at what is due.
	tickEvery = 100 * time.Millisecond
	// watchTakes is the time between two answers of a watch without changes.
	watchTakes = 1500 * time.Millisecond
)

// host is one host of a simulated fleet.
type host struct {
	reader.Member
	core *reader.Core
	// cut says that the store is out of reach, down that the host does not run.
	cut, down bool
	// seen are the revisions that the host's watch goes on from, heardAt the time of
	// the store's last answer.
	seen    uint64
	heardAt time.Duration
}

// parcel is a note under way.
type parcel struct {
	at   time.Duration
	from reader.Member
	to   string
	note reader.Message
}

// fleet is a simulated fleet with a store that changes.
type fleet struct {
	t     *testing.T
	rnd   *rand.Rand
	now   time.Duration
	hosts []*host
	mail  []parcel
	// revision is that of the store, changedAt the time of its last change.
	revision  uint64
	changedAt time.Duration
	loss      float64
	// apart says that two failure domains do not reach each other.
	apart func(a, b string) bool
	calls int
	// whole counts the whole contents that hosts told each other.
	whole int
}

func newFleet(t *testing.T, domains, each int) *fleet {
	f := &fleet{t: t, rnd: rand.New(rand.NewPCG(7, 7)), revision: 10, apart: func(string, string) bool { return false }}
	for d := range domains {
		for i := range each {
			m := reader.Member{
				Name: fmt.Sprintf("host-%d-%d", d, i), Domain: fmt.Sprintf("west-%d", d),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), 0, byte(i + 1)}), 7720),
			}
			f.hosts = append(f.hosts, &host{Member: m, core: reader.New(reader.Config{Self: m})})
		}
	}
	for _, h := range f.hosts {
		f.perform(h, h.core.SetMembers(0, f.members()))
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

func (f *fleet) perform(from *host, effects []reader.Effect) {
	for _, e := range effects {
		tell, ok := e.(reader.Send)
		if !ok {
			continue
		}
		if n, ok := tell.Message.(reader.Update); ok && (n.HasAllTargets || n.Routes != nil) {
			f.whole++
		}
		if f.rnd.Float64() < f.loss {
			continue
		}
		f.mail = append(f.mail, parcel{at: f.now + step, from: from.Member, to: tell.To.Name, note: tell.Message})
	}
}

// change makes the store's next revision: one target more, and another table.
func (f *fleet) change() {
	f.revision++
	f.changedAt = f.now
}

func (f *fleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; {
		f.now += step
		f.deliver()
		for _, h := range f.hosts {
			if h.down {
				continue
			}
			f.read(h)
			if f.now%tickEvery == 0 {
				f.perform(h, h.core.Tick(f.now))
			}
		}
	}
}

func (f *fleet) deliver() {
	due := f.mail
	f.mail = nil
	for _, p := range due {
		if p.at > f.now {
			f.mail = append(f.mail, p)
			continue
		}
		for _, h := range f.hosts {
			if h.Name == p.to && !h.down && !f.apart(h.Domain, p.from.Domain) {
				f.perform(h, h.core.HandleMessage(f.now, p.from, p.note))
			}
		}
	}
}

// read answers the watch of a host that reads.
func (f *fleet) read(h *host) {
	if !h.core.IsReading() {
		h.seen = 0
		return
	}
	if h.cut || h.seen == f.revision && f.now-h.heardAt < watchTakes {
		return
	}
	f.calls++
	h.heardAt = f.now
	if h.seen == f.revision {
		f.perform(h, h.core.HandleStoreUpdate(f.now, reader.Update{Revision: f.revision}))
		return
	}
	table := route.NewTable(f.revision, time.Second, someRoutes(3))
	f.perform(h, h.core.HandleStoreUpdate(f.now, reader.Update{Revision: f.revision, Routes: &table}))
	n := reader.Update{Revision: f.revision, HasAllTargets: true, Targets: someTargets(int(f.revision))}
	if h.seen > 0 {
		n.HasAllTargets, n.Targets = false, nil
		for _, t := range someTargets(int(f.revision))[h.seen:] {
			n.Changes = append(n.Changes, catalog.Change{Target: t})
		}
	}
	f.perform(h, h.core.HandleStoreUpdate(f.now, n))
	h.seen = f.revision
}

func (f *fleet) readers() int {
	n := 0
	for _, h := range f.hosts {
		if !h.down && h.core.IsReading() {
			n++
		}
	}
	return n
}

// check holds that every running host that is not cut off believes the newest
// revision.
func (f *fleet) check(except func(*host) bool) {
	f.t.Helper()
	for _, h := range f.hosts {
		if h.down || except != nil && except(h) {
			continue
		}
		c := h.core.Catalog()
		if c.Routes().Number() != f.revision || len(c.Targets()) != int(f.revision) {
			f.t.Fatalf("at %v, %v after the change, %s has routes %d and %d targets of %d",
				f.now, f.now-f.changedAt, h.Name, c.Routes().Number(), len(c.Targets()), f.revision)
		}
	}
}

// bound is the time in which a change has to be in force.
const bound = 3 * time.Second

func TestFewRead(t *testing.T) {
	for _, size := range []struct{ domains, each, readers int }{{4, 2, 2}, {1, 1, 1}, {4, 20, 2}, {4, 40, 8}} {
		f := newFleet(t, size.domains, size.each)
		f.run(10 * time.Second)
		f.check(nil)
		qt.Check(t, f.readers(), qt.Equals, size.readers)
		calls := f.calls
		f.run(15 * time.Second)
		qt.Check(t, f.calls-calls <= size.readers*11, qt.IsTrue, qt.Commentf("%d calls in 15 s", f.calls-calls))
		for range 20 {
			f.change()
			f.run(300 * time.Millisecond)
			f.check(nil)
		}
	}
}

// TestReadersDie kills the readers again and again.
func TestReadersDie(t *testing.T) {
	f := newFleet(t, 4, 3)
	f.run(5 * time.Second)
	for range 5 {
		var killed []*host
		for _, h := range f.hosts {
			if h.core.IsReading() {
				h.down = true
				killed = append(killed, h)
			}
		}
		f.change()
		f.run(bound)
		f.check(nil)
		for _, h := range killed {
			h.down = false
			h.core = reader.New(reader.Config{Self: h.Member})
			h.seen = 0
			f.perform(h, h.core.SetMembers(f.now, f.members()))
		}
		f.run(bound)
		f.check(nil)
	}
	f.run(10 * time.Second)
	qt.Assert(t, f.readers(), qt.Equals, 2)
}

// TestReadersLoseTheStore cuts the readers, and only them, off the store.
func TestReadersLoseTheStore(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.run(5 * time.Second)
	for range 3 {
		for _, h := range f.hosts {
			h.cut = h.core.IsReading()
		}
		f.change()
		f.run(bound)
		f.check(nil)
		for _, h := range f.hosts {
			h.cut = false
		}
		f.run(8 * time.Second)
	}
}

// TestDomainApart cuts a failure domain off the others: it reads for itself, and
// if it has lost the store too it goes on with what it believes and catches up.
func TestDomainApart(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.run(5 * time.Second)
	f.apart = func(a, b string) bool { return a != b && (a == "west-1" || b == "west-1") }
	f.change()
	f.run(bound)
	f.check(nil)
	for _, h := range f.hosts {
		h.cut = h.Domain == "west-1"
	}
	f.change()
	f.run(bound)
	f.check(func(h *host) bool { return h.Domain == "west-1" })
	f.apart = func(string, string) bool { return false }
	f.run(bound)
	f.check(nil)
}

// TestNotesLost loses three notes in ten.
func TestNotesLost(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.loss = 0.3
	f.run(5 * time.Second)
	for range 10 {
		f.change()
		f.run(bound)
		f.check(nil)
	}
}

// TestOnlyForward holds that an older word changes nothing, whoever says it.
func TestOnlyForward(t *testing.T) {
	c := reader.New(reader.Config{Self: self})
	now := route.NewTable(9, time.Second, someRoutes(9))
	old := route.NewTable(8, time.Second, someRoutes(8))
	other := reader.Member{Name: "two", Domain: "west-a", Address: netip.MustParseAddrPort("10.1.0.11:7720")}
	c.HandleStoreUpdate(0, reader.Update{Revision: 20, Routes: &now})
	c.HandleStoreUpdate(0, reader.Update{Revision: 20, HasAllTargets: true, Targets: someTargets(4)})
	c.HandleMessage(0, other, reader.Update{Revision: 19, Routes: &old})
	c.HandleMessage(0, other, reader.Update{Revision: 21, Routes: &old})
	c.HandleMessage(0, other, reader.Update{Revision: 19, HasAllTargets: true})
	c.HandleMessage(0, other, reader.Update{Revision: 20, BaseRevision: 1, Changes: []catalog.Change{{Target: someTargets(1)[0], Removed: true}}})
	qt.Assert(t, c.Catalog().Routes().Number(), qt.Equals, uint64(9))
	qt.Assert(t, c.Catalog().Targets(), qt.HasLen, 4)
}

// TestGapsCostChanges holds that hosts which missed changes are told just these:
// whole contents for all of a large fleet would fill the readers' links.
func TestGapsCostChanges(t *testing.T) {
	f := newFleet(t, 4, 20)
	f.run(5 * time.Second)
	f.loss = 0.2
	f.whole = 0
	for range 30 {
		f.change()
		f.run(700 * time.Millisecond)
	}
	f.run(bound)
	f.check(nil)
	qt.Assert(t, f.whole, qt.Equals, 0)
}

// TestForgetsHostsThatLeft lists a fleet without the hosts that ended: they are
// told nothing more. A host that the list lacks but that is heard stays known.
func TestForgetsHostsThatLeft(t *testing.T) {
	f := newFleet(t, 2, 3)
	f.run(5 * time.Second)
	dead, unlisted := f.hosts[0], f.hosts[1]
	dead.down = true
	f.run(2 * time.Minute)
	var listed []reader.Member
	for _, h := range f.hosts {
		if h != dead && h != unlisted {
			listed = append(listed, h.Member)
		}
	}
	for range 2 {
		for _, h := range f.hosts {
			if !h.down {
				f.perform(h, h.core.HandleMessage(f.now, unlisted.Member, reader.Hello{}))
				f.perform(h, h.core.SetMembers(f.now, listed))
			}
		}
		f.run(time.Second)
	}
	for _, h := range f.hosts[2:] {
		qt.Assert(t, h.core.Members(), qt.Not(qt.Contains), dead.Member)
		qt.Assert(t, h.core.Members(), qt.Contains, unlisted.Member)
	}
}
