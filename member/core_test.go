package member_test

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wisteriaweir/member"
)

// inOtherGroup reports whether a simulated partition separates two nodes.
func inOtherGroup(from, to *node) bool { return from.group != to.group }

// TestFaultsThenConverge checks that the views of all members are equal and correct within 40 s
// after the last of a random series of faults.
func TestFaultsThenConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "domains"), rapid.IntRange(2, 4).Draw(t, "members"))
		s.isPartitioned = inOtherGroup
		s.lossRate, s.duplicateRate = 0.05, 0.05
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
			switch rapid.SampledFrom([]string{"cut", "kill", "restart", "pause", "list"}).Draw(t, "fault") {
			case "cut":
				n.group = rapid.IntRange(0, 2).Draw(t, "group")
			case "kill":
				n.dead = true
			case "restart":
				s.restart(n)
			case "pause":
				n.paused = true
			case "list":
				s.announceHosts(s.nodes)
			}
			s.run(time.Duration(rapid.IntRange(0, 15000).Draw(t, "ms")) * time.Millisecond)
		}
		for _, n := range s.nodes {
			n.group = 0
			s.resume(n)
		}
		s.lossRate = 0
		s.announceHosts(s.nodes)
		s.run(40 * time.Second)
		for _, n := range s.nodes {
			if !n.dead && !reflect.DeepEqual(n.states(), s.wantStates()) {
				t.Fatalf("%s has %v, want %v", n.Name, n.states(), s.wantStates())
			}
		}
	})
}

// TestShortLossChangesNothing guards against suspicions after a short loss of all messages.
// Losses of less than two seconds must leave all members live in all views.
func TestShortLossChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), 2, 3)
		s.run(2 * time.Second)
		s.onPublish = func(n *node, v member.View) {
			for _, e := range v.Entries {
				if e.State != member.StateLive {
					t.Fatalf("%s has %s as %s", n.Name, e.Name, e.State)
				}
			}
		}
		for range 3 {
			s.lossRate = 1
			s.run(time.Duration(rapid.IntRange(0, 1900).Draw(t, "ms")) * time.Millisecond)
			s.lossRate = 0
			s.run(time.Second)
		}
		s.run(10 * time.Second)
	})
}

// TestDeadMemberIsSuspectedThenUnreachableThenRemoved checks the states of a crashed member. It must
// be removed only once the platform no longer lists it. A stale host list must not add it again, and
// a restart must.
func TestDeadMemberIsSuspectedThenUnreachableThenRemoved(t *testing.T) {
	c := qt.New(t)
	s := newSim(1, 2, 4)
	s.run(3 * time.Second)
	c.Assert(s.nodes[1].states(), qt.DeepEquals, s.wantStates())
	crashed := s.nodes[0]
	crashed.dead = true
	s.run(4 * time.Second)
	e, _ := s.nodes[1].view.Entry(crashed.Name)
	c.Assert(e.State, qt.Equals, member.StateSuspect)
	c.Assert(e.AcceptsWork(), qt.IsTrue)
	s.run(4 * time.Second)
	for _, n := range s.nodes[1:] {
		c.Assert(n.states(), qt.DeepEquals, s.wantStates())
	}
	s.run(time.Minute)
	_, ok := s.nodes[1].view.Entry(crashed.Name)
	c.Assert(ok, qt.IsTrue, qt.Commentf("the platform still lists it"))
	s.announceHosts(s.nodes[1:])
	s.run(time.Minute)
	for _, n := range s.nodes[1:] {
		_, ok = n.view.Entry(crashed.Name)
		c.Assert(ok, qt.IsFalse)
	}
	s.announceHosts(s.nodes) // a stale list
	s.run(time.Second)
	_, ok = s.nodes[1].view.Entry(crashed.Name)
	c.Assert(ok, qt.IsFalse)
	s.restart(crashed)
	s.run(5 * time.Second)
	c.Assert(s.nodes[7].states(), qt.DeepEquals, s.wantStates())
}

// TestRemovedMemberThatStillRunsReturns guards against a member that stays removed after the end
// of a partition, because its records are not newer than its tombstone.
func TestRemovedMemberThatStillRunsReturns(t *testing.T) {
	c := qt.New(t)
	s := newSim(2, 1, 4)
	s.isPartitioned = inOtherGroup
	s.nodes[0].group = 1
	s.run(10 * time.Second)
	s.announceHosts(s.nodes[1:])
	s.run(time.Minute)
	_, ok := s.nodes[1].view.Entry(s.nodes[0].Name)
	c.Assert(ok, qt.IsFalse)
	s.nodes[0].group = 0
	s.run(10 * time.Second)
	for _, n := range s.nodes {
		c.Assert(n.states(), qt.DeepEquals, s.wantStates())
	}
}

