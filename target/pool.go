// Package target decides what a balancer believes about the targets of a
// service, and which of them may get new flows and requests.
//
// There are two voices about a target: its own reports, which lag or mislead,
// and what the balancer sees for itself. A report alone never takes a share
// away; it lowers the number of failures that do.
//
// There are two results. The own view, for requests, follows what this balancer
// sees. The table, for flows, is computed alike by every balancer from the
// configuration and from the health that each failure domain has agreed on.
//
// # Usage
//
//	pool := target.NewPool(target.Config{Domain: "kel-a"})
//	for _, e := range pool.Handle(now, target.ServiceConfigured{Number: 7, Service: s}) {
//		switch e := e.(type) {
//		case target.PublishShares:
//			requests.Use(e.Shares)
//		case target.PublishTable:
//			flows.Use(e.Shares)
//		case target.Changed:
//			log.WithField("target", e.Target).Info(e.To.String())
//		}
//	}
//	pool.Handle(now, target.Answered{Target: "levy-3", Latency: 40 * time.Millisecond})
//	pool.Handle(now, target.Tick{}) // every MaxTickInterval
//
// A HealthAggregator runs at the holder of a failure domain's lease and turns the
// opinions of the domain's balancers into the agreed Health.
//
// Nothing here reads a clock, does input or output, or is safe for concurrent
// use; published values are immutable.
package target

import (
	"maps"
	"slices"
	"strings"
	"time"

	"wisteriaweir/service"
)

// Config builds a Pool.
type Config struct {
	// Domain is the failure domain of the balancer.
	Domain string
}

// Pool is what one balancer believes about the targets of one service.
type Pool struct {
	cfg     Config
	number  uint64
	service service.Service
	agreed  map[string]Health

	views  []*view // sorted by name
	byName map[string]*view

	shares Shares
	table  Shares
	// configured is set by the first configuration, published by the first shares.
	configured bool
	published  bool
	judgedAt   time.Duration
}

// NewPool returns a pool without targets.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg, agreed: make(map[string]Health), byName: make(map[string]*view)}
}

// Shares returns the shares by the balancer's own view that were last published.
func (p *Pool) Shares() Shares { return p.shares }

// Handle takes an event at the time now, which never goes back. An Answered
// returns no effect and allocates nothing.
func (p *Pool) Handle(now time.Duration, e Event) []Effect {
	switch e := e.(type) {
	case ServiceConfigured:
		return p.configure(now, e)
	case HealthUpdated:
		return p.adopt(now, e.Health)
	case Reported:
		return p.reported(now, e)
	case Answered:
		p.answered(now, e)
		return nil
	case Failed:
		return p.failed(now, e)
	case Shed:
		return p.shed(now, e)
	case Tick:
		return p.tick(now)
	default:
		return nil
	}
}

func (p *Pool) configure(now time.Duration, e ServiceConfigured) []Effect {
	if p.configured && e.Number <= p.number {
		return nil
	}
	first := !p.configured
	p.configured = true
	p.number, p.service = e.Number, e.Service
	var effects []Effect
	declared := make(map[string]bool, len(e.Service.Pool))
	for _, t := range e.Service.Pool {
		declared[t.Name] = true
		effects = append(effects, p.declare(now, t, first)...)
	}
	for _, v := range p.views {
		if !declared[v.target.Name] && v.state != StateRemoved {
			effects = append(effects, p.change(v, func() { v.enter(now, StateRemoved, ReasonRemoved, LevelNone) })...)
		}
	}
	effects = append(effects, p.judge(now)...)
	effects = append(effects, p.publishTable()...)
	return append(effects, p.publish(now)...)
}

// declare takes the declaration of one target. The targets of the first
// configuration are taken as warm: it is the balancer that is new.
func (p *Pool) declare(now time.Duration, t service.Target, first bool) []Effect {
	v, known := p.byName[t.Name]
	if !known {
		v = &view{target: t, state: StateServing, level: LevelFull, since: now, stepAt: now}
		p.byName[t.Name] = v
		p.views = append(p.views, v)
		slices.SortFunc(p.views, func(a, b *view) int { return strings.Compare(a.target.Name, b.target.Name) })
	}
	moved := v.target.Address != t.Address
	v.target = t
	if moved || v.state == StateRemoved {
		v.hasReport = false
	}
	configuredDrain := v.state == StateDraining && v.reason == ReasonConfigured
	return p.change(v, func() {
		switch {
		case t.Drain:
			v.enter(now, StateDraining, ReasonConfigured, LevelNone)
		case !known && first:
		case !known, moved, v.state == StateRemoved, configuredDrain:
			v.start(now, ReasonNew, MinLevel)
		}
	})
}

// change runs f and tells of a change of state.
func (p *Pool) change(v *view, f func()) []Effect {
	from := v.state
	f()
	if v.state == from {
		return nil
	}
	return []Effect{Changed{Target: v.target.Name, From: from, To: v.state, Reason: v.reason}}
}

