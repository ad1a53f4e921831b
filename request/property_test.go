package request_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wisteriaweir/request"
	"wisteriaweir/service"
)

// schedule is a generated run of a few balancers in one to four failure domains.
type schedule struct {
	*network
	t          *rapid.T
	domains    []string
	holders    request.ClaimHolderSet
	restarts   uint64
	sentCopies []sentCopy
}

// sentCopy is one copy of a request that was sent to a balancer.
type sentCopy struct {
	request    request.Request
	at         time.Duration
	node       *node
	wasRunning bool
}

const (
	// runTime is the time until which faults and the first copies of requests are
	// scheduled.
	runTime = 45 * time.Second
	// faultFreeTime is the time at the start without requests and faults.
	faultFreeTime = 3 * time.Second
)

func newSchedule(t *rapid.T) *schedule {
	domains := []string{"d1", "d2", "d3", "d4"}[:rapid.IntRange(1, 4).Draw(t, "domains")]
	cfg := service.Config{}.WithNumber(1).WithService(newService(deskName, domains, 6, 2))
	s := &schedule{
		network: newNetwork(rapid.Uint64().Draw(t, "seed"), len(domains), cfg),
		t:       t,
		domains: domains,
		holders: request.ClaimHolderSet{Number: 1},
	}
	for i := range rapid.IntRange(3, 7).Draw(t, "balancers") {
		n := s.start(fmt.Sprint("b", i), domains[i%len(domains)], 1)
		s.holders.Members = append(s.holders.Members, n.member)
	}
	for _, n := range s.nodes {
		s.event(n, request.ViewChanged{Members: s.live(0)})
		s.event(n, request.ClaimHoldersChanged{Set: s.holders})
	}
	s.lossFraction = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
	s.duplicateFraction = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "twice")
	s.refusedFraction = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "refuse")
	return s
}

// drawTime draws a time from faultFreeTime to runTime.
func (s *schedule) drawTime(label string) time.Duration {
	ms := rapid.IntRange(0, int((runTime-faultFreeTime)/time.Millisecond)).Draw(s.t, label)
	return faultFreeTime + time.Duration(ms)*time.Millisecond
}

func (s *schedule) pickNode() *node {
	return s.nodes[s.rand.IntN(len(s.nodes))]
}

// addFaults schedules crashes, pauses, partitions, wrong views, drains,
// unresponsive targets and changes of the holder set.
func (s *schedule) addFaults() {
	for range rapid.IntRange(0, 6).Draw(s.t, "faults") {
		kind := rapid.IntRange(0, 6).Draw(s.t, "kind")
		s.After(s.drawTime("moment"), func() { s.injectFault(kind) })
	}
	for range rapid.IntRange(0, 4).Draw(s.t, "sets") {
		s.After(s.drawTime("set"), s.changeHolders)
	}
}

// injectFault injects a fault of one of seven kinds now.
func (s *schedule) injectFault(kind int) {
	switch kind {
	case 0:
		s.restart(s.pickNode())
	case 1:
		s.pause(s.pickNode(), time.Duration(1+s.rand.IntN(30000))*time.Millisecond)
	case 2:
		side := s.domains[s.rand.IntN(len(s.domains))]
		s.partitions[side]++
		s.After(time.Duration(s.rand.IntN(20000))*time.Millisecond, func() { s.partitions[side]-- })
	case 3:
		s.changeViews(0.3)
		s.After(5*time.Second, func() { s.changeViews(0) })
	case 4:
		s.kill(s.pickNode())
		s.After(2*time.Second, func() { s.changeViews(0) })
	case 5:
		name := s.pickTarget()
		s.drain(name, true)
		s.After(time.Duration(s.rand.IntN(10000))*time.Millisecond, func() { s.drain(name, false) })
	case 6:
		name := s.pickTarget()
		s.unresponsive[name] = true
		s.After(time.Duration(s.rand.IntN(20000))*time.Millisecond, func() { s.unresponsive[name] = false })
	}
}

// pickTarget returns the name of a random target.
func (s *schedule) pickTarget() string {
	pool := s.cfg.Services[0].Pool
	return pool[s.rand.IntN(len(pool))].Name
}

// drain configures whether a target is draining. Each balancer gets the then
// newest configuration after a random time.
func (s *schedule) drain(name string, drain bool) {
	desk := s.cfg.Services[0]
	for _, t := range desk.Pool {
		if t.Name == name {
			t.Draining = drain
			s.cfg = s.cfg.WithNumber(s.cfg.Number + 1).WithService(desk.WithTarget(t))
		}
	}
	for _, n := range s.nodes {
		s.After(time.Duration(s.rand.IntN(4000))*time.Millisecond, func() {
			s.event(n, request.ConfigChanged{Config: s.cfg})
		})
	}
}

