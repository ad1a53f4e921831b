package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"wisteriaweir/request"
	"wisteriaweir/request/requestpb"
)

// requestBench runs the core of several balancers against small targets.
type requestBench struct {
	Timeline
	c       requestCase
	rand    *rand.Rand
	nodes   []*requestNode
	byPeer  map[request.Peer]*requestNode
	targets map[string]*slotTarget
	items   map[request.Key]*requestItem
	holders request.HolderSet
	// sent counts the messages and bytes between balancers.
	messages, bytes int
}

// requestNode is one balancer.
type requestNode struct {
	member request.Member
	core   *request.Core
	dead   bool
	frozen bool
	held   []request.Event
	wake   int
}

// slotTarget is a target that refuses what comes while its slots are taken.
type slotTarget struct {
	domain string
	busy   int
	dead   bool
	// misleading makes it refuse half of what it could run.
	misleading bool
	tokens     map[uint64]*slotRun
}

// slotRun is one attempt at a target.
type slotRun struct {
	answer  request.Answered
	ended   bool
	aborted bool
}

func runBench(c requestCase, items []*requestItem, seed uint64) *requestBench {
	w := &requestBench{
		c:       c,
		rand:    rand.New(rand.NewPCG(seed, 4)),
		byPeer:  make(map[request.Peer]*requestNode),
		targets: make(map[string]*slotTarget),
		items:   make(map[request.Key]*requestItem),
	}
	cfg := c.size.config()
	for _, s := range cfg.Services {
		for _, t := range s.Pool {
			w.targets[t.Name] = &slotTarget{domain: t.Domain, tokens: make(map[uint64]*slotRun)}
		}
	}
	members := c.size.members()
	for i, m := range members {
		n := &requestNode{member: m}
		n.core = request.New(request.Config{Self: m, Seed: seed + uint64(i)})
		w.nodes = append(w.nodes, n)
		w.byPeer[m.Peer] = n
	}
	w.holders = c.size.holderSet(1, members, nil)
	for _, n := range w.nodes {
		w.event(n, request.ConfigChanged{Config: cfg})
		w.event(n, request.ViewChanged{Members: members})
		w.event(n, request.HoldersChanged{Set: w.holders})
	}
	w.addFault()
	for _, it := range items {
		w.items[it.key] = it
	}
	w.feed(items, w.ask)
	w.RunUntil(c.length + 2*requestDeadline)
	return w
}

func (w *requestBench) addFault() {
	first := w.targets[deskService+"-000"]
	switch w.c.fault {
	case faultLoss:
		w.After(faultAt, func() { first.dead = true })
	case faultDrain:
		w.After(faultAt, w.drain)
	case faultDeath:
		w.After(faultAt, func() { w.keeper().dead = true })
		w.After(faultAt+1500*time.Millisecond, w.tellViews)
		w.After(faultAt+5*time.Second, w.tellHolders)
	case faultFreeze:
		w.After(faultAt, w.freeze)
	case faultBusy:
		first.misleading = true
		w.targets[deskService+"-001"].misleading = true
	case faultNone, faultLink, faultFlood:
	}
}

// keeper returns the balancer whose loss costs most: the first one that keeps
// the desk's queue.
func (w *requestBench) keeper() *requestNode {
	for _, n := range w.nodes {
		for _, s := range n.core.State().Services {
			if s.Name == deskService && s.IsCoordinator {
				return n
			}
		}
	}
	return w.nodes[0]
}

func (w *requestBench) drain() {
	cfg := w.c.size.config().WithNumber(2)
	s, _ := cfg.Service(deskService)
	t := s.Pool[0]
	t.Drain = true
	cfg = cfg.WithService(s.WithTarget(t))
	for _, n := range w.nodes {
		w.After(time.Duration(w.rand.Float64()*float64(time.Second)), func() {
			w.event(n, request.ConfigChanged{Config: cfg})
		})
	}
}

func (w *requestBench) freeze() {
	n := w.keeper()
	n.frozen = true
	w.After(1500*time.Millisecond, w.tellViews)
	w.After(5*time.Second, w.tellHolders)
	w.After(30*time.Second, func() {
		n.frozen = false
		held := n.held
		n.held = nil
		for _, e := range held {
			w.event(n, e)
		}
		w.After(time.Second, w.tellViews)
		w.After(5*time.Second, w.tellHolders)
	})
}

func (w *requestBench) live() []request.Member {
	var members []request.Member
	for _, n := range w.nodes {
		if !n.dead && !n.frozen {
			members = append(members, n.member)
		}
	}
	return members
}

// tellViews gives each balancer the new view at its own time.
func (w *requestBench) tellViews() {
	members := w.live()
	for _, n := range w.nodes {
		w.After(time.Duration(w.rand.Float64()*float64(300*time.Millisecond)), func() {
			w.event(n, request.ViewChanged{Members: members})
		})
	}
}

