package measure

import (
	"fmt"
	"time"
)

// flowUser is one of the sizes that are measured.
type flowUser struct {
	name      string
	pools     []int
	balancers int
	between   time.Duration
	gap       time.Duration
	maxFlows  int
	// every is set where all rows are measured, not just the main ones.
	every bool
	// others are the designs that were weighed against StrategyPins.
	others    []FlowStrategy
	baselines []FlowStrategy
}

func flowUsers() []flowUser {
	return []flowUser{
		{
			name: "Kelaniya", pools: []int{14, 4}, balancers: 9, between: 5 * time.Millisecond,
			gap: 20 * time.Second, maxFlows: 1 << 16, every: true,
			others:    []FlowStrategy{StrategyOwner, StrategyOwnerCache},
			baselines: []FlowStrategy{StrategyHash, StrategyRandom, StrategyLeastFlows},
		},
		{
			name: "Ben Ammar", pools: []int{14, 4}, balancers: 9, between: 4 * time.Millisecond,
			gap: 20 * time.Second, maxFlows: 1 << 16,
		},
		{
			name: "10 times larger", pools: []int{140, 40}, balancers: 18, between: 5 * time.Millisecond,
			gap: 80 * time.Second, maxFlows: 1 << 18,
			others:    []FlowStrategy{StrategyOwner, StrategyOwnerCache},
			baselines: []FlowStrategy{StrategyHash},
		},
	}
}

// flowRow is one condition that is measured.
type flowRow struct {
	name   string
	change func(*FlowSimulation)
	adjust func(*FlowSimulationConfig)
	// main is set for the rows that are measured for each size; compare for
	// those that are measured for the baselines too, weigh for those that are
	// measured for the other designs, too.
	main, compare, weigh bool
	// death is set where few flows may break although no target is lost.
	death bool
}

func flowRows() []flowRow {
	none := func(*FlowSimulation) {}
	drain := func(f *FlowSimulation) { f.Drain(0, 3) }
	return []flowRow{
		{name: "steady", change: none, weigh: true},
		{name: "steady, equal shares", change: none, adjust: func(c *FlowSimulationConfig) { c.Rebalance = 0 }},
		{name: "add a target", change: func(f *FlowSimulation) { f.AddTarget(0) }},
		{name: "drain a target", change: drain, main: true, compare: true, weigh: true},
		{name: "drain, equal shares", change: drain, adjust: func(c *FlowSimulationConfig) { c.Rebalance = 0 }},
		{name: "loss of a target", change: func(f *FlowSimulation) { f.StopTarget(0, 3) }},
		{name: "a balancer joins", change: func(f *FlowSimulation) { f.Join() }},
		{name: "a balancer leaves", change: func(f *FlowSimulation) { f.ShutDownBalancer(2) }, weigh: true},
		{name: "a balancer dies", change: func(f *FlowSimulation) { f.CrashBalancer(2) }, main: true, weigh: true, death: true},
		{name: "a balancer dies in a drain", change: func(f *FlowSimulation) {
			drain(f)
			f.tl.After(2*time.Second, func() { f.CrashBalancer(2) })
		}, death: true},
		{name: "a balancer freezes 30 s", change: func(f *FlowSimulation) { f.PauseBalancer(2, freezeTime) }},
		{name: "a domain is cut off 20 s", change: func(f *FlowSimulation) { f.PartitionDomain(1, cutTime) }, weigh: true},
		{name: "lossy link, drain", change: drain, weigh: true, adjust: func(c *FlowSimulationConfig) {
			c.Loss, c.Jitter = lossyLoss, lossyJitter
		}},
		{name: "misleading load reports", change: none, adjust: func(c *FlowSimulationConfig) { c.MisreportsLoad = true }},
		{name: "the small service flooded", change: func(f *FlowSimulation) { f.OpenFlowBurst(1, floodFlows, floodTime) }},
		{name: "1 of 50 flows silent", change: func(f *FlowSimulation) { f.StopReplies(silentPart) }, adjust: func(c *FlowSimulationConfig) {
			c.MeanPacketInterval, c.FlowsPerTarget = silentGap, silentFlows
		}},
	}
}

