package rollout_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wisteriaweir/member"
	"wisteriaweir/rollout"
	"wisteriaweir/ticket"
)

// TestNeverRevertsAndConverges lets rapid pick faults of the network, the
// platform, the members and the lease. No number may go back, no status may
// claim too much, and after the faults everything has to be in force.
func TestNeverRevertsAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 2).Draw(t, "domains"), rapid.IntRange(1, 7).Draw(t, "members"))
		s.loss = 0.05
		s.mixed = rapid.SampledFrom([]float64{0, 0.2, 1}).Draw(t, "mixed")
		for _, n := range s.nodes {
			n.old = rapid.IntRange(0, 4).Draw(t, "old") == 0
		}
		fence := uint64(0)
		pick := func() *node { return s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")] }
		faults := []string{"ticket", "ticket", "ticket", "lease", "lease", "cut", "kill", "restart", "pause", "resume", "outage", "stale"}
		for range rapid.IntRange(1, 15).Draw(t, "faults") {
			switch rapid.SampledFrom(faults).Draw(t, "fault") {
			case "ticket":
				s.accepted += rapid.Uint64Range(1, 3).Draw(t, "numbers")
			case "lease": // the former holder is not told
				fence++
				s.handle(pick(), rollout.Acquired{Fence: fence})
			case "cut":
				pick().group = rapid.IntRange(0, 1).Draw(t, "group")
			case "kill":
				pick().dead = true
				s.show()
			case "restart":
				s.restart(pick())
			case "pause":
				pick().paused = true
			case "resume":
				s.resume(pick())
			case "outage":
				s.outage = !s.outage
			case "stale":
				s.stale = !s.stale
			}
			s.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			s.wantNoReversal(t)
		}
		s.outage, s.stale, s.loss = false, false, 0
		s.accepted++
		for _, n := range s.nodes {
			n.group = 0
			s.resume(n)
			if n.dead {
				s.restart(n)
			}
		}
		s.handle(s.nodes[0], rollout.Acquired{Fence: fence + 1})
		s.run(20 * time.Second)
		s.wantNoReversal(t)
		for _, n := range s.nodes {
			if n.applied != s.accepted {
				t.Fatalf("%s has %d, want %d", n.Name, n.applied, s.accepted)
			}
		}
		st := s.status("zone-a")
		if st.Number != s.accepted || st.Behind != 0 || st.Holder != s.nodes[0].Name {
			t.Fatalf("status %+v, want number %d", st, s.accepted)
		}
	})
}

// start returns a core that holds number 5 and knows a member b.
func start(c *qt.C) *rollout.Core {
	s := newSim(1, 1, 2)
	core := s.nodes[0].core
	effects := core.Handle(0, rollout.Fetched{Release: release(5)})
	c.Assert(effects[0].(rollout.Apply).Release.Digest, qt.Equals, release(5).Digest)
	return core
}

func half(w rollout.Snapshot) rollout.Snapshot {
	w.Body = w.Body[:len(w.Body)/2]
	return w
}

func since(n, base uint64) rollout.Delta {
	d, _ := release(n).DeltaFrom(release(base))
	return d
}

// relabel pretends that d was made from another release.
func relabel(d rollout.Delta, base uint64) rollout.Delta {
	d.Base, d.BaseDigest = base, release(base).Digest
	return d
}

func TestOnlyForward(t *testing.T) {
	c := qt.New(t)
	core := start(c)
	for _, e := range []rollout.Event{
		rollout.Fetched{Release: release(4)},
		rollout.Fetched{Release: release(5)},
		rollout.Received{From: "a1", Message: rollout.SnapshotReply{Snapshot: whole(release(4))}},
		rollout.Received{From: "a1", Message: rollout.LeaderUpdate{Holder: "a1", Fence: 9, Number: 4, Digest: release(4).Digest, Body: whole(release(4)).Body}},
		rollout.Received{From: "a1", Message: rollout.SnapshotReply{Snapshot: half(whole(release(6)))}},
		rollout.Received{From: "a1", Message: rollout.DeltaReply{Delta: since(4, 3)}},
		rollout.Received{From: "a1", Message: rollout.DeltaReply{Delta: since(6, 4)}},
		rollout.Received{From: "a1", Message: rollout.DeltaReply{Delta: relabel(since(6, 4), 5)}},
		rollout.Received{From: "a1", Message: rollout.DeltaReply{Delta: relabel(since(4, 3), 5)}},
		rollout.Received{From: "a1", Message: rollout.LeaderUpdate{Holder: "a1", Fence: 9, Number: 6, Digest: release(6).Digest, Delta: since(6, 4)}},
	} {
		for _, e := range core.Handle(time.Second, e) {
			_, ok := e.(rollout.Apply)
			c.Assert(ok, qt.IsFalse)
		}
		c.Assert(core.Release().Number, qt.Equals, uint64(5))
	}
}

