package flow_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/flow"
)

// testFleet is a set of members with one shard each. Batches are delivered without
// delay.
type testFleet struct {
	now      time.Duration
	managers map[string]*flow.EpochManager
	shards   map[string]*flow.Shard
	// stopped are members that are paused or dead.
	stopped map[string]bool
	// dropsBatch, if set, reports whether a batch is lost.
	dropsBatch func(to string, b flow.Batch) bool
	// drainsFirst reports whether new epochs drain the first target.
	drainsFirst bool
}

func newTestFleet(names ...string) *testFleet {
	w := &testFleet{managers: make(map[string]*flow.EpochManager), shards: make(map[string]*flow.Shard), stopped: make(map[string]bool)}
	for _, n := range names {
		w.start(n, 1)
	}
	return w
}

// start starts a new process instance of a member, without flows or pins.
func (w *testFleet) start(name string, life uint64) {
	w.managers[name] = flow.NewEpochManager(flow.EpochManagerConfig{Self: name, Life: life})
	w.shards[name] = flow.NewShard(flow.ShardConfig{MaxFlows: 1024})
	w.stopped[name] = false
}

// handle passes an event to a running member and executes the effects.
func (w *testFleet) handle(name string, e flow.Event) {
	if w.stopped[name] {
		return
	}
	s := w.shards[name]
	for _, effect := range w.managers[name].Handle(w.now, e) {
		switch e := effect.(type) {
		case flow.Publish:
			s.Apply(e.Snapshot)
		case flow.Learn:
			s.Learn(w.now, e.Pins)
		case flow.LearnUnannounced:
			s.LearnUnannounced(w.now, e.Pins)
		case flow.Collect:
			w.handle(name, flow.CollectedEvent{Epoch: e.Epoch, Step: e.Step, Flows: s.Collect(w.now)})
		case flow.Send:
			if w.dropsBatch == nil || !w.dropsBatch(e.To, e.Batch) {
				w.handle(e.To, flow.BatchEvent{Batch: e.Batch})
			}
		}
	}
}

// epoch sends an epoch with the given members to the members named in to.
func (w *testFleet) epoch(number uint64, to []string, members ...flow.Member) {
	s := levy(4)
	s.Pool[0].Drain = w.drainsFirst
	e := flow.NewEpoch(flow.EpochConfig{Number: number, Config: config(s), Members: members}, nil)
	for _, n := range to {
		w.handle(n, flow.EpochEvent{Epoch: e})
	}
}

// advance lets the time d pass for all running members.
func (w *testFleet) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += flow.TickInterval
		for n, g := range w.managers {
			if g != nil && !w.stopped[n] {
				w.handle(n, flow.PinsEvent{Pins: w.shards[n].DrainPins()})
				w.handle(n, flow.TickEvent{})
			}
		}
	}
}

// setUnreachable sets the unreachable members at the members named in to.
func (w *testFleet) setUnreachable(to []string, unreachable ...string) {
	set := make(map[string]bool)
	for _, n := range unreachable {
		set[n] = true
	}
	for _, n := range to {
		w.handle(n, flow.ReachabilityEvent{Unreachable: set})
	}
}

// TestReturningOwnersReceivePins stops one member and pauses another while a target is
// drained. The paused member is removed and joins again, and member b receives only
// the epoch of its return. The next process instance of the stopped member has to
// receive every pin, including those of flows that the two members owned before.
func TestReturningOwnersReceivePins(t *testing.T) {
	c := qt.New(t)
	w := newTestFleet("a", "b", "frozen", "killed")
	a, b, killed := flow.Member{Name: "a", Life: 1}, flow.Member{Name: "b", Life: 1}, flow.Member{Name: "killed", Life: 1}
	frozen := flow.Member{Name: "frozen", Life: 1}
	all, up := []string{"a", "b", "frozen", "killed"}, []string{"a", "b"}
	w.epoch(1, all, a, b, frozen, killed)
	w.advance(time.Second)
	const flows = 200
	targets := make([]flow.TargetID, flows)
	for i := range targets {
		for _, n := range all {
			v := w.shards[n].Route(w.now, levyKey(i))
			c.Assert(v.Action, qt.Equals, flow.Forward)
			targets[i] = v.Pin.Target
		}
	}

	w.stopped["frozen"], w.stopped["killed"] = true, true
	w.drainsFirst = true
	w.epoch(2, up, a, b, frozen, killed)
	w.advance(2 * time.Second)
	w.setUnreachable(up, "frozen", "killed")
	w.epoch(3, up, a, b, frozen)
	w.advance(time.Second)

	w.stopped["frozen"] = false
	frozen.State = flow.Joining
	w.epoch(4, []string{"a", "frozen"}, a, b)
	w.epoch(5, []string{"a", "b", "frozen"}, a, b, frozen)
	w.setUnreachable(up)
	w.advance(time.Second)
	w.start("killed", 2)
	killed = flow.Member{Name: "killed", Life: 2, State: flow.Joining}
	w.epoch(6, all, a, b, frozen, killed)
	w.advance(time.Second)
	frozen.State = flow.Active
	w.epoch(7, all, a, b, frozen, killed)
	w.advance(3 * time.Second)
	killed.State = flow.Active
	w.epoch(8, all, a, b, frozen, killed)
	w.advance(3 * time.Second)

	for _, n := range all {
		st := w.managers[n].Status()
		c.Check(st.Live == 1 && st.Waiting == 0 && st.Ready, qt.IsTrue, qt.Commentf("%s %+v", n, st))
	}
	broken := 0
	for i, target := range targets {
		if v := w.shards["killed"].Route(w.now, levyKey(i)); v.Action == flow.Forward && v.Pin.Target != target {
			broken++
		}
	}
	c.Assert(broken, qt.Equals, 0)
}

// TestLateJoinerConverges loses the batch in which a leaving member reports to a
// joining one that it has activated an epoch. The joining member still considers the
// leaving one an owner and waits for that report, also when the next epoch has come.
// The epochs have to converge once batches are no longer lost.
func TestLateJoinerConverges(t *testing.T) {
	c := qt.New(t)
	w := newTestFleet("a", "leaver", "joiner")
	all := []string{"a", "leaver", "joiner"}
	a, leaver := flow.Member{Name: "a", Life: 1}, flow.Member{Name: "leaver", Life: 1}
	joiner := flow.Member{Name: "joiner", Life: 1, State: flow.Joining}
	w.epoch(1, all[:2], a, leaver)
	w.advance(time.Second)
	w.epoch(2, all, a, leaver, joiner)
	w.advance(time.Second)
	w.dropsBatch = func(to string, b flow.Batch) bool {
		return b.From == "leaver" && to == "joiner" && slices.Contains(b.Progress, flow.EpochProgress{Epoch: 3, Step: flow.StepActivated})
	}
	leaver.State, joiner.State = flow.Leaving, flow.Active
	w.epoch(3, all, a, leaver, joiner)
	w.advance(2 * time.Second)
	w.drainsFirst = true
	w.epoch(4, all, a, leaver, joiner)
	w.advance(2 * time.Second)
	w.dropsBatch = nil
	w.advance(maxConvergeTime)
	for _, n := range all {
		st := w.managers[n].Status()
		c.Check(st.Newest == 4 && st.Live == 1, qt.IsTrue, qt.Commentf("%s %+v", n, st))
	}
}
