package measure

import (
	"math/rand/v2"
	"time"
)

// idealQueue is a single queue for all slots and all requests.
type idealQueue struct {
	Timeline
	slots, busy int
	queue       []*simRequest
}

// runIdeal serves the requests by one queue without network delays.
func runIdeal(c requestCase, requests []*simRequest) {
	q := &idealQueue{slots: c.size.targets * requestSlots}
	q.scheduleRequests(deskRequests(requests), q.arrive)
	if c.fault == faultTargetCrash || c.fault == faultTargetDrain {
		q.After(requestFaultAt, func() { q.slots -= requestSlots })
	}
	q.RunUntil(c.duration + 2*requestDeadline)
}

// arrive queues a request, or refuses it as busy if all slots are occupied and the
// expected wait plus four mean service times exceeds requestDeadline.
func (q *idealQueue) arrive(req *simRequest) {
	wait := time.Duration(len(q.queue)+1) * meanRequestServiceTime / time.Duration(q.slots)
	if q.busy >= q.slots && wait+4*meanRequestServiceTime > requestDeadline {
		req.busy = true
		req.outcomes++
		return
	}
	q.queue = append(q.queue, req)
	q.serve()
}

// serve starts queued requests while slots are free. It refuses a request that has
// less than the mean service time left until its deadline.
func (q *idealQueue) serve() {
	for q.busy < q.slots && len(q.queue) > 0 {
		req := q.queue[0]
		q.queue = q.queue[1:]
		if req.arrivedAt+requestDeadline-q.Now() < meanRequestServiceTime {
			req.busy = true
			req.outcomes++
			continue
		}
		q.busy++
		req.runs++
		q.After(req.serviceTime, func() {
			q.busy--
			req.outcomes++
			req.answeredAt = q.Now()
			q.serve()
		})
	}
}

// baselineSimulation runs a baseline: each balancer picks a target by its own view,
// and targets queue requests.
type baselineSimulation struct {
	Timeline
	requestCase requestCase
	pick        targetPicker
	rng         *rand.Rand
	// domains holds the failure domain of each balancer.
	domains []int
	// openRequests counts the requests awaiting a response by balancer and target.
	openRequests [][]int
	targets      []*queueTarget
}

// targetPicker returns the index of the target that a balancer chooses.
type targetPicker func(w *baselineSimulation, balancer int) int

// queueTarget is a target that queues requests while its slots are occupied.
type queueTarget struct {
	busy  int
	queue []func()
	dead  bool
	// excluded reports whether balancers no longer choose the target.
	excluded bool
}

// runBaseline runs a case with one baseline and records the outcomes in the requests.
func runBaseline(c requestCase, requests []*simRequest, seed uint64, pick targetPicker) {
	w := &baselineSimulation{requestCase: c, pick: pick, rng: rand.New(rand.NewPCG(seed, 3))}
	for d, n := range c.size.balancers {
		for range n {
			w.domains = append(w.domains, d)
			w.openRequests = append(w.openRequests, make([]int, c.size.targets))
		}
	}
	for range c.size.targets {
		w.targets = append(w.targets, &queueTarget{})
	}
	w.addFault()
	w.scheduleRequests(deskRequests(requests), w.sendRequest)
	w.RunUntil(c.duration + 2*requestDeadline)
}

// addFault schedules the fault of the case. Balancers stop choosing a dead target
// after three seconds, a draining one at once.
func (w *baselineSimulation) addFault() {
	switch w.requestCase.fault {
	case faultTargetCrash:
		w.After(requestFaultAt, func() { w.targets[0].dead = true })
		w.After(requestFaultAt+3*time.Second, func() { w.targets[0].excluded = true })
	case faultTargetDrain:
		w.After(requestFaultAt, func() { w.targets[0].excluded = true })
	}
}

// sendRequest sends a request to a random balancer, and again each
// requestRetryInterval until it has a response.
func (w *baselineSimulation) sendRequest(req *simRequest) {
	if req.outcomes > 0 || w.Now()-req.arrivedAt >= requestDeadline {
		return
	}
	w.After(requestRetryInterval, func() { w.sendRequest(req) })
	w.submit(req)
	if req.duplicated {
		req.duplicated = false
		w.submit(req)
	}
}

