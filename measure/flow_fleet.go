package measure

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"wisteriaweir/flow"
	"wisteriaweir/service"
)

// FlowSimulationConfig describes a simulated fleet of balancers, its targets and
// its callers.
type FlowSimulationConfig struct {
	Seed uint64
	// Strategy is the way of routing.
	Strategy FlowStrategy
	// Domains is the number of failure domains.
	Domains int
	// Balancers is the number of balancers, dealt out over the domains.
	Balancers int
	// Pools holds the number of targets of each service.
	Pools []int
	// FlowsPerTarget is the number of open flows for each target.
	FlowsPerTarget int
	// InterDomainDelay and IntraDomainDelay are the one-way delays between and inside domains.
	InterDomainDelay, IntraDomainDelay time.Duration
	// MeanPacketInterval is the mean time between datagrams of a flow.
	MeanPacketInterval time.Duration
	// MeanFlowLifetime is the mean life of a flow; PermanentRatio is the share that never ends.
	MeanFlowLifetime time.Duration
	PermanentRatio   float64
	// MaxUpdateDelay is the longest time by which an update reaches a balancer late.
	MaxUpdateDelay time.Duration
	// Loss and Jitter are those of the links between balancers.
	Loss   float64
	Jitter time.Duration
	// Rebalance is the time between changes of shares; 0 for never.
	Rebalance time.Duration
	// MisreportsLoad makes the load reports of targets wrong.
	MisreportsLoad bool
	// MaxFlows is the limit of each shard.
	MaxFlows int
}

// FlowSimulation runs the flow routing of many balancers in virtual time.
type FlowSimulation struct {
	cfg     FlowSimulationConfig
	rng     *rand.Rand
	tl      Timeline
	hosts   []*flowHost
	sprayed []*flowHost
	ctl     flowControl
	traffic flowTraffic
	dead    map[flow.TargetID]bool
	cut     string
	faults  bool
	// Count holds the outcome so far.
	Count FlowCount
}

// FlowCount is the outcome of a run.
type FlowCount struct {
	Opened, Packets, Lost, Hops int
	// Planned and Unplanned count broken flows, before and after the first
	// fault; OfTarget counts those whose target died.
	Planned, Unplanned, OfTarget int
	// Forgotten counts those of Unplanned that no balancer that is up had
	// seen on their target.
	Forgotten int
	// Crossed counts datagrams that reached another service.
	Crossed int
	// Silenced counts flows that were ended as silent, Refused datagrams
	// beyond a limit.
	Silenced, Refused int
	// Silent counts flows whose replies stopped for good.
	Silent int
	// Unopened counts flows whose first datagrams reached no target.
	Unopened int
	// LateNew counts flows opened on a target later than 3 s after its drain.
	LateNew int
	// Held counts datagrams of open flows that waited for a decision.
	Held int
}

// step is the grain of the simulated traffic.
const step = 20 * time.Millisecond

// NewFlowSimulation returns a fleet in which every balancer has the first epoch.
func NewFlowSimulation(cfg FlowSimulationConfig) *FlowSimulation {
	f := &FlowSimulation{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x5eed)),
		dead: make(map[flow.TargetID]bool),
	}
	f.ctl = newFlowControl(f)
	for i := range cfg.Balancers {
		f.addHost(i, flow.Active)
	}
	f.ctl.publish(f.ctl.config)
	f.traffic = newFlowTraffic(f)
	if cfg.Rebalance > 0 {
		f.every(cfg.Rebalance, f.ctl.rebalance)
	}
	f.every(time.Second, f.ctl.watch)
	return f
}

// Run lets virtual time pass until end.
func (f *FlowSimulation) Run(end time.Duration) {
	for f.tl.Now() < end {
		f.tl.RunUntil(f.tl.Now() + step)
		f.traffic.step()
	}
}

// Now returns the virtual time.
func (f *FlowSimulation) Now() time.Duration { return f.tl.Now() }

func (f *FlowSimulation) every(d time.Duration, run func()) {
	f.tl.After(d, func() {
		run()
		f.every(d, run)
	})
}

func (f *FlowSimulation) addHost(i int, state flow.State) *flowHost {
	h := &flowHost{
		fleet: f, name: fmt.Sprintf("b%d", i), domain: f.domain(i), state: state, life: 1,
		reachable: true,
	}
	h.boot()
	f.hosts = append(f.hosts, h)
	if state == flow.Active {
		f.sprayed = append(f.sprayed, h)
	}
	return h
}

func (f *FlowSimulation) domain(i int) string {
	return fmt.Sprintf("d%d", i%f.cfg.Domains)
}

// delay returns the one-way delay between two domains, and false for a message
// that is lost.
func (f *FlowSimulation) delay(a, b string, reliable bool) (time.Duration, bool) {
	if f.parted(a, b) {
		return 0, false
	}
	d := f.cfg.IntraDomainDelay
	if a != b {
		d = f.cfg.InterDomainDelay
		if f.cfg.Jitter > 0 {
			d += time.Duration(f.rng.Int64N(int64(f.cfg.Jitter)))
		}
		if !reliable && f.rng.Float64() < f.cfg.Loss {
			return 0, false
		}
	}
	return d, true
}

// parted reports whether the domains are cut off from each other.
func (f *FlowSimulation) parted(a, b string) bool {
	return f.cut != "" && a != b && (a == f.cut || b == f.cut)
}

// host returns the balancer called name.
func (f *FlowSimulation) host(name string) *flowHost {
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (f *FlowSimulation) unspray(h *flowHost) {
	for i, o := range f.sprayed {
		if o == h {
			f.sprayed = append(f.sprayed[:i:i], f.sprayed[i+1:]...)
			return
		}
	}
}

// Services of the fleet and their addresses.
func serviceName(i int) string { return fmt.Sprintf("s%d", i) }

func serviceAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 5000)
}

func (f *FlowSimulation) newService(i, targets int) service.Service {
	s := service.Service{
		Name:      serviceName(i),
		Addresses: []service.Address{{AddrPort: serviceAddress(i), Mode: service.ModeFlow}},
	}
	for j := range targets {
		s.Pool = append(s.Pool, f.newTarget(i, j))
	}
	return s
}

func (f *FlowSimulation) newTarget(i, j int) service.Target {
	return service.Target{
		Name: fmt.Sprintf("t%d", j), Weight: 1, Slots: 2, Domain: f.domain(j),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i + 1), byte(j >> 8), byte(j)}), 9000),
	}
}
