package flow_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wisteriaweir/measure"
)

// smallFleet draws a fleet in which each balancer receives some of the datagrams of
// each flow, and in which the delays of updates and batches differ.
func smallFleet(t *rapid.T, rebalance time.Duration) *measure.FlowSimulation {
	return measure.NewFlowSimulation(measure.FlowSimulationConfig{
		Seed: rapid.Uint64().Draw(t, "seed"), Strategy: measure.StrategyPins,
		Domains: rapid.IntRange(1, 4).Draw(t, "domains"), Balancers: rapid.IntRange(3, 6).Draw(t, "balancers"),
		TargetsPerService: []int{6, 3}, FlowsPerTarget: 40,
		InterDomainDelay: 5 * time.Millisecond, IntraDomainDelay: time.Millisecond,
		MeanPacketInterval: 2 * time.Second, MeanFlowLifetime: 20 * time.Second, PermanentRatio: 0.5,
		MaxUpdateDelay:    time.Duration(rapid.IntRange(0, 4000).Draw(t, "uneven")) * time.Millisecond,
		LossRatio:         float64(rapid.IntRange(0, 10).Draw(t, "loss")) / 100,
		MaxJitter:         time.Duration(rapid.IntRange(0, 50).Draw(t, "jitter")) * time.Millisecond,
		RebalanceInterval: rebalance, MaxFlows: 1024,
	})
}

// applyPlanned makes a planned change. It ignores kinds that are faults.
func applyPlanned(f *measure.FlowSimulation, kind string, i int) {
	switch kind {
	case "drain":
		f.Drain(i%2, i%6)
	case "undrain":
		f.Undrain(i%2, i%6)
	case "add":
		f.AddTarget(i % 2)
	case "join":
		f.Join()
	case "leave":
		f.ShutDownBalancer(i)
	}
}

// applyFault injects a fault. It ignores kinds that are planned changes.
func applyFault(f *measure.FlowSimulation, kind string, i int) {
	switch kind {
	case "die":
		f.CrashBalancer(i)
	case "freeze":
		f.PauseBalancer(i, time.Duration(1+i%30)*time.Second)
	case "kill":
		f.StopTarget(i%2, i%3)
	case "cut":
		f.PartitionDomain(i%4, time.Duration(3+i)*time.Second)
	}
}

// runSchedule draws and runs a schedule of changes of the given kinds, and then lets
// the fleet converge.
func runSchedule(t *rapid.T, f *measure.FlowSimulation, kinds []string) {
	now := 8 * time.Second
	for range rapid.IntRange(1, 12).Draw(t, "changes") {
		now += time.Duration(rapid.IntRange(0, 6000).Draw(t, "after")) * time.Millisecond
		f.Run(now)
		kind := rapid.SampledFrom(kinds).Draw(t, "kind")
		i := rapid.IntRange(0, 30).Draw(t, "which")
		applyPlanned(f, kind, i)
		applyFault(f, kind, i)
	}
	f.StopRebalance()
	f.Run(now + convergeTime)
}

// convergeTime is long enough for every balancer to receive all epochs and pins.
const convergeTime = 2 * time.Minute

// TestPlannedChangesBreakNoFlow checks that drains, new targets and joining and
// leaving balancers break no flow, also when they overlap and batches are lost.
func TestPlannedChangesBreakNoFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := smallFleet(t, 7*time.Second)
		runSchedule(t, f, []string{"drain", "undrain", "add", "join", "leave"})
		if n := f.Count; n.Planned != 0 || n.Crossed != 0 || n.Silenced != 0 {
			t.Fatalf("broken flows: %+v", n)
		}
		if !f.HasConverged() {
			t.Fatal("the fleet has not converged")
		}
	})
}

// TestFaultsCrossNoFlow checks that planned changes break no flow before the first
// fault, and that no datagram reaches another service, also after faults.
func TestFaultsCrossNoFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := smallFleet(t, 7*time.Second)
		runSchedule(t, f, []string{"drain", "add", "join", "leave", "die", "freeze", "kill", "cut"})
		if n := f.Count; n.Planned != 0 || n.Crossed != 0 {
			t.Fatalf("broken before a fault, or crossed: %+v", n)
		}
		if !f.HasConverged() {
			t.Fatal("the fleet has not converged")
		}
	})
}

// TestDeathAloneBreaksNoFlow checks that crashed and paused balancers break no flow
// while targets and shares do not change.
func TestDeathAloneBreaksNoFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := smallFleet(t, 0)
		runSchedule(t, f, []string{"die", "freeze"})
		if n := f.Count; n.Planned != 0 || n.Unplanned != 0 || n.Crossed != 0 {
			t.Fatalf("broken flows: %+v", n)
		}
	})
}
