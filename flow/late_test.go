package flow_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/flow"
)

// route routes a datagram of flow i at a member, follows its hops and returns the
// last decision.
func (tf *testFleet) route(name string, i int) flow.Decision {
	v := tf.shards[name].Route(tf.now, levyKey(i))
	for hops := 1; v.Action == flow.Hop; hops++ {
		from := tf.shards[name]
		name = v.Member
		v = tf.shards[name].RouteHop(tf.now, levyKey(i), v.Reason, hops)
		if v.Action == flow.Forward {
			from.AdoptPin(tf.now, levyKey(i), v.Pin)
		}
	}
	return v
}

// TestDrainedTargetGetsNoLateFlow crashes a member just before a target is drained,
// so that the epoch cannot converge. New flows may be dropped then, but none may open
// on the drained target after 3 s. Flows that some member knows keep their target.
func TestDrainedTargetGetsNoLateFlow(t *testing.T) {
	c := qt.New(t)
	tf := newTestFleet("a", "b", "dead")
	all, running := []string{"a", "b", "dead"}, []string{"a", "b"}
	a, b, dead := flow.Member{Name: "a", Life: 1}, flow.Member{Name: "b", Life: 1}, flow.Member{Name: "dead", Life: 1}
	tf.epoch(1, all, a, b, dead)
	tf.advance(time.Second)
	drained := flow.NewTargetID("levy", "levy0")
	const flows = 300
	targets := make([]flow.TargetID, flows)
	for i := range flows / 3 {
		targets[i] = tf.shards["b"].Route(tf.now, levyKey(i)).Pin.Target
	}
	tf.stopped["dead"] = true
	tf.drainsFirst = true
	tf.epoch(2, running, a, b, dead)
	tf.advance(time.Second)
	tf.setUnreachable(running, "dead")
	tf.advance(2100 * time.Millisecond)
	dropped := 0
	for i := flows / 3; i < 2*flows/3; i++ {
		v := tf.route("a", i)
		c.Assert(v.Pin.Target == drained, qt.IsFalse)
		targets[i] = v.Pin.Target
		if v.Action == flow.Drop {
			dropped++
		}
	}
	c.Assert(dropped > 0, qt.IsTrue)
	for i := range flows / 3 {
		if v := tf.route("a", i); v.Action == flow.Forward {
			c.Assert(v.Pin.Target, qt.Equals, targets[i])
		}
	}
	tf.epoch(3, running, a, b)
	tf.advance(2 * time.Second)
	for i := range flows {
		v := tf.route("a", i)
		c.Assert(v.Action, qt.Equals, flow.Forward)
		c.Assert(v.Pin.Target == drained, qt.Equals, targets[i] == drained)
		if targets[i] != 0 {
			c.Assert(v.Pin.Target, qt.Equals, targets[i])
		}
	}
}
