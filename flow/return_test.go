package flow_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/flow"
)

// crew is members with a shard each that hear each other at once.
type crew struct {
	now    time.Duration
	gens   map[string]*flow.EpochManager
	shards map[string]*flow.Shard
	// still are members that are paused or dead.
	still map[string]bool
	// lost, if set, says whether a batch does not arrive.
	lost func(to string, b flow.Batch) bool
	// drained says that epochs drain the first target.
	drained bool
}

func newCrew(names ...string) *crew {
	w := &crew{gens: make(map[string]*flow.EpochManager), shards: make(map[string]*flow.Shard), still: make(map[string]bool)}
	for _, n := range names {
		w.start(n, 1)
	}
	return w
}

// start gives a member a life with nothing in memory.
func (w *crew) start(name string, life uint64) {
	w.gens[name] = flow.NewEpochManager(flow.EpochManagerConfig{Self: name, Life: life})
	w.shards[name] = flow.NewShard(flow.ShardConfig{MaxFlows: 1024})
	w.still[name] = false
}

func (w *crew) handle(name string, e flow.Event) {
	if w.still[name] {
		return
	}
	s := w.shards[name]
	for _, effect := range w.gens[name].Handle(w.now, e) {
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
			if w.lost == nil || !w.lost(e.To, e.Batch) {
				w.handle(e.To, flow.BatchEvent{Batch: e.Batch})
			}
		}
	}
}

// epoch gives an epoch with these members to the named ones.
func (w *crew) epoch(number uint64, to []string, members ...flow.Member) {
	s := levy(4)
	s.Pool[0].Drain = w.drained
	e := flow.NewEpoch(flow.EpochConfig{Number: number, Config: config(s), Members: members}, nil)
	for _, n := range to {
		w.handle(n, flow.EpochEvent{Epoch: e})
	}
}

func (w *crew) pass(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += flow.TickInterval
		for n, g := range w.gens {
			if g != nil && !w.still[n] {
				w.handle(n, flow.PinsEvent{Pins: w.shards[n].DrainPins()})
				w.handle(n, flow.TickEvent{})
			}
		}
	}
}

func (w *crew) reach(to []string, unreachable ...string) {
	out := make(map[string]bool)
	for _, n := range unreachable {
		out[n] = true
	}
	for _, n := range to {
		w.handle(n, flow.ReachabilityEvent{Unreachable: out})
	}
}

// TestReturningHomesAreTold kills one member and pauses another while a target
// is drained. The paused one is taken out and back in, and one of the others
// sees only its return. The next life of the killed member has to learn every
// pin, also those of which the two were the homes.
func TestReturningHomesAreTold(t *testing.T) {
	c := qt.New(t)
	w := newCrew("a", "b", "frozen", "killed")
	a, b, killed := flow.Member{Name: "a", Life: 1}, flow.Member{Name: "b", Life: 1}, flow.Member{Name: "killed", Life: 1}
	frozen := flow.Member{Name: "frozen", Life: 1}
	all, up := []string{"a", "b", "frozen", "killed"}, []string{"a", "b"}
	w.epoch(1, all, a, b, frozen, killed)
	w.pass(time.Second)
	const flows = 200
	at := make([]flow.TargetID, flows)
	for i := range at {
		for _, n := range all {
			v := w.shards[n].Route(w.now, levyKey(i))
			c.Assert(v.Action, qt.Equals, flow.Forward)
			at[i] = v.Pin.Target
		}
	}

	w.still["frozen"], w.still["killed"] = true, true
	w.drained = true
	w.epoch(2, up, a, b, frozen, killed)
	w.pass(2 * time.Second)
	w.reach(up, "frozen", "killed")
	w.epoch(3, up, a, b, frozen)
	w.pass(time.Second)

	w.still["frozen"] = false
	frozen.State = flow.Joining
	w.epoch(4, []string{"a", "frozen"}, a, b)
	w.epoch(5, []string{"a", "b", "frozen"}, a, b, frozen)
	w.reach(up)
	w.pass(time.Second)
	w.start("killed", 2)
	killed = flow.Member{Name: "killed", Life: 2, State: flow.Joining}
	w.epoch(6, all, a, b, frozen, killed)
	w.pass(time.Second)
	frozen.State = flow.Active
	w.epoch(7, all, a, b, frozen, killed)
	w.pass(3 * time.Second)
	killed.State = flow.Active
	w.epoch(8, all, a, b, frozen, killed)
	w.pass(3 * time.Second)

	for _, n := range all {
		st := w.gens[n].Status()
		c.Check(st.Live == 1 && st.Waiting == 0 && st.Ready, qt.IsTrue, qt.Commentf("%s %+v", n, st))
	}
	broken := 0
	for i, target := range at {
		if v := w.shards["killed"].Route(w.now, levyKey(i)); v.Action == flow.Forward && v.Pin.Target != target {
			broken++
		}
	}
	c.Assert(broken, qt.Equals, 0)
}

// TestLateJoinerSettles keeps from a joining member what a leaving one decided
// before the next epoch: the joiner still takes the leaver for a home, and waits
// for its word.
func TestLateJoinerSettles(t *testing.T) {
	c := qt.New(t)
	w := newCrew("a", "leaver", "joiner")
	all := []string{"a", "leaver", "joiner"}
	a, leaver := flow.Member{Name: "a", Life: 1}, flow.Member{Name: "leaver", Life: 1}
	joiner := flow.Member{Name: "joiner", Life: 1, State: flow.Joining}
	w.epoch(1, all[:2], a, leaver)
	w.pass(time.Second)
	w.epoch(2, all, a, leaver, joiner)
	w.pass(time.Second)
	w.lost = func(to string, b flow.Batch) bool {
		return b.From == "leaver" && to == "joiner" && slices.Contains(b.Progress, flow.EpochProgress{Epoch: 3, Step: flow.StepActivated})
	}
	leaver.State, joiner.State = flow.Leaving, flow.Active
	w.epoch(3, all, a, leaver, joiner)
	w.pass(2 * time.Second)
	w.drained = true
	w.epoch(4, all, a, leaver, joiner)
	w.pass(2 * time.Second)
	w.lost = nil
	w.pass(settleLimit)
	for _, n := range all {
		st := w.gens[n].Status()
		c.Check(st.Newest == 4 && st.Live == 1, qt.IsTrue, qt.Commentf("%s %+v", n, st))
	}
}
