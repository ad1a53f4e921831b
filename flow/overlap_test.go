package flow_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/measure"
)

// overlapCase is a schedule of overlapping planned changes that
// TestPlannedChangesBreakNoFlow found.
type overlapCase struct {
	name                   string
	seed                   uint64
	domains, balancers     int
	maxUpdateDelay, jitter time.Duration
	loss                   float64
	changes                []plannedStep
}

// plannedStep is a planned change at a delay after the one before it.
type plannedStep struct {
	delay time.Duration
	kind  string
	index int
}

var overlapCases = []overlapCase{
	{
		// A pin was reported to its owner by the next epoch while that member still
		// used the epoch before. The owner never announced the pin.
		name: "pin reported to an owner that is behind", seed: 1, domains: 4, balancers: 5,
		maxUpdateDelay: 3929 * time.Millisecond, jitter: 26 * time.Millisecond, loss: 0.07,
		changes: []plannedStep{
			{4080 * time.Millisecond, "leave", 18},
			{164 * time.Millisecond, "leave", 13},
			{28 * time.Millisecond, "add", 10},
		},
	},
	{
		// The owners of a flow by two epochs each expected the other one to announce
		// the pin to a new member.
		name: "pin announced to a new member by no owner", seed: 0xcb56f68, domains: 4, balancers: 4,
		maxUpdateDelay: 122 * time.Millisecond, jitter: 12 * time.Millisecond, loss: 0.06,
		changes: []plannedStep{
			{0, "leave", 11},
			{time.Millisecond, "join", 1},
			{5453 * time.Millisecond, "join", 10},
			{4 * time.Millisecond, "drain", 26},
		},
	},
	{
		// A leaving member reported a pin to its owner, which treated the pin as if an
		// owner had announced it to all members.
		name: "pin reported by a former owner", seed: 0xd, domains: 2, balancers: 5,
		maxUpdateDelay: 4 * time.Second, jitter: 3 * time.Millisecond, loss: 0.02,
		changes: []plannedStep{
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

// TestOverlappingChangesBreakNoFlow checks that no flow breaks in the schedules of
// overlapCases, in which a pin did not reach every member.
func TestOverlappingChangesBreakNoFlow(t *testing.T) {
	for _, o := range overlapCases {
		t.Run(o.name, func(t *testing.T) {
			c := qt.New(t)
			f := measure.NewFlowSimulation(measure.FlowSimulationConfig{
				Seed: o.seed, Strategy: measure.StrategyPins, Domains: o.domains, Balancers: o.balancers,
				TargetsPerService: []int{6, 3}, FlowsPerTarget: 40, InterDomainDelay: 5 * time.Millisecond, IntraDomainDelay: time.Millisecond,
				MeanPacketInterval: 2 * time.Second, MeanFlowLifetime: 20 * time.Second, PermanentRatio: 0.5, MaxUpdateDelay: o.maxUpdateDelay, LossRatio: o.loss,
				MaxJitter: o.jitter, RebalanceInterval: 7 * time.Second, MaxFlows: 1024,
			})
			now := 8 * time.Second
			for _, s := range o.changes {
				now += s.delay
				f.Run(now)
				applyPlanned(f, s.kind, s.index)
			}
			f.StopRebalance()
			f.Run(now + convergeTime)
			c.Assert(f.Count.Planned, qt.Equals, 0)
			c.Assert(f.HasConverged(), qt.IsTrue)
		})
	}
}
