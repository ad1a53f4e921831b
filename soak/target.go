package soak

import (
	"slices"
	"time"

	"wisteriaweir/fake"
)

// drainFor is how long a target goes on after it has announced that it leaves.
const drainFor = 3500 * time.Millisecond

// victim returns a target that serves, and whether enough others are left.
func (r *run) victim(which int) (fake.ManagedTarget, bool) {
	targets := r.world.Targets()
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
	t := targets[ids[which%len(ids)]]
	return t, perService[t.Service()] > 2
}

// stepTarget carries out a fault of a target.
func (r *run) stepTarget(s Step) {
	t, ok := r.victim(s.Selector)
	if !ok {
		return
	}
	r.mu.Lock()
	front := r.fronts[t.Address()]
	r.mu.Unlock()
	switch s.Fault {
	case TargetUnreachable:
		front.Set(ProxyFaults{BlockAll: true})
		r.sleep(s.Duration)
		front.Set(ProxyFaults{})
	case TargetLoss:
		front.Set(ProxyFaults{LossRate: 0.3})
		r.sleep(s.Duration)
		front.Set(ProxyFaults{})
	case TargetCrash:
		r.world.StopTarget(t.ID())
		r.sleep(s.Duration)
		r.replace(t)
	case TargetSwap:
		r.replace(t)
		r.world.Drain(t.ID())
		r.sleep(drainFor)
		r.world.StopTarget(t.ID())
	}
}

func (r *run) replace(t fake.ManagedTarget) {
	if err := r.world.AddTarget(r.ctx, t.Service(), t.Domain()); err != nil {
		r.complain("no target in place of %s: %v", t.ID(), err)
	}
}
