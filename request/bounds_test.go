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

// intakeName is the service that TestFloodIsBoundedAndLeavesTheOtherServiceAlone
// overloads.
const intakeName = "ledger-intake"

// newRegion starts balancers that have the same view and the same holder set. All of
// them are claim holders.
func newRegion(seed uint64, domains []string, balancers int, limits request.Limits) *network {
	cfg := service.Config{}.WithNumber(1).
		WithService(newService(deskName, domains, 4, 2)).
		WithService(newService(intakeName, domains, 2, 2))
	w := newNetwork(seed, len(domains), cfg)
	w.limits = limits
	for i := range balancers {
		w.start(fmt.Sprint("b", i), domains[i%len(domains)], 1)
	}
	w.eventToAll(request.ViewChanged{Members: w.live(0)})
	w.eventToAll(request.ClaimHoldersChanged{Set: request.ClaimHolderSet{Number: 1, Members: w.live(0)}})
	w.RunUntil(3 * time.Second)
	return w
}

func (w *network) eventToAll(e request.Event) {
	for _, n := range w.nodes {
		w.event(n, e)
	}
}

// sendRequest sends request i, from a caller of its own, to a random balancer.
func (w *network) sendRequest(i int, name string, repeatable bool) request.Key {
	r := request.Request{Key: newKey(i), Service: name, Repeatable: repeatable, Remaining: time.Second}
	w.event(w.nodes[w.rand.IntN(len(w.nodes))], request.Received{Request: r})
	return r.Key
}

func (w *network) isAnswered(k request.Key) bool {
	for _, timed := range w.replies[k] {
		if timed.reply.Outcome == request.OutcomeResponse {
			return true
		}
	}
	return false
}

// TestFloodIsBoundedAndLeavesTheOtherServiceAlone guards against an overload of one
// service that exceeds the limits of the Core or delays another service.
func TestFloodIsBoundedAndLeavesTheOtherServiceAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := request.Limits{MaxQueued: 20, MaxPerCaller: 5, MaxRecords: 60, MaxClaims: 80}
		w := newRegion(rapid.Uint64().Draw(t, "seed"), []string{"d1"}, 3, limits)
		var desk []request.Key
		n := rapid.IntRange(500, 1500).Draw(t, "flood")
		for i := range n {
			w.After(time.Duration(i)*time.Millisecond, func() {
				w.sendRequest(1000+i, intakeName, i%2 == 0)
				checkBounds(t, w, limits)
			})
			if i%50 == 0 {
				w.After(time.Duration(i)*time.Millisecond, func() { desk = append(desk, w.sendRequest(i, deskName, i%100 == 0)) })
			}
		}
		w.RunUntil(w.Now() + 4*time.Second)
		for _, k := range desk {
			if !w.isAnswered(k) {
				t.Errorf("%s of the other service is not answered: %v", k.Token, w.replies[k])
			}
		}
	})
}

// checkBounds reports a balancer whose state exceeds the limits. Claims are limited
// per service, and there are two services. 8192 is maxForwarded, and 8 is twice the
// number of slots of the overloaded service.
func checkBounds(t *rapid.T, w *network, l request.Limits) {
	for _, n := range w.nodes {
		s := n.core.State()
		if s.Holder.Claims > 2*l.MaxClaims || s.Forwarded > 8192 {
			t.Fatalf("%s stores %d claims and %d forwarded requests", n.member.Name, s.Holder.Claims, s.Forwarded)
		}
		if n.core.Queued() != queuedRequests(n) {
			t.Fatalf("%s: Queued returns %d requests, State has %d", n.member.Name, n.core.Queued(), queuedRequests(n))
		}
		for _, p := range s.Services {
			if p.Queued > l.MaxQueued+8 || p.Open > l.MaxQueued+8 || p.Records > l.MaxRecords || p.Callers > p.Open {
				t.Fatalf("%s: %+v", n.member.Name, p)
			}
		}
	}
}

// TestOneCallerHasItsShare guards against a caller that exceeds MaxPerCaller and
// fills the queue: of 10 requests, 3 are accepted and 7 get a reply at once.
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

// TestStopCutsNoRequest guards against requests that are lost when their balancer
// or coordinator stops.
func TestStopCutsNoRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := []string{"d1", "d2"}[:rapid.IntRange(1, 2).Draw(t, "domains")]
		w := newRegion(rapid.Uint64().Draw(t, "seed"), domains, 4, request.Limits{})
		var keys []request.Key
		for i := range rapid.IntRange(1, 40).Draw(t, "requests") {
			w.After(time.Duration(w.rand.IntN(100))*time.Millisecond, func() {
				keys = append(keys, w.sendRequest(i, deskName, i%2 == 0))
			})
		}
		n := w.nodes[w.rand.IntN(len(w.nodes))]
		w.After(50*time.Millisecond, func() {
			w.event(n, request.Stop{})
			w.announceLeaving(n)
		})
		w.RunUntil(w.Now() + 3*time.Second)
		if !n.stopped {
			t.Errorf("%s has not stopped: %+v", n.member.Name, n.core.State())
		}
		for _, f := range w.faults {
			t.Error(f)
		}
		for _, k := range keys {
			if !w.isAnswered(k) {
				t.Errorf("%s is not answered: %v", k.Token, w.replies[k])
			}
		}
	})
}

