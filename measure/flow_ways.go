package measure

import (
	"math/rand/v2"

	"wisteriaweir/flow"
)

// FlowStrategy is a strategy of routing flows. Its value is printed in the tables.
type FlowStrategy string

// The strategies that are compared.
const (
	// StrategyPins routes with package flow.
	StrategyPins FlowStrategy = "pins"
	// StrategyRandom opens a flow on a random target and stores it in the local table
	// of the balancer.
	StrategyRandom FlowStrategy = "random"
	// StrategyHash routes each datagram by the newest lookup table, without state.
	StrategyHash FlowStrategy = "hash"
	// StrategyLeastFlows opens a flow on the target with the fewest flows in the local
	// table of the balancer.
	StrategyLeastFlows FlowStrategy = "least"
	// StrategyOwner stores each flow on two balancers, its owner and a backup, to
	// which the others forward its datagrams.
	StrategyOwner FlowStrategy = "home"
	// StrategyOwnerCache is StrategyOwner with balancers that cache the target of a
	// flow after they have forwarded a datagram of it.
	StrategyOwnerCache FlowStrategy = "cache"
)

// localTable is the state of a balancer with StrategyRandom, StrategyHash or
// StrategyLeastFlows, which share nothing.
type localTable struct {
	// flows holds the target of each stored flow by the hash of its key, flowCounts the
	// number of stored flows of each target.
	flows      map[uint64]flow.TargetID
	flowCounts map[flow.TargetID]int
	// tables and targetIDs hold the lookup table and the targets of each service in the
	// newest epoch.
	tables    []*flow.Table
	targetIDs [][]flow.TargetID
}

func newLocalTable() *localTable {
	return &localTable{flows: make(map[uint64]flow.TargetID), flowCounts: make(map[flow.TargetID]int)}
}

// apply stores the lookup tables of a new epoch.
func (o *localTable) apply(e *flow.Epoch) {
	o.tables, o.targetIDs = nil, nil
	for i := 0; e.Table(serviceName(i)) != nil; i++ {
		t := e.Table(serviceName(i))
		o.tables = append(o.tables, t)
		o.targetIDs = append(o.targetIDs, t.Targets())
	}
}

// route returns the target for a datagram of s, and false if its service has no
// targets.
func (o *localTable) route(strategy FlowStrategy, rng *rand.Rand, s *simFlow) (flow.TargetID, bool) {
	if len(o.tables) == 0 || len(o.targetIDs[s.service]) == 0 {
		return 0, false
	}
	if strategy == StrategyHash {
		return o.tables[s.service].Lookup(s.hash)
	}
	if id, ok := o.flows[s.hash]; ok {
		return id, true
	}
	id := o.pick(strategy, rng, o.targetIDs[s.service])
	o.flows[s.hash] = id
	o.flowCounts[id]++
	return id, true
}

// pick chooses the target of a new flow: a random one, or for StrategyLeastFlows one
// with the fewest flows.
func (o *localTable) pick(strategy FlowStrategy, rng *rand.Rand, ids []flow.TargetID) flow.TargetID {
	best := ids[rng.IntN(len(ids))]
	if strategy == StrategyRandom {
		return best
	}
	for _, id := range ids {
		if o.flowCounts[id] < o.flowCounts[best] {
			best = id
		}
	}
	return best
}
