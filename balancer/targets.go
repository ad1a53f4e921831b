package balancer

import (
	"maps"
	"slices"
	"time"

	"wisteriaweir/fleet"
	"wisteriaweir/flow"
	"wisteriaweir/request"
	"wisteriaweir/service"
	"wisteriaweir/target"
)

// targets holds the local view of the targets of every service. It belongs to
// the control goroutine.
type targets struct {
	c     *control
	pools map[string]*target.Pool
	// names maps the target identifiers of flow tables to the names of targets
	// and their services.
	names map[flow.TargetID]targetName
	// aggregator combines the opinions of the balancers of the domain. It is
	// nil unless this balancer holds the lease of its domain.
	aggregator *target.HealthAggregator
	// fence is the fencing number of the lease for which aggregator was created.
	fence uint64
	// aggregated holds, by balancer, what was last passed to the aggregator.
	aggregated map[string]aggregatedReport
	// agreedHealth is the newest agreed health of the local domain: that of the
	// fleet state until the aggregator publishes another.
	agreedHealth target.Health
	nextTickAt   time.Duration
	// datagramCounts sums up the datagram counts of all flow workers until
	// nextEvaluationAt.
	datagramCounts map[flow.TargetID]datagramCounts
	// excluded holds the targets that get no new flows from this balancer; see
	// updateExcluded.
	excluded         map[flow.TargetID]bool
	nextEvaluationAt time.Duration
}

// targetName identifies a target of a service.
type targetName struct {
	service string
	target  string
}

func newTargets(c *control) *targets {
	return &targets{
		c:              c,
		pools:          make(map[string]*target.Pool),
		names:          make(map[flow.TargetID]targetName),
		datagramCounts: make(map[flow.TargetID]datagramCounts),
	}
}

// applyFleet applies a newer state of the fleet.
func (t *targets) applyFleet(f fleet.Fleet, cfg service.Config) {
	t.names = make(map[flow.TargetID]targetName)
	for _, s := range cfg.Services {
		if _, ok := t.pools[s.Name]; !ok {
			t.pools[s.Name] = target.NewPool(target.Config{Domain: t.c.b.self.Domain})
		}
		t.handle(s.Name, target.ServiceConfigured{Number: cfg.Number, Service: s})
		for _, h := range f.Health {
			t.handle(s.Name, target.HealthUpdated{Health: h})
		}
		for _, x := range s.Pool {
			t.names[flow.NewTargetID(s.Name, x.Name)] = targetName{service: s.Name, target: x.Name}
		}
	}
	maps.DeleteFunc(t.pools, func(name string, _ *target.Pool) bool {
		_, ok := cfg.Service(name)
		return !ok
	})
}

// handle passes an event to the target pool of a service and executes the
// effects.
func (t *targets) handle(serviceName string, e target.Event) {
	p, ok := t.pools[serviceName]
	if !ok {
		return
	}
	for _, effect := range p.Handle(t.c.b.now(), e) {
		switch e := effect.(type) {
		case target.PublishShares:
			t.c.b.requests.enqueue(t.usableConfig())
		case target.StateChanged:
			t.c.b.log.WithField("service", serviceName).WithField("target", e.Target).
				WithField("from", e.From.String()).WithField("to", e.To.String()).Info("target changed")
		case target.PublishTable:
			// Flow tables are computed from the fleet state, alike on all balancers.
		}
	}
}

// usableConfig returns the effective configuration in which each target has the
// number of slots that the local view allows. For a target that may use only a
// fraction of a slot, it contains a slot idle time: the time that the slot stays
// idle after each response.
func (t *targets) usableConfig() request.ConfigChanged {
	services := make([]service.Service, len(t.c.effectiveConfig.Services))
	idleTimes := make(map[request.TargetKey]time.Duration)
	for i, s := range t.c.effectiveConfig.Services {
		services[i] = s
		if p, ok := t.pools[s.Name]; ok {
			services[i].Pool = usablePool(s.Pool, p.Shares())
			addSlotIdleTimes(idleTimes, p.Shares())
		}
	}
	return request.ConfigChanged{Config: t.c.effectiveConfig.WithServices(services), SlotIdleTimes: idleTimes}
}

// addSlotIdleTimes adds the slot idle times of the targets that get less than
// their full share.
func addSlotIdleTimes(idleTimes map[request.TargetKey]time.Duration, shares target.Shares) {
	for i := range shares.Len() {
		if x := shares.At(i); x.SlotIdleTime > 0 {
			idleTimes[request.TargetKey{Service: shares.Service, Target: x.Target.Name}] = x.SlotIdleTime
		}
	}
}

// usablePool returns the targets with the numbers of slots that their shares
// allow. It marks ineligible targets as draining.
func usablePool(pool []service.Target, shares target.Shares) []service.Target {
	out := slices.Clone(pool)
	for i, x := range out {
		share, ok := shares.Find(x.Name)
		switch {
		case !ok:
		case share.IsEligible():
			out[i].Slots = share.Slots()
		default:
			out[i].Draining = true
		}
	}
	return out
}

// handleObservation passes what the traffic showed about a target to the target
// pool of its service.
func (t *targets) handleObservation(n targetName, e target.Event) {
	t.handle(n.service, e)
}