// TestBadDeltaIsMadeUpForByTheWhole wants a delta that makes another state than
// it says to be answered by a pull without a base.
func TestBadDeltaIsMadeUpForByTheWhole(t *testing.T) {
	c := qt.New(t)
	for _, m := range []rollout.Message{
		rollout.DeltaReply{Delta: relabel(since(7, 6), 5)},
		rollout.LeaderUpdate{Holder: "a1", Fence: 9, Number: 7, Digest: release(7).Digest, Delta: relabel(since(7, 6), 5)},
	} {
		core := start(c)
		effects := core.Handle(time.Second, rollout.Received{From: "a1", Message: m})
		c.Assert(effects, qt.HasLen, 2)
		c.Assert(effects[0].(rollout.Rejected).Number, qt.Equals, uint64(7))
		c.Assert(effects[1].(rollout.Send).Message, qt.DeepEquals, rollout.Message(rollout.Pull{Number: 5}))
		effects = core.Handle(2*time.Second, rollout.Received{From: "a1", Message: rollout.SnapshotReply{Snapshot: whole(release(7))}})
		c.Assert(effects[0].(rollout.Apply).Release.Digest, qt.Equals, release(7).Digest)
	}
}

// TestPullIsAnsweredByWhatChanged wants who names a known release to get a
// delta, and everybody else the whole.
func TestPullIsAnsweredByWhatChanged(t *testing.T) {
	c := qt.New(t)
	core := start(c)
	core.Handle(time.Second, rollout.Fetched{Release: release(6)})
	for _, x := range []struct {
		pull  rollout.Pull
		delta bool
	}{
		{rollout.Pull{Number: 5, Digest: release(5).Digest}, true},
		{rollout.Pull{Number: 5}, false},
		{rollout.Pull{Number: 5, Digest: "other"}, false},
		{rollout.Pull{Number: 4, Digest: release(4).Digest}, false},
		{rollout.Pull{}, false},
	} {
		effects := core.Handle(time.Second, rollout.Received{From: "a1", Message: x.pull})
		c.Assert(effects, qt.HasLen, 1)
		switch m := effects[0].(rollout.Send).Message.(type) {
		case rollout.DeltaReply:
			c.Check(x.delta, qt.IsTrue)
			got, err := release(5).ApplyDelta(m.Delta)
			c.Assert(err, qt.IsNil)
			c.Check(got.Digest, qt.Equals, release(6).Digest)
		case rollout.SnapshotReply:
			c.Check(x.delta, qt.IsFalse)
			c.Check(m.Snapshot, qt.DeepEquals, whole(release(6)))
		}
	}
	c.Assert(core.Handle(time.Second, rollout.Received{From: "a1", Message: rollout.Pull{Number: 6}}), qt.HasLen, 0)
}

func TestPlatformSettlesAMismatch(t *testing.T) {
	c := qt.New(t)
	core := start(c)
	changed := state(5)
	changed.Fleet.Members = changed.Fleet.Members[:1]
	other := pack(changed)
	heard := rollout.PeerConfigReceived{Number: 5, Digest: other.Digest}
	effects := core.Handle(time.Second, heard)
	c.Assert(effects, qt.DeepEquals, []rollout.Effect{rollout.DigestMismatch{Number: 5, Own: release(5).Digest, Other: other.Digest}})
	c.Assert(core.Handle(time.Second, heard), qt.HasLen, 0)
	c.Assert(core.Handle(time.Second, rollout.Received{From: "a1", Message: rollout.SnapshotReply{Snapshot: whole(other)}}), qt.HasLen, 0)
	effects = core.Handle(5*time.Second, rollout.Tick{})
	c.Assert(effects[0], qt.DeepEquals, rollout.Effect(rollout.Fetch{After: 4}))
	core.Handle(6*time.Second, rollout.Fetched{Release: release(4)})
	c.Assert(core.Release().Digest, qt.Equals, release(5).Digest)
	core.Handle(7*time.Second, rollout.Fetched{Release: other})
	c.Assert(core.Release().Digest, qt.Equals, other.Digest)
}

