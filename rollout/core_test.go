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

// TestNeverRevertsAndConverges injects random faults of the network, the platform,
// the members and the lease. It guards against members that go back to a lower
// number, against a status that reports a higher number than is active, and
// against members that do not reach the newest number after the faults.
func TestNeverRevertsAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 2).Draw(t, "domains"), rapid.IntRange(1, 7).Draw(t, "members"))
		s.lossRatio = 0.05
		s.mixedRatio = rapid.SampledFrom([]float64{0, 0.2, 1}).Draw(t, "mixed")
		for _, n := range s.nodes {
			n.lacksDeltas = rapid.IntRange(0, 4).Draw(t, "old") == 0
		}
		fence := uint64(0)
		pick := func() *node { return s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")] }
		faults := []string{"ticket", "ticket", "ticket", "lease", "lease", "cut", "kill", "restart", "pause", "resume", "outage", "stale"}
		for range rapid.IntRange(1, 15).Draw(t, "faults") {
			switch rapid.SampledFrom(faults).Draw(t, "fault") {
			case "ticket":
				s.accepted += rapid.Uint64Range(1, 3).Draw(t, "numbers")
			case "lease": // the former lease holder does not learn that it lost the lease
				fence++
				s.handle(pick(), rollout.LeaseAcquired{Fence: fence})
			case "cut":
				pick().partition = rapid.IntRange(0, 1).Draw(t, "group")
			case "kill":
				pick().dead = true
				s.publishView()
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
			s.requireNoFailure(t)
		}
		s.outage, s.stale, s.lossRatio = false, false, 0
		s.accepted++
		for _, n := range s.nodes {
			n.partition = 0
			s.resume(n)
			if n.dead {
				s.restart(n)
			}
		}
		s.handle(s.nodes[0], rollout.LeaseAcquired{Fence: fence + 1})
		s.run(20 * time.Second)
		s.requireNoFailure(t)
		for _, n := range s.nodes {
			if n.appliedNumber != s.accepted {
				t.Fatalf("%s has %d, want %d", n.Name, n.appliedNumber, s.accepted)
			}
		}
		st := s.status("zone-a")
		if st.Number != s.accepted || st.Behind != 0 || st.Holder != s.nodes[0].Name {
			t.Fatalf("status %+v, want number %d", st, s.accepted)
		}
	})
}

// newTestCore returns the core of member a0, with release 5 and a view with member
// a1.
func newTestCore(c *qt.C) *rollout.Core {
	s := newSim(1, 1, 2)
	core := s.nodes[0].core
	effects := core.Handle(0, rollout.Fetched{Release: release(5)})
	c.Assert(effects[0].(rollout.Apply).Release.Digest, qt.Equals, release(5).Digest)
	return core
}

// truncate returns snap with the first half of its body.
func truncate(snap rollout.Snapshot) rollout.Snapshot {
	snap.Body = snap.Body[:len(snap.Body)/2]
	return snap
}

// deltaBetween returns the delta from release base to release n.
func deltaBetween(n, base uint64) rollout.Delta {
	d, _ := release(n).DeltaFrom(release(base))
	return d
}

// withBase returns d with another base release named in it.
func withBase(d rollout.Delta, base uint64) rollout.Delta {
	d.BaseNumber, d.BaseDigest = base, release(base).Digest
	return d
}

// TestOnlyForward guards against a core that applies a release with a lower or equal
// number, a truncated snapshot, or a delta whose base or content does not match.
func TestOnlyForward(t *testing.T) {
	c := qt.New(t)
	core := newTestCore(c)
	for _, e := range []rollout.Event{
		rollout.Fetched{Release: release(4)},
		rollout.Fetched{Release: release(5)},
		rollout.MessageReceived{From: "a1", Message: rollout.SnapshotReply{Snapshot: snapshot(release(4))}},
		rollout.MessageReceived{From: "a1", Message: rollout.LeaderUpdate{Holder: "a1", Fence: 9, Number: 4, Digest: release(4).Digest, Body: snapshot(release(4)).Body}},
		rollout.MessageReceived{From: "a1", Message: rollout.SnapshotReply{Snapshot: truncate(snapshot(release(6)))}},
		rollout.MessageReceived{From: "a1", Message: rollout.DeltaReply{Delta: deltaBetween(4, 3)}},
		rollout.MessageReceived{From: "a1", Message: rollout.DeltaReply{Delta: deltaBetween(6, 4)}},
		rollout.MessageReceived{From: "a1", Message: rollout.DeltaReply{Delta: withBase(deltaBetween(6, 4), 5)}},
		rollout.MessageReceived{From: "a1", Message: rollout.DeltaReply{Delta: withBase(deltaBetween(4, 3), 5)}},
		rollout.MessageReceived{From: "a1", Message: rollout.LeaderUpdate{Holder: "a1", Fence: 9, Number: 6, Digest: release(6).Digest, Delta: deltaBetween(6, 4)}},
	} {
		for _, e := range core.Handle(time.Second, e) {
			_, ok := e.(rollout.Apply)
			c.Assert(ok, qt.IsFalse)
		}
		c.Assert(core.Release().Number, qt.Equals, uint64(5))
	}
}

