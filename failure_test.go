package main

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/fake"
	"wisteriaweir/target"
)

// copyShare is the share of the callers' datagrams that reach two balancers in
// tests of requests that may not be repeated.
const copyShare = 0.2

// retireTime is how long a target may get new requests after its drain is in
// force.
const retireTime = time.Second

// neverAllowed fails if something happened that no fault excuses. One fault of
// a balancer or of the platform leaves nearly every request its answer.
func neverAllowed(c *qt.C, r fake.Result) {
	c.Check(r.Lost, qt.Equals, 0)
	c.Check(r.Doubled, qt.Equals, 0)
	c.Check(r.Crossed, qt.Equals, 0)
	c.Check(r.Requests > 0, qt.IsTrue)
	c.Check(r.Answered > r.Requests*95/100, qt.IsTrue, qt.Commentf("%v", r))
}

// TestRollingRestartCutsNothing restarts every balancer with SIGTERM under
// load.
func TestRollingRestartCutsNothing(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 4, 4)
	r := s.load(60*time.Second, func() {
		for _, p := range s.balancers {
			s.stop(p)
			s.start(p)
			s.waitReady()
		}
	})
	neverAllowed(s.c, r)
	s.c.Check(r.Broken, qt.Equals, 0)
	s.c.Check(r.Unknown, qt.Equals, 0)
}

// TestKilledBalancerLosesNothing ends one of five balancers with SIGKILL under
// load and starts it again.
func TestKilledBalancerLosesNothing(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 5, 4)
	s.fabric.SetDuplicateRate(copyShare)
	r := s.load(20*time.Second, func() {
		time.Sleep(5 * time.Second)
		p := s.balancers[1]
		s.kill(p)
		time.Sleep(5 * time.Second)
		s.start(p)
	})
	neverAllowed(s.c, r)
	s.c.Check(r.Broken, qt.Equals, 0)
}

// TestFrozenBalancerDoublesNothing stops one of five balancers with SIGSTOP for
// longer than it takes to be given up, and lets it go on unaware.
func TestFrozenBalancerDoublesNothing(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 5, 4)
	s.fabric.SetDuplicateRate(copyShare)
	r := s.load(25*time.Second, func() {
		time.Sleep(5 * time.Second)
		p := s.balancers[2]
		s.signal(p, syscall.SIGSTOP)
		time.Sleep(8 * time.Second)
		s.signal(p, syscall.SIGCONT)
	})
	neverAllowed(s.c, r)
	s.c.Check(r.Broken, qt.Equals, 0)
}

// TestPlatformOutageStopsNothing makes the platform fail for a minute, kills a
// balancer in it, and submits a ticket after it.
func TestPlatformOutageStopsNothing(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 5, 4)
	r := s.load(80*time.Second, func() {
		time.Sleep(2 * time.Second)
		s.platform.SetFaults(s.platform.Faults().WithOutage(true))
		time.Sleep(20 * time.Second)
		s.kill(s.balancers[3])
		time.Sleep(40 * time.Second)
		s.platform.SetFaults(s.platform.Faults().WithOutage(false))
		time.Sleep(5 * time.Second)
		pool := s.pool["levy-desk"]
		pool[0].Drain = true
		s.submit()
		took := s.waitInForce(5 * time.Second)
		t.Logf("in force after %v", took)
	})
	neverAllowed(s.c, r)
	s.c.Check(r.Broken, qt.Equals, 0)
}

// TestDrainedTargetKeepsItsFlows drains targets of both services one after the
// other under load; each ticket has to be in force within 5 s, and a drained
// target runs no new request from retireTime after that.
func TestDrainedTargetKeepsItsFlows(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 4, 4)
	retired := make(map[string]int)
	r := s.load(20*time.Second, func() {
		for i := range 3 {
			time.Sleep(4 * time.Second)
			for _, pool := range s.pool {
				pool[i].Drain = true
			}
			s.submit()
			took := s.waitInForce(5 * time.Second)
			t.Logf("ticket %d in force after %v", s.ticket, took)
			time.Sleep(retireTime)
			for _, pool := range s.pool {
				retired[pool[i].Name] = len(s.targets[pool[i].Name].State().Runs)
			}
		}
	})
	s.c.Check(retired, qt.HasLen, 6)
	for name, ran := range retired {
		s.c.Check(len(s.targets[name].State().Runs), qt.Equals, ran, qt.Commentf("%s ran new requests", name))
	}
	neverAllowed(s.c, r)
	s.c.Check(r.Broken, qt.Equals, 0)
	s.c.Check(r.Unknown, qt.Equals, 0)
}

