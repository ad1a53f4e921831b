package soak

import (
	"slices"
	"time"

	"wisteriaweir/fake"
)

// drainDuration is how long a draining target runs before it is stopped.
const drainDuration = 3500 * time.Millisecond

// pickTarget returns the target at index selector, modulo their number, among the
// targets that are neither stopped nor draining, sorted by ID. It returns false if
// there is none, or if the target's service has only one or two such targets.
func (r *run) pickTarget(selector int) (fake.ManagedTarget, bool) {
	targets := r.env.Targets()
	var ids []string
	perService := map[string]int{}
	for id, t := range targets {
		if t.StoppedAt.IsZero() && t.DrainedAt.IsZero() {
			ids = append(ids, id)
			perService[t.Service()]++
		}
	}
	slices.Sort(ids)
	if len(ids) == 0 {
		return fake.ManagedTarget{}, false
	}
	t := targets[ids[selector%len(ids)]]
	return t, perService[t.Service()] > 2
}

// injectTargetFault injects a fault into the target that pickTarget returns, if there
// is one, and returns when the fault has ended.
func (r *run) injectTargetFault(s Step) {
	t, ok := r.pickTarget(s.Selector)
	if !ok {
		return
	}
	r.mu.Lock()
	proxy := r.targetProxies[t.Address()]
	r.mu.Unlock()
	switch s.Fault {
	case TargetUnreachable:
		proxy.setFaults(ProxyFaults{BlockAll: true})
		r.sleep(s.Duration)
		proxy.setFaults(ProxyFaults{})
	case TargetLoss:
		proxy.setFaults(ProxyFaults{LossRate: 0.3})
		r.sleep(s.Duration)
		proxy.setFaults(ProxyFaults{})
	case TargetCrash:
		r.env.StopTarget(t.ID())
		r.sleep(s.Duration)
		r.addReplacement(t)
	case TargetReplacement:
		r.addReplacement(t)
		r.env.Drain(t.ID())
		r.sleep(drainDuration)
		r.env.StopTarget(t.ID())
	}
}

// addReplacement starts a target of the same service and domain as t.
func (r *run) addReplacement(t fake.ManagedTarget) {
	if err := r.env.AddTarget(r.ctx, t.Service(), t.Domain()); err != nil {
		r.recordViolation("cannot start a replacement for target %s: %v", t.ID(), err)
	}
}
