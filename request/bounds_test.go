package request_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wisteriaweir/request"
	"wisteriaweir/service"
)

const intakeName = "ledger-intake"

// newRegion starts balancers with one view and one set of holders.
func newRegion(seed uint64, domains []string, balancers int, limits request.Limits) *network {
	cfg := service.Config{}.WithNumber(1).
		WithService(newService(deskName, domains, 4, 2)).
		WithService(newService(intakeName, domains, 2, 2))
	w := newNetwork(seed, len(domains), cfg)
	w.limit = limits
	for i := range balancers {
		w.start(fmt.Sprint("b", i), domains[i%len(domains)], 1)
	}
	w.tell(request.ViewChanged{Members: w.live(0)})
	w.tell(request.HoldersChanged{Set: request.HolderSet{Number: 1, Members: w.live(0)}})
	w.RunUntil(3 * time.Second)
	return w
}

func (w *network) tell(e request.Event) {
	for _, n := range w.nodes {
		w.event(n, e)
	}
}

// ask sends one request of its own caller to a balancer.
func (w *network) ask(i int, name string, repeatable bool) request.Key {
	r := request.Request{Key: newKey(i), Service: name, Repeatable: repeatable, Remaining: time.Second}
	w.event(w.nodes[w.rand.IntN(len(w.nodes))], request.Received{Request: r})
	return r.Key
}

func (w *network) answered(k request.Key) bool {
	for _, g := range w.replies[k] {
		if g.reply.Outcome == request.OutcomeAnswer {
			return true
		}
	}
	return false
}

func TestFloodIsBoundedAndLeavesTheOtherServiceAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := request.Limits{MaxQueued: 20, MaxPerCaller: 5, MaxRecords: 60, MaxClaims: 80}
		w := newRegion(rapid.Uint64().Draw(t, "seed"), []string{"d1"}, 3, limits)
		var desk []request.Key
		n := rapid.IntRange(500, 1500).Draw(t, "flood")
		for i := range n {
			w.After(time.Duration(i)*time.Millisecond, func() {
				w.ask(1000+i, intakeName, i%2 == 0)
				checkBounds(t, w, limits)
			})
			if i%50 == 0 {
				w.After(time.Duration(i)*time.Millisecond, func() { desk = append(desk, w.ask(i, deskName, i%100 == 0)) })
			}
		}
		w.RunUntil(w.Now() + 4*time.Second)
		for _, k := range desk {
			if !w.answered(k) {
				t.Errorf("%s of the desk is not answered: %v", k.Token, w.replies[k])
			}
		}
	})
}

func checkBounds(t *rapid.T, w *network, l request.Limits) {
	for _, n := range w.nodes {
		s := n.core.State()
		if s.Holder.Claims > 2*l.MaxClaims || s.Forwarded > 8192 {
			t.Fatalf("%s holds %d claims and %d entries", n.member.Name, s.Holder.Claims, s.Forwarded)
		}
		if n.core.Queued() != queued(n) {
			t.Fatalf("%s counts %d queued requests, its state %d", n.member.Name, n.core.Queued(), queued(n))
		}
		for _, p := range s.Services {
			if p.Queued > l.MaxQueued+8 || p.Open > l.MaxQueued+8 || p.Records > l.MaxRecords || p.Callers > p.Open {
				t.Fatalf("%s: %+v", n.member.Name, p)
			}
		}
	}
}

func TestOneCallerHasItsShare(t *testing.T) {
	c := qt.New(t)
	w := newRegion(1, []string{"d1"}, 1, request.Limits{MaxPerCaller: 3})
	for i := range 10 {
		r := request.Request{Key: newKey(1), Service: deskName, Repeatable: true, Remaining: time.Second}
		r.Key.MessageID = uint16(i)
		w.event(w.nodes[0], request.Received{Request: r})
	}
	c.Assert(w.nodes[0].core.State().Services[0].Open, qt.Equals, 3)
	c.Assert(w.replies, qt.HasLen, 7)
}

func TestStopCutsNoRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := []string{"d1", "d2"}[:rapid.IntRange(1, 2).Draw(t, "domains")]
		w := newRegion(rapid.Uint64().Draw(t, "seed"), domains, 4, request.Limits{})
		var keys []request.Key
		for i := range rapid.IntRange(1, 40).Draw(t, "requests") {
			w.After(time.Duration(w.rand.IntN(100))*time.Millisecond, func() {
				keys = append(keys, w.ask(i, deskName, i%2 == 0))
			})
		}
		n := w.nodes[w.rand.IntN(len(w.nodes))]
		w.After(50*time.Millisecond, func() {
			w.event(n, request.Stop{})
			w.leave(n)
		})
		w.RunUntil(w.Now() + 3*time.Second)
		if !n.stopped {
			t.Errorf("%s has not stopped: %+v", n.member.Name, n.core.State())
		}
		for _, f := range w.faults {
			t.Error(f)
		}
		for _, k := range keys {
			if !w.answered(k) {
				t.Errorf("%s is not answered: %v", k.Token, w.replies[k])
			}
		}
	})
}

