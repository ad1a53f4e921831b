package measure

import (
	"math/rand/v2"

	"wisteriaweir/flow"
)

// FlowStrategy is a way of routing flows.
type FlowStrategy string

// The ways that are compared.
const (
	// StrategyPins is package flow.
	StrategyPins FlowStrategy = "pins"
	// StrategyRandom opens on any target and keeps the flow in the balancer's own
	// table.
	StrategyRandom FlowStrategy = "random"
	// StrategyHash routes each datagram by the newest table, without state.
	StrategyHash FlowStrategy = "hash"
	// StrategyLeastFlows opens on the target with the fewest flows in the balancer's own
	// table.
	StrategyLeastFlows FlowStrategy = "least"
	// StrategyOwner holds each flow at two balancers, to which the others hop.
	StrategyOwner FlowStrategy = "home"
	// StrategyOwnerCache is StrategyOwner with balancers that remember what a hop has told them.
	StrategyOwnerCache FlowStrategy = "cache"
)

// ownTable is a balancer of a baseline: it shares nothing.
type ownTable struct {
	flows  map[uint64]flow.TargetID
	counts map[flow.TargetID]int
	tables []*flow.Table
	ids    [][]flow.TargetID
}

func newOwnTable() *ownTable {
	return &ownTable{flows: make(map[uint64]flow.TargetID), counts: make(map[flow.TargetID]int)}
}

func (o *ownTable) apply(e *flow.Epoch) {
	o.tables, o.ids = nil, nil
	for i := 0; e.Table(serviceName(i)) != nil; i++ {
		t := e.Table(serviceName(i))
		o.tables = append(o.tables, t)
		o.ids = append(o.ids, t.Targets())
	}
}

func (o *ownTable) route(way FlowStrategy, rng *rand.Rand, s *simFlow) (flow.TargetID, bool) {
	if len(o.tables) == 0 || len(o.ids[s.service]) == 0 {
		return 0, false
	}
	if way == StrategyHash {
		return o.tables[s.service].Lookup(s.hash)
	}
	if id, ok := o.flows[s.hash]; ok {
		return id, true
	}
	id := o.pick(way, rng, o.ids[s.service])
	o.flows[s.hash] = id
	o.counts[id]++
	return id, true
}

func (o *ownTable) pick(way FlowStrategy, rng *rand.Rand, ids []flow.TargetID) flow.TargetID {
	best := ids[rng.IntN(len(ids))]
	if way == StrategyRandom {
		return best
	}
	for _, id := range ids {
		if o.counts[id] < o.counts[best] {
			best = id
		}
	}
	return best
}
