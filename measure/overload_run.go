package measure

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"wisteriaweir/catalog"
	"wisteriaweir/packet"
	"wisteriaweir/placement"
	"wisteriaweir/route"
)

const (
	// overloadDomains is the number of failure domains.
	overloadDomains = 4
	// overloadSlots is the number of requests that a target runs at a time.
	overloadSlots = 2
	// overloadTargetQueue is the number of requests that a target queues. It refuses
	// further ones.
	overloadTargetQueue = 8
	// callerDelay is the one-way delay between callers and everything else.
	callerDelay = 3 * time.Millisecond
	// localDelay is the one-way delay between a host and a target in its failure domain.
	localDelay = 200 * time.Microsecond
	// remoteDelay is the one-way delay between a host and a target in another failure
	// domain.
	remoteDelay = 5 * time.Millisecond
	// overloadReportInterval is the time between two load reports of a host.
	overloadReportInterval = 30 * time.Millisecond
	// overloadTickInterval is the time between two calls of Core.Tick.
	overloadTickInterval = 10 * time.Millisecond
	// overloadTries is the number of tries of a request, the first one included.
	overloadTries = 3
	// idleFlowsPerDomain is the number of idle flows that the callers of a failure domain
	// keep.
	idleFlowsPerDomain = 60
	// overloadOutage is how long all hosts are dark in a pattern that restarts them.
	overloadOutage = 1400 * time.Millisecond
	// slowedFactor is the factor by which the work of slowed targets takes longer.
	slowedFactor = 5
	// responseSize is the size of a response in bytes.
	responseSize = 2000
	// refusalSize is the size in bytes of a response by which a target refuses a request.
	refusalSize = 150
	// overloadServiceIP is the IP address of the service.
	overloadServiceIP = 0xc6120001
	// overloadService is the name of the service.
	overloadService = "desk"
)

// overloadRun is one run: hosts between callers and targets in virtual time.
type overloadRun struct {
	Timeline
	pattern  overloadPattern
	strategy overloadStrategy
	rng      *rand.Rand
	cat      catalog.Catalog
	hosts    []*overloadHost
	targets  map[string]*overloadTarget
	flows    map[uint32]*overloadFlow
	// idle holds the idle flows by failure domain.
	idle     [overloadDomains][]*overloadFlow
	requests []*overloadRequest
	rejected int
	arrived  int
	refused  int
	// work and wasted are the work of targets during the burst, in total and on requests
	// that were not answered in time.
	work, wasted time.Duration
}

// overloadRequest is a request of a caller.
type overloadRequest struct {
	class     overloadClass
	domain    int
	arrivedAt time.Duration
	work      time.Duration
	tries     int
	// takenTry is the newest try that has reached its target.
	takenTry int
	// target is the target that serves the newest try.
	target *overloadTarget
	// answeredAt is when the caller received the response, 0 if it has not.
	answeredAt time.Duration
	// ended reports whether the caller has an outcome or has given up.
	ended bool
}

// isInTime reports whether the request was answered within its latency objective.
func (q *overloadRequest) isInTime() bool {
	return q.answeredAt > 0 && q.answeredAt-q.arrivedAt <= q.class.objective
}

// overloadFlow is the caller's end of a flow.
type overloadFlow struct {
	number  uint32
	class   overloadClass
	key     packet.FlowKey
	host    *overloadHost
	target  *overloadTarget
	stamp   uint32
	seq     uint32
	ackSeq  uint32
	request *overloadRequest
	// sent is the request that a simple strategy has sent or queued.
	sent   *overloadRequest
	opened bool
	closed bool
}

// overloadHost is a host with its core, or with the state of a simple strategy.
type overloadHost struct {
	name   string
	domain int
	dark   bool
	core   *placement.Core
	// busy and waiting are the requests in progress and queued, by target, of a simple
	// strategy.
	busy    map[*overloadTarget]int
	waiting map[*overloadTarget][]*overloadFlow
}

// overloadTarget is a target with its slots and its queue.
type overloadTarget struct {
	id      string
	domain  int
	running int
	queue   []overloadJob
	silent  bool
	factor  time.Duration
	speed   float64
	// busyTime is the time for which slots were in use, in total over the slots.
	busyTime time.Duration
}

// overloadJob is a request at a target, on the flow on which it came.
type overloadJob struct {
	flow    *overloadFlow
	request *overloadRequest
}

