package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"wisteriaweir/request"
	"wisteriaweir/request/requestpb"
)

// requestSimulation runs the request cores of several balancers against simulated
// targets.
type requestSimulation struct {
	Timeline
	requestCase requestCase
	rng         *rand.Rand
	hosts       []*requestHost
	byPeer      map[request.Peer]*requestHost
	// targets holds the targets of both services by name.
	targets  map[string]*slotTarget
	requests map[request.Key]*simRequest
	holders  request.ClaimHolderSet
	// messages and bytes count the messages between balancers.
	messages, bytes int
}

// requestHost is one simulated balancer.
type requestHost struct {
	member request.Member
	core   *request.Core
	dead   bool
	paused bool
	// deferred holds the events that arrived during a pause.
	deferred []request.Event
	// wakeSequence is the number of the last requested wake-up, which replaces the
	// earlier ones.
	wakeSequence int
}

// slotTarget is a target that refuses requests while its slots are occupied.
type slotTarget struct {
	domain string
	busy   int
	dead   bool
	// refusesHalf makes the target refuse half of the requests that it could run.
	refusesHalf bool
	// attempts holds all attempts at this target by their token.
	attempts map[uint64]*slotAttempt
}

// slotAttempt is one attempt at a target.
type slotAttempt struct {
	response request.Answered
	finished bool
	aborted  bool
}

// runRequestSimulation runs a case with package request and records the outcomes in
// the requests.
func runRequestSimulation(c requestCase, requests []*simRequest, seed uint64) *requestSimulation {
	w := &requestSimulation{
		requestCase: c,
		rng:         rand.New(rand.NewPCG(seed, 4)),
		byPeer:      make(map[request.Peer]*requestHost),
		targets:     make(map[string]*slotTarget),
		requests:    make(map[request.Key]*simRequest),
	}
	cfg := c.size.config()
	for _, s := range cfg.Services {
		for _, t := range s.Pool {
			w.targets[t.Name] = &slotTarget{domain: t.Domain, attempts: make(map[uint64]*slotAttempt)}
		}
	}
	members := c.size.members()
	for i, m := range members {
		n := &requestHost{member: m}
		n.core = request.New(request.Config{Self: m, Seed: seed + uint64(i)})
		w.hosts = append(w.hosts, n)
		w.byPeer[m.Peer] = n
	}
	w.holders = c.size.holderSet(1, members, nil)
	for _, n := range w.hosts {
		w.handle(n, request.ConfigChanged{Config: cfg})
		w.handle(n, request.ViewChanged{Members: members})
		w.handle(n, request.ClaimHoldersChanged{Set: w.holders})
	}
	w.addFault()
	for _, req := range requests {
		w.requests[req.key] = req
	}
	w.scheduleRequests(requests, w.sendRequest)
	w.RunUntil(c.duration + 2*requestDeadline)
	return w
}

// addFault schedules the fault of the case. After the crash of a balancer all others
// receive a new member view after 1.5 s and a new set of claim holders after 5 s, each
// with the delay of sendViews and sendHolders.
func (w *requestSimulation) addFault() {
	firstTarget := w.targets[deskService+"-000"]
	switch w.requestCase.fault {
	case faultTargetCrash:
		w.After(requestFaultAt, func() { firstTarget.dead = true })
	case faultTargetDrain:
		w.After(requestFaultAt, w.drainTarget)
	case faultBalancerCrash:
		w.After(requestFaultAt, func() { w.coordinator().dead = true })
		w.After(requestFaultAt+1500*time.Millisecond, w.sendViews)
		w.After(requestFaultAt+5*time.Second, w.sendHolders)
	case faultBalancerPause:
		w.After(requestFaultAt, w.pauseCoordinator)
	case faultMisleadingLoad:
		firstTarget.refusesHalf = true
		w.targets[deskService+"-001"].refusesHalf = true
	case faultNone, faultLossyLink, faultServiceFlood:
	}
}

