package request

import (
	"slices"
	"time"

	"wisteriaweir/service"
)

// target is a coordinator's state of one target of its own failure domain.
type target struct {
	service.Target
	// slotsInUse is the number of slots that have an attempt of this coordinator
	// or stay idle after one.
	slotsInUse int
	// slotIdleTime is the time for which a slot stays idle after an attempt.
	slotIdleTime time.Duration
	// availableAt is when the target may get attempts again.
	availableAt time.Duration
	// suspensions is the number of suspensions since the last response, at most
	// maxSuspensions.
	suspensions int
	// answeredAt is when the target last responded.
	answeredAt time.Duration
	// lastUsedSeq is the sequence number of the last attempt.
	lastUsedSeq uint64
	// removed reports whether the configuration no longer contains the target.
	removed bool
}

// maxSuspensions is the number of suspensions after which the duration no longer
// doubles: it is then 16 times SuspendDuration.
const maxSuspensions = 5

// slotLimit returns how many attempts the target may have at the time now. A
// target that has been suspended gets one at a time until it responds.
func (t *target) slotLimit(now time.Duration) int {
	switch {
	case t.removed || t.Draining || now < t.availableAt:
		return 0
	case t.suspensions > 0:
		return 1
	default:
		return t.Slots
	}
}

// freeSlots returns how many more attempts the target may have at the time now.
func (t *target) freeSlots(now time.Duration) int {
	return max(0, t.slotLimit(now)-t.slotsInUse)
}

// suspend excludes a target that did not respond from new attempts for d. The time
// doubles with each suspension since the last response.
func (t *target) suspend(now, d time.Duration) {
	t.suspensions = min(t.suspensions+1, maxSuspensions)
	t.availableAt = max(t.availableAt, now+d<<(t.suspensions-1))
}

// setRetryAfter excludes a target from new attempts for the time d.
func (t *target) setRetryAfter(now, d time.Duration) {
	t.availableAt = max(t.availableAt, now+d)
}

// updateTargets applies the targets of the current configuration. A target that
// keeps its name and address keeps its state.
func (p *pool) updateTargets() {
	c := p.core
	s, _ := c.serviceConfig.Service(p.service.Name)
	p.service.Pool = s.Pool
	old := make(map[string]*target, len(p.targets))
	for _, t := range p.targets {
		t.removed = true
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
		t.slotIdleTime = c.slotIdleTimes[TargetKey{Service: p.service.Name, Target: cfg.Name}]
		t.removed = false
		p.targets = append(p.targets, t)
	}
	p.scheduleServe()
}

// hasOtherCapacity reports whether there is other capacity for the requests that
// targets with a slot idle time do not run: a usable local target without such a
// time, or another failure domain with a free slot.
func (p *pool) hasOtherCapacity() bool {
	now := p.core.now
	hasNoIdleTime := func(t *target) bool { return t.slotIdleTime == 0 && t.slotLimit(now) > 0 }
	hasFreeSlot := func(r *remote) bool {
		free, _ := r.adjustedLoad()
		return p.isLoadFresh(r) && free > 0
	}
	return slices.ContainsFunc(p.targets, hasNoIdleTime) || slices.ContainsFunc(p.remotes, hasFreeSlot)
}

// hasActiveTarget reports whether there is a local target that accepts attempts,
// now or after a suspension or a RetryAfter.
func (p *pool) hasActiveTarget() bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool { return !t.removed && !t.Draining })
}

// slotLimit returns the number of usable slots of all local targets, free or not.
func (p *pool) slotLimit() int {
	n := 0
	for _, t := range p.targets {
		n += t.slotLimit(p.core.now)
	}
	return n
}

// freeSlots returns the number of free slots of all local targets.
func (p *pool) freeSlots() int {
	n := 0
	for _, t := range p.targets {
		n += t.freeSlots(p.core.now)
	}
	return n
}

// pickTarget returns the local target with the largest fraction of free slots, or
// nil if no slot is free. Among equals it returns the least recently used one.
func (p *pool) pickTarget() *target {
	var best *target
	now := p.core.now
	for _, t := range p.targets {
		if t.freeSlots(now) == 0 {
			continue
		}
		if best == nil || t.isPreferredTo(best, now) {
			best = t
		}
	}
	return best
}

// isPreferredTo reports whether pickTarget prefers t to o.
func (t *target) isPreferredTo(o *target, now time.Duration) bool {
	a, b := t.freeSlots(now)*o.Slots, o.freeSlots(now)*t.Slots
	return a > b || a == b && t.lastUsedSeq < o.lastUsedSeq
}