// TestBadDeltaIsFollowedByASnapshot guards against a member that gets stuck on a
// delta that results in another state than it names: the member has to reject it
// and to send a Pull without a base, which is answered by a Snapshot.
func TestBadDeltaIsFollowedByASnapshot(t *testing.T) {
	c := qt.New(t)
	for _, m := range []rollout.Message{
		rollout.DeltaReply{Delta: withBase(deltaBetween(7, 6), 5)},
		rollout.LeaderUpdate{Holder: "a1", Fence: 9, Number: 7, Digest: release(7).Digest, Delta: withBase(deltaBetween(7, 6), 5)},
	} {
		core := newTestCore(c)
		effects := core.Handle(time.Second, rollout.MessageReceived{From: "a1", Message: m})
		c.Assert(effects, qt.HasLen, 2)
		c.Assert(effects[0].(rollout.Rejected).Number, qt.Equals, uint64(7))
		c.Assert(effects[1].(rollout.Send).Message, qt.DeepEquals, rollout.Message(rollout.Pull{Number: 5}))
		effects = core.Handle(2*time.Second, rollout.MessageReceived{From: "a1", Message: rollout.SnapshotReply{Snapshot: snapshot(release(7))}})
		c.Assert(effects[0].(rollout.Apply).Release.Digest, qt.Equals, release(7).Digest)
	}
}

// TestPullOfAKnownReleaseIsAnsweredByADelta checks that a Pull that names a
// retained release is answered by a delta, and any other Pull by a snapshot. A
// delta from the wrong release could not be applied.
func TestPullOfAKnownReleaseIsAnsweredByADelta(t *testing.T) {
	c := qt.New(t)
	core := newTestCore(c)
	core.Handle(time.Second, rollout.Fetched{Release: release(6)})
	for _, x := range []struct {
		pull      rollout.Pull
		wantDelta bool
	}{
		{rollout.Pull{Number: 5, Digest: release(5).Digest}, true},
		{rollout.Pull{Number: 5}, false},
		{rollout.Pull{Number: 5, Digest: "other"}, false},
		{rollout.Pull{Number: 4, Digest: release(4).Digest}, false},
		{rollout.Pull{}, false},
	} {
		effects := core.Handle(time.Second, rollout.MessageReceived{From: "a1", Message: x.pull})
		c.Assert(effects, qt.HasLen, 1)
		switch m := effects[0].(rollout.Send).Message.(type) {
		case rollout.DeltaReply:
			c.Check(x.wantDelta, qt.IsTrue)
			got, err := release(5).ApplyDelta(m.Delta)
			c.Assert(err, qt.IsNil)
			c.Check(got.Digest, qt.Equals, release(6).Digest)
		case rollout.SnapshotReply:
			c.Check(x.wantDelta, qt.IsFalse)
			c.Check(m.Snapshot, qt.DeepEquals, snapshot(release(6)))
		}
	}
	c.Assert(core.Handle(time.Second, rollout.MessageReceived{From: "a1", Message: rollout.Pull{Number: 6}}), qt.HasLen, 0)
}

// TestPlatformSettlesAMismatch guards against balancers that keep different
// releases under one number. The mismatch has to be reported once. Only the platform's
// release of that number may replace the current one, not a peer's release, and not an
// older release of the platform.
func TestPlatformSettlesAMismatch(t *testing.T) {
	c := qt.New(t)
	core := newTestCore(c)
	changed := state(5)
	changed.Fleet.Members = changed.Fleet.Members[:1]
	other := pack(changed)
	received := rollout.PeerReleaseReceived{Number: 5, Digest: other.Digest}
	effects := core.Handle(time.Second, received)
	c.Assert(effects, qt.DeepEquals, []rollout.Effect{rollout.DigestMismatch{Number: 5, Own: release(5).Digest, Other: other.Digest}})
	c.Assert(core.Handle(time.Second, received), qt.HasLen, 0)
	c.Assert(core.Handle(time.Second, rollout.MessageReceived{From: "a1", Message: rollout.SnapshotReply{Snapshot: snapshot(other)}}), qt.HasLen, 0)
	effects = core.Handle(5*time.Second, rollout.Tick{})
	c.Assert(effects[0], qt.DeepEquals, rollout.Effect(rollout.Fetch{After: 4}))
	core.Handle(6*time.Second, rollout.Fetched{Release: release(4)})
	c.Assert(core.Release().Digest, qt.Equals, release(5).Digest)
	core.Handle(7*time.Second, rollout.Fetched{Release: other})
	c.Assert(core.Release().Digest, qt.Equals, other.Digest)
}