// tick evaluates the observations of targets once per target.MaxTickInterval
// and, on the lease holder, runs the aggregator.
func (t *targets) tick() {
	now := t.c.b.now()
	if now < t.nextTickAt {
		return
	}
	t.nextTickAt = now + target.MaxTickInterval
	t.evaluateFlows(now)
	t.c.updateGauges()
	for name := range t.pools {
		t.handle(name, target.Tick{})
	}
	t.updateExcluded()
	t.runAggregator(now)
}

// updateExcluded determines the targets that get no new flows from this
// balancer: those of failure domains whose balancers are all unreachable. A
// target that only this balancer considers failing is not excluded, since other
// balancers may know its flows.
func (t *targets) updateExcluded() {
	reachableDomains := t.c.members.domainReachability()
	excluded := make(map[flow.TargetID]bool)
	for _, s := range t.c.effectiveConfig.Services {
		for _, x := range s.Pool {
			if isReachable, known := reachableDomains[x.Domain]; known && !isReachable {
				excluded[flow.NewTargetID(s.Name, x.Name)] = true
			}
		}
	}
	if !maps.Equal(excluded, t.excluded) {
		t.excluded = excluded
		t.c.updateReachability()
	}
}

// opinions returns what this balancer itself has observed of all targets.
func (t *targets) opinions() []target.Opinion {
	var out []target.Opinion
	for _, s := range t.c.config.Services {
		if p, ok := t.pools[s.Name]; ok {
			out = append(out, p.LocalOpinions(t.c.b.now())...)
		}
	}
	return out
}

// applyOpinions passes all opinions of a balancer of the local domain to the
// aggregator, where they replace the earlier ones.
func (t *targets) applyOpinions(name string, opinions []target.Opinion) {
	if t.aggregator != nil {
		delete(t.aggregated, name)
		t.aggregator.Handle(t.c.b.now(), target.OpinionsReplaced{Member: name, Opinions: opinions})
	}
}

// aggregatedReport records which opinions of a balancer were last passed to the
// aggregator.
type aggregatedReport struct {
	// life is the instance of the balancer.
	life      uint64
	delivered target.DeliveredOpinions
}

// applyReport passes the newest opinion report of another balancer of the local
// domain to the aggregator.
func (t *targets) applyReport(name string, h *memberObservations, cfg service.Config) {
	if t.aggregator == nil {
		return
	}
	last := t.aggregated[name]
	if last.life != h.life || !t.aggregator.HasOpinions(name) {
		last = aggregatedReport{life: h.life}
	}
	e, delivered, ok := h.assembler.NextEvent(name, cfg, last.delivered)
	if !ok {
		t.c.b.log.WithField("from", name).Warn("opinion report does not match its configuration")
		return
	}
	t.aggregator.Handle(t.c.b.now(), e)
	t.aggregated[name] = aggregatedReport{life: h.life, delivered: delivered}
}

// runAggregator passes the local opinions, the configuration and a Tick to the
// aggregator of the domain while this balancer holds the lease. It creates the
// aggregator only once a configuration is known, because the aggregator treats
// targets that are added to its first configuration as new ones.
func (t *targets) runAggregator(now time.Duration) {
	fence, holding := t.c.leaseRunner.holding()
	if !holding || t.c.config.Number == 0 {
		t.aggregator = nil
		return
	}
	if t.aggregator == nil || t.fence != fence {
		t.fence = fence
		t.aggregated = make(map[string]aggregatedReport)
		t.agreedHealth = t.c.fleet.HealthOf(t.c.b.self.Domain)
		t.aggregator = target.NewHealthAggregator(target.HealthAggregatorConfig{
			Domain:   t.c.b.self.Domain,
			Fence:    fence,
			Previous: t.agreedHealth,
		})
	}
	t.applyOpinions(t.c.b.self.Name, t.opinions())
	effects := t.aggregator.Handle(now, target.ConfigChanged{Config: t.c.config})
	effects = append(effects, t.aggregator.Handle(now, target.Tick{})...)
	for _, effect := range effects {
		if e, ok := effect.(target.PublishHealth); ok {
			t.agreedHealth = e.Health
		}
	}
}

// tableShares returns the shares of the flow tables, which every balancer
// computes alike from the fleet state.
func tableShares(f fleet.Fleet, cfg service.Config) map[flow.TargetID]int {
	agreed := healthByDomain(f)
	out := make(map[flow.TargetID]int)
	for _, s := range cfg.Services {
		table := target.AgreedShares(cfg.Number, s, agreed)
		ratios := f.SharesOf(s.Name)
		for i := range table.Len() {
			x := table.At(i)
			ratio := ratios.Ratio(x.Target.Name)
			out[flow.NewTargetID(s.Name, x.Target.Name)] = x.Weight() * ratio / int(target.LevelFull)
		}
	}
	return out
}

// healthByDomain returns the agreed health of each failure domain.
func healthByDomain(f fleet.Fleet) map[string]target.Health {
	agreed := make(map[string]target.Health, len(f.Health))
	for _, h := range f.Health {
		agreed[h.Domain] = h
	}
	return agreed
}
