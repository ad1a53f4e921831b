package request_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"wisteriaweir/measure"
	"wisteriaweir/request"
	"wisteriaweir/request/requestpb"
	"wisteriaweir/service"
)

// deskName is the service that most tests send their requests to.
const deskName = "levy-desk"

// network simulates the links, targets and callers of a few balancers in virtual
// time.
type network struct {
	measure.Timeline
	rand *rand.Rand
	// workRand draws the service times. It is separate from rand so that the service
	// times do not depend on how many numbers the links draw.
	workRand *rand.Rand
	times    request.Times
	limits   request.Limits
	cfg      service.Config
	nodes    []*node
	// lossFraction and duplicateFraction are the fractions of datagrams that are
	// lost and duplicated.
	lossFraction, duplicateFraction float64
	// refusedFraction is the fraction of attempts that the targets refuse.
	refusedFraction float64
	// partitions is the partition of each failure domain. Domains in different
	// partitions are not connected.
	partitions map[string]int
	// unresponsive has the targets whose responses are lost.
	unresponsive map[string]bool
	// targets has the attempts at each target, by token.
	targets map[string]map[uint64]*run
	// runs is how often each request has run.
	runs map[request.Key]int
	// replies are the final replies to each request.
	replies map[request.Key][]timedReply
	// onEffect, if set, is called for each effect.
	onEffect func(n *node, e request.Effect)
	// faults describes misrouted responses and balancers that stopped too early.
	faults []string
}

// run is one attempt at a target.
type run struct {
	result request.Result
	// ended reports whether the target has a response.
	ended   bool
	payload []byte
}

// timedReply is a final reply with the time at which a balancer decided it.
type timedReply struct {
	decidedAt time.Duration
	reply     request.Reply
}

// node is one process instance of a balancer.
type node struct {
	member  request.Member
	core    *request.Core
	dead    bool
	paused  bool
	stopped bool
	// deferred are the actions to run when the pause ends.
	deferred []func()
	// clockOffset is the node's clock at the start of the simulation.
	clockOffset time.Duration
	// unavailableUntil is when the last pause ends, or an hour if the node is dead.
	unavailableUntil time.Duration
	// lastTimer is the number of Wake effects. Only the last one leads to a Tick.
	lastTimer int
}

func newNetwork(seed uint64, domains int, cfg service.Config) *network {
	return &network{
		rand:     rand.New(rand.NewPCG(seed, 1)),
		workRand: rand.New(rand.NewPCG(seed, 2)),
		times: request.Times{
			RepeatWindow: 20 * time.Second,
			MaxDeadline:  2 * time.Second,
		},
		cfg:          cfg,
		partitions:   make(map[string]int, domains),
		unresponsive: make(map[string]bool),
		targets:      make(map[string]map[uint64]*run),
		runs:         make(map[request.Key]int),
		replies:      make(map[request.Key][]timedReply),
	}
}

// start adds a balancer, or another process instance of one.
func (w *network) start(name, domain string, life uint64) *node {
	n := &node{
		member:      request.Member{Peer: request.Peer{Name: name, Life: life}, Domain: domain},
		clockOffset: time.Duration(w.rand.Int64N(int64(time.Hour))),
	}
	n.core = request.New(request.Config{Self: n.member, Seed: w.rand.Uint64(), Times: w.times, Limits: w.limits})
	w.nodes = append(w.nodes, n)
	w.event(n, request.ConfigChanged{Config: w.cfg})
	return n
}

// event lets a node handle e and executes its effects. A paused node handles one
// event, whose effects are executed when the pause ends, as if the pause began
// between the two. Further events are handled when the pause ends.
func (w *network) event(n *node, e request.Event) {
	if n.dead {
		return
	}
	if n.paused && len(n.deferred) > 0 {
		n.deferred = append(n.deferred, func() { w.event(n, e) })
		return
	}
	effects := n.core.Handle(n.clockOffset+w.Now(), e)
	if n.paused {
		n.deferred = append(n.deferred, func() { w.execute(n, effects) })
		return
	}
	w.execute(n, effects)
}

func (w *network) execute(n *node, effects []request.Effect) {
	for _, e := range effects {
		w.trace(n, e)
		switch e := e.(type) {
		case request.Send:
			w.send(n, e)
		case request.Forward:
			w.forward(n, e)
		case request.Abort:
			w.deliver(n.member.Domain, e.Target.Domain, func() { w.abort(e) })
		case request.Reply:
			w.reply(e)
		case request.Wake:
			n.lastTimer++
			timer := n.lastTimer
			w.After(e.At-n.clockOffset-w.Now(), func() {
				if n.lastTimer == timer {
					w.event(n, request.Tick{})
				}
			})
		case request.Stopped:
			n.stopped = true
			for _, s := range n.core.State().Services {
				if s.Open > 0 {
					w.faults = append(w.faults, fmt.Sprintf("%s stopped with %d open", n.member.Name, s.Open))
				}
			}
		}
	}
}

