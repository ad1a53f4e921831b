package measure

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"wisteriaweir/fleet"
	"wisteriaweir/lease"
	"wisteriaweir/member"
	"wisteriaweir/member/memberpb"
	"wisteriaweir/rollout"
	"wisteriaweir/rollout/rolloutpb"
	"wisteriaweir/service"
	"wisteriaweir/ticket"
)

// What the network does.
const (
	domains      = 4
	loss         = 0.05
	spikeShare   = 0.01
	spikeDelay   = 100 * time.Millisecond
	localDelay   = 300 * time.Microsecond
	zoneDelay    = 5 * time.Millisecond
	frameBytes   = 110 // envelope, gRPC, HTTP/2, TLS, TCP and IP of one message
	leaseTerm    = 5 * time.Second
	leaseSkew    = 500 * time.Millisecond
	inForceDelay = 20 * time.Millisecond
)

// The ways of the fan-out.
const (
	wayTree      = "content down the tree"
	wayNumber    = "number down the tree, content pulled"
	wayHeartbeat = "number in heartbeats, content pulled"
)

// configFleet runs the cores of many balancers in virtual time.
type configFleet struct {
	Timeline
	rnd      *rand.Rand
	platform *configPlatform
	hosts    []*configHost
	releases map[uint64]rollout.Release
	// reversals counts numbers that went back, claims those that a status
	// stated too early.
	reversals, claims int
	// accepted, inForce and stated are times by number.
	accepted map[uint64]time.Duration
	inForce  map[uint64]*progress
	stated   map[uint64]*progress
	acquired func(h *configHost)
	// way is the way of the fan-out.
	way string
}

// progress counts who has reached a number, and when the last one did.
type progress struct {
	n    int
	last time.Duration
}

func (p *progress) step(now time.Duration) {
	p.n++
	p.last = now
}

// configHost is one balancer.
type configHost struct {
	member.Member
	fleet   *configFleet
	members *member.Core
	rollout *rollout.Core
	lease   *lease.Lease
	view    member.View
	holding bool
	dead    bool
	paused  bool
	wakeAt  time.Duration
	applied uint64
	stated  uint64
	sent    int
	taken   int
	sends   int
	// held are the events that wait for the end of a pause.
	held []func()
}

func newConfigFleet(n int, seed uint64) *configFleet {
	f := &configFleet{
		rnd:      rand.New(rand.NewPCG(seed, uint64(n))),
		releases: make(map[uint64]rollout.Release),
		accepted: make(map[uint64]time.Duration),
		inForce:  make(map[uint64]*progress),
		stated:   make(map[uint64]*progress),
		way:      wayTree,
	}
	f.platform = newConfigPlatform(&f.Timeline)
	for i := range n {
		f.hosts = append(f.hosts, f.host(i))
	}
	hosts := f.list()
	for _, h := range f.hosts {
		h.member(member.HostList{Hosts: hosts})
		h.tick()
		f.After(time.Duration(f.rnd.Int64N(int64(holderListTime))), h.listHolder)
		f.After(time.Duration(f.rnd.Int64N(int64(memberListTime))), h.listMember)
	}
	return f
}

func (f *configFleet) host(i int) *configHost {
	addr := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
	m := member.Member{
		Name:    fmt.Sprintf("balancer-%04d", i),
		Domain:  fmt.Sprintf("zone-%d", i%domains),
		Life:    1 << 60,
		Control: netip.AddrPortFrom(addr, 7000),
		Hop:     netip.AddrPortFrom(addr, 7001),
	}
	return &configHost{
		Member:  m,
		fleet:   f,
		members: member.NewCore(member.Config{Self: m, Seed: f.rnd.Uint64()}),
		rollout: rollout.NewCore(rollout.Config{Self: m, Seed: f.rnd.Uint64()}),
		lease:   lease.New(lease.Config{Name: m.Name, Life: m.Life, Term: leaseTerm, MaxClockSkew: leaseSkew, Seed: f.rnd.Uint64()}),
	}
}

// accept accepts the next configuration now: the size of a user's today.
func (f *configFleet) accept() (uint64, error) {
	n := f.platform.head + 1
	cfg := service.Config{Number: n, Digest: fmt.Sprintf("%064x", f.rnd.Uint64())}
	for s, size := range []int{14, 4} {
		cfg = cfg.WithService(f.service(s, size))
	}
	head := ticket.Head{Number: n, Digest: cfg.Digest}
	r, err := rollout.Pack(rollout.State{Fleet: fleet.Fleet{Number: n, Head: head}, Config: cfg})
	if err != nil {
		return 0, err
	}
	f.releases[n] = r
	f.accepted[n] = f.Now()
	f.inForce[n] = &progress{}
	f.stated[n] = &progress{}
	return f.platform.accept(), nil
}

func (f *configFleet) service(s, size int) service.Service {
	name := fmt.Sprintf("service-%d", s)
	out := service.Service{Name: name, Addresses: []service.Address{
		{AddrPort: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(s)}), 5683), Mode: service.ModeRequest},
	}}
	for i := range size {
		out.Pool = append(out.Pool, service.Target{
			Name:    fmt.Sprintf("%s-%d", name, i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(s), byte(i)}), 5683),
			Domain:  fmt.Sprintf("zone-%d", i%domains),
			Weight:  1 + f.rnd.IntN(100),
			Slots:   2,
		})
	}
	return out
}

// transfer carries one message, with its loss and delay.
func (f *configFleet) transfer(from *configHost, to member.Member, m proto.Message, deliver func(*configHost)) {
	size := proto.Size(m) + frameBytes
	from.sent += size
	from.sends++
	dest := f.at(to.Control)
	if f.rnd.Float64() < loss {
		return
	}
	f.After(f.delay(from, dest), func() {
		if dest.dead || dest.paused {
			return
		}
		dest.taken += size
		deliver(dest)
	})
}

func (f *configFleet) at(addr netip.AddrPort) *configHost {
	b := addr.Addr().As4()
	return f.hosts[int(b[2])<<8|int(b[3])]
}

// delay is uneven: exponential jitter on top of the distance, and rare spikes.
func (f *configFleet) delay(from, to *configHost) time.Duration {
	base := localDelay
	if from.Domain != to.Domain {
		base = zoneDelay
	}
	d := base + time.Duration(f.rnd.ExpFloat64()*float64(base))
	if f.rnd.Float64() < spikeShare {
		d += time.Duration(f.rnd.Int64N(int64(spikeDelay)))
	}
	return d
}

func (h *configHost) sendHeartbeat(to member.Member, hb member.Heartbeat) {
	h.fleet.transfer(h, to, memberpb.Encode(hb), func(dest *configHost) {
		dest.member(member.HeartbeatReceived{Heartbeat: hb})
	})
}

func (h *configHost) sendMessage(to member.Member, m rollout.Message) {
	if lead, ok := m.(rollout.LeaderUpdate); ok && h.fleet.way != wayTree {
		lead.Delta = rollout.Delta{}
		m = lead
		if h.fleet.way == wayHeartbeat {
			return
		}
	}
	h.fleet.transfer(h, to, rolloutpb.Encode(m), func(dest *configHost) {
		dest.roll(rollout.Received{From: h.Name, Message: m})
	})
}
