package reader_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/catalog"
	"wisteriaweir/evacuation"
	"wisteriaweir/reader"
)

// maxEvacuationPropagation is the time within which hosts must know a change of the
// evacuations if no message is lost.
const maxEvacuationPropagation = 500 * time.Millisecond

// evacuations returns the evacuations in the store.
func (f *fleet) evacuations() evacuation.Set {
	return evacuation.NewSet().WithChanges(f.evacuationChanges)
}

// evacuationsRevision returns the store's revision of the evacuations.
func (f *fleet) evacuationsRevision() uint64 {
	return uint64(len(f.evacuationChanges)) + 1
}

// serveEvacuations returns the store's response to a reader's list or watch of the
// evacuations, if there is anything new.
func (f *fleet) serveEvacuations(h *host) {
	if !f.usesEvacuations || !h.core.IsReading() {
		h.watchedEvacuations = 0
		return
	}
	if h.storeUnreachable || h.watchedEvacuations == f.evacuationsRevision() {
		return
	}
	u := reader.Update{Position: at(f.evacuationsRevision())}
	if h.watchedEvacuations == 0 {
		set := f.evacuations()
		u.Evacuations = &set
	} else {
		u.EvacuationChanges = f.evacuationChanges[h.watchedEvacuations-1:]
	}
	h.watchedEvacuations = f.evacuationsRevision()
	f.applyEffects(h, h.core.HandleStoreUpdate(f.now, u))
}

// changeEvacuations writes changes to the store.
func (f *fleet) changeEvacuations(changes ...evacuation.Change) {
	f.evacuationChanges = append(f.evacuationChanges, changes...)
}

// checkEvacuations fails the test if a running host does not know the evacuations in the
// store.
func (f *fleet) checkEvacuations() {
	f.t.Helper()
	for _, h := range f.hosts {
		if c := h.core.Catalog(); !h.stopped {
			qt.Assert(f.t, c.EvacuationsPosition().IsKnown(), qt.IsTrue, qt.Commentf("%s", h.Name))
			qt.Assert(f.t, c.Evacuations().Domains(), qt.DeepEquals, f.evacuations().Domains(), qt.Commentf("%s", h.Name))
		}
	}
}

var (
	requestA  = evacuation.Change{Domain: "west-a"}
	withdrawA = evacuation.Change{Domain: "west-a", Withdrawn: true}
	requestB  = evacuation.Change{Domain: "west-b"}
)

// TestEvacuationsReachAllHosts guards against a request or a withdrawal that hosts learn
// late or never: with lost messages, after a start, or without the readers that knew it.
func TestEvacuationsReachAllHosts(t *testing.T) {
	for _, size := range []struct{ domains, hostsPerDomain int }{{4, 2}, {4, 20}, {4, 40}} {
		f := newFleet(t, size.domains, size.hostsPerDomain)
		f.usesEvacuations = true
		f.run(5 * time.Second)
		for _, changes := range [][]evacuation.Change{{requestA}, {requestB}, {withdrawA, requestA}, {withdrawA}} {
			f.changeEvacuations(changes...)
			f.run(maxEvacuationPropagation)
			f.checkEvacuations()
		}
		f.loss = 0.3
		f.changeEvacuations(requestA)
		f.run(maxPropagation)
		f.checkEvacuations()
		for _, h := range f.hosts {
			if h.core.IsReading() {
				h.core = reader.New(reader.Config{Self: h.Member, UsesEvacuations: true})
				f.applyEffects(h, h.core.SetMembers(f.now, f.members()))
			}
		}
		f.changeEvacuations(withdrawA)
		f.run(maxPropagation)
		f.checkEvacuations()
	}
}

// newReader returns a core that reads the store, and another host that it knows.
func newReader(t *testing.T) (*reader.Core, reader.Member) {
	other := reader.Member{Name: "two", Domain: "west-a", Address: netip.MustParseAddrPort("10.1.0.11:7720")}
	c := reader.New(reader.Config{Self: self, UsesEvacuations: true})
	c.SetMembers(0, []reader.Member{self, other})
	for now := time.Duration(0); !c.IsReading(); now += tickInterval {
		qt.Assert(t, now < 10*time.Second, qt.IsTrue)
		c.Tick(now)
	}
	return c, other
}

