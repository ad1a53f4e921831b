package measure

import (
	"math"
	"net/netip"
	"time"

	"wisteriaweir/flow"
)

// simFlow is one flow of a simulated caller.
type simFlow struct {
	key     flow.Key
	hash    uint64
	service int
	target  flow.TargetID
	// isOpen reports whether a datagram has reached a target, ended whether the caller
	// has stopped sending, and repliesStopped whether the target has stopped replying.
	isOpen         bool
	ended          bool
	repliesStopped bool
	// unanswered counts consecutive datagrams without a reply.
	unanswered int
	// endStep is the time step at which the caller ends the flow.
	endStep int64
}

// flowTraffic opens flows, sends their datagrams and checks where they arrive.
type flowTraffic struct {
	sim *FlowSimulation
	// timerWheel holds the flows by the time step of their next datagram, modulo
	// timerWheelSteps.
	timerWheel [][]*simFlow
	// currentStep is the number of time steps of length trafficStep so far.
	currentStep int64
	// lastCaller is the number from which the newest caller address is made.
	lastCaller uint32
	// openFlows holds the number of open flows of each target.
	openFlows map[flow.TargetID]int
}

const (
	// timerWheelSteps is the number of slots of the timer wheel.
	timerWheelSteps = 4096
	// maxPacketInterval is the longest time between two datagrams of a flow, a limit
	// of the timer wheel.
	maxPacketInterval = (timerWheelSteps - 1) * trafficStep
	// flowRetryInterval is the time until a caller without a reply sends again.
	flowRetryInterval = time.Second
	// maxUnanswered is the number of consecutive datagrams without a reply after which
	// a flow counts as broken.
	maxUnanswered = 10
	// initialOpenWindow is the time at the start in which the first flows are opened.
	initialOpenWindow = 10 * time.Second
)

func newFlowTraffic(f *FlowSimulation) flowTraffic {
	t := flowTraffic{sim: f, timerWheel: make([][]*simFlow, timerWheelSteps), openFlows: make(map[flow.TargetID]int)}
	for i, n := range f.cfg.TargetsPerService {
		for range n * f.cfg.FlowsPerTarget {
			t.scheduleFlow(i, time.Duration(f.rng.Int64N(int64(initialOpenWindow))))
		}
	}
	return t
}

// scheduleFlow opens a flow of a service from a new caller address after d.
func (t *flowTraffic) scheduleFlow(service int, d time.Duration) {
	rng := t.sim.rng
	t.lastCaller++
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{20, byte(t.lastCaller >> 16), byte(t.lastCaller >> 8), byte(t.lastCaller)}), uint16(1+t.lastCaller>>24))
	s := &simFlow{key: flow.Key{Caller: caller, Address: serviceAddress(service)}, service: service, endStep: math.MaxInt64}
	s.hash = s.key.Hash()
	if rng.Float64() >= t.sim.cfg.PermanentRatio {
		s.endStep = t.currentStep + int64((d+time.Duration(rng.ExpFloat64()*float64(t.sim.cfg.MeanFlowLifetime)))/trafficStep)
	}
	t.scheduleDatagram(s, d)
}

// scheduleDatagram schedules the next datagram of a flow after d, at most
// maxPacketInterval.
func (t *flowTraffic) scheduleDatagram(s *simFlow, d time.Duration) {
	at := t.currentStep + 1 + int64(min(d, maxPacketInterval)/trafficStep)
	i := at % timerWheelSteps
	t.timerWheel[i] = append(t.timerWheel[i], s)
}

// step advances by one time step and sends the datagrams that are due.
func (t *flowTraffic) step() {
	t.currentStep++
	i := t.currentStep % timerWheelSteps
	due := t.timerWheel[i]
	t.timerWheel[i] = nil
	for _, s := range due {
		if s.ended {
			continue
		}
		if t.currentStep >= s.endStep {
			t.finishFlow(s)
			continue
		}
		t.sendDatagram(s)
	}
}

// finishFlow ends a flow and opens another one of the same service.
func (t *flowTraffic) finishFlow(s *simFlow) {
	t.close(s)
	t.scheduleFlow(s.service, 0)
}

// maxReopenDelay is the longest time until the caller of a broken flow opens another
// flow.
const maxReopenDelay = 10 * time.Second

// close ends a flow and removes it from the open flows of its target.
func (t *flowTraffic) close(s *simFlow) {
	s.ended = true
	if s.isOpen {
		t.openFlows[s.target]--
	}
}

// sendDatagram sends a datagram of s to a random balancer in the fabric. A flow with
// more than maxUnanswered consecutive datagrams without a reply is broken.
func (t *flowTraffic) sendDatagram(s *simFlow) {
	f := t.sim
	f.Count.Packets++
	s.unanswered++
	if s.unanswered > maxUnanswered {
		t.recordBroken(s)
		return
	}
	interval := time.Duration(f.rng.ExpFloat64() * float64(f.cfg.MeanPacketInterval))
	if s.unanswered > 1 || !s.isOpen {
		interval = flowRetryInterval
	}
	t.scheduleDatagram(s, interval)
	h := f.inFabric[f.rng.IntN(len(f.inFabric))]
	switch {
	case h.dead:
	case h.paused:
		if len(h.deferred) < maxDeferredDatagrams {
			h.deferred = append(h.deferred, func() { t.route(h, s) })
		}
	default:
		t.route(h, s)
	}
}

