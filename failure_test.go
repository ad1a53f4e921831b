package main

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/fake"
	"wisteriaweir/target"
)

// duplicateFraction is the fraction of the callers' datagrams that the fabric sends
// to two balancers, in tests that check that requests run at most once.
const duplicateFraction = 0.2

// drainRequestGrace is the time in which a target may still get new requests after
// its drain became active.
const drainRequestGrace = time.Second

// checkInvariants checks what must be true under every fault: no request is lost,
// run twice or misrouted. A single fault of a balancer or of the platform must
// also leave more than 95% of the requests answered.
func checkInvariants(c *qt.C, r fake.Result) {
	c.Check(r.Lost, qt.Equals, 0)
	c.Check(r.Doubled, qt.Equals, 0)
	c.Check(r.Crossed, qt.Equals, 0)
	c.Check(r.Requests > 0, qt.IsTrue)
	c.Check(r.Answered > r.Requests*95/100, qt.IsTrue, qt.Commentf("%v", r))
}

// TestRollingRestartCutsNothing restarts one balancer after the other with SIGTERM
// under load: a shutdown that does not hand over flows and requests breaks them.
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
	checkInvariants(s.c, r)
	s.c.Check(r.Broken, qt.Equals, 0)
	s.c.Check(r.Unknown, qt.Equals, 0)
}

// TestKilledBalancerLosesNothing ends one of five balancers with SIGKILL under
// load and starts it again: no request may be lost or run twice, and no flow
// broken.
func TestKilledBalancerLosesNothing(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 5, 4)
	s.fabric.SetDuplicateRate(duplicateFraction)
	r := s.load(20*time.Second, func() {
		time.Sleep(5 * time.Second)
		p := s.balancers[1]
		s.kill(p)
		time.Sleep(5 * time.Second)
		s.start(p)
	})
	checkInvariants(s.c, r)
	s.c.Check(r.Broken, qt.Equals, 0)
}

// TestFrozenBalancerDoublesNothing stops one of five balancers with SIGSTOP for
// longer than the others take to consider it unreachable, and continues it. The
// balancer does not know that it was stopped: if it acts on its outdated state,
// requests run twice.
func TestFrozenBalancerDoublesNothing(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 5, 4)
	s.fabric.SetDuplicateRate(duplicateFraction)
	r := s.load(25*time.Second, func() {
		time.Sleep(5 * time.Second)
		p := s.balancers[2]
		s.signal(p, syscall.SIGSTOP)
		time.Sleep(8 * time.Second)
		s.signal(p, syscall.SIGCONT)
	})
	checkInvariants(s.c, r)
	s.c.Check(r.Broken, qt.Equals, 0)
}

// TestPlatformOutageStopsNothing makes the platform unavailable for a minute, kills
// a balancer meanwhile, and submits a ticket afterwards: traffic must not depend on
// the platform, and the ticket must become active within 5 s.
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
		elapsed := s.waitInForce(5 * time.Second)
		t.Logf("in force after %v", elapsed)
	})
	checkInvariants(s.c, r)
	s.c.Check(r.Broken, qt.Equals, 0)
}

// TestDrainedTargetKeepsItsFlows drains targets of both services one after the
// other under load. Each ticket must become active within 5 s, a drained target
// may run no new request from drainRequestGrace after that, and its open flows
// must not break.
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
			elapsed := s.waitInForce(5 * time.Second)
			t.Logf("ticket %d in force after %v", s.ticket, elapsed)
			time.Sleep(drainRequestGrace)
			for _, pool := range s.pool {
				retired[pool[i].Name] = len(s.targets[pool[i].Name].State().Runs)
			}
		}
	})
	s.c.Check(retired, qt.HasLen, 6)
	for name, ran := range retired {
		s.c.Check(len(s.targets[name].State().Runs), qt.Equals, ran, qt.Commentf("%s ran new requests", name))
	}
	checkInvariants(s.c, r)
	s.c.Check(r.Broken, qt.Equals, 0)
	s.c.Check(r.Unknown, qt.Equals, 0)
}

// TestRestartAfterDrainsCutsNothing restarts a balancer with SIGTERM when three
// of four targets of each service are drained. The new process instance must keep
// flows on drained targets, which its lookup tables don't contain.
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
	checkInvariants(s.c, r)
	s.c.Check(r.Broken, qt.Equals, 0)
	s.c.Check(r.Unknown, qt.Equals, 0)
}

// TestLostTargetGetsNothingNew makes a target unresponsive. Within 15 s the
// balancers of its domain must agree on LevelNone for it. Requests that it was
// running must be reported with an unknown outcome and never as not run.
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
// services. At no time may one balancer route an address to its old service while
// another one routes it to the new one, and the new service must be reached
// within 15 s.
func TestMovedAddressNeverReachesTheOldService(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 4, 4)
	before := s.respondingService(1)
	s.c.Assert(before, qt.Equals, "levy-desk")
	s.flowAddrsSwapped = true
	s.submit()
	end := time.Now().Add(15 * time.Second)
	for time.Now().Before(end) {
		owners := s.respondingServices(1)
		s.c.Assert(owners["levy-desk"] && owners["ledger-intake"], qt.IsFalse, qt.Commentf("%v", owners))
		if owners["ledger-intake"] && len(owners) == 1 {
			return
		}
	}
	s.c.Fatal("the address is not served by its new owner")
}

// TestKillFreezeAndTicketTogether ends one of five balancers with SIGKILL while
// another is stopped with SIGSTOP, accepts a ticket meanwhile, and lets both
// return: the continued one must not act on the state that it had before.
func TestKillFreezeAndTicketTogether(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 5, 4)
	s.fabric.SetDuplicateRate(duplicateFraction)
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
		time.Sleep(drainRequestGrace)
		ran = len(drained.State().Runs)
	})
	s.c.Check(len(drained.State().Runs), qt.Equals, ran)
	s.waitNumbers(0)
	checkInvariants(s.c, r)
	s.c.Check(r.Broken, qt.Equals, 0)
}

// waitNumbers waits until the newest ticket is active on every balancer.
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
