package flow_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/flow"
)

// route sends a datagram of flow i through a member, and follows its hops.
func (w *crew) route(name string, i int) flow.Decision {
	v := w.shards[name].Route(w.now, levyKey(i))
	for hops := 1; v.Action == flow.Hop; hops++ {
		from := w.shards[name]
		name = v.Member
		v = w.shards[name].RouteHop(w.now, levyKey(i), v.Reason, hops)
		if v.Action == flow.Forward {
			from.AdoptPin(w.now, levyKey(i), v.Pin)
		}
	}
	return v
}

// TestDrainedTargetGetsNoLateFlow lets a member die just before a target is
// drained, so that the epoch cannot settle. New flows may wait then, but none
// may open on the drained target after 3 s; flows that some member knows keep it.
func TestDrainedTargetGetsNoLateFlow(t *testing.T) {
	c := qt.New(t)
	w := newCrew("a", "b", "dead")
	all, up := []string{"a", "b", "dead"}, []string{"a", "b"}
	a, b, dead := flow.Member{Name: "a", Life: 1}, flow.Member{Name: "b", Life: 1}, flow.Member{Name: "dead", Life: 1}
	w.epoch(1, all, a, b, dead)
	w.pass(time.Second)
	drained := flow.NewTargetID("levy", "levy0")
	const flows = 300
	at := make([]flow.TargetID, flows)
	for i := range flows / 3 {
		at[i] = w.shards["b"].Route(w.now, levyKey(i)).Pin.Target
	}
	w.still["dead"] = true
	w.drained = true
	w.epoch(2, up, a, b, dead)
	w.pass(time.Second)
	w.reach(up, "dead")
	w.pass(2100 * time.Millisecond)
	waited := 0
	for i := flows / 3; i < 2*flows/3; i++ {
		v := w.route("a", i)
		c.Assert(v.Pin.Target == drained, qt.IsFalse)
		at[i] = v.Pin.Target
		if v.Action == flow.Drop {
			waited++
		}
	}
	c.Assert(waited > 0, qt.IsTrue)
	for i := range flows / 3 {
		if v := w.route("a", i); v.Action == flow.Forward {
			c.Assert(v.Pin.Target, qt.Equals, at[i])
		}
	}
	w.epoch(3, up, a, b)
	w.pass(2 * time.Second)
	for i := range flows {
		v := w.route("a", i)
		c.Assert(v.Action, qt.Equals, flow.Forward)
		c.Assert(v.Pin.Target == drained, qt.Equals, at[i] == drained)
		if at[i] != 0 {
			c.Assert(v.Pin.Target, qt.Equals, at[i])
		}
	}
}