// adopt takes the agreed health of a domain. A balancer that has not seen a
// target answer follows it, within the ejection cap.
func (p *Pool) adopt(now time.Duration, h Health) []Effect {
	if old, ok := p.agreed[h.Domain]; ok && !h.newer(old) {
		return nil
	}
	p.agreed[h.Domain] = h
	var effects []Effect
	for _, v := range p.views {
		if v.target.Domain == h.Domain && v.state == StateServing && !v.sound(now) {
			effects = append(effects, p.follow(now, v, h.Level(p.service.Name, v.target.Name))...)
		}
	}
	effects = append(effects, p.publishTable()...)
	return append(effects, p.publish(now)...)
}

func (p *Pool) follow(now time.Duration, v *view, level Level) []Effect {
	switch {
	case level == LevelNone:
		return p.eject(now, v, ReasonAgreed)
	case level < v.level:
		return p.change(v, func() { v.start(now, ReasonAgreed, level) })
	default:
		return nil
	}
}

func (p *Pool) reported(now time.Duration, e Reported) []Effect {
	v := p.byName[e.Target]
	if v == nil || v.state == StateRemoved {
		return nil
	}
	v.report, v.reportAt, v.hasReport = e.Report, now, true
	if !e.Report.Draining && v.state != StateDraining {
		return nil
	}
	return append(p.announce(now, v), p.publish(now)...)
}

func (p *Pool) answered(now time.Duration, e Answered) {
	v := p.byName[e.Target]
	if v == nil {
		return
	}
	v.of(e.IsFlow).answer(now, e.Latency, max(e.Count, 1))
	if !e.IsFlow {
		v.refusals = 0
	}
}

func (p *Pool) failed(now time.Duration, e Failed) []Effect {
	v := p.byName[e.Target]
	if v == nil {
		return nil
	}
	v.of(e.IsFlow).fail(now, max(e.Count, 1))
	if v.failures() > judgeFailures {
		return nil
	}
	effects := p.ejectFailing(now, v)
	if len(effects) == 0 {
		return nil
	}
	return append(effects, p.publish(now)...)
}

func (p *Pool) shed(now time.Duration, e Shed) []Effect {
	v := p.byName[e.Target]
	if v == nil {
		return nil
	}
	v.requests.outcomes.at(now).shed++
	v.refusals++
	level := v.level
	effects := p.change(v, func() { p.lower(now, v, e.RetryAfter) })
	if v.level == level && len(effects) == 0 {
		return nil
	}
	return append(effects, p.publish(now)...)
}

// lower lowers the share of a target that refused work, or holds it back if it
// refuses all and the bounds allow that.
func (p *Pool) lower(now time.Duration, v *view, wait time.Duration) {
	spare := p.spareShed()
	n, out, sound := p.census(now, v)
	if v.refusals >= refusalsToPause && spare >= int(v.level) && ejectionAllowed(n, out+1, sound) {
		v.pause(now, wait)
		return
	}
	v.refused(now, wait, spare)
}

// spareShed returns the eighths that refusals may still take away.
func (p *Pool) spareShed() int {
	n, deficit := 0, 0
	for _, v := range p.views {
		if v.candidate() {
			n++
			deficit += v.deficit()
		}
	}
	return shedDeficit(n) - deficit
}

// tick forgets removed targets, lets shares grow, and judges all targets.
func (p *Pool) tick(now time.Duration) []Effect {
	p.forget(now)
	effects := p.judge(now)
	return append(effects, p.publish(now)...)
}

func (p *Pool) forget(now time.Duration) {
	p.views = slices.DeleteFunc(p.views, func(v *view) bool {
		return v.state == StateRemoved && now-v.since >= goneTime
	})
	maps.DeleteFunc(p.byName, func(_ string, v *view) bool {
		return v.state == StateRemoved && now-v.since >= goneTime
	})
}

// publish tells of the own view if a state or level has changed.
func (p *Pool) publish(now time.Duration) []Effect {
	if !p.configured || p.unchanged() {
		return nil
	}
	list := make([]Share, 0, len(p.views))
	for _, v := range p.views {
		list = append(list, p.share(now, v))
	}
	p.shares, p.published = NewShares(p.service.Name, p.number, list), true
	return []Effect{PublishShares{Shares: p.shares}}
}

// unchanged reports whether the shares published last still hold. Gaps follow
// the latency and alone are no reason to publish.
func (p *Pool) unchanged() bool {
	if !p.published || p.shares.Number != p.number || p.shares.Len() != len(p.views) {
		return false
	}
	for i, v := range p.views {
		if !p.plainShare(v).same(p.shares.At(i)) {
			return false
		}
	}
	return true
}

func (p *Pool) share(now time.Duration, v *view) Share {
	latency := v.requests.outcomes.sum(now).meanLatency()
	if latency == 0 {
		latency = defaultLatency
	}
	return p.plainShare(v).withGap(latency)
}

// plainShare returns the share without its gap.
func (p *Pool) plainShare(v *view) Share {
	return Share{
		Target: v.target,
		Local:  v.target.Domain == p.cfg.Domain,
		State:  v.state,
		Reason: v.reason,
		Level:  v.level,
	}
}

// publishTable tells of the table if it has changed.
func (p *Pool) publishTable() []Effect {
	table := AgreedShares(p.number, p.service, p.agreed)
	if table.Same(p.table) {
		return nil
	}
	p.table = table
	return []Effect{PublishTable{Shares: table}}
}