// targetID returns the ID of target i.
func targetID(i int) string { return fmt.Sprint("target-", i) }

func newOverloadRun(p overloadPattern, s overloadStrategy, seed uint64) *overloadRun {
	p = p.withDefaults()
	r := &overloadRun{
		pattern: p, strategy: s, rng: rand.New(rand.NewPCG(seed, 1)),
		targets: map[string]*overloadTarget{}, flows: map[uint32]*overloadFlow{},
	}
	var routes []route.Route
	for _, c := range r.pattern.classes {
		routes = append(routes, route.Route{
			Name: c.name, Address: route.Address{IP: overloadServiceIP, Port: c.port}, Kind: c.kind, Priority: c.priority,
			LatencyObjective: c.objective, Timeout: c.timeout,
			WeightedServices: []route.WeightedService{{Service: overloadService, Weight: 1}},
		})
	}
	var entries []catalog.Target
	start := catalog.Position{Revision: 1}
	for i := range p.targets {
		t := &overloadTarget{id: targetID(i), domain: i % overloadDomains, factor: 1, speed: p.speed(i)}
		r.targets[t.id] = t
		entries = append(entries, catalog.Target{
			ID: t.id, InstanceNumber: uint64(i + 1), Service: overloadService, Domain: domainName(t.domain), Slots: overloadSlots, Position: start,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 9000),
		})
	}
	r.cat = r.cat.WithRoutes(route.NewTable(1, 15*time.Second, routes), start).WithTargets(entries, start)
	r.addHosts(p.hostsPerDomain)
	return r
}

// addHosts adds and starts n hosts in each failure domain.
func (r *overloadRun) addHosts(n int) {
	for range n {
		for domain := range overloadDomains {
			h := &overloadHost{name: fmt.Sprint("host-", len(r.hosts)), domain: domain}
			r.hosts = append(r.hosts, h)
			r.startHost(h)
		}
	}
}

// startHost starts a host without any state.
func (r *overloadRun) startHost(h *overloadHost) {
	h.dark = false
	h.busy, h.waiting = map[*overloadTarget]int{}, map[*overloadTarget][]*overloadFlow{}
	h.core = placement.New(placement.Config{
		Domain: domainName(h.domain), Seed: r.rng.Uint64(), MaxFlows: 100_000,
		SharedAdmission: r.strategy.sharedAdmission(), TargetSpeed: r.pattern.targetSpeed,
	})
	h.core.SetCatalog(r.Now(), r.cat)
}

// run runs the pattern to its end.
func (r *overloadRun) run() {
	r.start()
	r.RunUntil(overloadRunDuration)
}

// start schedules the events of the pattern.
func (r *overloadRun) start() {
	for _, h := range r.hosts {
		r.tick(h)
		r.report(h)
	}
	r.After(overloadBurstAt, func() { r.beginBurst() })
	r.After(overloadBurstEnd, func() { r.endBurst() })
	r.arrive()
}

// beginBurst applies the faults of the pattern.
func (r *overloadRun) beginBurst() {
	for i := range r.pattern.crashed {
		r.targets[targetID(i)].silent = true
	}
	for i := range r.pattern.slowed {
		r.targets[targetID(i)].factor = slowedFactor
	}
	if !r.pattern.restarts {
		return
	}
	for _, h := range r.hosts {
		h.dark = true
		r.After(overloadOutage, func() { r.startHost(h) })
	}
}

// endBurst ends the faults of the pattern.
func (r *overloadRun) endBurst() {
	for _, t := range r.targets {
		t.silent, t.factor = false, 1
	}
}

// load returns the offered load at the current time, as a fraction of the capacity.
func (r *overloadRun) load() float64 {
	if isInBurst(r.Now()) {
		return r.pattern.burstLoad
	}
	if r.pattern.calmLoad > 0 {
		return r.pattern.calmLoad
	}
	return defaultCalmLoad
}

// arrive lets a request arrive, and schedules the next arrival.
func (r *overloadRun) arrive() {
	mean := 0.0
	for _, c := range r.pattern.classes {
		mean += c.fraction * c.meanWork.Seconds()
	}
	perSecond := r.load() * r.pattern.totalSpeed() * overloadSlots / mean
	r.After(time.Duration(r.rng.ExpFloat64()/perSecond*float64(time.Second)), r.arrive)
	class := r.drawClass()
	// Erlang distributed: work times vary by half of their mean.
	work := 0.0
	for range 4 {
		work += r.rng.ExpFloat64() / 4
	}
	q := &overloadRequest{class: class, domain: r.drawDomain(), arrivedAt: r.Now(), work: time.Duration(work * float64(class.meanWork))}
	r.requests = append(r.requests, q)
	r.After(class.timeout, func() { q.ended = true })
	r.try(q)
}

