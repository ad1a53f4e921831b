package request_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wisteriaweir/request"
	"wisteriaweir/service"
)

// schedule is a generated run of a few balancers in three failure domains.
type schedule struct {
	*network
	t       *rapid.T
	domains []string
	holders request.HolderSet
	lives   uint64
	asked   []sent
}

// sent is one copy of a request as it reached a balancer.
type sent struct {
	request request.Request
	at      time.Duration
	node    *node
	usable  bool
}

const (
	runTime  = 45 * time.Second
	calmTime = 3 * time.Second
)

func newSchedule(t *rapid.T) *schedule {
	domains := []string{"d1", "d2", "d3", "d4"}[:rapid.IntRange(1, 4).Draw(t, "domains")]
	cfg := service.Config{}.WithNumber(1).WithService(newService(deskName, domains, 6, 2))
	s := &schedule{
		network: newNetwork(rapid.Uint64().Draw(t, "seed"), len(domains), cfg),
		t:       t,
		domains: domains,
		holders: request.HolderSet{Number: 1},
	}
	for i := range rapid.IntRange(3, 7).Draw(t, "balancers") {
		n := s.start(fmt.Sprint("b", i), domains[i%len(domains)], 1)
		s.holders.Members = append(s.holders.Members, n.member)
	}
	for _, n := range s.nodes {
		s.event(n, request.ViewChanged{Members: s.live(0)})
		s.event(n, request.HoldersChanged{Set: s.holders})
	}
	s.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
	s.twice = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "twice")
	s.refuse = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "refuse")
	return s
}

func (s *schedule) moment(label string) time.Duration {
	ms := rapid.IntRange(0, int((runTime-calmTime)/time.Millisecond)).Draw(s.t, label)
	return calmTime + time.Duration(ms)*time.Millisecond
}

func (s *schedule) pick() *node {
	return s.nodes[s.rand.IntN(len(s.nodes))]
}

// addFaults plans deaths, pauses, cuts, wrong views, drains, silent targets and
// changes of the set.
func (s *schedule) addFaults() {
	for range rapid.IntRange(0, 6).Draw(s.t, "faults") {
		kind := rapid.IntRange(0, 6).Draw(s.t, "kind")
		s.After(s.moment("moment"), func() { s.fault(kind) })
	}
	for range rapid.IntRange(0, 4).Draw(s.t, "sets") {
		s.After(s.moment("set"), s.changeHolders)
	}
}

func (s *schedule) fault(kind int) {
	switch kind {
	case 0:
		s.restart(s.pick())
	case 1:
		s.freeze(s.pick(), time.Duration(1+s.rand.IntN(30000))*time.Millisecond)
	case 2:
		side := s.domains[s.rand.IntN(len(s.domains))]
		s.cut[side]++
		s.After(time.Duration(s.rand.IntN(20000))*time.Millisecond, func() { s.cut[side]-- })
	case 3:
		s.views(0.3)
		s.After(5*time.Second, func() { s.views(0) })
	case 4:
		s.kill(s.pick())
		s.After(2*time.Second, func() { s.views(0) })
	case 5:
		name := s.target()
		s.drain(name, true)
		s.After(time.Duration(s.rand.IntN(10000))*time.Millisecond, func() { s.drain(name, false) })
	case 6:
		name := s.target()
		s.silent[name] = true
		s.After(time.Duration(s.rand.IntN(20000))*time.Millisecond, func() { s.silent[name] = false })
	}
}

// target returns the name of a target.
func (s *schedule) target() string {
	pool := s.cfg.Services[0].Pool
	return pool[s.rand.IntN(len(pool))].Name
}

// drain declares whether a target takes nothing new. Every balancer is told at
// its own time, and never of an older configuration than it has.
func (s *schedule) drain(name string, drain bool) {
	desk := s.cfg.Services[0]
	for _, t := range desk.Pool {
		if t.Name == name {
			t.Drain = drain
			s.cfg = s.cfg.WithNumber(s.cfg.Number + 1).WithService(desk.WithTarget(t))
		}
	}
	for _, n := range s.nodes {
		s.After(time.Duration(s.rand.IntN(4000))*time.Millisecond, func() {
			s.event(n, request.ConfigChanged{Config: s.cfg})
		})
	}
}