// Conditions and times of the rows.
const (
	freezeTime  = 30 * time.Second
	cutTime     = 20 * time.Second
	lossyLoss   = 0.05
	lossyJitter = 50 * time.Millisecond
	floodFlows  = 20000
	floodTime   = 20 * time.Second
	silentPart  = 50
	silentGap   = 200 * time.Millisecond
	silentFlows = 50

	flowChangeAt = 55 * time.Second
	flowLater    = time.Minute
)

// Targets of the figures.
const (
	maxSteadyImbalance = 1.05
	maxLaterImbalance  = 1.10
	maxBytesPerSecond  = 8192
	maxDeathShare      = 0.001
)

// Flows measures the routing of flows.
func Flows(seed uint64) ([]*Table, error) {
	var tables []*Table
	for _, u := range flowUsers() {
		t := NewTable(
			fmt.Sprintf("flows, %s: targets %v, %d balancers, 2,000 connections for each target", u.name, u.pools, u.balancers),
			"row", "way", "open", "broken planned", "broken unplanned", "with target", "silent", "ended", "crossed",
			"imbalance before", "after a minute", "B/s mean", "B/s worst", "hops %", "late", "held", "not reached",
		)
		for _, r := range flowRows() {
			if r.main || u.every {
				u.measure(t, r, StrategyPins, seed)
			}
			for _, way := range u.others {
				if r.weigh && (r.main || u.every) {
					u.measure(t, r, way, seed)
				}
			}
			for _, way := range u.baselines {
				if r.compare {
					u.measure(t, r, way, seed)
				}
			}
		}
		tables = append(tables, t)
	}
	return tables, nil
}

func (u flowUser) measure(t *Table, r flowRow, way FlowStrategy, seed uint64) {
	cfg := FlowSimulationConfig{
		Seed: seed, Strategy: way, Domains: 4, Balancers: u.balancers, Pools: u.pools,
		FlowsPerTarget: 2000, InterDomainDelay: u.between, IntraDomainDelay: 300 * time.Microsecond, MeanPacketInterval: u.gap,
		MeanFlowLifetime: time.Minute, PermanentRatio: 0.5, MaxUpdateDelay: time.Second, Rebalance: 10 * time.Second,
		MaxFlows: u.maxFlows,
	}
	if r.adjust != nil {
		r.adjust(&cfg)
	}
	f := NewFlowSimulation(cfg)
	f.Run(flowChangeAt)
	before := f.Imbalance()
	open := f.Open()
	r.change(f)
	f.Run(flowChangeAt + flowLater)
	later := f.Imbalance()
	n := f.Count
	mean, worst := f.ControlBytesPerSecond()
	t.Add(r.name, way, open, n.Planned, n.Unplanned, n.OfTarget, n.Silent, n.Silenced, n.Crossed, before, later,
		mean, worst, 100*float64(n.Hops)/float64(n.Packets), n.LateNew, n.Held,
		missed(n, r, open, before, later, worst))
}

// missed names the targets that a row did not reach.
func missed(n FlowCount, r flowRow, open int, before, later, worst float64) string {
	out := ""
	for _, m := range []struct {
		name string
		miss bool
	}{
		{"planned", n.Planned > 0},
		{"unplanned", r.death && float64(n.Unplanned) > maxDeathShare*float64(open)},
		{"crossed", n.Crossed > 0},
		{"steady", before > maxSteadyImbalance},
		{"minute", later > maxLaterImbalance},
		{"bytes", worst > maxBytesPerSecond},
		{"late", n.LateNew > 0},
	} {
		if m.miss {
			out += " " + m.name
		}
	}
	if out == "" {
		return "-"
	}
	return out[1:]
}
