package flow_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/measure"
)

// overlap is a schedule of planned changes that overlap, drawn by
// TestPlannedChangesBreakNoFlow.
type overlap struct {
	name               string
	seed               uint64
	domains, balancers int
	uneven, jitter     time.Duration
	loss               float64
	changes            []step
}

// step is a planned change some time after the one before it.
type step struct {
	after time.Duration
	kind  string
	which int
}

var overlaps = []overlap{
	{
		// The home by the next epoch was told a pin while it still went by the epoch
		// before, and never told it on.
		name: "pin told to a home that is behind", seed: 1, domains: 4, balancers: 5,
		uneven: 3929 * time.Millisecond, jitter: 26 * time.Millisecond, loss: 0.07,
		changes: []step{
			{4080 * time.Millisecond, "leave", 18},
			{164 * time.Millisecond, "leave", 13},
			{28 * time.Millisecond, "add", 10},
		},
	},
	{
		// The homes of two epochs each took the other for the one that tells a newcomer.
		name: "newcomer told by no home", seed: 0xcb56f68, domains: 4, balancers: 4,
		uneven: 122 * time.Millisecond, jitter: 12 * time.Millisecond, loss: 0.06,
		changes: []step{
			{0, "leave", 11},
			{time.Millisecond, "join", 1},
			{5453 * time.Millisecond, "join", 10},
			{4 * time.Millisecond, "drain", 26},
		},
	},
	{
		// A leaving member owed a pin to a home that took it for the home's own word.
		name: "pin owed by a former home", seed: 0xd, domains: 2, balancers: 5,
		uneven: 4 * time.Second, jitter: 3 * time.Millisecond, loss: 0.02,
		changes: []step{
			{time.Millisecond, "undrain", 10},
			{690 * time.Millisecond, "join", 26},
			{38 * time.Millisecond, "leave", 0},
			{5316 * time.Millisecond, "join", 12},
			{3 * time.Millisecond, "add", 21},
			{time.Millisecond, "leave", 30},
			{1159 * time.Millisecond, "add", 2},
		},
	},
}

func TestOverlappingChangesBreakNoFlow(t *testing.T) {
	for _, o := range overlaps {
		t.Run(o.name, func(t *testing.T) {
			c := qt.New(t)
			f := measure.NewFlowSimulation(measure.FlowSimulationConfig{
				Seed: o.seed, Strategy: measure.StrategyPins, Domains: o.domains, Balancers: o.balancers,
				Pools: []int{6, 3}, FlowsPerTarget: 40, InterDomainDelay: 5 * time.Millisecond, IntraDomainDelay: time.Millisecond,
				MeanPacketInterval: 2 * time.Second, MeanFlowLifetime: 20 * time.Second, PermanentRatio: 0.5, MaxUpdateDelay: o.uneven, Loss: o.loss,
				Jitter: o.jitter, Rebalance: 7 * time.Second, MaxFlows: 1024,
			})
			at := 8 * time.Second
			for _, ch := range o.changes {
				at += ch.after
				f.Run(at)
				planned(f, ch.kind, ch.which)
			}
			f.StopRebalance()
			f.Run(at + settleTime)
			c.Assert(f.Count.Planned, qt.Equals, 0)
			c.Assert(f.Settled(), qt.IsTrue)
		})
	}
}
