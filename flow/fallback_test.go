package flow_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/flow"
)

// TestFallbackAfterRepeatedLookups checks that a new flow whose target is excluded is
// opened on another target, but only after several of its datagrams. These would be
// sent as lookup hops if there were other members, and are dropped here.
func TestFallbackAfterRepeatedLookups(t *testing.T) {
	c := qt.New(t)
	em := flow.NewEpochManager(flow.EpochManagerConfig{Self: "b1"})
	s := flow.NewShard(flow.ShardConfig{})
	handle := func(e flow.Event) {
		for _, eff := range em.Handle(0, e) {
			if p, ok := eff.(flow.Publish); ok {
				s.Apply(p.Snapshot)
			}
		}
	}
	handle(flow.EpochEvent{Epoch: flow.NewEpoch(flow.EpochConfig{
		Number: 1, Config: config(levy(2)), Members: []flow.Member{{Name: "b1"}},
	}, nil)})
	handle(flow.TickEvent{})
	excluded := flow.NewTargetID("levy", "levy0")
	handle(flow.ReachabilityEvent{Excluded: map[flow.TargetID]bool{excluded: true}})
	other := flow.NewTargetID("levy", "levy1")
	lookups := 0
	for i := range 20 {
		k := levyKey(i)
		v := s.Route(0, k)
		for n := 1; v.Action != flow.Forward; n++ {
			c.Assert(v.Reason, qt.Equals, flow.ReasonExcluded)
			c.Assert(n < 10, qt.IsTrue)
			lookups++
			v = s.Route(0, k)
		}
		c.Assert(v.Pin.Target, qt.Equals, other)
	}
	c.Assert(lookups > 0, qt.IsTrue)
}

// TestFallbackLeavesKnownFlows excludes a target at three members. A flow on the
// target that only one member knows must stay on it, whichever member its datagrams
// reach. New flows must open on another target.
func TestFallbackLeavesKnownFlows(t *testing.T) {
	c := qt.New(t)
	names := []string{"a", "b", "c"}
	tf := newTestFleet(names...)
	tf.epoch(1, names, flow.Member{Name: "a", Life: 1}, flow.Member{Name: "b", Life: 1}, flow.Member{Name: "c", Life: 1})
	tf.advance(time.Second)
	excluded := flow.NewTargetID("levy", "levy0")
	const knownFlows, flows = 100, 200
	onExcluded := 0
	for i := range knownFlows {
		if tf.shards[names[i%3]].Route(tf.now, levyKey(i)).Pin.Target == excluded {
			onExcluded++
		}
	}
	c.Assert(onExcluded > 10, qt.IsTrue)
	for _, n := range names {
		tf.handle(n, flow.ReachabilityEvent{Excluded: map[flow.TargetID]bool{excluded: true}})
	}
	for i := range flows {
		var v flow.Decision
		for n := range 12 {
			v = tf.route(names[(i+n)%3], i)
			c.Assert(v.Action != flow.Forward || i < knownFlows || v.Pin.Target != excluded, qt.IsTrue)
		}
		c.Assert(v.Action, qt.Equals, flow.Forward)
		if v.Pin.Target == excluded {
			onExcluded--
		}
	}
	c.Assert(onExcluded, qt.Equals, 0)
}
