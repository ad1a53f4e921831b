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

// targets keeps what this balancer believes about the targets of every
// service. It belongs to the control goroutine.
type targets struct {
	c     *control
	pools map[string]*target.Pool
	// names finds the service and target of a flow table's entry.
	names map[flow.TargetID]targetName
	// agreement runs while this balancer holds the lease of its domain.
	agreement *target.HealthAggregator
	fence     uint64
	// voiced tells what the agreement has heard of each balancer.
	voiced map[string]voiced
	health target.Health
	next   time.Duration
	// tallies sums up what all lanes saw of flows until judges.
	tallies map[flow.TargetID]flowTally
	// excluded are the targets that cannot be reached.
	excluded map[flow.TargetID]bool
	judges   time.Duration
}

type targetName struct {
	service string
	target  string
}

func newTargets(c *control) *targets {
	return &targets{
		c:       c,
		pools:   make(map[string]*target.Pool),
		names:   make(map[flow.TargetID]targetName),
		tallies: make(map[flow.TargetID]flowTally),
	}
}

// adopted takes a newer state of the fleet.
func (t *targets) adopted(f fleet.Fleet, cfg service.Config) {
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

// handle gives the pool of a service an event.
func (t *targets) handle(name string, e target.Event) {
	p, ok := t.pools[name]
	if !ok {
		return
	}
	for _, effect := range p.Handle(t.c.b.now(), e) {
		switch e := effect.(type) {
		case target.PublishShares:
			t.c.b.requests.must(t.usable())
		case target.Changed:
			t.c.b.log.WithField("service", name).WithField("target", e.Target).
				WithField("from", e.From.String()).WithField("to", e.To.String()).Info("target changed")
		case target.PublishTable:
			// Tables come with the numbered state of the fleet, alike everywhere.
		}
	}
}

// usable returns the configuration with the slots that this balancer's own
// view leaves to each target, and the gaps that leave it a part of a slot.
func (t *targets) usable() request.ConfigChanged {
	services := make([]service.Service, len(t.c.served.Services))
	gaps := make(map[request.TargetKey]time.Duration)
	for i, s := range t.c.served.Services {
		services[i] = s
		if p, ok := t.pools[s.Name]; ok {
			services[i].Pool = usablePool(s.Pool, p.Shares())
			addGaps(gaps, p.Shares())
		}
	}
	return request.ConfigChanged{Config: t.c.served.WithServices(services), SlotIdleTimes: gaps}
}

// addGaps adds the gaps of the targets that get less than their whole share.
func addGaps(gaps map[request.TargetKey]time.Duration, shares target.Shares) {
	for i := range shares.Len() {
		if x := shares.At(i); x.SlotIdleTime > 0 {
			gaps[request.TargetKey{Service: shares.Service, Target: x.Target.Name}] = x.SlotIdleTime
		}
	}
}

// usablePool returns the targets with the slots that the shares leave to them.
func usablePool(pool []service.Target, shares target.Shares) []service.Target {
	out := slices.Clone(pool)
	for i, x := range out {
		share, ok := shares.Find(x.Name)
		switch {
		case !ok:
		case share.Eligible():
			out[i].Slots = share.Slots()
		default:
			out[i].Drain = true
		}
	}
	return out
}

// observed takes what the traffic lanes saw of a target.
func (t *targets) observed(n targetName, e target.Event) {
	t.handle(n.service, e)
}

// tick lets time pass, and lets the holder of the lease agree.
func (t *targets) tick() {
	now := t.c.b.now()
	if now < t.next {
		return
	}
	t.next = now + target.MaxTickInterval
	t.judgeFlows(now)
	t.c.measure()
	for name := range t.pools {
		t.handle(name, target.Tick{})
	}
	t.exclude()
	t.agree(now)
}

// exclude tells the generations which targets get nothing new from here: those
// of failure domains without a balancer that can be reached. A target that only
// this balancer finds failing stays, since its flows may be known elsewhere.
func (t *targets) exclude() {
	reached := t.c.members.reachedDomains()
	excluded := make(map[flow.TargetID]bool)
	for _, s := range t.c.served.Services {
		for _, x := range s.Pool {
			if up, known := reached[x.Domain]; known && !up {
				excluded[flow.NewTargetID(s.Name, x.Name)] = true
			}
		}
	}
	if !maps.Equal(excluded, t.excluded) {
		t.excluded = excluded
		t.c.reach()
	}
}

// opinions returns what this balancer has seen of all targets for itself.
func (t *targets) opinions() []target.Opinion {
	var out []target.Opinion
	for _, s := range t.c.config.Services {
		if p, ok := t.pools[s.Name]; ok {
			out = append(out, p.Opinions(t.c.b.now())...)
		}
	}
	return out
}

// opined takes the opinions of another balancer of the own domain.
func (t *targets) opined(name string, opinions []target.Opinion) {
	if t.agreement != nil {
		delete(t.voiced, name)
		t.agreement.Handle(t.c.b.now(), target.OpinionsReplaced{Member: name, Opinions: opinions})
	}
}

// voiced is what the agreement was told of a life of a balancer.
type voiced struct {
	life uint64
	told target.DeliveredOpinions
}

// reported takes what another balancer of the own domain has seen, as its
// newest report has it.
func (t *targets) reported(name string, h *sighting, cfg service.Config) {
	if t.agreement == nil {
		return
	}
	v := t.voiced[name]
	if v.life != h.life || !t.agreement.HasOpinions(name) {
		v = voiced{life: h.life}
	}
	e, told, ok := h.listener.NextEvent(name, cfg, v.told)
	if !ok {
		t.c.b.log.WithField("from", name).Warn("report about targets does not fit its configuration")
		return
	}
	t.agreement.Handle(t.c.b.now(), e)
	t.voiced[name] = voiced{life: h.life, told: told}
}

// agree runs the agreement of the domain while the lease is held. It begins with
// a configuration, since a target that is declared later is a new one.
func (t *targets) agree(now time.Duration) {
	fence, holding := t.c.lease.holding()
	if !holding || t.c.config.Number == 0 {
		t.agreement = nil
		return
	}
	if t.agreement == nil || t.fence != fence {
		t.fence = fence
		t.voiced = make(map[string]voiced)
		t.health = t.c.fleet.HealthOf(t.c.b.self.Domain)
		t.agreement = target.NewHealthAggregator(target.HealthAggregatorConfig{
			Domain:   t.c.b.self.Domain,
			Fence:    fence,
			Previous: t.health,
		})
	}
	t.opined(t.c.b.self.Name, t.opinions())
	effects := t.agreement.Handle(now, target.ConfigChanged{Config: t.c.config})
	effects = append(effects, t.agreement.Handle(now, target.Tick{})...)
	for _, effect := range effects {
		if e, ok := effect.(target.PublishHealth); ok {
			t.health = e.Health
		}
	}
}

// tableShares returns the shares of the flow tables that every balancer computes
// alike from the state of the fleet.
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

// healthByDomain returns what each failure domain has agreed on.
func healthByDomain(f fleet.Fleet) map[string]target.Health {
	agreed := make(map[string]target.Health, len(f.Health))
	for _, h := range f.Health {
		agreed[h.Domain] = h
	}
	return agreed
}
