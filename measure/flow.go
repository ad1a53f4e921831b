package measure

import (
	"fmt"
	"time"
)

// flowSize is one size of a system that is measured.
type flowSize struct {
	name string
	// poolSizes holds the number of targets of each service.
	poolSizes []int
	balancers int
	// interDomainDelay is the one-way delay between failure domains.
	interDomainDelay time.Duration
	// meanPacketInterval is the mean time between two datagrams of a flow.
	meanPacketInterval time.Duration
	// maxFlows is the limit of flows of each shard.
	maxFlows int
	// runsAllScenarios is set for a size that is measured in all scenarios, not just in
	// those with runsForAllSizes.
	runsAllScenarios bool
	// alternatives are other designs that are compared with StrategyPins in the
	// scenarios with runsAlternatives, baselines are simpler strategies that are
	// compared in those with runsBaselines.
	alternatives []FlowStrategy
	baselines    []FlowStrategy
}

// flowSizes returns the sizes of two users' systems and one that is ten times larger.
func flowSizes() []flowSize {
	return []flowSize{
		{
			name: "Kelaniya", poolSizes: []int{14, 4}, balancers: 9, interDomainDelay: 5 * time.Millisecond,
			meanPacketInterval: 20 * time.Second, maxFlows: 1 << 16, runsAllScenarios: true,
			alternatives: []FlowStrategy{StrategyOwner, StrategyOwnerCache},
			baselines:    []FlowStrategy{StrategyHash, StrategyRandom, StrategyLeastFlows},
		},
		{
			name: "Ben Ammar", poolSizes: []int{14, 4}, balancers: 9, interDomainDelay: 4 * time.Millisecond,
			meanPacketInterval: 20 * time.Second, maxFlows: 1 << 16,
		},
		{
			name: "10 times larger", poolSizes: []int{140, 40}, balancers: 18, interDomainDelay: 5 * time.Millisecond,
			meanPacketInterval: 80 * time.Second, maxFlows: 1 << 18,
			alternatives: []FlowStrategy{StrategyOwner, StrategyOwnerCache},
			baselines:    []FlowStrategy{StrategyHash},
		},
	}
}

// flowScenario is one condition that is measured.
type flowScenario struct {
	name string
	// change is called at flowChangeAt. adjust, unless nil, changes the configuration
	// of the simulation.
	change func(*FlowSimulation)
	adjust func(*FlowSimulationConfig)
	// runsForAllSizes is set for the scenarios that are measured for each size,
	// runsBaselines for those that are measured with the baselines too, and
	// runsAlternatives for those that are measured with the alternative designs too.
	runsForAllSizes, runsBaselines, runsAlternatives bool
	// checksUnplanned limits the open flows that may break after a fault, although no
	// target has stopped, to the fraction maxCrashBrokenRatio.
	checksUnplanned bool
}

// flowScenarios returns all conditions that are measured.
func flowScenarios() []flowScenario {
	none := func(*FlowSimulation) {}
	drain := func(f *FlowSimulation) { f.Drain(0, 3) }
	return []flowScenario{
		{name: "steady", change: none, runsAlternatives: true},
		{name: "steady, equal shares", change: none, adjust: func(c *FlowSimulationConfig) { c.RebalanceInterval = 0 }},
		{name: "add a target", change: func(f *FlowSimulation) { f.AddTarget(0) }},
		{name: "drain a target", change: drain, runsForAllSizes: true, runsBaselines: true, runsAlternatives: true},
		{name: "drain, equal shares", change: drain, adjust: func(c *FlowSimulationConfig) { c.RebalanceInterval = 0 }},
		{name: "loss of a target", change: func(f *FlowSimulation) { f.StopTarget(0, 3) }},
		{name: "a balancer joins", change: func(f *FlowSimulation) { f.Join() }},
		{name: "a balancer leaves", change: func(f *FlowSimulation) { f.ShutDownBalancer(2) }, runsAlternatives: true},
		{name: "a balancer dies", change: func(f *FlowSimulation) { f.CrashBalancer(2) }, runsForAllSizes: true, runsAlternatives: true, checksUnplanned: true},
		{name: "a balancer dies in a drain", change: func(f *FlowSimulation) {
			drain(f)
			f.tl.After(2*time.Second, func() { f.CrashBalancer(2) })
		}, checksUnplanned: true},
		{name: "a balancer freezes 30 s", change: func(f *FlowSimulation) { f.PauseBalancer(2, flowPauseDuration) }},
		{name: "a domain is cut off 20 s", change: func(f *FlowSimulation) { f.PartitionDomain(1, partitionDuration) }, runsAlternatives: true},
		{name: "lossy link, drain", change: drain, runsAlternatives: true, adjust: func(c *FlowSimulationConfig) {
			c.LossRatio, c.MaxJitter = lossyLinkLossRatio, maxLossyLinkJitter
		}},
		{name: "misleading load reports", change: none, adjust: func(c *FlowSimulationConfig) { c.MisreportsLoad = true }},
		{name: "the small service flooded", change: func(f *FlowSimulation) { f.OpenFlowBurst(1, floodFlows, floodDuration) }},
		{name: "1 of 50 flows silent", change: func(f *FlowSimulation) { f.StopReplies(silentDivisor) }, adjust: func(c *FlowSimulationConfig) {
			c.MeanPacketInterval, c.FlowsPerTarget = silentPacketInterval, silentFlowsPerTarget
		}},
	}
}

