package flow_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wisteriaweir/flow"
	"wisteriaweir/measure"
)

// sparseFleet draws a fleet whose flows send so rarely that many flows are known to
// one balancer only.
func sparseFleet(t *rapid.T) *measure.FlowSimulation {
	return measure.NewFlowSimulation(measure.FlowSimulationConfig{
		Seed: rapid.Uint64().Draw(t, "seed"), Strategy: measure.StrategyPins,
		Domains: 2, Balancers: rapid.IntRange(3, 6).Draw(t, "balancers"),
		TargetsPerService: []int{6, 3}, FlowsPerTarget: 40, MeanPacketInterval: 20 * time.Second, PermanentRatio: 1,
		InterDomainDelay: 5 * time.Millisecond, IntraDomainDelay: time.Millisecond,
		MaxUpdateDelay: time.Duration(rapid.IntRange(0, 2000).Draw(t, "uneven")) * time.Millisecond, MaxFlows: 1024,
	})
}

// TestLeaverHandsOverItsFlows checks that no flow breaks when the only balancer that
// knows it shuts down and its target is drained afterwards.
func TestLeaverHandsOverItsFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := sparseFleet(t)
		f.Run(12 * time.Second)
		f.ShutDownBalancer(rapid.IntRange(0, 5).Draw(t, "leaver"))
		f.Run(24 * time.Second)
		f.Drain(0, rapid.IntRange(0, 5).Draw(t, "target"))
		f.Run(2 * time.Minute)
		if n := f.Count; n.Planned != 0 || n.Crossed != 0 {
			t.Fatalf("broken flows: %+v", n)
		}
	})
}

// TestFrozenMemberBreaksNoFlow checks that a balancer that resumes after a long pause,
// with outdated epochs, breaks no flow after a target was drained and another added.
func TestFrozenMemberBreaksNoFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := smallFleet(t, 0)
		f.Run(12 * time.Second)
		f.PauseBalancer(rapid.IntRange(0, 5).Draw(t, "frozen"), 40*time.Second)
		f.Run(24 * time.Second)
		f.Drain(0, rapid.IntRange(0, 5).Draw(t, "target"))
		f.AddTarget(1)
		f.Run(2 * time.Minute)
		// A flow that only the paused member knew is not known to the others.
		if n := f.Count; n.Planned != 0 || n.Unplanned != n.Forgotten || n.Crossed != 0 {
			t.Fatalf("broken flows: %+v", n)
		}
	})
}

// TestPinOfAnotherServiceIsNotFollowed checks that a pin to a target of another
// service ends the flow instead of forwarding its datagrams there.
func TestPinOfAnotherServiceIsNotFollowed(t *testing.T) {
	c := qt.New(t)
	s := standaloneShard(flow.ShardConfig{}, 4)
	k := levyKey(1)
	s.Learn(0, []flow.Pin{{Hash: k.Hash(), Target: flow.NewTargetID("ledger", "ledger1")}})
	c.Assert(s.Route(0, k).Reason, qt.Equals, flow.ReasonTargetRemoved)
	s.Learn(0, []flow.Pin{{Hash: k.Hash(), Target: flow.NewTargetID("levy", "levy1")}})
	c.Assert(s.Route(0, k).Pin.Target, qt.Equals, flow.NewTargetID("levy", "levy1"))
}
