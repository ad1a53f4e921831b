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
	open    bool
	ended   bool
	silent  bool
	// lost counts datagrams in a row without a reply.
	lost int
	end  int64
}

// flowTraffic opens flows, sends their datagrams and checks where they arrive.
type flowTraffic struct {
	fleet *FlowSimulation
	ring  [][]*simFlow
	at    int64
	next  uint32
	// open counts the flows on each target.
	open map[flow.TargetID]int
}

// Behaviour of callers.
const (
	ringSize    = 4096
	maxGap      = (ringSize - 1) * step
	retryAfter  = time.Second
	giveUpAfter = 10
	openWithin  = 10 * time.Second
)

func newFlowTraffic(f *FlowSimulation) flowTraffic {
	t := flowTraffic{fleet: f, ring: make([][]*simFlow, ringSize), open: make(map[flow.TargetID]int)}
	for i, n := range f.cfg.Pools {
		for range n * f.cfg.FlowsPerTarget {
			t.start(i, time.Duration(f.rng.Int64N(int64(openWithin))))
		}
	}
	return t
}

// start opens a flow of a service after d.
func (t *flowTraffic) start(service int, d time.Duration) {
	rng := t.fleet.rng
	t.next++
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{20, byte(t.next >> 16), byte(t.next >> 8), byte(t.next)}), uint16(1+t.next>>24))
	s := &simFlow{key: flow.Key{Caller: caller, Address: serviceAddress(service)}, service: service, end: math.MaxInt64}
	s.hash = s.key.Hash()
	if rng.Float64() >= t.fleet.cfg.PermanentRatio {
		s.end = t.at + int64((d+time.Duration(rng.ExpFloat64()*float64(t.fleet.cfg.MeanFlowLifetime)))/step)
	}
	t.schedule(s, d)
}

func (t *flowTraffic) schedule(s *simFlow, d time.Duration) {
	at := t.at + 1 + int64(min(d, maxGap)/step)
	i := at % ringSize
	t.ring[i] = append(t.ring[i], s)
}

// step sends the datagrams that are due.
func (t *flowTraffic) step() {
	t.at++
	i := t.at % ringSize
	due := t.ring[i]
	t.ring[i] = nil
	for _, s := range due {
		if s.ended {
			continue
		}
		if t.at >= s.end {
			t.finish(s)
			continue
		}
		t.send(s)
	}
}

// finish ends a flow; another one takes its place.
func (t *flowTraffic) finish(s *simFlow) {
	t.close(s)
	t.start(s.service, 0)
}

// reopenAfter is the longest time until the caller of a broken flow reopens.
const reopenAfter = 10 * time.Second

func (t *flowTraffic) close(s *simFlow) {
	s.ended = true
	if s.open {
		t.open[s.target]--
	}
}

// send sends a datagram of s through any balancer.
func (t *flowTraffic) send(s *simFlow) {
	f := t.fleet
	f.Count.Packets++
	s.lost++
	if s.lost > giveUpAfter {
		t.broken(s)
		return
	}
	gap := time.Duration(f.rng.ExpFloat64() * float64(f.cfg.MeanPacketInterval))
	if s.lost > 1 || !s.open {
		gap = retryAfter
	}
	t.schedule(s, gap)
	h := f.sprayed[f.rng.IntN(len(f.sprayed))]
	switch {
	case h.dead:
	case h.frozen:
		if len(h.inbox) < frozenPackets {
			h.inbox = append(h.inbox, func() { t.route(h, s) })
		}
	default:
		t.route(h, s)
	}
}

// frozenPackets is what the socket buffer of a frozen host holds.
const frozenPackets = 200

func (t *flowTraffic) route(h *flowHost, s *simFlow) {
	if s.ended {
		return
	}
	switch t.fleet.cfg.Strategy {
	case StrategyPins:
		t.follow(h, h, s, h.shard.RouteHash(t.fleet.tl.Now(), s.key, s.hash), 0)
	case StrategyOwner, StrategyOwnerCache:
		h.homes.route(h.homes, s, 0, false)
	default:
		if target, ok := h.own.route(t.fleet.cfg.Strategy, t.fleet.rng, s); ok {
			t.deliver(h, s, target)
		}
	}
}