const (
	// flowPauseDuration is the time for which a balancer is paused.
	flowPauseDuration = 30 * time.Second
	// partitionDuration is the time for which a failure domain is partitioned from the
	// others.
	partitionDuration = 20 * time.Second
	// lossyLinkLossRatio is the fraction of messages that a lossy link loses.
	lossyLinkLossRatio = 0.05
	// maxLossyLinkJitter is the largest additional delay of a lossy link.
	maxLossyLinkJitter = 50 * time.Millisecond
	// floodFlows is the number of flows that flood a service.
	floodFlows = 20000
	// floodDuration is the time within which these flows are opened.
	floodDuration = 20 * time.Second
	// silentDivisor is the number of open flows of which one receives no more replies.
	silentDivisor = 50
	// silentPacketInterval is the mean time between two datagrams of a flow in the
	// scenario with silent flows.
	silentPacketInterval = 200 * time.Millisecond
	// silentFlowsPerTarget is the number of open flows for each target in that
	// scenario.
	silentFlowsPerTarget = 50

	// flowChangeAt is the virtual time at which a scenario changes the system.
	flowChangeAt = 55 * time.Second
	// flowTimeAfterChange is the time from the change to the end of the run.
	flowTimeAfterChange = time.Minute
)

const (
	// maxSteadyImbalance is the objective for the imbalance before the change.
	maxSteadyImbalance = 1.05
	// maxFinalImbalance is the objective for the imbalance at the end of the run.
	maxFinalImbalance = 1.10
	// maxControlBytesPerSecond is the objective for the control bytes that a balancer
	// sends in its worst second.
	maxControlBytesPerSecond = 8192
	// maxCrashBrokenRatio is the objective for the fraction of open flows that break
	// when a balancer crashes.
	maxCrashBrokenRatio = 0.001
)

// Flows measures the routing of flows: for each size of a system and each scenario the
// broken and misrouted flows, the imbalance and the control traffic, with package flow
// and, in some scenarios, with other strategies.
func Flows(seed uint64) ([]*Table, error) {
	var tables []*Table
	for _, size := range flowSizes() {
		t := NewTable(
			fmt.Sprintf("flows, %s: targets %v, %d balancers, 2,000 connections for each target", size.name, size.poolSizes, size.balancers),
			"row", "way", "open", "broken planned", "broken unplanned", "with target", "silent", "ended", "crossed",
			"imbalance before", "after a minute", "B/s mean", "B/s worst", "hops %", "late", "held", "not reached",
		)
		for _, scenario := range flowScenarios() {
			if scenario.runsForAllSizes || size.runsAllScenarios {
				size.measure(t, scenario, StrategyPins, seed)
			}
			for _, strategy := range size.alternatives {
				if scenario.runsAlternatives && (scenario.runsForAllSizes || size.runsAllScenarios) {
					size.measure(t, scenario, strategy, seed)
				}
			}
			for _, strategy := range size.baselines {
				if scenario.runsBaselines {
					size.measure(t, scenario, strategy, seed)
				}
			}
		}
		tables = append(tables, t)
	}
	return tables, nil
}

// measure runs one scenario with one strategy and adds its figures to t.
func (s flowSize) measure(t *Table, scenario flowScenario, strategy FlowStrategy, seed uint64) {
	cfg := FlowSimulationConfig{
		Seed: seed, Strategy: strategy, Domains: 4, Balancers: s.balancers, TargetsPerService: s.poolSizes,
		FlowsPerTarget: 2000, InterDomainDelay: s.interDomainDelay, IntraDomainDelay: 300 * time.Microsecond, MeanPacketInterval: s.meanPacketInterval,
		MeanFlowLifetime: time.Minute, PermanentRatio: 0.5, MaxUpdateDelay: time.Second, RebalanceInterval: 10 * time.Second,
		MaxFlows: s.maxFlows,
	}
	if scenario.adjust != nil {
		scenario.adjust(&cfg)
	}
	f := NewFlowSimulation(cfg)
	f.Run(flowChangeAt)
	imbalanceBefore := f.Imbalance()
	openFlows := f.Open()
	scenario.change(f)
	f.Run(flowChangeAt + flowTimeAfterChange)
	imbalanceAfter := f.Imbalance()
	n := f.Count
	meanBytesPerSecond, worstBytesPerSecond := f.ControlBytesPerSecond()
	t.Add(scenario.name, strategy, openFlows, n.Planned, n.Unplanned, n.OfTarget, n.Silent, n.Silenced, n.Crossed, imbalanceBefore, imbalanceAfter,
		meanBytesPerSecond, worstBytesPerSecond, 100*float64(n.Hops)/float64(n.Packets), n.LateNew, n.Held,
		missedObjectives(n, scenario, openFlows, imbalanceBefore, imbalanceAfter, worstBytesPerSecond))
}

// missedObjectives returns the names of the objectives that a run missed, separated by
// spaces, or "-".
func missedObjectives(n FlowCount, scenario flowScenario, openFlows int, imbalanceBefore, imbalanceAfter, worstBytesPerSecond float64) string {
	out := ""
	for _, m := range []struct {
		name   string
		missed bool
	}{
		{"planned", n.Planned > 0},
		{"unplanned", scenario.checksUnplanned && float64(n.Unplanned) > maxCrashBrokenRatio*float64(openFlows)},
		{"crossed", n.Crossed > 0},
		{"steady", imbalanceBefore > maxSteadyImbalance},
		{"minute", imbalanceAfter > maxFinalImbalance},
		{"bytes", worstBytesPerSecond > maxControlBytesPerSecond},
		{"late", n.LateNew > 0},
	} {
		if m.missed {
			out += " " + m.name
		}
	}
	if out == "" {
		return "-"
	}
	return out[1:]
}
