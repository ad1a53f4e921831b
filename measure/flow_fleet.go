package measure

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"wisteriaweir/flow"
	"wisteriaweir/service"
)

// FlowSimulationConfig describes a simulated fleet of balancers with its targets and
// callers.
type FlowSimulationConfig struct {
	// Seed seeds all random numbers of the run.
	Seed uint64
	// Strategy is the strategy of routing.
	Strategy FlowStrategy
	// Domains is the number of failure domains.
	Domains int
	// Balancers is the number of balancers, which are assigned to the domains in turn.
	Balancers int
	// TargetsPerService holds the number of targets of each service.
	TargetsPerService []int
	// FlowsPerTarget is the number of open flows for each target.
	FlowsPerTarget int
	// InterDomainDelay and IntraDomainDelay are the one-way delays between and within
	// failure domains.
	InterDomainDelay, IntraDomainDelay time.Duration
	// MeanPacketInterval is the mean time between two datagrams of a flow.
	MeanPacketInterval time.Duration
	// MeanFlowLifetime is the mean lifetime of a flow that ends; PermanentRatio is the
	// fraction of flows that never end.
	MeanFlowLifetime time.Duration
	PermanentRatio   float64
	// MaxUpdateDelay is the longest delay with which a new epoch reaches a balancer.
	MaxUpdateDelay time.Duration
	// LossRatio is the fraction of messages lost between failure domains, MaxJitter the
	// largest additional delay there.
	LossRatio float64
	MaxJitter time.Duration
	// RebalanceInterval is the time between changes of the shares; 0 disables them.
	RebalanceInterval time.Duration
	// MisreportsLoad makes the load reports of targets independent of their load.
	MisreportsLoad bool
	// MaxFlows is the limit of flows of each shard.
	MaxFlows int
}

// FlowSimulation runs the flow routing of many balancers in virtual time. Services are
// identified by their index in FlowSimulationConfig.TargetsPerService, targets by their
// index in the pool of a service.
type FlowSimulation struct {
	cfg   FlowSimulationConfig
	rng   *rand.Rand
	tl    Timeline
	hosts []*flowHost
	// inFabric holds the balancers over which the fabric distributes datagrams.
	inFabric []*flowHost
	ctl      flowController
	traffic  flowTraffic
	// deadTargets holds the targets that have stopped.
	deadTargets map[flow.TargetID]bool
	// partitionedDomain is the failure domain that is partitioned from the others, if
	// any.
	partitionedDomain string
	// hasFaults is set from the first fault on.
	hasFaults bool
	// Count holds the counts since the start of the run.
	Count FlowCount
}

// FlowCount holds the counts of a run.
type FlowCount struct {
	// Opened counts opened flows, Packets sent datagrams, Lost datagrams to targets
	// that have stopped or are behind a partition, and Hops datagrams forwarded to
	// another balancer.
	Opened, Packets, Lost, Hops int
	// Planned counts the flows broken before the first fault and Unplanned those
	// broken after it. OfTarget counts the broken flows whose target had stopped; they
	// are counted neither in Planned nor in Unplanned.
	Planned, Unplanned, OfTarget int
	// Forgotten counts the flows in Unplanned whose target is not known to any running
	// balancer.
	Forgotten int
	// Crossed counts datagrams that were routed to a target of another service or to
	// one that was never configured.
	Crossed int
	// Silenced counts resets of flows without replies. Refused counts datagrams that
	// were dropped because a shard or a caller had reached its limit of flows.
	Silenced, Refused int
	// Silent counts flows whose replies stopped for good.
	Silent int
	// Unopened counts the flows that broke before a datagram reached a target.
	Unopened int
	// LateNew counts the flows opened on a target more than drainGrace after its drain
	// began.
	LateNew int
	// Held counts datagrams of open flows that were dropped because the tables of the
	// live epochs assigned different targets to the flow.
	Held int
}

// trafficStep is the time step of the simulated traffic.
const trafficStep = 20 * time.Millisecond

// NewFlowSimulation returns a simulation in which every balancer has the first epoch.
func NewFlowSimulation(cfg FlowSimulationConfig) *FlowSimulation {
	f := &FlowSimulation{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x5eed)),
		deadTargets: make(map[flow.TargetID]bool),
	}
	f.ctl = newFlowController(f)
	for i := range cfg.Balancers {
		f.addHost(i, flow.Active)
	}
	f.ctl.publish(f.ctl.config)
	f.traffic = newFlowTraffic(f)
	if cfg.RebalanceInterval > 0 {
		f.repeatEvery(cfg.RebalanceInterval, f.ctl.rebalance)
	}
	f.repeatEvery(time.Second, f.ctl.updateMembers)
	return f
}

// Run advances the virtual time to end, or to the first multiple of 20 ms after it.
func (f *FlowSimulation) Run(end time.Duration) {
	for f.tl.Now() < end {
		f.tl.RunUntil(f.tl.Now() + trafficStep)
		f.traffic.step()
	}
}

// Now returns the virtual time since the start.
func (f *FlowSimulation) Now() time.Duration { return f.tl.Now() }

// repeatEvery calls run each d, for the first time after d.
func (f *FlowSimulation) repeatEvery(d time.Duration, run func()) {
	f.tl.After(d, func() {
		run()
		f.repeatEvery(d, run)
	})
}

// addHost starts balancer i; an active one receives datagrams from the fabric at once.
func (f *FlowSimulation) addHost(i int, state flow.State) *flowHost {
	h := &flowHost{
		sim: f, name: fmt.Sprintf("b%d", i), domain: f.domainOf(i), state: state, life: 1,
		isReachable: true,
	}
	h.start()
	f.hosts = append(f.hosts, h)
	if state == flow.Active {
		f.inFabric = append(f.inFabric, h)
	}
	return h
}

func (f *FlowSimulation) domainOf(i int) string {
	return fmt.Sprintf("d%d", i%f.cfg.Domains)
}

// delay returns the one-way delay between two domains, and false for a message that is
// lost. A reliable message is lost only between partitioned domains.
func (f *FlowSimulation) delay(a, b string, reliable bool) (time.Duration, bool) {
	if f.isPartitioned(a, b) {
		return 0, false
	}
	d := f.cfg.IntraDomainDelay
	if a != b {
		d = f.cfg.InterDomainDelay
		if f.cfg.MaxJitter > 0 {
			d += time.Duration(f.rng.Int64N(int64(f.cfg.MaxJitter)))
		}
		if !reliable && f.rng.Float64() < f.cfg.LossRatio {
			return 0, false
		}
	}
	return d, true
}

// isPartitioned reports whether two domains cannot reach each other.
func (f *FlowSimulation) isPartitioned(a, b string) bool {
	return f.partitionedDomain != "" && a != b && (a == f.partitionedDomain || b == f.partitionedDomain)
}

// host returns the balancer with a name, or nil.
func (f *FlowSimulation) host(name string) *flowHost {
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// removeFromFabric stops the distribution of datagrams to a balancer.
func (f *FlowSimulation) removeFromFabric(h *flowHost) {
	for i, o := range f.inFabric {
		if o == h {
			f.inFabric = append(f.inFabric[:i:i], f.inFabric[i+1:]...)
			return
		}
	}
}

// serviceName returns the name of the i-th service.
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
		Name: fmt.Sprintf("t%d", j), Weight: 1, Slots: 2, Domain: f.domainOf(j),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i + 1), byte(j >> 8), byte(j)}), 9000),
	}
}