func (w *network) trace(n *node, e request.Effect) {
	if w.onEffect != nil {
		w.onEffect(n, e)
	}
}

// reply records a final reply, and a fault if it is the response to another
// request.
func (w *network) reply(r request.Reply) {
	w.replies[r.Key] = append(w.replies[r.Key], timedReply{decidedAt: w.Now(), reply: r})
	if r.Outcome == request.OutcomeResponse && string(r.Payload) != keyText(r.Key) {
		w.faults = append(w.faults, fmt.Sprintf("%v got the answer %s", r.Key, r.Payload))
	}
}

// send delivers a message, encoded and decoded as on the network.
func (w *network) send(n *node, e request.Send) {
	b, err := requestpb.Marshal(e.Message)
	if err != nil {
		panic(err)
	}
	i := slices.IndexFunc(w.nodes, func(o *node) bool { return o.member.Peer == e.To })
	if i < 0 {
		return
	}
	to := w.nodes[i]
	w.deliver(n.member.Domain, to.member.Domain, func() {
		m, err := requestpb.Unmarshal(b)
		if err != nil {
			panic(err)
		}
		w.event(to, request.MessageReceived{From: n.member.Peer, Message: m})
	})
}

// deliver runs f after the delay of a link that loses, duplicates and reorders
// datagrams. A duplicate arrives up to 1 s later.
func (w *network) deliver(from, to string, f func()) {
	if w.partitions[from] != w.partitions[to] || w.rand.Float64() < w.lossFraction {
		return
	}
	if w.rand.Float64() < w.duplicateFraction {
		w.After(w.linkDelay(from, to)+time.Duration(w.rand.Int64N(int64(time.Second))), f)
	}
	w.After(w.linkDelay(from, to), f)
}

func (w *network) linkDelay(from, to string) time.Duration {
	mean := 300 * time.Microsecond
	if from != to {
		mean = 5 * time.Millisecond
	}
	return mean/2 + time.Duration(w.rand.Int64N(int64(mean)))
}

// forward runs an attempt at a target, which runs each token once.
func (w *network) forward(n *node, e request.Forward) {
	key := e.Request.Key
	w.deliver(n.member.Domain, e.Target.Domain, func() {
		t := w.targets[e.Target.Name]
		if t == nil {
			t = make(map[uint64]*run)
			w.targets[e.Target.Name] = t
		}
		if r := t[e.Token]; r != nil {
			if r.ended {
				w.answer(n, e, r)
			}
			return
		}
		r := &run{payload: []byte(keyText(key))}
		t[e.Token] = r
		if w.rand.Float64() < w.refusedFraction {
			r.result, r.ended = request.ResultRefused, true
			w.answer(n, e, r)
			return
		}
		w.runs[key]++
		w.After(time.Duration(w.workRand.ExpFloat64()*float64(40*time.Millisecond)), func() {
			r.ended = true
			w.answer(n, e, r)
		})
	})
}

func (w *network) answer(n *node, e request.Forward, r *run) {
	if w.unresponsive[e.Target.Name] {
		return
	}
	a := request.Answered{Token: e.Token, Target: e.Target.Name, Result: r.result, Payload: r.payload}
	w.deliver(e.Target.Domain, n.member.Domain, func() { w.event(n, a) })
}

// abort makes a target refuse an attempt that it has not received yet.
func (w *network) abort(e request.Abort) {
	t := w.targets[e.Target.Name]
	if t != nil && t[e.Token] == nil {
		t[e.Token] = &run{result: request.ResultRefused, ended: true}
	}
}

// pause pauses a node for d, beginning before the effects of its next event.
func (w *network) pause(n *node, d time.Duration) {
	if n.paused || n.dead {
		return
	}
	n.paused = true
	n.unavailableUntil = w.Now() + d
	w.After(d, func() {
		n.paused = false
		deferred := n.deferred
		n.deferred = nil
		for _, f := range deferred {
			f()
		}
	})
}

func (w *network) kill(n *node) {
	n.dead = true
	n.unavailableUntil = time.Hour
}

// live returns the members that are not dead, without a random missingFraction of
// them.
func (w *network) live(missingFraction float64) []request.Member {
	var members []request.Member
	for _, n := range w.nodes {
		if !n.dead && w.rand.Float64() >= missingFraction {
			members = append(members, n.member)
		}
	}
	return members
}

func newKey(i int) request.Key {
	return request.Key{
		Caller:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 9000),
		Address:   netip.MustParseAddrPort("127.0.1.1:5000"),
		Token:     fmt.Sprint("token", i),
		MessageID: uint16(i),
	}
}

func keyText(k request.Key) string {
	b, err := json.Marshal(k)
	if err != nil {
		panic(err)
	}
	return string(b)
}

func newService(name string, domains []string, targets, slots int) service.Service {
	s := service.Service{Name: name}
	for i := range targets {
		d := domains[i%len(domains)]
		s = s.WithTarget(service.Target{Name: fmt.Sprintf("%s-%02d", name, i), Domain: d, Weight: 1, Slots: slots})
	}
	return s
}