func TestStopHandsTheQueueOver(t *testing.T) {
	c := qt.New(t)
	w := newRegion(1, []string{"d1"}, 3, request.Limits{})
	for i := range 90 {
		w.ask(i, deskName, true)
	}
	w.RunUntil(w.Now() + 5*time.Millisecond)
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return queued(n) > 0 })
	keeper := w.nodes[i]
	w.event(keeper, request.Stop{})
	w.leave(keeper)
	c.Assert(queued(keeper), qt.Equals, 0)
	w.RunUntil(w.Now() + 300*time.Millisecond)
	c.Assert(keeper.stopped, qt.IsFalse)
	w.RunUntil(w.Now() + time.Second)
	c.Assert(keeper.stopped, qt.IsTrue)
}

func queued(n *node) int {
	total := 0
	for _, s := range n.core.State().Services {
		total += s.Queued
	}
	return total
}

func TestHolderBoundsTheClaimsOfAService(t *testing.T) {
	c := qt.New(t)
	w := newRegion(1, []string{"d1"}, 3, request.Limits{MaxClaims: 10})
	grades := make(map[request.VoteDecision]int)
	w.traced = func(_ *node, e request.Effect) {
		if s, ok := e.(request.Send); ok {
			if v, ok := s.Message.(request.Vote); ok {
				grades[v.Decision]++
			}
		}
	}
	for i := range 30 {
		ask := request.ClaimRequest{Set: 1, Digest: newKey(i).Digest(), Service: deskName, Nonce: uint64(i)}
		w.event(w.nodes[0], request.MessageReceived{From: w.nodes[1].member.Peer, Message: ask})
	}
	c.Assert(grades[request.VoteGranted], qt.Equals, 10)
	c.Assert(grades[request.VoteUnready], qt.Equals, 20)
}

// leave takes n out of the views of all.
func (w *network) leave(n *node) {
	var members []request.Member
	for _, m := range w.live(0) {
		if m != n.member {
			members = append(members, m)
		}
	}
	for _, o := range w.nodes {
		w.After(time.Duration(w.rand.IntN(20))*time.Millisecond, func() {
			w.event(o, request.ViewChanged{Members: members, Leaving: []request.Member{n.member}})
		})
	}
}

// TestSetChangeIsShort replaces one holder and expects every member of the new
// set to vote soon.
func TestSetChangeIsShort(t *testing.T) {
	c := qt.New(t)
	w := newRegion(1, []string{"d1", "d2", "d3"}, 6, request.Limits{})
	var keys []request.Key
	for i := range 700 {
		w.After(time.Duration(i)*5*time.Millisecond, func() { keys = append(keys, w.ask(i, deskName, false)) })
	}
	w.RunUntil(w.Now() + 5*time.Second)
	old := w.live(0)
	w.kill(w.nodes[0])
	w.start("b0", "d1", 2)
	w.tell(request.ViewChanged{Members: w.live(0)})
	w.tell(request.HoldersChanged{Set: request.HolderSet{Number: 2, Members: w.live(0), Previous: old}})
	w.RunUntil(w.Now() + 700*time.Millisecond)
	for _, n := range w.nodes[1:] {
		h := n.core.State().Holder
		c.Check(h.Complete && h.HasQuorum, qt.IsTrue, qt.Commentf("%s: %+v", n.member.Name, h))
		c.Check(n.core.NewestCompleteSet(), qt.Equals, uint64(2))
	}
	for _, k := range keys {
		c.Assert(w.answered(k), qt.IsTrue)
		w.event(w.nodes[6], request.Received{Request: request.Request{Key: k, Service: deskName, Remaining: time.Second}})
	}
	w.RunUntil(w.Now() + 3*time.Second)
	for _, k := range keys {
		c.Assert(w.runs[k], qt.Equals, 1)
	}
}

// TestUnevenSetChangeStallsNoClaim tells half of the holders about the next set
// and the others some time later: what is asked for between the two is answered
// soon after, not when its owner happens to ask again.
func TestUnevenSetChangeStallsNoClaim(t *testing.T) {
	c := qt.New(t)
	const uneven, soon = 170 * time.Millisecond, 40 * time.Millisecond
	w := newRegion(1, []string{"d1", "d2", "d3"}, 6, request.Limits{})
	next := request.HoldersChanged{Set: request.HolderSet{Number: 2, Members: w.live(0), Previous: w.live(0)}}
	for _, n := range w.nodes[:3] {
		w.event(n, next)
	}
	var keys []request.Key
	for i := range 8 {
		r := request.Request{Key: newKey(i), Service: deskName, Remaining: time.Second}
		keys = append(keys, r.Key)
		w.event(w.nodes[i%3], request.Received{Request: r})
	}
	w.RunUntil(w.Now() + uneven)
	for _, n := range w.nodes[3:] {
		w.event(n, next)
	}
	w.RunUntil(w.Now() + soon)
	for _, k := range keys {
		c.Check(w.runs[k], qt.Equals, 1, qt.Commentf("%v", k))
	}
}