// coordinator returns the first balancer that coordinates the measured service, or the
// first balancer if none does. A fault has the largest effect on this balancer.
func (w *requestSimulation) coordinator() *requestHost {
	for _, n := range w.hosts {
		for _, s := range n.core.State().Services {
			if s.Name == deskService && s.IsCoordinator {
				return n
			}
		}
	}
	return w.hosts[0]
}

// drainTarget drains the first target; each balancer receives the configuration within
// a second.
func (w *requestSimulation) drainTarget() {
	cfg := w.requestCase.size.config().WithNumber(2)
	s, _ := cfg.Service(deskService)
	t := s.Pool[0]
	t.Draining = true
	cfg = cfg.WithService(s.WithTarget(t))
	for _, n := range w.hosts {
		w.After(time.Duration(w.rng.Float64()*float64(time.Second)), func() {
			w.handle(n, request.ConfigChanged{Config: cfg})
		})
	}
}

// pauseCoordinator pauses a coordinator for 30 s. The other balancers receive new
// member views and claim holders during the pause and after it.
func (w *requestSimulation) pauseCoordinator() {
	n := w.coordinator()
	n.paused = true
	w.After(1500*time.Millisecond, w.sendViews)
	w.After(5*time.Second, w.sendHolders)
	w.After(30*time.Second, func() {
		n.paused = false
		deferred := n.deferred
		n.deferred = nil
		for _, e := range deferred {
			w.handle(n, e)
		}
		w.After(time.Second, w.sendViews)
		w.After(5*time.Second, w.sendHolders)
	})
}

// liveMembers returns the balancers that are neither dead nor paused.
func (w *requestSimulation) liveMembers() []request.Member {
	var members []request.Member
	for _, n := range w.hosts {
		if !n.dead && !n.paused {
			members = append(members, n.member)
		}
	}
	return members
}

// sendViews sends the current member view to each balancer after a random delay of up
// to 300 ms.
func (w *requestSimulation) sendViews() {
	members := w.liveMembers()
	for _, n := range w.hosts {
		w.After(time.Duration(w.rng.Float64()*float64(300*time.Millisecond)), func() {
			w.handle(n, request.ViewChanged{Members: members})
		})
	}
}

// sendHolders makes the next set of claim holders from the live members and sends it
// to each balancer after a random delay of up to 300 ms.
func (w *requestSimulation) sendHolders() {
	w.holders = w.requestCase.size.holderSet(w.holders.Number+1, w.liveMembers(), w.holders.Members)
	set := w.holders
	for _, n := range w.hosts {
		w.After(time.Duration(w.rng.Float64()*float64(300*time.Millisecond)), func() {
			w.handle(n, request.ClaimHoldersChanged{Set: set})
		})
	}
}

// sendRequest sends a request to a random balancer, and again each
// requestRetryInterval until it has an outcome.
func (w *requestSimulation) sendRequest(req *simRequest) {
	remaining := req.arrivedAt + requestDeadline - w.Now()
	if req.outcomes > 0 || remaining <= 0 {
		return
	}
	w.After(requestRetryInterval, func() { w.sendRequest(req) })
	w.submit(req, remaining)
	if req.duplicated {
		req.duplicated = false
		w.submit(req, remaining)
	}
}

// submit sends one datagram of a request to a random balancer. From three seconds after
// the fault on, the fabric does not choose a dead or paused balancer.
func (w *requestSimulation) submit(req *simRequest, remaining time.Duration) {
	hosts := w.hosts
	if w.Now() > requestFaultAt+3*time.Second {
		hosts = slices.DeleteFunc(slices.Clone(hosts), func(n *requestHost) bool { return n.dead || n.paused })
	}
	n := hosts[w.rng.IntN(len(hosts))]
	w.handle(n, request.Received{Request: request.Request{
		Key:        req.key,
		Service:    req.service,
		Repeatable: !req.notRepeatable,
		Remaining:  remaining,
		Payload:    make([]byte, 64),
	}})
}

// handle passes an event to the core of a balancer and carries out the effects. A dead
// balancer ignores events, a paused one defers them.
func (w *requestSimulation) handle(n *requestHost, e request.Event) {
	if n.dead {
		return
	}
	if n.paused {
		n.deferred = append(n.deferred, e)
		return
	}
	for _, e := range n.core.Handle(w.Now(), e) {
		w.applyEffect(n, e)
	}
}

