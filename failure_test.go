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

// drainRequestGrace is how long a target may still get new requests after its drain
// became active.
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
// under load. A shutdown that does not hand over flows and requests breaks flows and
// leaves requests with an unknown outcome: neither may occur.
func TestRollingRestartCutsNothing(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 4, 4)
	r := s.runLoad(60*time.Second, func() {
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
	r := s.runLoad(20*time.Second, func() {
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
	r := s.runLoad(25*time.Second, func() {
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
	r := s.runLoad(80*time.Second, func() {
		time.Sleep(2 * time.Second)
		s.platform.SetFaults(s.platform.Faults().WithOutage(true))
		time.Sleep(20 * time.Second)
		s.kill(s.balancers[3])
		time.Sleep(40 * time.Second)
		s.platform.SetFaults(s.platform.Faults().WithOutage(false))
		time.Sleep(5 * time.Second)
		pool := s.pools["levy-desk"]
		pool[0].Draining = true
		s.submit()
		elapsed := s.waitActiveInDomains(5 * time.Second)
		t.Logf("active after %v", elapsed)
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
	runsAfterDrain := make(map[string]int)
	r := s.runLoad(20*time.Second, func() {
		for i := range 3 {
			time.Sleep(4 * time.Second)
			for _, pool := range s.pools {
				pool[i].Draining = true
			}
			s.submit()
			elapsed := s.waitActiveInDomains(5 * time.Second)
			t.Logf("ticket %d active after %v", s.ticketNumber, elapsed)
			time.Sleep(drainRequestGrace)
			for _, pool := range s.pools {
				runsAfterDrain[pool[i].Name] = len(s.targets[pool[i].Name].State().Runs)
			}
		}
	})
	s.c.Check(runsAfterDrain, qt.HasLen, 6)
	for name, runs := range runsAfterDrain {
		s.c.Check(len(s.targets[name].State().Runs), qt.Equals, runs, qt.Commentf("%s ran new requests", name))
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
	r := s.runLoad(40*time.Second, func() {
		time.Sleep(4 * time.Second)
		for i := range 3 {
			for _, pool := range s.pools {
				pool[i].Draining = true
			}
			s.submit()
			s.waitActiveInDomains(5 * time.Second)
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
	var agreedAfter time.Duration
	r := s.runLoad(25*time.Second, func() {
		time.Sleep(5 * time.Second)
		s.targets["levy-desk-2"].SetUnresponsive(true)
		agreedAfter = s.waitLevel("west-b", "levy-desk", "levy-desk-2", target.LevelNone, 15*time.Second)
	})
	t.Logf("agreed after %v", agreedAfter)
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
	oldService := s.respondingService(1)
	s.c.Assert(oldService, qt.Equals, "levy-desk")
	s.flowAddrsSwapped = true
	s.submit()
	end := time.Now().Add(15 * time.Second)
	for time.Now().Before(end) {
		responding := s.respondingServices(1)
		s.c.Assert(responding["levy-desk"] && responding["ledger-intake"], qt.IsFalse, qt.Commentf("%v", responding))
		if responding["ledger-intake"] && len(responding) == 1 {
			return
		}
	}
	s.c.Fatal("the flow address does not reach its new service within 15 s")
}

// TestKillFreezeAndTicketTogether ends one of five balancers with SIGKILL while
// another is stopped with SIGSTOP, accepts a ticket meanwhile, and then continues the
// stopped one and restarts the killed one: the continued one must not act on the
// state that it had before.
func TestKillFreezeAndTicketTogether(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 5, 4)
	s.fabric.SetDuplicateRate(duplicateFraction)
	drainedTarget := s.targets["levy-desk-1"]
	var runsAfterDrain int
	r := s.runLoad(35*time.Second, func() {
		time.Sleep(4 * time.Second)
		killed, frozen := s.balancers[1], s.balancers[2]
		s.signal(frozen, syscall.SIGSTOP)
		time.Sleep(time.Second)
		s.kill(killed)
		s.pools["levy-desk"][0].Draining = true
		s.submit()
		t.Logf("active after %v", s.waitActiveInDomains(15*time.Second))
		s.signal(frozen, syscall.SIGCONT)
		s.start(killed)
		s.waitActiveOnBalancers(10 * time.Second)
		time.Sleep(drainRequestGrace)
		runsAfterDrain = len(drainedTarget.State().Runs)
	})
	s.c.Check(len(drainedTarget.State().Runs), qt.Equals, runsAfterDrain)
	s.waitActiveOnBalancers(0)
	checkInvariants(s.c, r)
	s.c.Check(r.Broken, qt.Equals, 0)
}

// waitActiveOnBalancers waits until the newest ticket is active on every balancer. It
// reports a test error after limit.
func (s *system) waitActiveOnBalancers(limit time.Duration) {
	start := time.Now()
	for _, p := range s.balancers {
		for n := s.dumpedConfigNumber(p); n != s.ticketNumber; n = s.dumpedConfigNumber(p) {
			if time.Since(start) > limit {
				s.c.Errorf("%s has configuration %d active, want %d", p.name, n, s.ticketNumber)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