// TestRestartAfterDrainsCutsNothing restarts a balancer with SIGTERM when three
// of four targets of each service are drained: its next life has to keep flows
// on targets that its tables don't name.
func TestRestartAfterDrainsCutsNothing(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 4, 4)
	r := s.load(40*time.Second, func() {
		time.Sleep(4 * time.Second)
		for i := range 3 {
			for _, pool := range s.pool {
				pool[i].Drain = true
			}
			s.submit()
			s.waitInForce(5 * time.Second)
		}
		s.stop(s.balancers[0])
		s.start(s.balancers[0])
		s.waitReady()
	})
	neverAllowed(s.c, r)
	s.c.Check(r.Broken, qt.Equals, 0)
	s.c.Check(r.Unknown, qt.Equals, 0)
}

// TestLostTargetGetsNothingNew makes a target mute: within a few seconds the
// balancers of its domain agree that it gets nothing new, and what it ran ends
// as not known, never as not run.
func TestLostTargetGetsNothingNew(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 4, 4)
	var agreed time.Duration
	r := s.load(25*time.Second, func() {
		time.Sleep(5 * time.Second)
		s.targets["levy-desk-2"].SetUnresponsive(true)
		agreed = s.waitLevel("west-b", "levy-desk", "levy-desk-2", target.LevelNone, 15*time.Second)
	})
	t.Logf("agreed after %v", agreed)
	s.c.Check(r.Lost, qt.Equals, 0)
	s.c.Check(r.Doubled, qt.Equals, 0)
	s.c.Check(r.Crossed, qt.Equals, 0)
	s.c.Check(r.Answered > r.Requests*9/10, qt.IsTrue, qt.Commentf("%v", r))
}

// TestMovedAddressNeverReachesTheOldService swaps the flow addresses of the two
// services; no balancer may give a datagram to the old owner once another one
// gives it to the new one, and both are served again within 10 s.
func TestMovedAddressNeverReachesTheOldService(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 4, 4)
	before := s.ownerOf(1)
	s.c.Assert(before, qt.Equals, "levy-desk")
	s.swapped = true
	s.submit()
	end := time.Now().Add(15 * time.Second)
	for time.Now().Before(end) {
		owners := s.owners(1)
		s.c.Assert(owners["levy-desk"] && owners["ledger-intake"], qt.IsFalse, qt.Commentf("%v", owners))
		if owners["ledger-intake"] && len(owners) == 1 {
			return
		}
	}
	s.c.Fatal("the address is not served by its new owner")
}

// TestKillFreezeAndTicketTogether ends one of five balancers with SIGKILL while
// another is stopped with SIGSTOP, accepts a ticket meanwhile, and lets both
// return: the woken one may not act on what it held before.
func TestKillFreezeAndTicketTogether(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 5, 4)
	s.fabric.SetDuplicateRate(copyShare)
	drained := s.targets["levy-desk-1"]
	var ran int
	r := s.load(35*time.Second, func() {
		time.Sleep(4 * time.Second)
		killed, frozen := s.balancers[1], s.balancers[2]
		s.signal(frozen, syscall.SIGSTOP)
		time.Sleep(time.Second)
		s.kill(killed)
		s.pool["levy-desk"][0].Drain = true
		s.submit()
		t.Logf("in force after %v", s.waitInForce(15*time.Second))
		s.signal(frozen, syscall.SIGCONT)
		s.start(killed)
		s.waitNumbers(10 * time.Second)
		time.Sleep(retireTime)
		ran = len(drained.State().Runs)
	})
	s.c.Check(len(drained.State().Runs), qt.Equals, ran)
	s.waitNumbers(0)
	neverAllowed(s.c, r)
	s.c.Check(r.Broken, qt.Equals, 0)
}

// waitNumbers waits until every balancer has the newest ticket in force.
func (s *system) waitNumbers(limit time.Duration) {
	start := time.Now()
	for _, p := range s.balancers {
		for n := s.dumpedNumber(p); n != s.ticket; n = s.dumpedNumber(p) {
			if time.Since(start) > limit {
				s.c.Errorf("%s has ticket %d in force, want %d", p.name, n, s.ticket)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