// restart replaces a balancer by another life of the same name.
func (s *schedule) restart(n *node) {
	s.kill(n)
	s.lives++
	s.start(n.member.Name, n.member.Domain, 1+s.lives)
	s.After(time.Second, func() { s.views(0) })
	s.After(time.Second, s.tellHolders)
}

// views gives every balancer its own view at its own time.
func (s *schedule) views(mistake float64) {
	for _, n := range s.nodes {
		s.After(time.Duration(s.rand.IntN(500))*time.Millisecond, func() {
			s.event(n, request.ViewChanged{Members: s.live(mistake)})
		})
	}
}

// changeHolders writes the next set: the members that live, without one of
// them now and then.
func (s *schedule) changeHolders() {
	members := s.live(0.15)
	if len(members) == 0 {
		return
	}
	s.holders = request.HolderSet{Number: s.holders.Number + 1, Members: members, Previous: s.holders.Members}
	s.tellHolders()
}

func (s *schedule) tellHolders() {
	set := s.holders
	for _, n := range s.nodes {
		s.After(time.Duration(s.rand.IntN(4000))*time.Millisecond, func() {
			s.event(n, request.HoldersChanged{Set: set})
		})
	}
}

// addRequests plans requests whose copies reach several balancers.
func (s *schedule) addRequests() {
	n := rapid.IntRange(1, 40).Draw(s.t, "requests")
	for i := range n {
		r := request.Request{
			Key:        newKey(i),
			Service:    deskName,
			Repeatable: s.rand.IntN(4) == 0,
			Remaining:  time.Duration(100+s.rand.IntN(1900)) * time.Millisecond,
		}
		at := s.moment("at")
		for range 1 + s.rand.IntN(4) {
			s.After(at, func() { s.ask(r) })
			at += s.gap()
		}
	}
}

// gap returns the time to the next copy: at once, soon or seconds later.
func (s *schedule) gap() time.Duration {
	most := []int{1, 30, 2000, 5000}[s.rand.IntN(4)]
	return time.Duration(s.rand.IntN(most)) * time.Millisecond
}

func (s *schedule) ask(r request.Request) {
	n := s.pick()
	s.asked = append(s.asked, sent{request: r, at: s.Now(), node: n, usable: !n.dead && !n.frozen})
	s.event(n, request.Received{Request: r})
	if s.rand.IntN(20) == 0 {
		s.After(s.gap(), func() { s.event(s.pick(), request.Cancelled{Key: r.Key, Service: deskName}) })
	}
}

// check looks for broken promises.
func (s *schedule) check() {
	for _, f := range s.faults {
		s.t.Errorf("crossed: %s", f)
	}
	for _, a := range s.asked {
		k := a.request.Key
		if !a.request.Repeatable && s.runs[k] > 1 {
			s.t.Errorf("%s ran %d times", k.Token, s.runs[k])
		}
		for _, g := range s.replies[k] {
			if g.reply.Outcome == request.OutcomeNotRun && s.runs[k] > 0 {
				s.t.Errorf("%s told not run, ran %d times", k.Token, s.runs[k])
			}
			if g.reply.Outcome == request.OutcomeNotRun && a.request.Repeatable {
				s.t.Errorf("%s is repeatable and told not run", k.Token)
			}
			if g.reply.Outcome == request.OutcomeBusy && !a.request.Repeatable {
				s.t.Errorf("%s may not be repeated and told busy", k.Token)
			}
		}
		s.checkFinal(a)
	}
}

// checkFinal looks for a final answer by the deadline of a copy that reached a
// balancer which went on running until then.
func (s *schedule) checkFinal(a sent) {
	end := a.at + a.request.Remaining
	if !a.usable || a.node.badTime > a.at {
		return
	}
	for _, g := range s.replies[a.request.Key] {
		if g.at <= end {
			return
		}
	}
	s.t.Errorf("%s reached %s at %v and got no final answer by %v", a.request.Key.Token, a.node.member.Name, a.at, end)
}

func TestPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSchedule(t)
		s.addFaults()
		s.addRequests()
		s.RunUntil(runTime + 30*time.Second)
		s.check()
	})
}
