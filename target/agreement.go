package target

import (
	"slices"
	"time"

	"wisteriaweir/service"
)

// HealthAggregatorConfig holds the settings of a HealthAggregator.
type HealthAggregatorConfig struct {
	// Domain is the failure domain whose lease this process holds.
	Domain string
	// Fence is the fencing number of the lease.
	Fence uint64
	// Previous is the last health that an earlier lease holder published.
	Previous Health
}

// HealthAggregatorEvent is an input of a HealthAggregator: ConfigChanged,
// OpinionsReplaced, OpinionsChanged, OpinionsUnchanged or Tick.
type HealthAggregatorEvent interface {
	aggregatorEvent()
}

// ConfigChanged carries a new configuration.
type ConfigChanged struct {
	Config service.Config
}

// OpinionsReplaced carries all opinions of one balancer of the domain.
type OpinionsReplaced struct {
	Member   string
	Opinions []Opinion
}

// OpinionsUnchanged reports that the opinions of a balancer are the same as in its
// last event.
type OpinionsUnchanged struct {
	Member string
}

// OpinionsChanged carries the differences from a balancer's last opinions.
type OpinionsChanged struct {
	Member string
	// Opinions are the new opinions and those with another level.
	Opinions []Opinion
	// Withdrawn are the opinions that the balancer no longer has.
	Withdrawn []Opinion
}

func (ConfigChanged) aggregatorEvent()     {}
func (OpinionsReplaced) aggregatorEvent()  {}
func (OpinionsChanged) aggregatorEvent()   {}
func (OpinionsUnchanged) aggregatorEvent() {}
func (Tick) aggregatorEvent()              {}

// HealthAggregatorEffect is an output of a HealthAggregator.
type HealthAggregatorEffect interface {
	aggregatorEffect()
}

// PublishHealth carries a new agreed health, to be written to the status object of
// the domain and sent to every balancer.
type PublishHealth struct {
	Health Health
}

func (PublishHealth) aggregatorEffect() {}

// opinionMaxAge is the age from which on the opinions of a balancer are ignored.
const opinionMaxAge = 5 * time.Second

// minCompacted is the minimum number of removed targets whose vote counts are
// released at one time.
const minCompacted = 1024

// HealthAggregator combines the opinions of a failure domain's balancers into the
// agreed health of its targets. It runs at the holder of the domain's lease, for
// as long as that process holds the lease.
type HealthAggregator struct {
	cfg HealthAggregatorConfig
	// health is the health that was last published, at first the previous one.
	health Health
	config service.Config
	// configured is set by the first configuration.
	configured bool
	// opinions has the last opinions of each balancer, by its name.
	opinions map[string]memberOpinions
	votes    *voteCounts
	// targets has the agreed levels of the domain's targets.
	targets map[targetKey]*agreedLevel
	// reach has the agreed levels at which the domain reaches other domains.
	reach map[string]*agreedLevel
	// startedAt is the time of the first Tick.
	startedAt time.Duration
	// ticked is set by the first Tick.
	ticked bool
	// hasSoleReporter is whether only one balancer has sent opinions in the last
	// opinionMaxAge. It is false for the first opinionMaxAge after startedAt, since the
	// other balancers may not have sent their first opinions yet.
	hasSoleReporter bool
}

// targetKey identifies a target by its service and its name.
type targetKey struct {
	service string
	target  string
}

// memberOpinions are the last opinions of one balancer.
type memberOpinions struct {
	receivedAt time.Duration
	// levels has a byte for each index of the vote counts: the level plus one, or
	// noOpinion. It may be shorter than the vote counts; the rest is noOpinion.
	levels []byte
}

// NewHealthAggregator returns an aggregator that starts from the previous health.
func NewHealthAggregator(cfg HealthAggregatorConfig) *HealthAggregator {
	a := &HealthAggregator{
		cfg:      cfg,
		health:   cfg.Previous,
		opinions: make(map[string]memberOpinions),
		votes:    newVoteCounts(),
		targets:  make(map[targetKey]*agreedLevel),
		reach:    make(map[string]*agreedLevel),
	}
	a.health.Domain, a.health.Fence = cfg.Domain, cfg.Fence
	return a
}

