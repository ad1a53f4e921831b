// Package target assigns a health state and a share of the load to each target of a
// service, and so decides which targets get new flows and requests.
//
// There are two sources of information about a target: its own reports, which may be
// late or wrong, and what the balancer observes in its own traffic. A report alone
// never lowers a share; it lowers the number of failures that eject the target and the
// latency above which the target counts as slow. The exception is a target that
// announces that it drains: it gets nothing new, within the ejection cap.
//
// There are two results. The local view, for requests, follows what this balancer
// observes. The table, for flows, is the same on every balancer: it is computed from
// the configuration and from the health on which each failure domain has agreed.
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
//		case target.StateChanged:
//			log.WithField("target", e.Target).Info(e.To.String())
//		}
//	}
//	pool.Handle(now, target.Answered{Target: "levy-3", Latency: 40 * time.Millisecond})
//	pool.Handle(now, target.Tick{}) // every MaxTickInterval
//
// A HealthAggregator runs at the holder of a failure domain's lease and combines the
// opinions of the domain's balancers into the agreed Health. A Reporter encodes
// opinions as reports to the lease holder; a ReportAssembler decodes them there.
//
// Nothing in this package reads a clock, does input or output, or is safe for
// concurrent use. Published values are immutable.
package target

import (
	"maps"
	"slices"
	"strings"
	"time"

	"wisteriaweir/service"
)

// Config holds the settings of a Pool.
type Config struct {
	// Domain is the failure domain of the balancer.
	Domain string
}

// Pool holds the local state of one balancer about the targets of one service.
type Pool struct {
	cfg          Config
	configNumber uint64
	service      service.Service
	// agreedHealth has the newest agreed health of each failure domain.
	agreedHealth map[string]Health

	views  []*view // sorted by name
	byName map[string]*view

	// shares are the shares that the last PublishShares carried.
	shares Shares
	// table are the shares that the last PublishTable carried.
	table Shares
	// configured is set by the first configuration.
	configured bool
	// published is set when shares are published for the first time.
	published bool
	// latencyEvaluatedAt is the time of the last comparison of latencies, which takes
	// place at most once a second.
	latencyEvaluatedAt time.Duration
}

// NewPool returns a pool without targets.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg, agreedHealth: make(map[string]Health), byName: make(map[string]*view)}
}

// Shares returns the shares by the local view that were last published.
func (p *Pool) Shares() Shares { return p.shares }

// Handle processes an event at the time now, which must not decrease from call to
// call. An Answered event returns no effect and allocates nothing.
func (p *Pool) Handle(now time.Duration, e Event) []Effect {
	switch e := e.(type) {
	case ServiceConfigured:
		return p.applyConfig(now, e)
	case HealthUpdated:
		return p.applyHealth(now, e.Health)
	case ReportReceived:
		return p.handleReported(now, e)
	case Answered:
		p.handleAnswered(now, e)
		return nil
	case Failed:
		return p.handleFailed(now, e)
	case Shed:
		return p.handleShed(now, e)
	case Tick:
		return p.tick(now)
	default:
		return nil
	}
}

// applyConfig applies a configuration that is newer than the current one.
func (p *Pool) applyConfig(now time.Duration, e ServiceConfigured) []Effect {
	if p.configured && e.Number <= p.configNumber {
		return nil
	}
	isFirst := !p.configured
	p.configured = true
	p.configNumber, p.service = e.Number, e.Service
	var effects []Effect
	declared := make(map[string]bool, len(e.Service.Pool))
	for _, t := range e.Service.Pool {
		declared[t.Name] = true
		effects = append(effects, p.applyTarget(now, t, isFirst)...)
	}
	for _, v := range p.views {
		if !declared[v.target.Name] && v.state != StateRemoved {
			effects = append(effects, p.changeState(v, func() { v.setState(now, StateRemoved, ReasonRemoved, LevelNone) })...)
		}
	}
	effects = append(effects, p.evaluate(now)...)
	effects = append(effects, p.publishTable()...)
	return append(effects, p.publish(now)...)
}