// sentEvacuations returns the revisions of the evacuation updates among effects.
func sentEvacuations(effects []reader.Effect) []uint64 {
	var revisions []uint64
	for _, e := range effects {
		if send, ok := e.(reader.Send); ok {
			if u, ok := send.Message.(reader.EvacuationUpdate); ok {
				revisions = append(revisions, u.Position.Revision)
			}
		}
	}
	return revisions
}

// TestEvacuationUpdates guards against a set that an older message replaces, a set that is
// sent although a list contains nothing new, and a gap that is not closed.
func TestEvacuationUpdates(t *testing.T) {
	c, other := newReader(t)
	set := evacuation.NewSet("west-a")
	qt.Assert(t, sentEvacuations(c.HandleStoreUpdate(0, reader.Update{Position: at(20), Evacuations: &set})), qt.DeepEquals, []uint64{20})
	qt.Assert(t, c.HandleStoreUpdate(0, reader.Update{Position: at(25), Evacuations: &set}), qt.HasLen, 0)
	c.HandleMessage(0, other, reader.EvacuationUpdate{Position: at(19)})
	c.HandleMessage(0, other, reader.EvacuationUpdate{Position: at(20)})
	qt.Assert(t, c.Catalog().Evacuations().Domains(), qt.DeepEquals, []string{"west-a"})

	qt.Assert(t, sentEvacuations(c.HandleMessage(0, other, reader.UpdateRequest{Positions: reader.Positions{Evacuations: at(20)}})), qt.HasLen, 0)
	qt.Assert(t, sentEvacuations(c.HandleMessage(0, other, reader.UpdateRequest{Positions: reader.Positions{Evacuations: at(19)}})), qt.DeepEquals, []uint64{20})

	effects := c.HandleMessage(time.Second, other, reader.Heartbeat{Positions: reader.Positions{Evacuations: at(21)}, IsReading: true})
	qt.Assert(t, effects, qt.HasLen, 1)
	qt.Assert(t, effects[0], qt.Equals, reader.Effect(reader.Send{To: other, Message: reader.UpdateRequest{Positions: reader.Positions{Evacuations: at(20)}}}))
	effects = c.HandleMessage(time.Second, other, reader.EvacuationUpdate{Position: at(21)})
	qt.Assert(t, effects, qt.HasLen, 1)
	qt.Assert(t, c.Catalog().Evacuations().Size(), qt.Equals, 0)
}

// TestLostEvacuationStaysInForce guards against new flows to a failure domain whose
// evacuation the store has lost by coming back from an older copy, before the operator has
// requested it again.
func TestLostEvacuationStaysInForce(t *testing.T) {
	c := reader.New(reader.Config{Self: self, UsesEvacuations: true})
	requested, listed := evacuation.NewSet("west-a", "west-b"), evacuation.NewSet("west-b")
	c.HandleStoreUpdate(0, reader.Update{Position: catalog.Position{Era: 1, Revision: 20}, Evacuations: &requested})
	published := func(effects []reader.Effect) []string {
		for _, e := range effects {
			if p, ok := e.(reader.Publish); ok {
				return p.Catalog.Evacuations().Domains()
			}
		}
		return nil
	}
	restored := func(revision uint64, set *evacuation.Set) []reader.Effect {
		return c.HandleStoreUpdate(time.Second, reader.Update{Position: catalog.Position{Era: 2, Revision: revision}, Evacuations: set})
	}
	qt.Assert(t, published(restored(12, &listed)), qt.DeepEquals, []string{"west-a", "west-b"})
	qt.Assert(t, c.Catalog().Evacuations().Domains(), qt.DeepEquals, []string{"west-b"})
	qt.Assert(t, published(c.Tick(9*time.Second)), qt.HasLen, 0)
	qt.Assert(t, published(c.Tick(12*time.Second)), qt.DeepEquals, []string{"west-b"})

	// Requested again and withdrawn: it must not come back.
	none := evacuation.NewSet()
	c.HandleStoreUpdate(13*time.Second, reader.Update{Position: catalog.Position{Era: 3, Revision: 11}, Evacuations: &none})
	c.HandleStoreUpdate(13*time.Second, reader.Update{Position: catalog.Position{Era: 3, Revision: 12}, Evacuations: &listed})
	withdrawn := c.HandleStoreUpdate(14*time.Second, reader.Update{Position: catalog.Position{Era: 3, Revision: 13}, Evacuations: &none})
	qt.Assert(t, published(withdrawn), qt.HasLen, 0)
}