// maxDeferredDatagrams is the size of the socket buffer of a paused balancer. Further
// datagrams are dropped while it has this many deferred messages, epochs and datagrams.
const maxDeferredDatagrams = 200

// route routes a datagram that arrived at balancer h by the strategy of the run.
func (t *flowTraffic) route(h *flowHost, s *simFlow) {
	if s.ended {
		return
	}
	switch t.sim.cfg.Strategy {
	case StrategyPins:
		t.applyDecision(h, h, s, h.shard.RouteHash(t.sim.tl.Now(), s.key, s.hash), 0)
	case StrategyOwner, StrategyOwnerCache:
		h.ownerTable.route(h.ownerTable, s, 0, false)
	default:
		if target, ok := h.localTable.route(t.sim.cfg.Strategy, t.sim.rng, s); ok {
			t.deliver(h, s, target)
		}
	}
}

// applyDecision carries out the decision of h on a datagram. origin is the balancer
// that received it from the caller: h itself or the one that forwarded it.
func (t *flowTraffic) applyDecision(origin, h *flowHost, s *simFlow, decision flow.Decision, hops int) {
	f := t.sim
	switch decision.Action {
	case flow.Forward:
		t.deliver(h, s, decision.Pin.Target)
		if origin != h {
			t.sendPin(origin, h, s, decision.Pin)
		}
	case flow.Hop:
		f.Count.Hops++
		to := f.host(decision.Member)
		d, ok := f.delay(h.domain, to.domain, false)
		if !ok {
			return
		}
		f.tl.After(d, func() {
			if to.isUp() && !s.ended {
				t.applyDecision(h, to, s, to.shard.RouteHop(f.tl.Now(), s.key, decision.Reason, hops+1), hops+1)
			}
		})
	case flow.Reset:
		if decision.Reason == flow.ReasonSilent {
			f.Count.Silenced++
		}
		t.recordBroken(s)
	case flow.Drop:
		if decision.Reason == flow.ReasonShardFull || decision.Reason == flow.ReasonCallerLimit {
			f.Count.Refused++
		}
		if decision.Reason == flow.ReasonTablesDiffer && s.isOpen {
			f.Count.Held++
		}
	}
}

// sendPin sends the pin of a flow to the balancer that forwarded a datagram of it.
func (t *flowTraffic) sendPin(origin, h *flowHost, s *simFlow, p flow.Pin) {
	d, ok := t.sim.delay(h.domain, origin.domain, false)
	if !ok {
		return
	}
	t.sim.tl.After(d, func() {
		if origin.isUp() {
			origin.shard.AdoptPin(t.sim.tl.Now(), s.key, p)
		}
	})
}

// deliver sends a datagram to a target and the reply through a random balancer. A
// datagram that reaches another target than the flow was opened on breaks the flow.
func (t *flowTraffic) deliver(h *flowHost, s *simFlow, target flow.TargetID) {
	f := t.sim
	location, ok := f.ctl.location(target)
	if !ok || location.service != s.service {
		f.Count.Crossed++
		return
	}
	if f.deadTargets[target] || f.isPartitioned(h.domain, location.domain) {
		f.Count.Lost++
		return
	}
	if !s.isOpen {
		t.recordOpened(s, target)
	}
	if s.target != target {
		t.recordBroken(s)
		return
	}
	s.unanswered = 0
	if s.repliesStopped {
		return
	}
	if f.cfg.Strategy == StrategyPins {
		r := f.inFabric[f.rng.IntN(len(f.inFabric))]
		if r.isUp() {
			r.shard.RecordReplyHash(f.tl.Now(), s.hash)
		}
	}
}

// recordOpened records that a flow was opened on a target.
func (t *flowTraffic) recordOpened(s *simFlow, target flow.TargetID) {
	f := t.sim
	s.isOpen, s.target = true, target
	t.openFlows[target]++
	f.Count.Opened++
	if at, ok := f.ctl.drainedAt[target]; ok && f.tl.Now()-at > drainGrace {
		f.Count.LateNew++
	}
}

// drainGrace is the time after the start of a drain in which new flows on the target
// are not counted as late.
const drainGrace = 3 * time.Second

// isKnown reports whether a running balancer has stored the target of s.
func (t *flowTraffic) isKnown(s *simFlow) bool {
	for _, h := range t.sim.hosts {
		if !h.isUp() || h.shard == nil {
			continue
		}
		if id, ok := h.shard.Target(s.hash); ok && id == s.target {
			return true
		}
	}
	return false
}

// recordBroken counts a broken flow by its cause, and opens another one of the same
// service within maxReopenDelay.
func (t *flowTraffic) recordBroken(s *simFlow) {
	f := t.sim
	if s.ended {
		return
	}
	switch {
	case !s.isOpen:
		f.Count.Unopened++
	case f.deadTargets[s.target]:
		f.Count.OfTarget++
	case f.hasFaults:
		f.Count.Unplanned++
		if !t.isKnown(s) {
			f.Count.Forgotten++
		}
	default:
		f.Count.Planned++
	}
	t.close(s)
	t.scheduleFlow(s.service, time.Duration(f.rng.Int64N(int64(maxReopenDelay))))
}
