package flow_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/flow"
)

// TestSilenceOfTheWholeTargetEndsNoFlow drops all replies of a target for a while, as
// a partition between failure domains does. All its flows are unanswered at the same
// time, so none of them may be ended when the first reply arrives again. A flow that
// stays unanswered while the others get replies has to be ended.
func TestSilenceOfTheWholeTargetEndsNoFlow(t *testing.T) {
	c := qt.New(t)
	const timeout = 10 * time.Second
	s := standaloneShard(flow.ShardConfig{UnansweredTimeout: timeout, MaxUnansweredPackets: 16}, 1)
	now := time.Second
	send := func(i int) flow.Decision { return s.Route(now, levyKey(i)) }
	for i := range 3 {
		c.Assert(send(i).Action, qt.Equals, flow.Forward)
		s.RecordReply(now, levyKey(i))
	}
	for end := now + timeout - time.Second; now < end; now += 400 * time.Millisecond {
		for i := range 3 {
			c.Assert(send(i).Action, qt.Equals, flow.Forward)
		}
	}
	now += 2 * time.Second
	s.RecordReply(now, levyKey(0))
	c.Assert(send(0).Action, qt.Equals, flow.Forward)
	c.Assert(send(1).Action, qt.Equals, flow.Forward, qt.Commentf("the partition has just ended"))
	c.Assert(send(2).Action, qt.Equals, flow.Forward)
	s.RecordReply(now, levyKey(1))

	for end := now + timeout + time.Second; now < end; now += 400 * time.Millisecond {
		s.RecordReply(now, levyKey(0))
		s.RecordReply(now, levyKey(1))
	}
	v := send(2)
	c.Assert(v.Action, qt.Equals, flow.Reset, qt.Commentf("the other flows have received replies since the partition ended"))
	c.Assert(v.Reason, qt.Equals, flow.ReasonSilent)
}

// TestRepliesAtAnotherMemberKeepAFlow sends all datagrams of some flows to one member
// and all replies to the other. Whichever of the two owns a flow, it must not be
// ended while it receives replies, and it has to be ended when they stop.
func TestRepliesAtAnotherMemberKeepAFlow(t *testing.T) {
	c := qt.New(t)
	tf := newTestFleet("a", "b")
	names := []string{"a", "b"}
	tf.epoch(1, names, flow.Member{Name: "a", Life: 1}, flow.Member{Name: "b", Life: 1})
	const flows, seconds = 20, 30
	for i := range 2 * flows {
		for _, n := range names {
			tf.shards[n].Route(tf.now, levyKey(i))
			tf.shards[n].RecordReply(tf.now, levyKey(i))
		}
	}
	ended := make(map[int]bool)
	for range seconds {
		tf.advance(time.Second)
		for i := range flows {
			ended[i] = ended[i] || tf.route("a", i).Action == flow.Reset
			tf.shards["b"].RecordReply(tf.now, levyKey(i))
			// Replies to other flows on the same targets arrive at a.
			tf.shards["a"].RecordReply(tf.now, levyKey(flows+i))
		}
	}
	for i := range flows {
		c.Check(ended[i], qt.IsFalse, qt.Commentf("flow %d", i))
	}
	for range seconds {
		tf.advance(time.Second)
		for i := range flows {
			ended[i] = ended[i] || tf.route("a", i).Action == flow.Reset
			tf.shards["a"].RecordReply(tf.now, levyKey(flows+i))
		}
	}
	for i := range flows {
		c.Check(ended[i], qt.IsTrue, qt.Commentf("flow %d", i))
	}
}
