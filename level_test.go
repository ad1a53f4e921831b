package main

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/fake"
	"wisteriaweir/fleet"
	"wisteriaweir/flow"
)

// drainFlowGrace is how long a target may still get new flows after its drain became
// active.
const drainFlowGrace = 3 * time.Second

// TestUnevenFlowsAreLevelled opens all flows while one of two targets is drained.
// When the drain ends, the balancers must agree on shares that give that target
// the larger part of the new flows, and no open flow may break.
func TestUnevenFlowsAreLevelled(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 4, 2)
	pool := s.pools["levy-desk"]
	pool[0].Draining = true
	s.submit()
	s.waitActiveInDomains(5 * time.Second)
	time.Sleep(drainFlowGrace)
	caller := fake.NewCaller(fake.CallerConfig{
		Services: []fake.CallerService{{Name: "levy-desk", Flow: s.addr(1, 0, 5684)}},
		Duration: 45 * time.Second,
		Flows:    80,
		Seed:     1,
		Log:      func(line string) { t.Log(line) },
	})
	done := make(chan fake.Result, 1)
	go func() {
		r, err := caller.Run(context.Background())
		s.c.Check(err, qt.IsNil)
		done <- r
	}()
	time.Sleep(4 * time.Second)
	pool[0].Draining = false
	s.submit()
	s.waitActiveInDomains(5 * time.Second)
	shares := s.waitShares("levy-desk", 38*time.Second)
	r := <-done
	t.Log(r, shares)
	s.c.Check(shares.Ratio(pool[0].Name) > flow.ShareUnit, qt.IsTrue)
	s.c.Check(shares.Ratio(pool[1].Name) < flow.ShareUnit, qt.IsTrue)
	s.c.Check(r.Flows, qt.Equals, 80)
	s.c.Check(r.Broken, qt.Equals, 0)
	s.c.Check(r.Crossed, qt.Equals, 0)
}

// waitShares waits until shares of a service are agreed on and returns them, or
// returns no shares after limit.
func (s *system) waitShares(name string, limit time.Duration) fleet.Shares {
	start := time.Now()
	for time.Since(start) < limit {
		if shares := s.loadFleet().SharesOf(name); len(shares.Targets) > 0 {
			s.t.Logf("shares after %v", time.Since(start))
			return shares
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fleet.Shares{Service: name}
}