// tellHolders writes the next set and lets each balancer read it.
func (w *requestBench) tellHolders() {
	w.holders = w.c.size.holderSet(w.holders.Number+1, w.live(), w.holders.Members)
	set := w.holders
	for _, n := range w.nodes {
		w.After(time.Duration(w.rand.Float64()*float64(300*time.Millisecond)), func() {
			w.event(n, request.HoldersChanged{Set: set})
		})
	}
}

// ask hands an item to some balancer, and again while it has no answer. The
// fabric stops choosing a dead or frozen balancer after three seconds.
func (w *requestBench) ask(it *requestItem) {
	left := it.at + requestDeadline - w.Now()
	if it.finals > 0 || left <= 0 {
		return
	}
	w.After(requestRepeat, func() { w.ask(it) })
	w.enter(it, left)
	if it.twice {
		it.twice = false
		w.enter(it, left)
	}
}

func (w *requestBench) enter(it *requestItem, left time.Duration) {
	nodes := w.nodes
	if w.Now() > faultAt+3*time.Second {
		nodes = slices.DeleteFunc(slices.Clone(nodes), func(n *requestNode) bool { return n.dead || n.frozen })
	}
	n := nodes[w.rand.IntN(len(nodes))]
	w.event(n, request.Received{Request: request.Request{
		Key:        it.key,
		Service:    it.service,
		Repeatable: !it.post,
		Remaining:  left,
		Payload:    make([]byte, 64),
	}})
}

func (w *requestBench) event(n *requestNode, e request.Event) {
	if n.dead {
		return
	}
	if n.frozen {
		n.held = append(n.held, e)
		return
	}
	for _, e := range n.core.Handle(w.Now(), e) {
		w.perform(n, e)
	}
}

func (w *requestBench) perform(n *requestNode, e request.Effect) {
	switch e := e.(type) {
	case request.Send:
		w.send(n, e)
	case request.Forward:
		w.link(n.member.Domain, e.Target.Domain, func() { w.run(n, e) })
	case request.Reply:
		w.reply(e)
	case request.Wake:
		n.wake++
		wake := n.wake
		w.After(e.At-w.Now(), func() {
			if n.wake == wake {
				w.event(n, request.Tick{})
			}
		})
	case request.Abort:
		w.link(n.member.Domain, e.Target.Domain, func() { w.abort(e) })
	case request.Stopped:
	}
}

func (w *requestBench) send(n *requestNode, e request.Send) {
	w.messages++
	w.bytes += requestpb.Size(e.Message)
	to := w.byPeer[e.To]
	w.link(n.member.Domain, to.member.Domain, func() {
		w.event(to, request.MessageReceived{From: n.member.Peer, Message: e.Message})
	})
}

func (w *requestBench) link(from, to string, f func()) {
	if w.rand.Float64() < w.c.loss {
		return
	}
	d := oneWayInside
	if from != to {
		d = oneWayApart
	}
	w.After(d+time.Duration(w.rand.Float64()*float64(w.c.jitter)), f)
}

// run takes each token once and answers with the key as payload.
func (w *requestBench) run(n *requestNode, e request.Forward) {
	t := w.targets[e.Target.Name]
	if t.dead {
		return
	}
	if r := t.tokens[e.Token]; r != nil {
		w.answer(n, t, r)
		return
	}
	r := &slotRun{answer: request.Answered{Token: e.Token, Target: e.Target.Name, Payload: []byte(e.Request.Key.Token)}}
	t.tokens[e.Token] = r
	if t.busy >= requestSlots || t.misleading && w.rand.IntN(2) == 0 {
		r.answer.Result = request.ResultRefused
		r.answer.RetryAfter = requestWork / 2
		r.ended = true
		w.answer(n, t, r)
		return
	}
	it := w.items[e.Request.Key]
	it.runs++
	t.busy++
	w.After(it.work, func() {
		if !r.aborted {
			t.busy--
			r.ended = true
			w.answer(n, t, r)
		}
	})
}

func (w *requestBench) answer(n *requestNode, t *slotTarget, r *slotRun) {
	if r.ended && !t.dead {
		w.link(t.domain, n.member.Domain, func() { w.event(n, r.answer) })
	}
}

// abort stops an attempt; it has run all the same.
func (w *requestBench) abort(e request.Abort) {
	t := w.targets[e.Target.Name]
	r := t.tokens[e.Token]
	if r != nil && !r.ended && !r.aborted {
		r.aborted = true
		t.busy--
	}
}

func (w *requestBench) reply(e request.Reply) {
	it := w.items[e.Key]
	it.finals++
	switch e.Outcome {
	case request.OutcomeAnswer:
		if it.answered == 0 {
			it.answered = w.Now()
		}
		it.crossed = it.crossed || string(e.Payload) != e.Key.Token
	case request.OutcomeNotRun:
		it.notRun = true
	case request.OutcomeBusy:
		it.busy = true
	case request.OutcomeUnknown:
		it.unknown = true
	}
}