// follow carries out the verdict of h on a datagram that came from origin, the
// same host or the one that handed it over.
func (t *flowTraffic) follow(origin, h *flowHost, s *simFlow, v flow.Decision, hops int) {
	f := t.fleet
	switch v.Action {
	case flow.Forward:
		t.deliver(h, s, v.Pin.Target)
		if origin != h {
			t.answer(origin, h, s, v.Pin)
		}
	case flow.Hop:
		f.Count.Hops++
		to := f.host(v.Member)
		d, ok := f.delay(h.domain, to.domain, false)
		if !ok {
			return
		}
		f.tl.After(d, func() {
			if to.up() && !s.ended {
				t.follow(h, to, s, to.shard.RouteHop(f.tl.Now(), s.key, v.Reason, hops+1), hops+1)
			}
		})
	case flow.Reset:
		if v.Reason == flow.ReasonSilent {
			f.Count.Silenced++
		}
		t.broken(s)
	case flow.Drop:
		if v.Reason == flow.ReasonFull || v.Reason == flow.ReasonCallerLimit {
			f.Count.Refused++
		}
		if v.Reason == flow.ReasonTablesDiffer && s.open {
			f.Count.Held++
		}
	}
}

func (t *flowTraffic) answer(origin, h *flowHost, s *simFlow, p flow.Pin) {
	d, ok := t.fleet.delay(h.domain, origin.domain, false)
	if !ok {
		return
	}
	t.fleet.tl.After(d, func() {
		if origin.up() {
			origin.shard.AdoptPin(t.fleet.tl.Now(), s.key, p)
		}
	})
}

// deliver brings a datagram to a target and its reply to any balancer.
func (t *flowTraffic) deliver(h *flowHost, s *simFlow, target flow.TargetID) {
	f := t.fleet
	at, ok := f.ctl.home(target)
	if !ok || at.service != s.service {
		f.Count.Crossed++
		return
	}
	if f.dead[target] || f.parted(h.domain, at.domain) {
		f.Count.Lost++
		return
	}
	if !s.open {
		t.opened(s, target)
	}
	if s.target != target {
		t.broken(s)
		return
	}
	s.lost = 0
	if s.silent {
		return
	}
	if f.cfg.Strategy == StrategyPins {
		r := f.sprayed[f.rng.IntN(len(f.sprayed))]
		if r.up() {
			r.shard.RecordReplyHash(f.tl.Now(), s.hash)
		}
	}
}

func (t *flowTraffic) opened(s *simFlow, target flow.TargetID) {
	f := t.fleet
	s.open, s.target = true, target
	t.open[target]++
	f.Count.Opened++
	if at, ok := f.ctl.drained[target]; ok && f.tl.Now()-at > lateAfter {
		f.Count.LateNew++
	}
}

// lateAfter is the time after which a leaving target gets nothing new.
const lateAfter = 3 * time.Second

// known reports whether a balancer that is up holds the target of s.
func (t *flowTraffic) known(s *simFlow) bool {
	for _, h := range t.fleet.hosts {
		if !h.up() || h.shard == nil {
			continue
		}
		if id, ok := h.shard.Target(s.hash); ok && id == s.target {
			return true
		}
	}
	return false
}

// broken counts a flow that was cut; its caller opens another.
func (t *flowTraffic) broken(s *simFlow) {
	f := t.fleet
	if s.ended {
		return
	}
	switch {
	case !s.open:
		f.Count.Unopened++
	case f.dead[s.target]:
		f.Count.OfTarget++
	case f.faults:
		f.Count.Unplanned++
		if !t.known(s) {
			f.Count.Forgotten++
		}
	default:
		f.Count.Planned++
	}
	t.close(s)
	t.start(s.service, time.Duration(f.rng.Int64N(int64(reopenAfter))))
}