// submit sends one datagram of a request to a random balancer, which forwards it to
// the target of its choice. The request counts as open there until its response or
// until requestDeadline.
func (w *baselineSimulation) submit(req *simRequest) {
	b := w.rng.IntN(len(w.openRequests))
	if w.isStopped(b) {
		return
	}
	t := w.pick(w, b)
	w.openRequests[b][t]++
	ended := false
	end := func() {
		if !ended {
			ended = true
			w.openRequests[b][t]--
		}
	}
	w.After(requestDeadline, end)
	w.deliver(b, t, func() { w.runRequest(req, b, t, end) })
}

// isStopped reports whether balancer b drops datagrams now. The first balancer does
// for three seconds after its crash or the start of its pause. After that the baseline
// treats it as running, because the fabric would no longer choose it.
func (w *baselineSimulation) isStopped(b int) bool {
	if b != 0 || w.Now() < requestFaultAt {
		return false
	}
	return (w.requestCase.fault == faultBalancerCrash || w.requestCase.fault == faultBalancerPause) && w.Now() < requestFaultAt+3*time.Second
}

// deliver calls f after the one-way delay between a balancer and a target and the
// jitter, unless the datagram is lost.
func (w *baselineSimulation) deliver(b, t int, f func()) {
	if w.rng.Float64() < w.requestCase.lossRatio {
		return
	}
	d := requestIntraDomainDelay
	if w.domains[b] != w.requestCase.size.domain(t) {
		d = requestInterDomainDelay
	}
	w.After(d+time.Duration(w.rng.Float64()*float64(w.requestCase.maxJitter)), f)
}

// runRequest runs a request in a free slot of a target or queues it. Requests whose
// deadline has passed are skipped.
func (w *baselineSimulation) runRequest(req *simRequest, b, i int, end func()) {
	t := w.targets[i]
	if t.dead {
		return
	}
	start := func() {
		if w.Now() > req.arrivedAt+requestDeadline {
			w.startNext(t)
			return
		}
		req.runs++
		w.After(req.serviceTime, func() {
			w.startNext(t)
			if !t.dead {
				w.deliver(b, i, func() {
					end()
					w.recordResponse(req)
				})
			}
		})
	}
	if t.busy >= requestSlots {
		t.queue = append(t.queue, start)
		return
	}
	t.busy++
	start()
}

// startNext frees a slot and starts the next queued request.
func (w *baselineSimulation) startNext(t *queueTarget) {
	if len(t.queue) == 0 {
		t.busy--
		return
	}
	f := t.queue[0]
	t.queue = t.queue[1:]
	w.After(0, f)
}

// recordResponse records a response in its request.
func (w *baselineSimulation) recordResponse(req *simRequest) {
	req.outcomes++
	if req.answeredAt == 0 {
		req.answeredAt = w.Now()
	}
}

// isUsable reports whether balancers still choose target t.
func (w *baselineSimulation) isUsable(t int) bool { return !w.targets[t].excluded }

// randomTarget returns a random target that balancers choose.
func (w *baselineSimulation) randomTarget() int {
	for {
		if t := w.rng.IntN(len(w.targets)); w.isUsable(t) {
			return t
		}
	}
}

// apparentLoad returns the number of open requests at target t that balancer b counts.
// With faultMisleadingLoad the first target always appears to be idle.
func (w *baselineSimulation) apparentLoad(b, t int) int {
	if w.requestCase.fault == faultMisleadingLoad && t == 0 {
		return 0
	}
	return w.openRequests[b][t]
}

// pickRandom chooses a random target.
func pickRandom(w *baselineSimulation, _ int) int { return w.randomTarget() }

// pickBetterOfTwo chooses the less loaded one of two random targets.
func pickBetterOfTwo(w *baselineSimulation, b int) int {
	s, t := w.randomTarget(), w.randomTarget()
	if w.apparentLoad(b, t) < w.apparentLoad(b, s) {
		return t
	}
	return s
}

// pickLeastLoaded chooses a least loaded target: a random target if no other has less
// load, else the first least loaded one.
func pickLeastLoaded(w *baselineSimulation, b int) int {
	best := w.randomTarget()
	for t := range w.targets {
		if w.isUsable(t) && w.apparentLoad(b, t) < w.apparentLoad(b, best) {
			best = t
		}
	}
	return best
}