// TestLowerFenceLeadsNobody wants the word of a former holder to end where it
// arrives: its number is pulled, and it is told who leads.
func TestLowerFenceLeadsNobody(t *testing.T) {
	c := qt.New(t)
	s := newSim(2, 1, 12)
	s.accepted = 1
	s.handle(s.nodes[0], rollout.Acquired{Fence: 3})
	s.run(10 * time.Second)
	former := rollout.LeaderUpdate{Holder: "a1", Fence: 2, Sequence: 100, Number: 2, Digest: release(2).Digest, Body: whole(release(2)).Body}
	effects := s.nodes[2].core.Handle(s.Now(), rollout.Received{From: "a1", Message: former})
	c.Assert(effects, qt.HasLen, 2)
	c.Assert(effects[0].(rollout.Send).Message, qt.DeepEquals, rollout.Message(rollout.Pull{Number: 1, Digest: release(1).Digest}))
	lead := effects[1].(rollout.Send).Message.(rollout.LeaderUpdate)
	c.Assert(lead.Fence, qt.Equals, uint64(3))
	c.Assert(lead.Holder, qt.Equals, "a0")

	effects = s.nodes[1].core.Handle(s.Now(), rollout.Acquired{Fence: 2})
	c.Assert(effects, qt.DeepEquals, []rollout.Effect{rollout.LeaseSuperseded{Fence: 3}})
	next := rollout.LeaderUpdate{Holder: "a1", Fence: 4, Sequence: 1}
	effects = s.nodes[0].core.Handle(s.Now(), rollout.Received{From: "a1", Message: next})
	c.Assert(effects[0], qt.DeepEquals, rollout.Effect(rollout.LeaseSuperseded{Fence: 4}))
}

// TestFormerLifeReportsNothing wants a member that lives again to count as
// behind until it reports.
func TestFormerLifeReportsNothing(t *testing.T) {
	c := qt.New(t)
	s := newSim(5, 1, 4)
	s.accepted = 1
	s.handle(s.nodes[0], rollout.Acquired{Fence: 1})
	s.run(10 * time.Second)
	c.Assert(s.status("zone-a").Behind, qt.Equals, 0)
	s.nodes[2].group = 1
	s.restart(s.nodes[2])
	s.run(10 * time.Second)
	c.Assert(s.status("zone-a").Behind, qt.Equals, 1)
}

// TestStartDuringAnOutage wants a member without anything to get it from peers.
func TestStartDuringAnOutage(t *testing.T) {
	c := qt.New(t)
	s := newSim(3, 2, 5)
	s.accepted = 4
	s.handle(s.nodes[0], rollout.Acquired{Fence: 1})
	s.run(10 * time.Second)
	s.outage = true
	s.restart(s.nodes[7])
	s.nodes[0].dead = true
	s.show()
	s.run(5 * time.Second)
	c.Assert(s.nodes[7].applied, qt.Equals, uint64(4))
}

func TestStatusNamesLaggards(t *testing.T) {
	c := qt.New(t)
	s := newSim(4, 1, 8)
	s.accepted = 1
	s.handle(s.nodes[0], rollout.Acquired{Fence: 1})
	s.run(10 * time.Second)
	s.nodes[3].group = 1
	s.accepted = 2
	s.run(10 * time.Second)
	st := s.status("zone-a")
	c.Assert(st.Number, qt.Equals, uint64(1))
	c.Assert(st.Members, qt.Equals, 8)
	c.Assert(st.Behind, qt.Equals, 1)
	c.Assert(st.Laggards, qt.DeepEquals, []ticket.Laggard{{Name: s.nodes[3].Name, Number: 1}})
}