// applyTarget applies the declaration of one target. The targets of the first
// configuration start with a full share: they have been running, and only this
// balancer is new.
func (p *Pool) applyTarget(now time.Duration, t service.Target, isFirst bool) []Effect {
	v, wasKnown := p.byName[t.Name]
	if !wasKnown {
		v = &view{target: t, state: StateServing, level: LevelFull, since: now, levelSetAt: now}
		p.byName[t.Name] = v
		p.views = append(p.views, v)
		slices.SortFunc(p.views, func(a, b *view) int { return strings.Compare(a.target.Name, b.target.Name) })
	}
	addressChanged := v.target.Address != t.Address
	v.target = t
	if addressChanged || v.state == StateRemoved {
		v.hasReport = false
	}
	wasConfiguredDrain := v.state == StateDraining && v.reason == ReasonConfigured
	return p.changeState(v, func() {
		switch {
		case t.Draining:
			v.setState(now, StateDraining, ReasonConfigured, LevelNone)
		case !wasKnown && isFirst:
		case !wasKnown, addressChanged, v.state == StateRemoved, wasConfiguredDrain:
			v.startRamp(now, ReasonNew, MinLevel)
		}
	})
}

// changeState runs f, which may change the state of v, and returns a StateChanged effect
// if it did.
func (p *Pool) changeState(v *view, f func()) []Effect {
	from := v.state
	f()
	if v.state == from {
		return nil
	}
	return []Effect{StateChanged{Target: v.target.Name, From: from, To: v.state, Reason: v.reason}}
}

// applyHealth stores the agreed health of a domain. The local view follows it, within
// the ejection cap, for targets in StateServing that are not known to be responsive
// here.
func (p *Pool) applyHealth(now time.Duration, h Health) []Effect {
	if old, ok := p.agreedHealth[h.Domain]; ok && !h.isNewerThan(old) {
		return nil
	}
	p.agreedHealth[h.Domain] = h
	var effects []Effect
	for _, v := range p.views {
		if v.target.Domain == h.Domain && v.state == StateServing && !v.isResponsive(now) {
			effects = append(effects, p.applyAgreedLevel(now, v, h.Level(p.service.Name, v.target.Name))...)
		}
	}
	effects = append(effects, p.publishTable()...)
	return append(effects, p.publish(now)...)
}

// applyAgreedLevel ejects a target or lowers its share according to an agreed level.
func (p *Pool) applyAgreedLevel(now time.Duration, v *view, level Level) []Effect {
	switch {
	case level == LevelNone:
		return p.eject(now, v, ReasonAgreed)
	case level < v.level:
		return p.changeState(v, func() { v.startRamp(now, ReasonAgreed, level) })
	default:
		return nil
	}
}

// handleReported stores a report. It takes effect at once only if it starts or ends a drain.
func (p *Pool) handleReported(now time.Duration, e ReportReceived) []Effect {
	v := p.byName[e.Target]
	if v == nil || v.state == StateRemoved {
		return nil
	}
	v.report, v.reportAt, v.hasReport = e.Report, now, true
	if !e.Report.Draining && v.state != StateDraining {
		return nil
	}
	return append(p.applyAnnouncement(now, v), p.publish(now)...)
}

// handleAnswered counts responses of a target.
func (p *Pool) handleAnswered(now time.Duration, e Answered) {
	v := p.byName[e.Target]
	if v == nil {
		return
	}
	v.statsOf(e.IsFlow).recordResponses(now, e.Latency, max(e.Count, 1))
	if !e.IsFlow {
		v.refusals = 0
	}
}

// handleFailed counts failures of a target, and ejects it if it is failing. After more
// than maxImmediateFailures failures only the next Tick does so.
func (p *Pool) handleFailed(now time.Duration, e Failed) []Effect {
	v := p.byName[e.Target]
	if v == nil {
		return nil
	}
	v.statsOf(e.IsFlow).recordFailures(now, max(e.Count, 1))
	if v.failuresSinceResponse() > maxImmediateFailures {
		return nil
	}
	effects := p.ejectFailing(now, v)
	if len(effects) == 0 {
		return nil
	}
	return append(effects, p.publish(now)...)
}

