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

const deskName = "levy-desk"

// network is a small stand-in for the links, targets and callers of a few
// balancers.
type network struct {
	measure.Timeline
	rand *rand.Rand
	// work draws the time of work, whatever the links draw.
	work  *rand.Rand
	times request.Times
	limit request.Limits
	cfg   service.Config
	nodes []*node
	// loss and twice are the shares of datagrams lost and repeated.
	loss, twice float64
	// refuse is the share of attempts that targets refuse.
	refuse float64
	cut    map[string]int
	// silent are targets whose answers get lost.
	silent  map[string]bool
	targets map[string]map[uint64]*run
	runs    map[request.Key]int
	replies map[request.Key][]given
	// traced gets each effect of a session.
	traced func(n *node, e request.Effect)
	faults []string
}

// run is one attempt at a target.
type run struct {
	result  request.Result
	ended   bool
	payload []byte
}

// given is a final answer with the time at which a balancer decided it.
type given struct {
	at    time.Duration
	reply request.Reply
}

// node is one life of a balancer.
type node struct {
	member  request.Member
	core    *request.Core
	dead    bool
	frozen  bool
	stopped bool
	held    []func()
	base    time.Duration
	badTime time.Duration
	timer   int
}

func newNetwork(seed uint64, domains int, cfg service.Config) *network {
	return &network{
		rand: rand.New(rand.NewPCG(seed, 1)),
		work: rand.New(rand.NewPCG(seed, 2)),
		times: request.Times{
			RepeatWindow: 20 * time.Second,
			MaxDeadline:  2 * time.Second,
		},
		cfg:     cfg,
		cut:     make(map[string]int, domains),
		silent:  make(map[string]bool),
		targets: make(map[string]map[uint64]*run),
		runs:    make(map[request.Key]int),
		replies: make(map[request.Key][]given),
	}
}

// start adds a balancer, or another life of one.
func (w *network) start(name, domain string, life uint64) *node {
	n := &node{
		member: request.Member{Peer: request.Peer{Name: name, Life: life}, Domain: domain},
		base:   time.Duration(w.rand.Int64N(int64(time.Hour))),
	}
	n.core = request.New(request.Config{Self: n.member, Seed: w.rand.Uint64(), Times: w.times, Limits: w.limit})
	w.nodes = append(w.nodes, n)
	w.event(n, request.ConfigChanged{Config: w.cfg})
	return n
}

// event lets a node handle e and performs its effects. What a node decided just
// before it froze is done when it wakes up.
func (w *network) event(n *node, e request.Event) {
	if n.dead {
		return
	}
	if n.frozen && len(n.held) > 0 {
		n.held = append(n.held, func() { w.event(n, e) })
		return
	}
	effects := n.core.Handle(n.base+w.Now(), e)
	if n.frozen {
		n.held = append(n.held, func() { w.perform(n, effects) })
		return
	}
	w.perform(n, effects)
}

func (w *network) perform(n *node, effects []request.Effect) {
	for _, e := range effects {
		w.trace(n, e)
		switch e := e.(type) {
		case request.Send:
			w.send(n, e)
		case request.Forward:
			w.forward(n, e)
		case request.Abort:
			w.later(n.member.Domain, e.Target.Domain, func() { w.abort(e) })
		case request.Reply:
			w.reply(e)
		case request.Wake:
			n.timer++
			timer := n.timer
			w.After(e.At-n.base-w.Now(), func() {
				if n.timer == timer {
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
	if w.traced != nil {
		w.traced(n, e)
	}
}

func (w *network) reply(r request.Reply) {
	w.replies[r.Key] = append(w.replies[r.Key], given{at: w.Now(), reply: r})
	if r.Outcome == request.OutcomeAnswer && string(r.Payload) != keyText(r.Key) {
		w.faults = append(w.faults, fmt.Sprintf("%v got the answer %s", r.Key, r.Payload))
	}
}

// send carries a message in its wire form.
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
	w.later(n.member.Domain, to.member.Domain, func() {
		m, err := requestpb.Unmarshal(b)
		if err != nil {
			panic(err)
		}
		w.event(to, request.MessageReceived{From: n.member.Peer, Message: m})
	})
}

// later runs f after the delay of a link that loses, repeats and reorders.
func (w *network) later(from, to string, f func()) {
	if w.cut[from] != w.cut[to] || w.rand.Float64() < w.loss {
		return
	}
	if w.rand.Float64() < w.twice {
		w.After(w.delay(from, to)+time.Duration(w.rand.Int64N(int64(time.Second))), f)
	}
	w.After(w.delay(from, to), f)
}

func (w *network) delay(from, to string) time.Duration {
	mean := 300 * time.Microsecond
	if from != to {
		mean = 5 * time.Millisecond
	}
	return mean/2 + time.Duration(w.rand.Int64N(int64(mean)))
}

// forward runs an attempt at a target that takes each token once.
func (w *network) forward(n *node, e request.Forward) {
	key := e.Request.Key
	w.later(n.member.Domain, e.Target.Domain, func() {
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
		if w.rand.Float64() < w.refuse {
			r.result, r.ended = request.ResultRefused, true
			w.answer(n, e, r)
			return
		}
		w.runs[key]++
		w.After(time.Duration(w.work.ExpFloat64()*float64(40*time.Millisecond)), func() {
			r.ended = true
			w.answer(n, e, r)
		})
	})
}

func (w *network) answer(n *node, e request.Forward, r *run) {
	if w.silent[e.Target.Name] {
		return
	}
	a := request.Answered{Token: e.Token, Target: e.Target.Name, Result: r.result, Payload: r.payload}
	w.later(e.Target.Domain, n.member.Domain, func() { w.event(n, a) })
}

// abort makes a target answer nothing to an attempt that it has not begun.
func (w *network) abort(e request.Abort) {
	t := w.targets[e.Target.Name]
	if t != nil && t[e.Token] == nil {
		t[e.Token] = &run{result: request.ResultRefused, ended: true}
	}
}

// freeze stops a node from before the effects of its next event until d has
// passed.
func (w *network) freeze(n *node, d time.Duration) {
	if n.frozen || n.dead {
		return
	}
	n.frozen = true
	n.badTime = w.Now() + d
	w.After(d, func() {
		n.frozen = false
		held := n.held
		n.held = nil
		for _, f := range held {
			f()
		}
	})
}

func (w *network) kill(n *node) {
	n.dead = true
	n.badTime = time.Hour
}

// live returns the members that are not dead, with a mistake now and then.
func (w *network) live(mistake float64) []request.Member {
	var members []request.Member
	for _, n := range w.nodes {
		if !n.dead && w.rand.Float64() >= mistake {
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
