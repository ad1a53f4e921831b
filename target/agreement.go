package target

import (
	"slices"
	"time"

	"wisteriaweir/service"
)

// HealthAggregatorConfig builds a HealthAggregator.
type HealthAggregatorConfig struct {
	// Domain is the failure domain whose lease this process holds.
	Domain string
	// Fence is the fencing number of the lease.
	Fence uint64
	// Previous is the health that an earlier holder published last.
	Previous Health
}

// HealthAggregatorEvent is what a HealthAggregator is told. A Tick is one as well.
type HealthAggregatorEvent interface {
	agreementEvent()
}

// ConfigChanged carries the configuration.
type ConfigChanged struct {
	Config service.Config
}

// OpinionsReplaced carries every opinion of one balancer of the domain.
type OpinionsReplaced struct {
	Member   string
	Opinions []Opinion
}

// OpinionsUnchanged says that a balancer's opinions are what it said last.
type OpinionsUnchanged struct {
	Member string
}

// OpinionsChanged carries what changed of a balancer's opinions.
type OpinionsChanged struct {
	Member string
	// Opinions are new or have another level.
	Opinions []Opinion
	// Withdrawn are no opinions any more.
	Withdrawn []Opinion
}

func (ConfigChanged) agreementEvent()     {}
func (OpinionsReplaced) agreementEvent()  {}
func (OpinionsChanged) agreementEvent()   {}
func (OpinionsUnchanged) agreementEvent() {}
func (Tick) agreementEvent()              {}

// HealthAggregatorEffect is what a HealthAggregator wants done.
type HealthAggregatorEffect interface {
	agreementEffect()
}

// PublishHealth carries a new agreed health, for the status object of the
// domain and for every balancer.
type PublishHealth struct {
	Health Health
}

func (PublishHealth) agreementEffect() {}

// opinionMaxAge is the age from which on an opinion is ignored.
const opinionMaxAge = 5 * time.Second

// compactLeast is the least number of targets that are forgotten at one time.
const compactLeast = 1024

// HealthAggregator turns the opinions of a failure domain's balancers into its agreed
// health. It runs at the holder of the domain's lease, for one tenure.
type HealthAggregator struct {
	cfg      HealthAggregatorConfig
	health   Health
	declared service.Config
	known    bool
	voices   map[string]voice
	tally    *tally
	targets  map[key]*agreed
	reach    map[string]*agreed
	// startedAt is the time of the first Tick.
	startedAt time.Duration
	ticked    bool
	// alone is whether one balancer is all that was heard for opinionMaxAge.
	alone bool
}

type key struct {
	service string
	target  string
}

// voice is the last word of one balancer.
type voice struct {
	at time.Duration
	// levels has a byte for each slot of the tally: the level plus one, or 0 for
	// no opinion.
	levels []byte
}

// NewHealthAggregator returns an agreement that starts from the previous health.
func NewHealthAggregator(cfg HealthAggregatorConfig) *HealthAggregator {
	a := &HealthAggregator{
		cfg:     cfg,
		health:  cfg.Previous,
		voices:  make(map[string]voice),
		tally:   newTally(),
		targets: make(map[key]*agreed),
		reach:   make(map[string]*agreed),
	}
	a.health.Domain, a.health.Fence = cfg.Domain, cfg.Fence
	return a
}

// Handle takes an event at the time now, which never goes back.
func (a *HealthAggregator) Handle(now time.Duration, e HealthAggregatorEvent) []HealthAggregatorEffect {
	switch e := e.(type) {
	case ConfigChanged:
		a.declare(now, e.Config)
	case OpinionsReplaced:
		a.opined(now, e)
		return nil
	case OpinionsChanged:
		a.revised(now, e)
		return nil
	case OpinionsUnchanged:
		a.affirmed(now, e.Member)
		return nil
	case Tick:
		a.tick(now)
	}
	return a.publish()
}

func (a *HealthAggregator) opined(now time.Duration, e OpinionsReplaced) {
	a.silence(e.Member)
	v := voice{at: now}
	for _, o := range e.Opinions {
		v.levels = a.tally.set(v.levels, o, byte(o.Level)+1)
	}
	a.voices[e.Member] = v
}

// silence takes back the votes of a balancer.
func (a *HealthAggregator) silence(member string) {
	a.tally.drop(a.voices[member].levels)
	delete(a.voices, member)
}

// affirmed keeps the voice of a balancer, if it has one.
func (a *HealthAggregator) affirmed(now time.Duration, member string) {
	if v, ok := a.voices[member]; ok {
		v.at = now
		a.voices[member] = v
	}
}

// revised changes the voice of a balancer, if it has one.
func (a *HealthAggregator) revised(now time.Duration, e OpinionsChanged) {
	v, ok := a.voices[e.Member]
	if !ok {
		return
	}
	for _, o := range e.Withdrawn {
		v.levels = a.tally.set(v.levels, o, noOpinion)
	}
	for _, o := range e.Opinions {
		v.levels = a.tally.set(v.levels, o, byte(o.Level)+1)
	}
	v.at = now
	a.voices[e.Member] = v
}

