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

const (
	// configDomainCount is the number of failure domains.
	configDomainCount = 4
	// messageLossRatio is the fraction of messages between balancers that are lost.
	messageLossRatio = 0.05
	// delaySpikeRatio is the fraction of messages with an additional delay, which is
	// uniformly distributed below maxDelaySpike.
	delaySpikeRatio = 0.01
	// maxDelaySpike is the upper limit of the additional delay.
	maxDelaySpike = 100 * time.Millisecond
	// configIntraDomainDelay is the minimum one-way delay, and the mean of its
	// exponential jitter, inside a failure domain.
	configIntraDomainDelay = 300 * time.Microsecond
	// configInterDomainDelay is the minimum one-way delay, and the mean of its
	// exponential jitter, between failure domains.
	configInterDomainDelay = 5 * time.Millisecond
	// messageOverheadBytes is the overhead of one message: envelope, gRPC, HTTP/2,
	// TLS, TCP and IP.
	messageOverheadBytes = 110
	// leaseTerm is the validity of a lease without a renewal.
	leaseTerm = 5 * time.Second
	// maxLeaseClockSkew is the clock skew that the lease allows for.
	maxLeaseClockSkew = 500 * time.Millisecond
	// activationDelay is the time from the application of a release until its
	// configuration is active.
	activationDelay = 20 * time.Millisecond
)

// Strategies of the fan-out. The values are printed in the tables.
const (
	// fanOutTreeContent sends the changed content down the distribution tree.
	fanOutTreeContent = "content down the tree"
	// fanOutTreeNumber sends the number down the tree; balancers fetch the content.
	fanOutTreeNumber = "number down the tree, content pulled"
	// fanOutHeartbeatNumber sends the number in heartbeats only; balancers fetch the
	// content.
	fanOutHeartbeatNumber = "number in heartbeats, content pulled"
)

// configSimulation runs the member, rollout and lease cores of many balancers in
// virtual time.
type configSimulation struct {
	Timeline
	rng      *rand.Rand
	platform *configPlatform
	hosts    []*configHost
	releases map[uint64]rollout.Release
	// reversals counts releases that were applied after one with the same or a higher
	// number. earlyStatuses counts false reports: each status of a domain adds one for
	// each running balancer of this domain that has not yet applied the number of the
	// status, although its rollout.Core.IsFresh is true.
	reversals, earlyStatuses int
	// acceptedAt is the time at which each number was accepted. activated counts the
	// balancers on which a number is active. reported counts the balancers that wrote
	// a status which includes it: one for each domain, unless the lease changes hands.
	// All three are keyed by number.
	acceptedAt map[uint64]time.Duration
	activated  map[uint64]*progress
	reported   map[uint64]*progress
	// onLeaseAcquired, unless nil, is called for each balancer that acquires a lease.
	onLeaseAcquired func(h *configHost)
	// strategy is the strategy of the fan-out.
	strategy string
}

// progress counts the balancers or domains that have reached a number, and records
// when the last one did.
type progress struct {
	count  int
	lastAt time.Duration
}

func (p *progress) record(now time.Duration) {
	p.count++
	p.lastAt = now
}

// configHost is one simulated balancer.
type configHost struct {
	member.Member
	sim         *configSimulation
	memberCore  *member.Core
	rolloutCore *rollout.Core
	leaseCore   *lease.Lease
	view        member.View
	// holdsLease reports whether the balancer holds the lease of its domain.
	holdsLease bool
	dead       bool
	paused     bool
	// nextLeaseTick is the time of the next tick that the lease core requested.
	nextLeaseTick time.Duration
	// appliedNumber is the number of the release applied last, reportedNumber the
	// highest number that this balancer wrote in a status.
	appliedNumber  uint64
	reportedNumber uint64
	// sentBytes and receivedBytes count bytes including messageOverheadBytes,
	// sentMessages counts messages; all three are reset by resetCounters.
	sentBytes     int
	receivedBytes int
	sentMessages  int
	// deferred holds the events that arrived during a pause and are handled at its
	// end.
	deferred []func()
}

// newConfigSimulation returns a simulation of n balancers that know the host list.
func newConfigSimulation(n int, seed uint64) *configSimulation {
	f := &configSimulation{
		rng:        rand.New(rand.NewPCG(seed, uint64(n))),
		releases:   make(map[uint64]rollout.Release),
		acceptedAt: make(map[uint64]time.Duration),
		activated:  make(map[uint64]*progress),
		reported:   make(map[uint64]*progress),
		strategy:   fanOutTreeContent,
	}
	f.platform = newConfigPlatform(&f.Timeline)
	for i := range n {
		f.hosts = append(f.hosts, f.newHost(i))
	}
	hosts := f.liveHosts()
	for _, h := range f.hosts {
		h.handleMember(member.HostList{Hosts: hosts})
		h.tick()
		f.After(time.Duration(f.rng.Int64N(int64(holderPollInterval))), h.pollHostsAsHolder)
		f.After(time.Duration(f.rng.Int64N(int64(memberPollInterval))), h.pollHosts)
	}
	return f
}