// TestLeaderUpdateWithALowerFenceIsNotForwarded guards against a former lease
// holder that still controls the tree. A member that receives its LeaderUpdate
// pulls the newer release and replies with the current lease holder, but forwards
// nothing. A lease holder that sees a higher fencing number gives up its role.
func TestLeaderUpdateWithALowerFenceIsNotForwarded(t *testing.T) {
	c := qt.New(t)
	s := newSim(2, 1, 12)
	s.accepted = 1
	s.handle(s.nodes[0], rollout.LeaseAcquired{Fence: 3})
	s.run(10 * time.Second)
	former := rollout.LeaderUpdate{Holder: "a1", Fence: 2, Sequence: 100, Number: 2, Digest: release(2).Digest, Body: snapshot(release(2)).Body}
	effects := s.nodes[2].core.Handle(s.Now(), rollout.MessageReceived{From: "a1", Message: former})
	c.Assert(effects, qt.HasLen, 2)
	c.Assert(effects[0].(rollout.Send).Message, qt.DeepEquals, rollout.Message(rollout.Pull{Number: 1, Digest: release(1).Digest}))
	update := effects[1].(rollout.Send).Message.(rollout.LeaderUpdate)
	c.Assert(update.Fence, qt.Equals, uint64(3))
	c.Assert(update.Holder, qt.Equals, "a0")

	effects = s.nodes[1].core.Handle(s.Now(), rollout.LeaseAcquired{Fence: 2})
	c.Assert(effects, qt.DeepEquals, []rollout.Effect{rollout.LeaseSuperseded{Fence: 3}})
	next := rollout.LeaderUpdate{Holder: "a1", Fence: 4, Sequence: 1}
	effects = s.nodes[0].core.Handle(s.Now(), rollout.MessageReceived{From: "a1", Message: next})
	c.Assert(effects[0], qt.DeepEquals, rollout.Effect(rollout.LeaseSuperseded{Fence: 4}))
}

// TestReportOfAnEarlierInstanceIsNotCounted guards against a status that counts a
// restarted member by the report of its earlier instance. Until the new instance
// reports, it counts as behind.
func TestReportOfAnEarlierInstanceIsNotCounted(t *testing.T) {
	c := qt.New(t)
	s := newSim(5, 1, 4)
	s.accepted = 1
	s.handle(s.nodes[0], rollout.LeaseAcquired{Fence: 1})
	s.run(10 * time.Second)
	c.Assert(s.status("zone-a").Behind, qt.Equals, 0)
	s.nodes[2].partition = 1
	s.restart(s.nodes[2])
	s.run(10 * time.Second)
	c.Assert(s.status("zone-a").Behind, qt.Equals, 1)
}

// TestStartDuringAnOutage guards against a member that depends on the platform to
// start: during an outage, and with the lease holder dead, a restarted member
// receives the release from its peers.
func TestStartDuringAnOutage(t *testing.T) {
	c := qt.New(t)
	s := newSim(3, 2, 5)
	s.accepted = 4
	s.handle(s.nodes[0], rollout.LeaseAcquired{Fence: 1})
	s.run(10 * time.Second)
	s.outage = true
	s.restart(s.nodes[7])
	s.nodes[0].dead = true
	s.publishView()
	s.run(5 * time.Second)
	c.Assert(s.nodes[7].appliedNumber, qt.Equals, uint64(4))
}

// TestStatusNamesLaggards guards against a status with a number that is not active on
// a partitioned member: the status has to keep the lower number and to list the member
// as a laggard.
func TestStatusNamesLaggards(t *testing.T) {
	c := qt.New(t)
	s := newSim(4, 1, 8)
	s.accepted = 1
	s.handle(s.nodes[0], rollout.LeaseAcquired{Fence: 1})
	s.run(10 * time.Second)
	s.nodes[3].partition = 1
	s.accepted = 2
	s.run(10 * time.Second)
	st := s.status("zone-a")
	c.Assert(st.Number, qt.Equals, uint64(1))
	c.Assert(st.Members, qt.Equals, 8)
	c.Assert(st.Behind, qt.Equals, 1)
	c.Assert(st.Laggards, qt.DeepEquals, []ticket.Laggard{{Name: s.nodes[3].Name, Number: 1}})
}

