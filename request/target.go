package request

import (
	"slices"
	"time"

	"wisteriaweir/service"
)

// target is a keeper's view of one target of its own failure domain.
type target struct {
	service.Target
	// running is the number of attempts of this keeper that the target has.
	running int
	// gap is the time for which a slot stays idle after an attempt.
	gap time.Duration
	// until is when the target may get something again.
	until time.Duration
	// failures counts attempts without an answer since the last answer.
	failures int
	// heard is when the target last answered.
	heard time.Duration
	used  uint64
	gone  bool
}

// maxFailures bounds the growth of a target's suspension.
const maxFailures = 5

// limit is how many attempts the target may have at the time now.
func (t *target) limit(now time.Duration) int {
	switch {
	case t.gone || t.Drain || now < t.until:
		return 0
	case t.failures > 0:
		return 1
	default:
		return t.Slots
	}
}

func (t *target) free(now time.Duration) int {
	return max(0, t.limit(now)-t.running)
}

// suspend keeps new work from a target that did not answer.
func (t *target) suspend(now, d time.Duration) {
	t.failures = min(t.failures+1, maxFailures)
	t.until = max(t.until, now+d<<(t.failures-1))
}

// rest keeps new work from a target for as long as it asked for.
func (t *target) rest(now, d time.Duration) {
	t.until = max(t.until, now+d)
}

func (p *pool) configChanged() {
	c := p.core
	s, _ := c.config.Service(p.service.Name)
	p.service.Pool = s.Pool
	old := make(map[string]*target, len(p.targets))
	for _, t := range p.targets {
		t.gone = true
		old[t.Name] = t
	}
	p.targets = nil
	for _, cfg := range s.Pool {
		if cfg.Domain != c.cfg.Self.Domain {
			continue
		}
		t := old[cfg.Name]
		if t == nil || t.Address != cfg.Address {
			t = &target{}
		}
		t.Target = cfg
		t.gap = c.gaps[TargetKey{Service: p.service.Name, Target: cfg.Name}]
		t.gone = false
		p.targets = append(p.targets, t)
	}
	p.dispatch()
}

// relieved reports whether someone else takes the work that targets with a gap
// leave: a local target without one, or another failure domain with a free slot.
func (p *pool) relieved() bool {
	now := p.core.now
	whole := func(t *target) bool { return t.gap == 0 && t.limit(now) > 0 }
	open := func(r *remote) bool {
		free, _ := r.usable()
		return p.fresh(r) && free > 0
	}
	return slices.ContainsFunc(p.targets, whole) || slices.ContainsFunc(p.remotes, open)
}

// staffed reports whether a local target takes work now or after a rest.
func (p *pool) staffed() bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool { return !t.gone && !t.Drain })
}

// slots returns the number of local slots in use or free.
func (p *pool) slots() int {
	n := 0
	for _, t := range p.targets {
		n += t.limit(p.core.now)
	}
	return n
}

func (p *pool) free() int {
	n := 0
	for _, t := range p.targets {
		n += t.free(p.core.now)
	}
	return n
}

// pick returns the local target with the largest free share, the one that has
// been idle longest among equals.
func (p *pool) pick() *target {
	var best *target
	now := p.core.now
	for _, t := range p.targets {
		if t.free(now) == 0 {
			continue
		}
		if best == nil || t.freer(best, now) {
			best = t
		}
	}
	return best
}

func (t *target) freer(o *target, now time.Duration) bool {
	a, b := t.free(now)*o.Slots, o.free(now)*t.Slots
	return a > b || a == b && t.used < o.used
}