// TestCutDomainSeesTheOthersReturn partitions a whole domain from the others. Each side must
// consider the other unreachable, and must consider it live again after the partition.
func TestCutDomainSeesTheOthersReturn(t *testing.T) {
	c := qt.New(t)
	s := newSim(3, 4, 3)
	s.isPartitioned = func(from, to *node) bool { return inOtherGroup(from, to) }
	s.run(3 * time.Second)
	for _, n := range s.nodes[:3] {
		n.group = 1
	}
	s.run(member.DomainTimeout + 2*time.Second)
	for _, n := range s.nodes {
		for _, e := range n.view.Entries {
			same := s.nodeAt(e.Control).group == n.group
			c.Assert(e.State == member.StateLive, qt.Equals, same, qt.Commentf("%s has a wrong state of %s", n.Name, e.Name))
		}
	}
	for _, n := range s.nodes {
		n.group = 0
	}
	s.run(3 * time.Second)
	for _, n := range s.nodes {
		c.Assert(n.states(), qt.DeepEquals, s.wantStates())
	}
}

// TestNobodyIsSuspectedAfterAPause guards against a process that considers the others suspect or
// unreachable after a pause of its own, in which it received no heartbeats.
func TestNobodyIsSuspectedAfterAPause(t *testing.T) {
	c := qt.New(t)
	s := newSim(4, 2, 3)
	s.run(3 * time.Second)
	paused := s.nodes[0]
	paused.paused = true
	s.run(20 * time.Second)
	c.Assert(s.nodes[1].states()[paused.Name], qt.Equals, "unreachable/1")
	s.onPublish = func(n *node, v member.View) {
		for _, e := range v.Entries {
			c.Assert(n == paused && e.State != member.StateLive, qt.IsFalse)
		}
	}
	paused.inbox = nil
	s.resume(paused)
	s.run(10 * time.Second)
	c.Assert(s.nodes[1].states(), qt.DeepEquals, s.wantStates())
}

// TestLeavingIsPropagatedAndStays checks that all members see a member as leaving soon, and that
// it gets no new work.
func TestLeavingIsPropagatedAndStays(t *testing.T) {
	c := qt.New(t)
	s := newSim(5, 3, 3)
	s.run(2 * time.Second)
	s.handle(s.nodes[0], member.Leave{})
	s.run(4 * time.Second)
	for _, n := range s.nodes {
		c.Assert(n.states()[s.nodes[0].Name], qt.Equals, "leaving/1")
		c.Assert(n.view.Serving("zone-a"), qt.HasLen, 2)
	}
}

// TestSupersededLifeIsReported checks that a core emits Superseded when it receives a
// heartbeat from a later process instance of the same name.
func TestSupersededLifeIsReported(t *testing.T) {
	c := qt.New(t)
	self := member.Member{Name: "a", Domain: "west", Life: 5}
	core := member.NewCore(member.Config{Self: self})
	later := self
	later.Life = 9
	effects := core.Handle(0, member.HeartbeatReceived{Heartbeat: member.Heartbeat{From: member.Record{Member: later}}})
	c.Assert(effects, qt.DeepEquals, []member.Effect{member.Superseded{Life: 9}})
}

// TestTwoHalvesOfADomain partitions the halves of a domain from each other. While another domain
// reaches both, indirect probes keep all members reachable. Once the other domain is cut off
// too, each half considers the other unreachable, until the partition ends.
func TestTwoHalvesOfADomain(t *testing.T) {
	c := qt.New(t)
	s := newSim(6, 2, 6)
	for i, n := range s.nodes[:6] {
		n.group = 1 + i%2
	}
	s.isPartitioned = func(from, to *node) bool { return from.group+to.group == 3 }
	s.onPublish = func(n *node, v member.View) {
		for _, e := range v.Entries {
			c.Assert(e.State == member.StateUnreachable, qt.IsFalse, qt.Commentf("%s has %s as unreachable", n.Name, e.Name))
		}
	}
	s.run(time.Minute)
	s.onPublish = nil
	s.isPartitioned = inOtherGroup
	s.run(20 * time.Second)
	for _, n := range s.nodes[:6] {
		c.Assert(n.view.Serving("zone-a"), qt.HasLen, 3)
	}
	s.isPartitioned = nil
	s.run(5 * time.Second)
	for _, n := range s.nodes {
		c.Assert(n.states(), qt.DeepEquals, s.wantStates())
	}
}

// TestAPauseIsReported checks that a long time between two ticks is reported as a pause.
func TestAPauseIsReported(t *testing.T) {
	c := qt.New(t)
	core := member.NewCore(member.Config{Self: member.Member{Name: "a", Domain: "west", Life: 1}})
	core.Handle(0, member.Tick{})
	c.Assert(core.Handle(member.TickInterval, member.Tick{}), qt.HasLen, 0)
	effects := core.Handle(3*time.Second, member.Tick{})
	c.Assert(effects, qt.DeepEquals, []member.Effect{member.PauseDetected{Gap: 3*time.Second - member.TickInterval}})
}
