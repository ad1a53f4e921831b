package soak

import (
	"slices"
	"time"

	"wisteriaweir/fake"
)

// drainFor is how long a target goes on after it has announced that it leaves.
const drainFor = 3500 * time.Millisecond

// victim returns a target that serves, and whether enough others are left.
func (r *run) victim(which int) (fake.WorldTarget, bool) {
	targets := r.world.Targets()
	var ids []string
	perService := map[string]int{}
	for id, t := range targets {
		if t.Ended.IsZero() && t.Drained.IsZero() {
			ids = append(ids, id)
			perService[t.Service()]++
		}
	}
	slices.Sort(ids)
	if len(ids) == 0 {
		return fake.WorldTarget{}, false
	}
	t := targets[ids[which%len(ids)]]
	return t, perService[t.Service()] > 2
}

// stepTarget carries out a fault of a target.
func (r *run) stepTarget(s Step) {
	t, ok := r.victim(s.Which)
	if !ok {
		return
	}
	r.mu.Lock()
	front := r.fronts[t.At()]
	r.mu.Unlock()
	switch s.Fault {
	case TargetMute:
		front.Set(Trouble{Mute: true})
		r.sleep(s.For)
		front.Set(Trouble{})
	case TargetLoss:
		front.Set(Trouble{Lose: 0.3})
		r.sleep(s.For)
		front.Set(Trouble{})
	case TargetDark:
		r.world.End(t.ID())
		r.sleep(s.For)
		r.replace(t)
	case TargetSwap:
		r.replace(t)
		r.world.Drain(t.ID())
		r.sleep(drainFor)
		r.world.End(t.ID())
	}
}

func (r *run) replace(t fake.WorldTarget) {
	if err := r.world.AddTarget(r.ctx, t.Service(), t.Domain()); err != nil {
		r.complain("no target in place of %s: %v", t.ID(), err)
	}
}