// Handle processes an event at the time now, which must not decrease from call to
// call. It returns the health if it has changed; events about opinions take effect on
// the health at the next Tick.
func (a *HealthAggregator) Handle(now time.Duration, e HealthAggregatorEvent) []HealthAggregatorEffect {
	switch e := e.(type) {
	case ConfigChanged:
		a.applyConfig(now, e.Config)
	case OpinionsReplaced:
		a.replaceOpinions(now, e)
		return nil
	case OpinionsChanged:
		a.changeOpinions(now, e)
		return nil
	case OpinionsUnchanged:
		a.refreshOpinions(now, e.Member)
		return nil
	case Tick:
		a.tick(now)
	}
	return a.publish()
}

// replaceOpinions replaces the opinions of a balancer.
func (a *HealthAggregator) replaceOpinions(now time.Duration, e OpinionsReplaced) {
	a.removeOpinions(e.Member)
	v := memberOpinions{receivedAt: now}
	for _, o := range e.Opinions {
		v.levels = a.votes.setOpinion(v.levels, o, byte(o.Level)+1)
	}
	a.opinions[e.Member] = v
}

// removeOpinions removes the opinions of a balancer and its votes.
func (a *HealthAggregator) removeOpinions(member string) {
	a.votes.removeAll(a.opinions[member].levels)
	delete(a.opinions, member)
}

// refreshOpinions sets the time at which the opinions of a balancer were received to now,
// if it has any.
func (a *HealthAggregator) refreshOpinions(now time.Duration, member string) {
	if v, ok := a.opinions[member]; ok {
		v.receivedAt = now
		a.opinions[member] = v
	}
}

// changeOpinions applies changes to the opinions of a balancer, if it has any.
func (a *HealthAggregator) changeOpinions(now time.Duration, e OpinionsChanged) {
	v, ok := a.opinions[e.Member]
	if !ok {
		return
	}
	for _, o := range e.Withdrawn {
		v.levels = a.votes.setOpinion(v.levels, o, noOpinion)
	}
	for _, o := range e.Opinions {
		v.levels = a.votes.setOpinion(v.levels, o, byte(o.Level)+1)
	}
	v.receivedAt = now
	a.opinions[e.Member] = v
}

// HasOpinions reports whether opinions of a balancer are stored, so that
// OpinionsChanged and OpinionsUnchanged take effect.
func (a *HealthAggregator) HasOpinions(member string) bool {
	_, ok := a.opinions[member]
	return ok
}

// applyConfig replaces the set of targets by those of the configuration. A target
// that the former configuration did not have starts at MinLevel.
func (a *HealthAggregator) applyConfig(now time.Duration, cfg service.Config) {
	targets := make(map[targetKey]*agreedLevel)
	reach := make(map[string]*agreedLevel)
	for _, s := range cfg.Services {
		for _, t := range s.Pool {
			k := targetKey{s.Name, t.Name}
			if t.Domain != a.cfg.Domain {
				reach[t.Domain] = a.agreedReachLevel(now, t.Domain)
				continue
			}
			targets[k] = a.agreedTargetLevel(now, k)
		}
	}
	a.config, a.configured = cfg, true
	a.targets, a.reach = targets, reach
	a.compact()
}

// compact releases the vote counts of targets that are no longer configured, once
// they outnumber the configured ones by more than minCompacted.
func (a *HealthAggregator) compact() {
	var declared []targetKey
	for _, s := range a.config.Services {
		for _, t := range s.Pool {
			declared = append(declared, targetKey{s.Name, t.Name})
		}
	}
	if len(a.votes.votes) <= 2*len(declared)+minCompacted {
		return
	}
	old := a.votes
	a.votes = newVoteCounts()
	for m, v := range a.opinions {
		levels := v.levels
		v.levels = nil
		for _, k := range declared {
			if b := old.opinionByte(levels, k); b != noOpinion {
				v.levels = a.votes.setOpinionByte(v.levels, k, b)
			}
		}
		a.opinions[m] = v
	}
}

// agreedTargetLevel returns the agreed level of a target. A target that is new in the first
// configuration starts with the previous health, any other new one at MinLevel.
func (a *HealthAggregator) agreedTargetLevel(now time.Duration, k targetKey) *agreedLevel {
	if g, ok := a.targets[k]; ok {
		return g
	}
	if a.configured {
		return &agreedLevel{level: MinLevel, changedAt: now}
	}
	return &agreedLevel{level: a.health.Level(k.service, k.target), changedAt: now}
}

// agreedReachLevel returns the agreed level of the reach of another domain.
func (a *HealthAggregator) agreedReachLevel(now time.Duration, domain string) *agreedLevel {
	if g, ok := a.reach[domain]; ok {
		return g
	}
	return &agreedLevel{level: a.health.ReachLevel(domain), changedAt: now}
}

