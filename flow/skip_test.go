package flow_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/flow"
	"wisteriaweir/service"
)

// settleLimit is how long a member that missed an epoch may hold up the others.
const settleLimit = 5 * time.Second

// trio is three members without flows that hear each other at once.
type trio struct {
	now     time.Duration
	members map[string]*flow.EpochManager
	// cut is a member that nobody reaches.
	cut string
}

func newTrio() *trio {
	t := &trio{members: make(map[string]*flow.EpochManager)}
	for _, n := range []string{"a", "b", "c"} {
		t.members[n] = flow.NewEpochManager(flow.EpochManagerConfig{Self: n, Life: 1})
	}
	return t
}

func (t *trio) handle(name string, e flow.Event) {
	g := t.members[name]
	if g == nil {
		return
	}
	if _, ok := e.(flow.BatchEvent); ok && name == t.cut {
		return
	}
	for _, effect := range g.Handle(t.now, e) {
		switch e := effect.(type) {
		case flow.Collect:
			t.handle(name, flow.CollectedEvent{Epoch: e.Epoch, Step: e.Step})
		case flow.Send:
			if name != t.cut {
				t.handle(e.To, flow.BatchEvent{Batch: e.Batch})
			}
		}
	}
}

func (t *trio) epoch(number uint64, to []string, states ...flow.State) {
	var members []flow.Member
	for i, s := range states {
		members = append(members, flow.Member{Name: string(rune('a' + i)), Life: 1, State: s})
	}
	e := flow.NewEpoch(flow.EpochConfig{Number: number, Config: service.Config{}, Members: members}, nil)
	for _, n := range to {
		t.handle(n, flow.EpochEvent{Epoch: e})
	}
}

func (t *trio) pass(d time.Duration) {
	for end := t.now + d; t.now < end; {
		t.now += flow.TickInterval
		for _, n := range []string{"a", "b", "c"} {
			t.handle(n, flow.TickEvent{})
		}
	}
}

// TestSkippedEpochHoldsNobodyUp gives one member an epoch less than the others:
// states reach balancers unevenly, and one that was behind gets the newest only.
func TestSkippedEpochHoldsNobodyUp(t *testing.T) {
	c := qt.New(t)
	s := newTrio()
	all := []string{"a", "b", "c"}
	s.epoch(1, all, flow.Active, flow.Active, flow.Active)
	s.pass(time.Second)
	s.epoch(2, []string{"a", "b"}, flow.Active, flow.Active, flow.Leaving)
	s.epoch(3, all, flow.Active, flow.Active, flow.Active)
	s.pass(settleLimit)
	for _, n := range all {
		st := s.members[n].Status()
		c.Check(st.Newest, qt.Equals, uint64(3), qt.Commentf("%s %+v", n, st))
		c.Check(st.Live, qt.Equals, 1, qt.Commentf("%s %+v", n, st))
	}
}

// TestUnreachableMemberHoldsNobodyUp cuts one member off in the middle of a
// change of members; the others have to follow the epochs after it.
func TestUnreachableMemberHoldsNobodyUp(t *testing.T) {
	c := qt.New(t)
	s := newTrio()
	s.epoch(1, []string{"a", "b", "c"}, flow.Active, flow.Active, flow.Active)
	s.pass(time.Second)
	s.cut = "c"
	there := []string{"a", "b"}
	for _, n := range there {
		s.handle(n, flow.ReachabilityEvent{Unreachable: map[string]bool{"c": true}})
	}
	s.epoch(2, there, flow.Active, flow.Leaving, flow.Active)
	s.epoch(3, there, flow.Active, flow.Active, flow.Active)
	s.pass(settleLimit)
	for _, n := range there {
		st := s.members[n].Status()
		c.Check(st.Newest, qt.Equals, uint64(3), qt.Commentf("%s %+v", n, st))
	}
}
