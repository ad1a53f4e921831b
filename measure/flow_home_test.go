package measure_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/measure"
)

// TestOwnersKeepFlowsThroughPlannedChanges guards against flows that break or are
// misrouted when the owners of flows change, or the targets of new flows: a balancer
// joins, another one leaves and a target drains. Each flow is stored on its owner and
// its backup, so that no flow may be lost or move to another target.
func TestOwnersKeepFlowsThroughPlannedChanges(t *testing.T) {
	for _, strategy := range []measure.FlowStrategy{measure.StrategyOwner, measure.StrategyOwnerCache} {
		t.Run(string(strategy), func(t *testing.T) {
			c := qt.New(t)
			f := measure.NewFlowSimulation(measure.FlowSimulationConfig{
				Seed: 1, Strategy: strategy, Domains: 2, Balancers: 4, TargetsPerService: []int{4}, FlowsPerTarget: 50,
				InterDomainDelay: 5 * time.Millisecond, IntraDomainDelay: 300 * time.Microsecond, MeanPacketInterval: time.Second,
				MeanFlowLifetime: time.Minute, PermanentRatio: 0.5, MaxUpdateDelay: time.Second, MaxFlows: 1 << 10,
			})
			f.Run(15 * time.Second)
			f.Join()
			f.Run(25 * time.Second)
			f.ShutDownBalancer(1)
			f.Run(35 * time.Second)
			f.Drain(0, 1)
			f.Run(45 * time.Second)
			c.Check(f.Count.Opened >= 200, qt.IsTrue, qt.Commentf("%+v", f.Count))
			c.Check(f.Count.Hops > 0, qt.IsTrue)
			c.Check(f.Count.Planned, qt.Equals, 0)
			c.Check(f.Count.Unplanned, qt.Equals, 0)
			c.Check(f.Count.Crossed, qt.Equals, 0)
			c.Check(f.Count.LateNew, qt.Equals, 0)
		})
	}
}