// drawClass returns the kind of a request.
func (r *overloadRun) drawClass() overloadClass {
	x := r.rng.Float64()
	for _, c := range r.pattern.classes[:len(r.pattern.classes)-1] {
		if x -= c.fraction; x <= 0 {
			return c
		}
	}
	return r.pattern.classes[len(r.pattern.classes)-1]
}

// drawDomain returns the failure domain of a caller.
func (r *overloadRun) drawDomain() int {
	if r.pattern.isCalmEven && !isInBurst(r.Now()) {
		return r.rng.IntN(overloadDomains)
	}
	weights := r.pattern.domainWeights
	total := 0.0
	for _, w := range weights {
		total += w
	}
	x := r.rng.Float64() * total
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return 0
}

// receive handles a packet of a caller on the host of its flow.
func (r *overloadRun) receive(f *overloadFlow, p packet.Packet) {
	h := f.host
	if h.dark {
		return
	}
	if !r.strategy.usesPlacement() {
		r.receiveSimple(h, f, p)
		return
	}
	h.core.RecordSocketDrained(r.Now())
	switch d := h.core.Handle(r.Now(), p, binary.BigEndian.AppendUint32(nil, f.number)).(type) {
	case placement.Forward:
		r.forward(f, r.targets[d.To.ID], p.IsOpening(), p.Size > 0)
	case placement.Reject:
		r.reset(f)
	case placement.Drop, placement.Queue:
	}
	r.applyEffects(h)
}

// applyEffects carries out the effects of the core of h.
func (r *overloadRun) applyEffects(h *overloadHost) {
	for _, e := range h.core.Effects() {
		switch e := e.(type) {
		case placement.Resend:
			r.forward(r.flows[binary.BigEndian.Uint32(e.Datagram)], r.targets[e.To.ID], e.IsOpening, !e.IsOpening)
		case placement.Reset:
			for _, f := range r.flows {
				if f.key == e.Flow {
					r.reset(f)
				}
			}
		}
	}
}

// reset ends f towards its caller, which tries again.
func (r *overloadRun) reset(f *overloadFlow) {
	r.rejected += r.countInBurst()
	r.After(callerDelay, func() {
		switch {
		case f.closed:
		case f.request == nil: // The response has arrived meanwhile.
			f.closed = true
			for i := range r.idle {
				r.idle[i] = slices.DeleteFunc(r.idle[i], func(idle *overloadFlow) bool { return idle == f })
			}
		default:
			f.closed = true
			r.try(f.request)
		}
	})
}

// countInBurst returns 1 during the burst, 0 otherwise.
func (r *overloadRun) countInBurst() int {
	if isInBurst(r.Now()) {
		return 1
	}
	return 0
}

// tick calls Core.Tick of a host at regular intervals.
func (r *overloadRun) tick(h *overloadHost) {
	r.After(overloadTickInterval, func() { r.tick(h) })
	if h.dark || !r.strategy.usesPlacement() {
		return
	}
	h.core.Tick(r.Now())
	r.applyEffects(h)
}

// reportInterval returns the time between two load reports of a host: that of package host if
// the pattern has late reports, else overloadReportInterval.
func (r *overloadRun) reportInterval() time.Duration {
	if !r.pattern.hasLateReports {
		return overloadReportInterval
	}
	peers := len(r.hosts)/overloadDomains - 1
	return 15*time.Millisecond + time.Duration(peers)*10*time.Millisecond
}

// report sends the load report of a host to its domain peers at regular intervals.
func (r *overloadRun) report(h *overloadHost) {
	r.After(r.reportInterval(), func() { r.report(h) })
	if h.dark || !r.strategy.usesPlacement() {
		return
	}
	l := h.core.LoadReport(r.Now())
	for _, peer := range r.hosts {
		if peer == h || peer.domain != h.domain {
			continue
		}
		r.After(localDelay, func() {
			if !peer.dark {
				peer.core.SetPeerLoad(r.Now(), h.name, l)
				r.applyEffects(peer)
			}
		})
	}
}