// newHost returns the i-th balancer.
func (f *configSimulation) newHost(i int) *configHost {
	addr := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
	m := member.Member{
		Name:    fmt.Sprintf("balancer-%04d", i),
		Domain:  fmt.Sprintf("zone-%d", i%configDomainCount),
		Life:    1 << 60,
		Control: netip.AddrPortFrom(addr, 7000),
		Hop:     netip.AddrPortFrom(addr, 7001),
	}
	return &configHost{
		Member:      m,
		sim:         f,
		memberCore:  member.NewCore(member.Config{Self: m, Seed: f.rng.Uint64()}),
		rolloutCore: rollout.NewCore(rollout.Config{Self: m, Seed: f.rng.Uint64()}),
		leaseCore:   lease.New(lease.Config{Name: m.Name, Life: m.Life, Term: leaseTerm, MaxClockSkew: maxLeaseClockSkew, Seed: f.rng.Uint64()}),
	}
}

// acceptConfig accepts a new configuration with two services, which have 14 and 4
// targets, and returns its number.
func (f *configSimulation) acceptConfig() (uint64, error) {
	n := f.platform.headNumber + 1
	cfg := service.Config{Number: n, Digest: fmt.Sprintf("%064x", f.rng.Uint64())}
	for s, size := range []int{14, 4} {
		cfg = cfg.WithService(f.newService(s, size))
	}
	head := ticket.Head{Number: n, Digest: cfg.Digest}
	r, err := rollout.NewRelease(rollout.State{Fleet: fleet.Fleet{Number: n, Head: head}, Config: cfg})
	if err != nil {
		return 0, err
	}
	f.releases[n] = r
	f.acceptedAt[n] = f.Now()
	f.activated[n] = &progress{}
	f.reported[n] = &progress{}
	return f.platform.acceptNext(), nil
}

// newService returns service s with size targets of random weights.
func (f *configSimulation) newService(s, size int) service.Service {
	name := fmt.Sprintf("service-%d", s)
	out := service.Service{Name: name, Addresses: []service.Address{
		{AddrPort: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(s)}), 5683), Mode: service.ModeRequest},
	}}
	for i := range size {
		out.Pool = append(out.Pool, service.Target{
			Name:    fmt.Sprintf("%s-%d", name, i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(s), byte(i)}), 5683),
			Domain:  fmt.Sprintf("zone-%d", i%configDomainCount),
			Weight:  1 + f.rng.IntN(100),
			Slots:   2,
		})
	}
	return out
}

// transmit sends one message, which may be lost and arrives after a random delay. A
// dead or paused receiver drops it.
func (f *configSimulation) transmit(from *configHost, to member.Member, message proto.Message, deliver func(*configHost)) {
	size := proto.Size(message) + messageOverheadBytes
	from.sentBytes += size
	from.sentMessages++
	dest := f.hostAt(to.Control)
	if f.rng.Float64() < messageLossRatio {
		return
	}
	f.After(f.delay(from, dest), func() {
		if dest.dead || dest.paused {
			return
		}
		dest.receivedBytes += size
		deliver(dest)
	})
}

// hostAt returns the balancer with a control address. The last two bytes of the IP
// address are the index of the balancer.
func (f *configSimulation) hostAt(addr netip.AddrPort) *configHost {
	b := addr.Addr().As4()
	return f.hosts[int(b[2])<<8|int(b[3])]
}

// delay returns a random one-way delay: the minimum delay within or between failure
// domains, exponential jitter and, for the fraction delaySpikeRatio of messages, an
// additional delay below maxDelaySpike.
func (f *configSimulation) delay(from, to *configHost) time.Duration {
	base := configIntraDomainDelay
	if from.Domain != to.Domain {
		base = configInterDomainDelay
	}
	d := base + time.Duration(f.rng.ExpFloat64()*float64(base))
	if f.rng.Float64() < delaySpikeRatio {
		d += time.Duration(f.rng.Int64N(int64(maxDelaySpike)))
	}
	return d
}

// sendHeartbeat sends a heartbeat to another balancer.
func (h *configHost) sendHeartbeat(to member.Member, hb member.Heartbeat) {
	h.sim.transmit(h, to, memberpb.Encode(hb), func(dest *configHost) {
		dest.handleMember(member.HeartbeatReceived{Heartbeat: hb})
	})
}

// sendMessage sends a rollout message by the fan-out strategy: leader updates are sent
// without their delta by fanOutTreeNumber and not at all by fanOutHeartbeatNumber.
func (h *configHost) sendMessage(to member.Member, m rollout.Message) {
	if update, ok := m.(rollout.LeaderUpdate); ok && h.sim.strategy != fanOutTreeContent {
		update.Delta = rollout.Delta{}
		m = update
		if h.sim.strategy == fanOutHeartbeatNumber {
			return
		}
	}
	h.sim.transmit(h, to, rolloutpb.Encode(m), func(dest *configHost) {
		dest.handleRollout(rollout.MessageReceived{From: h.Name, Message: m})
	})
}