// TestStopHandsTheQueueOver guards against a stopping coordinator that keeps its
// queue, and against one that stops before its requests have ended.
func TestStopHandsTheQueueOver(t *testing.T) {
	c := qt.New(t)
	w := newRegion(1, []string{"d1"}, 3, request.Limits{})
	for i := range 90 {
		w.sendRequest(i, deskName, true)
	}
	w.RunUntil(w.Now() + 5*time.Millisecond)
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return queuedRequests(n) > 0 })
	coordinator := w.nodes[i]
	w.event(coordinator, request.Stop{})
	w.announceLeaving(coordinator)
	c.Assert(queuedRequests(coordinator), qt.Equals, 0)
	w.RunUntil(w.Now() + 300*time.Millisecond)
	c.Assert(coordinator.stopped, qt.IsFalse)
	w.RunUntil(w.Now() + time.Second)
	c.Assert(coordinator.stopped, qt.IsTrue)
}

func queuedRequests(n *node) int {
	total := 0
	for _, s := range n.core.State().Services {
		total += s.Queued
	}
	return total
}

// TestHolderBoundsTheClaimsOfAService guards against a claim holder that stores
// more than MaxClaims claims of one service.
func TestHolderBoundsTheClaimsOfAService(t *testing.T) {
	c := qt.New(t)
	w := newRegion(1, []string{"d1"}, 3, request.Limits{MaxClaims: 10})
	decisions := make(map[request.VoteDecision]int)
	w.onEffect = func(_ *node, e request.Effect) {
		if s, ok := e.(request.Send); ok {
			if v, ok := s.Message.(request.Vote); ok {
				decisions[v.Decision]++
			}
		}
	}
	for i := range 30 {
		claimRequest := request.ClaimRequest{Set: 1, Digest: newKey(i).Digest(), Service: deskName, Nonce: uint64(i)}
		w.event(w.nodes[0], request.MessageReceived{From: w.nodes[1].member.Peer, Message: claimRequest})
	}
	c.Assert(decisions[request.VoteGranted], qt.Equals, 10)
	c.Assert(decisions[request.VoteUnready], qt.Equals, 20)
}

// announceLeaving sends all balancers a view in which n is leaving.
func (w *network) announceLeaving(n *node) {
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

// TestSetChangeIsShort guards against a long time without votes after a change of
// the holder set, and against claims that are lost in it. One claim holder is
// replaced: the members of the new set must be able to vote within 700 ms, and
// copies of requests that have run must not run again.
func TestSetChangeIsShort(t *testing.T) {
	c := qt.New(t)
	w := newRegion(1, []string{"d1", "d2", "d3"}, 6, request.Limits{})
	var keys []request.Key
	for i := range 700 {
		w.After(time.Duration(i)*5*time.Millisecond, func() { keys = append(keys, w.sendRequest(i, deskName, false)) })
	}
	w.RunUntil(w.Now() + 5*time.Second)
	previous := w.live(0)
	w.kill(w.nodes[0])
	w.start("b0", "d1", 2)
	w.eventToAll(request.ViewChanged{Members: w.live(0)})
	w.eventToAll(request.ClaimHoldersChanged{Set: request.ClaimHolderSet{Number: 2, Members: w.live(0), Previous: previous}})
	w.RunUntil(w.Now() + 700*time.Millisecond)
	for _, n := range w.nodes[1:] {
		h := n.core.State().Holder
		c.Check(h.Complete && h.HasQuorum, qt.IsTrue, qt.Commentf("%s: %+v", n.member.Name, h))
		c.Check(n.core.NewestCompleteSet(), qt.Equals, uint64(2))
	}
	for _, k := range keys {
		c.Assert(w.isAnswered(k), qt.IsTrue)
		w.event(w.nodes[6], request.Received{Request: request.Request{Key: k, Service: deskName, Remaining: time.Second}})
	}
	w.RunUntil(w.Now() + 3*time.Second)
	for _, k := range keys {
		c.Assert(w.runs[k], qt.Equals, 1)
	}
}

// TestUnevenSetChangeStallsNoClaim guards against claims that wait for a repeated
// claim request after a change of the holder set. Half of the claim holders apply
// the new set 170 ms before the others, which cannot vote on the claim requests
// that arrive in between. They must send these votes once they have applied the
// set, so that the requests run within 40 ms.
func TestUnevenSetChangeStallsNoClaim(t *testing.T) {
	c := qt.New(t)
	const applyDelay, maxDecisionTime = 170 * time.Millisecond, 40 * time.Millisecond
	w := newRegion(1, []string{"d1", "d2", "d3"}, 6, request.Limits{})
	next := request.ClaimHoldersChanged{Set: request.ClaimHolderSet{Number: 2, Members: w.live(0), Previous: w.live(0)}}
	for _, n := range w.nodes[:3] {
		w.event(n, next)
	}
	var keys []request.Key
	for i := range 8 {
		r := request.Request{Key: newKey(i), Service: deskName, Remaining: time.Second}
		keys = append(keys, r.Key)
		w.event(w.nodes[i%3], request.Received{Request: r})
	}
	w.RunUntil(w.Now() + applyDelay)
	for _, n := range w.nodes[3:] {
		w.event(n, next)
	}
	w.RunUntil(w.Now() + maxDecisionTime)
	for _, k := range keys {
		c.Check(w.runs[k], qt.Equals, 1, qt.Commentf("%v", k))
	}
}