// handleShed counts a refusal of a target and lowers its share.
func (p *Pool) handleShed(now time.Duration, e Shed) []Effect {
	v := p.byName[e.Target]
	if v == nil {
		return nil
	}
	v.requests.outcomes.bucketAt(now).shed++
	v.refusals++
	level := v.level
	effects := p.changeState(v, func() { p.applyRefusal(now, v, e.RetryAfter) })
	if v.level == level && len(effects) == 0 {
		return nil
	}
	return append(effects, p.publish(now)...)
}

// applyRefusal lowers the share of a target that refused work. It suspends the target
// after refusalsToSuspend refusals without a response between them, if both the shed budget
// and the ejection cap allow that.
func (p *Pool) applyRefusal(now time.Duration, v *view, retryAfter time.Duration) {
	remaining := p.remainingShedBudget()
	n, excluded, responsive := p.ejectionCounts(now, v)
	if v.refusals >= refusalsToSuspend && remaining >= int(v.level) && ejectionAllowed(n, excluded+1, responsive) {
		v.suspend(now, retryAfter)
		return
	}
	v.lowerLevel(now, retryAfter, remaining)
}

// remainingShedBudget returns how many more eighths of the pool's shares refusals may
// remove. The result may be negative.
func (p *Pool) remainingShedBudget() int {
	n, shed := 0, 0
	for _, v := range p.views {
		if v.isEjectable() {
			n++
			shed += v.shedShare()
		}
	}
	return shedBudget(n) - shed
}

// tick deletes the state of targets after removedRetention, evaluates all targets and
// publishes the shares if they have changed.
func (p *Pool) tick(now time.Duration) []Effect {
	p.removeExpired(now)
	effects := p.evaluate(now)
	return append(effects, p.publish(now)...)
}

// removeExpired deletes the state of targets that have been in StateRemoved for
// removedRetention.
func (p *Pool) removeExpired(now time.Duration) {
	p.views = slices.DeleteFunc(p.views, func(v *view) bool {
		return v.state == StateRemoved && now-v.since >= removedRetention
	})
	maps.DeleteFunc(p.byName, func(_ string, v *view) bool {
		return v.state == StateRemoved && now-v.since >= removedRetention
	})
}

// publish returns the shares by the local view if a state, a reason or a level has
// changed.
func (p *Pool) publish(now time.Duration) []Effect {
	if !p.configured || p.areSharesUnchanged() {
		return nil
	}
	list := make([]Share, 0, len(p.views))
	for _, v := range p.views {
		list = append(list, p.shareOf(now, v))
	}
	p.shares, p.published = NewShares(p.service.Name, p.configNumber, list), true
	return []Effect{PublishShares{Shares: p.shares}}
}

// areSharesUnchanged reports whether the shares published last are still valid. Slot idle
// times follow the latency, and their change alone is no reason to publish.
func (p *Pool) areSharesUnchanged() bool {
	if !p.published || p.shares.Number != p.configNumber || p.shares.Len() != len(p.views) {
		return false
	}
	for i, v := range p.views {
		if !p.shareWithoutIdleTime(v).equalExceptIdleTime(p.shares.At(i)) {
			return false
		}
	}
	return true
}

// shareOf returns the share of a target, with the slot idle time for its mean latency.
func (p *Pool) shareOf(now time.Duration, v *view) Share {
	latency := v.requests.outcomes.total(now).meanLatency()
	if latency == 0 {
		latency = defaultLatency
	}
	return p.shareWithoutIdleTime(v).withSlotIdleTime(latency)
}

// shareWithoutIdleTime returns the share with a slot idle time of 0.
func (p *Pool) shareWithoutIdleTime(v *view) Share {
	return Share{
		Target: v.target,
		Local:  v.target.Domain == p.cfg.Domain,
		State:  v.state,
		Reason: v.reason,
		Level:  v.level,
	}
}

// publishTable returns the shares for the table if they have changed.
func (p *Pool) publishTable() []Effect {
	table := AgreedShares(p.configNumber, p.service, p.agreedHealth)
	if table.EqualExceptIdleTime(p.table) {
		return nil
	}
	p.table = table
	return []Effect{PublishTable{Shares: table}}
}