// tick removes expired opinions and updates all agreed levels.
func (a *HealthAggregator) tick(now time.Duration) {
	if !a.ticked {
		a.ticked, a.startedAt = true, now
	}
	for m, v := range a.opinions {
		if now-v.receivedAt >= opinionMaxAge {
			a.removeOpinions(m)
		}
	}
	a.hasSoleReporter = len(a.opinions) == 1 && now-a.startedAt >= opinionMaxAge
	for _, s := range a.config.Services {
		a.updateService(now, s)
	}
	counts := a.countDomains()
	for domain, g := range a.reach {
		g.update(now, counts.wantedReachLevel(domain), true)
	}
}

// updateService updates the agreed levels of the domain's targets of one service. While
// more targets are excluded than the cap allows, it raises to MinLevel those that have
// been excluded for at least minRiseInterval.
func (a *HealthAggregator) updateService(now time.Duration, s service.Service) {
	for _, t := range s.Pool {
		k := targetKey{s.Name, t.Name}
		if g, ok := a.targets[k]; ok {
			v := a.votes.votesFor(k)
			g.update(now, v.wantedLevel(g.level, a.hasSoleReporter), a.mayExclude(s, 1))
		}
	}
	for _, t := range s.Pool {
		g, ok := a.targets[targetKey{s.Name, t.Name}]
		if ok && g.level == LevelNone && now-g.changedAt >= minRiseInterval && !a.mayExclude(s, 0) {
			g.set(now, MinLevel)
		}
	}
}

// mayExclude reports whether the ejection cap allows the number of targets of s in this
// domain that are excluded now, plus the given number of additional ones.
func (a *HealthAggregator) mayExclude(s service.Service, additional int) bool {
	var n, excluded, responsive int
	for _, t := range s.Pool {
		k := targetKey{s.Name, t.Name}
		g, ok := a.targets[k]
		if !ok || t.Draining {
			continue
		}
		n++
		v := a.votes.votesFor(k)
		switch {
		case g.level == LevelNone:
			excluded++
		case v.healthy > v.unhealthy:
			responsive++
		}
	}
	return n == 0 || ejectionAllowed(n, excluded+additional, responsive)
}

// domainCounts counts the targets of all services by failure domain.
type domainCounts struct {
	// failing counts the targets for which votes.isFailing is true.
	// responding counts the other targets that respond to at least one balancer.
	// responsive counts the targets that respond to most of the balancers that report on
	// them.
	failing, responding, responsive map[string]int
	// totalResponsive is the sum of responsive over all domains.
	totalResponsive int
}

// countDomains counts the targets by the votes about them.
func (a *HealthAggregator) countDomains() domainCounts {
	c := domainCounts{failing: make(map[string]int), responding: make(map[string]int), responsive: make(map[string]int)}
	for _, s := range a.config.Services {
		for _, t := range s.Pool {
			v := a.votes.votesFor(targetKey{s.Name, t.Name})
			switch {
			case v.isFailing(a.hasSoleReporter):
				c.failing[t.Domain]++
			case v.healthy > 0:
				c.responding[t.Domain]++
			}
			if v.healthy > v.unhealthy {
				c.responsive[t.Domain]++
				c.totalResponsive++
			}
		}
	}
	return c
}

// wantedReachLevel returns the wanted level for the reach of another domain. It is
// LevelNone if some targets of that domain fail and none responds, while targets of
// other domains are responsive.
func (c domainCounts) wantedReachLevel(domain string) Level {
	responsiveElsewhere := c.totalResponsive - c.responsive[domain]
	if c.failing[domain] > 0 && c.responding[domain] == 0 && responsiveElsewhere > 0 {
		return LevelNone
	}
	return LevelFull
}

// publish returns the health if it has changed and a configuration is known.
func (a *HealthAggregator) publish() []HealthAggregatorEffect {
	h := Health{Domain: a.cfg.Domain, Fence: a.cfg.Fence, Number: a.health.Number}
	for k, g := range a.targets {
		if g.level != LevelFull {
			h.Records = append(h.Records, Record{Service: k.service, Target: k.target, Level: g.level})
		}
	}
	slices.SortFunc(h.Records, compareRecords)
	for domain, g := range a.reach {
		h = h.WithReach(domain, g.level)
	}
	if !a.configured || slices.Equal(h.Records, a.health.Records) && slices.Equal(h.Reach, a.health.Reach) {
		return nil
	}
	h.Number++
	a.health = h
	return []HealthAggregatorEffect{PublishHealth{Health: h}}
}