// TestResumedMemberServesNoOlderRelease pauses members for up to 9 s. Meanwhile the
// others may consider them unreachable and activate higher numbers without them.
// It guards against a resumed member whose traffic follows a lower number than the
// status reports.
func TestResumedMemberServesNoOlderRelease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 2).Draw(t, "domains"), rapid.IntRange(2, 6).Draw(t, "members"))
		s.lossRatio = 0.05
		s.accepted = 1
		for _, n := range s.nodes {
			if n == s.nodes[0] || n.Domain != s.nodes[0].Domain && n.Name == "b0" {
				s.handle(n, rollout.LeaseAcquired{Fence: 1})
			}
		}
		s.run(10 * time.Second)
		for range rapid.IntRange(1, 3).Draw(t, "pauses") {
			n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
			n.paused = true
			pauseDuration := time.Duration(rapid.IntRange(0, 9000).Draw(t, "paused ms")) * time.Millisecond
			s.run(min(pauseDuration, member.SuspicionTimeout))
			n.isUnreachable = pauseDuration > member.SuspicionTimeout
			s.publishView()
			s.accepted++
			s.run(max(pauseDuration-member.SuspicionTimeout, 0))
			s.resume(n)
			s.run(time.Duration(rapid.IntRange(0, 500).Draw(t, "ticket ms")) * time.Millisecond)
			s.accepted++
			s.run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "listed ms")) * time.Millisecond)
			n.isUnreachable = false
			s.publishView()
			s.run(5 * time.Second)
			s.requireNoFailure(t)
			if !n.core.IsFresh() || n.appliedNumber != s.accepted {
				t.Fatalf("%s has %d, want %d, fresh %t", n.Name, n.appliedNumber, s.accepted, n.core.IsFresh())
			}
		}
	})
}

// TestNoReplyAfterAPause guards against a balancer that stays stale forever after
// a pause. Without a valid reply it continues with its active release after 3 s,
// and does not answer queries until then.
func TestNoReplyAfterAPause(t *testing.T) {
	c := qt.New(t)
	core := newTestCore(c)
	core.Handle(time.Second, rollout.ReleaseActive{Number: 5})
	effects := core.Handle(4*time.Second, rollout.Tick{})
	c.Assert(core.IsFresh(), qt.IsFalse)
	query := effects[len(effects)-1].(rollout.Send).Message.(rollout.VersionQuery)
	core.Handle(4*time.Second, rollout.MessageReceived{From: "a1", Message: rollout.VersionReply{Nonce: query.Nonce + 1, Number: 5, IsReceiverReachable: true, IsLeaseHolder: true}})
	c.Assert(core.IsFresh(), qt.IsFalse)
	c.Assert(core.Handle(4*time.Second, rollout.MessageReceived{From: "a1", Message: rollout.VersionQuery{Nonce: 1}}), qt.HasLen, 0)
	core.Handle(6*time.Second, rollout.Tick{})
	c.Assert(core.IsFresh(), qt.IsFalse)
	core.Handle(7*time.Second, rollout.Tick{})
	c.Assert(core.IsFresh(), qt.IsTrue)
}

// TestPartitionedDomainConverges partitions a domain in halves and checks that
// the half without the lease holder catches up within 5 s after the partition: by
// deltas after a short partition, by snapshots after one with more changes than
// there are retained releases.
func TestPartitionedDomainConverges(t *testing.T) {
	for _, x := range []struct {
		numbers       int
		wantSnapshots bool
	}{{3, false}, {15, false}, {25, true}} {
		t.Run(fmt.Sprint(x.numbers), func(t *testing.T) {
			c := qt.New(t)
			s := newSim(6, 1, 8)
			s.accepted = 1
			s.handle(s.nodes[0], rollout.LeaseAcquired{Fence: 1})
			s.run(15 * time.Second)
			for _, n := range s.nodes[4:] {
				n.partition = 1
			}
			for range x.numbers {
				s.accepted++
				s.run(time.Second)
			}
			c.Assert(s.nodes[7].appliedNumber, qt.Equals, uint64(1))
			s.snapshots = 0
			for _, n := range s.nodes {
				n.partition = 0
			}
			s.run(5 * time.Second)
			for _, n := range s.nodes {
				c.Check(n.appliedNumber, qt.Equals, s.accepted, qt.Commentf("%s", n.Name))
			}
			c.Check(s.snapshots > 0, qt.Equals, x.wantSnapshots)
			c.Check(s.failure, qt.Equals, "")
		})
	}
}