// TestWokenMemberServesNothingOld pauses members for up to 9 s, in which the
// others may take them for unreachable and put later numbers in force without
// them. Once they run again they may serve nothing older than the status says.
func TestWokenMemberServesNothingOld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 2).Draw(t, "domains"), rapid.IntRange(2, 6).Draw(t, "members"))
		s.loss = 0.05
		s.accepted = 1
		for _, n := range s.nodes {
			if n == s.nodes[0] || n.Domain != s.nodes[0].Domain && n.Name == "b0" {
				s.handle(n, rollout.Acquired{Fence: 1})
			}
		}
		s.run(10 * time.Second)
		for range rapid.IntRange(1, 3).Draw(t, "pauses") {
			n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
			n.paused = true
			before := time.Duration(rapid.IntRange(0, 9000).Draw(t, "paused ms")) * time.Millisecond
			s.run(min(before, member.SuspicionTime))
			n.missed = before > member.SuspicionTime
			s.show()
			s.accepted++
			s.run(max(before-member.SuspicionTime, 0))
			s.resume(n)
			s.run(time.Duration(rapid.IntRange(0, 500).Draw(t, "ticket ms")) * time.Millisecond)
			s.accepted++
			s.run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "listed ms")) * time.Millisecond)
			n.missed = false
			s.show()
			s.run(5 * time.Second)
			s.wantNoReversal(t)
			if !n.core.IsFresh() || n.applied != s.accepted {
				t.Fatalf("%s has %d, want %d, fresh %t", n.Name, n.applied, s.accepted, n.core.IsFresh())
			}
		}
	})
}

// TestNobodyAnswersAfterAPause wants a balancer that nobody answers to go on
// with what it has.
func TestNobodyAnswersAfterAPause(t *testing.T) {
	c := qt.New(t)
	core := start(c)
	core.Handle(time.Second, rollout.ReleaseActive{Number: 5})
	effects := core.Handle(4*time.Second, rollout.Tick{})
	c.Assert(core.IsFresh(), qt.IsFalse)
	check := effects[len(effects)-1].(rollout.Send).Message.(rollout.VersionQuery)
	core.Handle(4*time.Second, rollout.Received{From: "a1", Message: rollout.VersionReply{Nonce: check.Nonce + 1, Number: 5, IsReceiverReachable: true, IsLeaseHolder: true}})
	c.Assert(core.IsFresh(), qt.IsFalse)
	c.Assert(core.Handle(4*time.Second, rollout.Received{From: "a1", Message: rollout.VersionQuery{Nonce: 1}}), qt.HasLen, 0)
	core.Handle(6*time.Second, rollout.Tick{})
	c.Assert(core.IsFresh(), qt.IsFalse)
	core.Handle(7*time.Second, rollout.Tick{})
	c.Assert(core.IsFresh(), qt.IsTrue)
}

// TestHalvesOfADomainMeetAgain wants the half without the holder to catch up
// within seconds: by deltas after a short cut, by wholes after a long one.
func TestHalvesOfADomainMeetAgain(t *testing.T) {
	for _, x := range []struct {
		numbers int
		wholes  bool
	}{{3, false}, {15, false}, {25, true}} {
		t.Run(fmt.Sprint(x.numbers), func(t *testing.T) {
			c := qt.New(t)
			s := newSim(6, 1, 8)
			s.accepted = 1
			s.handle(s.nodes[0], rollout.Acquired{Fence: 1})
			s.run(15 * time.Second)
			for _, n := range s.nodes[4:] {
				n.group = 1
			}
			for range x.numbers {
				s.accepted++
				s.run(time.Second)
			}
			c.Assert(s.nodes[7].applied, qt.Equals, uint64(1))
			s.wholes = 0
			for _, n := range s.nodes {
				n.group = 0
			}
			s.run(5 * time.Second)
			for _, n := range s.nodes {
				c.Check(n.applied, qt.Equals, s.accepted, qt.Commentf("%s", n.Name))
			}
			c.Check(s.wholes > 0, qt.Equals, x.wholes)
			c.Check(s.failed, qt.Equals, "")
		})
	}
}