// restart replaces a balancer by another process instance of the same name.
func (s *schedule) restart(n *node) {
	s.kill(n)
	s.restarts++
	s.start(n.member.Name, n.member.Domain, 1+s.restarts)
	s.After(time.Second, func() { s.changeViews(0) })
	s.After(time.Second, s.announceHolders)
}

// changeViews sends each balancer a view after a random time. Each view lacks a
// random missingFraction of the live balancers.
func (s *schedule) changeViews(missingFraction float64) {
	for _, n := range s.nodes {
		s.After(time.Duration(s.rand.IntN(500))*time.Millisecond, func() {
			s.event(n, request.ViewChanged{Members: s.live(missingFraction)})
		})
	}
}

// changeHolders announces the next holder set: the live members without a random
// 15 % of them.
func (s *schedule) changeHolders() {
	members := s.live(0.15)
	if len(members) == 0 {
		return
	}
	s.holders = request.ClaimHolderSet{Number: s.holders.Number + 1, Members: members, Previous: s.holders.Members}
	s.announceHolders()
}

// announceHolders sends the holder set to each balancer after a random time.
func (s *schedule) announceHolders() {
	set := s.holders
	for _, n := range s.nodes {
		s.After(time.Duration(s.rand.IntN(4000))*time.Millisecond, func() {
			s.event(n, request.ClaimHoldersChanged{Set: set})
		})
	}
}

// addRequests schedules requests whose copies are sent to several balancers.
func (s *schedule) addRequests() {
	n := rapid.IntRange(1, 40).Draw(s.t, "requests")
	for i := range n {
		r := request.Request{
			Key:        newKey(i),
			Service:    deskName,
			Repeatable: s.rand.IntN(4) == 0,
			Remaining:  time.Duration(100+s.rand.IntN(1900)) * time.Millisecond,
		}
		at := s.drawTime("at")
		for range 1 + s.rand.IntN(4) {
			s.After(at, func() { s.sendCopy(r) })
			at += s.copyDelay()
		}
	}
}

// copyDelay returns a random time until the next copy: none, up to 30 ms, or up to
// 2 or 5 s.
func (s *schedule) copyDelay() time.Duration {
	maxDelayMs := []int{1, 30, 2000, 5000}[s.rand.IntN(4)]
	return time.Duration(s.rand.IntN(maxDelayMs)) * time.Millisecond
}

// sendCopy sends a copy of r to a random balancer and records it. One copy in 20 is
// followed by a cancellation.
func (s *schedule) sendCopy(r request.Request) {
	n := s.pickNode()
	s.sentCopies = append(s.sentCopies, sentCopy{request: r, at: s.Now(), node: n, wasRunning: !n.dead && !n.paused})
	s.event(n, request.Received{Request: r})
	if s.rand.IntN(20) == 0 {
		s.After(s.copyDelay(), func() { s.event(s.pickNode(), request.Cancelled{Key: r.Key, Service: deskName}) })
	}
}

// check reports requests whose replies or number of runs are wrong.
func (s *schedule) check() {
	for _, f := range s.faults {
		s.t.Errorf("fault: %s", f)
	}
	for _, sent := range s.sentCopies {
		k := sent.request.Key
		if !sent.request.Repeatable && s.runs[k] > 1 {
			s.t.Errorf("%s ran %d times", k.Token, s.runs[k])
		}
		for _, timed := range s.replies[k] {
			if timed.reply.Outcome == request.OutcomeNotRun && s.runs[k] > 0 {
				s.t.Errorf("%s got the reply not run, but ran %d times", k.Token, s.runs[k])
			}
			if timed.reply.Outcome == request.OutcomeNotRun && sent.request.Repeatable {
				s.t.Errorf("%s is repeatable, but got the reply not run", k.Token)
			}
			if timed.reply.Outcome == request.OutcomeBusy && !sent.request.Repeatable {
				s.t.Errorf("%s is not repeatable, but got the reply busy", k.Token)
			}
		}
		s.checkReplyInTime(sent)
	}
}

// checkReplyInTime reports a copy that has no final reply by its deadline although
// it reached a balancer that was not dead or paused then or later.
func (s *schedule) checkReplyInTime(sent sentCopy) {
	end := sent.at + sent.request.Remaining
	if !sent.wasRunning || sent.node.unavailableUntil > sent.at {
		return
	}
	for _, timed := range s.replies[sent.request.Key] {
		if timed.decidedAt <= end {
			return
		}
	}
	s.t.Errorf("%s reached %s at %v and got no final reply by %v", sent.request.Key.Token, sent.node.member.Name, sent.at, end)
}

// TestPromisesUnderFaults guards against broken guarantees of the Core under random
// faults: a request that is not repeatable runs twice, a reply says "not run" for a
// request that has run, or a running balancer sends no reply by the deadline.
func TestPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSchedule(t)
		s.addFaults()
		s.addRequests()
		s.RunUntil(runTime + 30*time.Second)
		s.check()
	})
}