// applyEffect carries out one effect of a core.
func (w *requestSimulation) applyEffect(n *requestHost, e request.Effect) {
	switch e := e.(type) {
	case request.Send:
		w.send(n, e)
	case request.Forward:
		w.deliver(n.member.Domain, e.Target.Domain, func() { w.runAttempt(n, e) })
	case request.Reply:
		w.recordOutcome(e)
	case request.Wake:
		n.wakeSequence++
		wake := n.wakeSequence
		w.After(e.At-w.Now(), func() {
			if n.wakeSequence == wake {
				w.handle(n, request.Tick{})
			}
		})
	case request.Abort:
		w.deliver(n.member.Domain, e.Target.Domain, func() { w.abortAttempt(e) })
	case request.Stopped:
	}
}

// send delivers a message to another balancer and counts it.
func (w *requestSimulation) send(n *requestHost, e request.Send) {
	w.messages++
	w.bytes += requestpb.Size(e.Message)
	to := w.byPeer[e.To]
	w.deliver(n.member.Domain, to.member.Domain, func() {
		w.handle(to, request.MessageReceived{From: n.member.Peer, Message: e.Message})
	})
}

// deliver calls f after the one-way delay between two domains and the jitter, unless
// the datagram is lost.
func (w *requestSimulation) deliver(from, to string, f func()) {
	if w.rng.Float64() < w.requestCase.lossRatio {
		return
	}
	d := requestIntraDomainDelay
	if from != to {
		d = requestInterDomainDelay
	}
	w.After(d+time.Duration(w.rng.Float64()*float64(w.requestCase.maxJitter)), f)
}

// runAttempt runs a request at a target, once for each token, and responds with the
// token of the request key as the payload. A target without a free slot refuses.
func (w *requestSimulation) runAttempt(n *requestHost, e request.Forward) {
	t := w.targets[e.Target.Name]
	if t.dead {
		return
	}
	if r := t.attempts[e.Token]; r != nil {
		w.sendResponse(n, t, r)
		return
	}
	r := &slotAttempt{response: request.Answered{Token: e.Token, Target: e.Target.Name, Payload: []byte(e.Request.Key.Token)}}
	t.attempts[e.Token] = r
	if t.busy >= requestSlots || t.refusesHalf && w.rng.IntN(2) == 0 {
		r.response.Result = request.ResultRefused
		r.response.RetryAfter = meanRequestServiceTime / 2
		r.finished = true
		w.sendResponse(n, t, r)
		return
	}
	req := w.requests[e.Request.Key]
	req.runs++
	t.busy++
	w.After(req.serviceTime, func() {
		if !r.aborted {
			t.busy--
			r.finished = true
			w.sendResponse(n, t, r)
		}
	})
}

// sendResponse sends the response of a finished attempt, unless the target is dead.
func (w *requestSimulation) sendResponse(n *requestHost, t *slotTarget, r *slotAttempt) {
	if r.finished && !t.dead {
		w.deliver(t.domain, n.member.Domain, func() { w.handle(n, r.response) })
	}
}

// abortAttempt stops a running attempt and frees its slot. The request still counts as
// run.
func (w *requestSimulation) abortAttempt(e request.Abort) {
	t := w.targets[e.Target.Name]
	r := t.attempts[e.Token]
	if r != nil && !r.finished && !r.aborted {
		r.aborted = true
		t.busy--
	}
}

// recordOutcome records a reply to the caller in its request.
func (w *requestSimulation) recordOutcome(e request.Reply) {
	req := w.requests[e.Key]
	req.outcomes++
	switch e.Outcome {
	case request.OutcomeResponse:
		if req.answeredAt == 0 {
			req.answeredAt = w.Now()
		}
		req.misrouted = req.misrouted || string(e.Payload) != e.Key.Token
	case request.OutcomeNotRun:
		req.notRun = true
	case request.OutcomeBusy:
		req.busy = true
	case request.OutcomeUnknown:
		req.unknown = true
	}
}