// HasOpinions reports whether a balancer has a voice, so that it may be affirmed.
func (a *HealthAggregator) HasOpinions(member string) bool {
	_, ok := a.voices[member]
	return ok
}

// declare takes the targets of the configuration. One that was not there before
// starts with the least level.
func (a *HealthAggregator) declare(now time.Duration, cfg service.Config) {
	kept := make(map[key]*agreed)
	reach := make(map[string]*agreed)
	for _, s := range cfg.Services {
		for _, t := range s.Pool {
			k := key{s.Name, t.Name}
			if t.Domain != a.cfg.Domain {
				reach[t.Domain] = a.knownReach(now, t.Domain)
				continue
			}
			kept[k] = a.knownTarget(now, k)
		}
	}
	a.declared, a.known = cfg, true
	a.targets, a.reach = kept, reach
	a.compact()
}

// compact forgets targets of former configurations once they are the larger part.
func (a *HealthAggregator) compact() {
	var declared []key
	for _, s := range a.declared.Services {
		for _, t := range s.Pool {
			declared = append(declared, key{s.Name, t.Name})
		}
	}
	if len(a.tally.votes) <= 2*len(declared)+compactLeast {
		return
	}
	old := a.tally
	a.tally = newTally()
	for m, v := range a.voices {
		levels := v.levels
		v.levels = nil
		for _, k := range declared {
			if b := old.level(levels, k); b != noOpinion {
				v.levels = a.tally.put(v.levels, k, b)
			}
		}
		a.voices[m] = v
	}
}

func (a *HealthAggregator) knownTarget(now time.Duration, k key) *agreed {
	if g, ok := a.targets[k]; ok {
		return g
	}
	if a.known {
		return &agreed{level: MinLevel, changedAt: now}
	}
	return &agreed{level: a.health.Level(k.service, k.target), changedAt: now}
}

func (a *HealthAggregator) knownReach(now time.Duration, domain string) *agreed {
	if g, ok := a.reach[domain]; ok {
		return g
	}
	return &agreed{level: a.health.ReachLevel(domain), changedAt: now}
}

func (a *HealthAggregator) tick(now time.Duration) {
	if !a.ticked {
		a.ticked, a.startedAt = true, now
	}
	for m, v := range a.voices {
		if now-v.at >= opinionMaxAge {
			a.silence(m)
		}
	}
	a.alone = len(a.voices) == 1 && now-a.startedAt >= opinionMaxAge
	for _, s := range a.declared.Services {
		a.tickService(now, s)
	}
	s := a.sights()
	for domain, g := range a.reach {
		g.step(now, s.reach(domain), true)
	}
}

// tickService moves the levels of the domain's targets of one service.
func (a *HealthAggregator) tickService(now time.Duration, s service.Service) {
	for _, t := range s.Pool {
		k := key{s.Name, t.Name}
		if g, ok := a.targets[k]; ok {
			v := a.tally.of(k)
			g.step(now, v.wanted(g.level, a.alone), a.allowed(s, 1))
		}
	}
	for _, t := range s.Pool {
		g, ok := a.targets[key{s.Name, t.Name}]
		if ok && g.level == LevelNone && now-g.changedAt >= riseTime && !a.allowed(s, 0) {
			g.set(now, MinLevel)
		}
	}
}

// allowed reports whether more of the domain's targets of s may be held out.
func (a *HealthAggregator) allowed(s service.Service, more int) bool {
	var n, out, sound int
	for _, t := range s.Pool {
		k := key{s.Name, t.Name}
		g, ok := a.targets[k]
		if !ok || t.Drain {
			continue
		}
		n++
		v := a.tally.of(k)
		switch {
		case g.level == LevelNone:
			out++
		case v.good > v.bad:
			sound++
		}
	}
	return n == 0 || ejectionAllowed(n, out+more, sound)
}

// sights counts what is known of the targets, by failure domain.
type sights struct {
	// bad targets fail and good ones answer somebody, by domain; sound ones
	// answer most.
	bad, good, sound map[string]int
	// all counts the sound targets of all domains.
	all int
}

func (a *HealthAggregator) sights() sights {
	c := sights{bad: make(map[string]int), good: make(map[string]int), sound: make(map[string]int)}
	for _, s := range a.declared.Services {
		for _, t := range s.Pool {
			v := a.tally.of(key{s.Name, t.Name})
			switch {
			case v.failing(a.alone):
				c.bad[t.Domain]++
			case v.good > 0:
				c.good[t.Domain]++
			}
			if v.good > v.bad {
				c.sound[t.Domain]++
				c.all++
			}
		}
	}
	return c
}

// reach returns the level at which this domain wants to reach another: it is
// lost if all that is known of its targets is failure while others answer.
func (c sights) reach(domain string) Level {
	elsewhere := c.all - c.sound[domain]
	if c.bad[domain] > 0 && c.good[domain] == 0 && elsewhere > 0 {
		return LevelNone
	}
	return LevelFull
}

// publish tells of the health if it has changed.
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
	if !a.known || slices.Equal(h.Records, a.health.Records) && slices.Equal(h.Reach, a.health.Reach) {
		return nil
	}
	h.Number++
	a.health = h
	return []HealthAggregatorEffect{PublishHealth{Health: h}}
}
