package target_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wisteriaweir/service"
	"wisteriaweir/target"
)

// TestOneBalancerOfThreeChangesNothing checks that the agreed health does not change while
// one balancer reports random levels and two others report that all targets answer.
func TestOneBalancerOfThreeChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "targets")
		a := newAggregator(n)
		for now := time.Duration(0); now < time.Minute; now += time.Second {
			a.Handle(now, opinionsReplaced("one", n, func(int) target.Level { return target.LevelFull }))
			a.Handle(now, opinionsReplaced("two", n, func(int) target.Level { return target.LevelFull }))
			a.Handle(now, opinionsReplaced("three", n, func(int) target.Level { return drawLevel(t) }))
			if effects := a.Handle(now, target.Tick{}); len(effects) > 0 {
				t.Fatalf("%s: published %v", now, effects)
			}
		}
	})
}

// TestAgreedLevelsChangeRarely limits the changes of agreed levels while every balancer
// reports random levels. Each change is a new table for flows.
func TestAgreedLevelsChangeRarely(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "targets")
		a := newAggregator(n)
		changes := make(map[string]levelHistory)
		previous := target.Health{}
		for now := time.Duration(0); now < 10*time.Minute; now += 2 * time.Second {
			for _, m := range []string{"one", "two", "three"} {
				a.Handle(now, opinionsReplaced(m, n, func(int) target.Level { return drawLevel(t) }))
			}
			for _, f := range a.Handle(now, target.Tick{}) {
				h := f.(target.PublishHealth).Health
				countChanges(t, changes, now, previous, h, n)
				previous = h
			}
			checkCap(t, previous, n)
		}
		for name, c := range changes {
			if c.count > 60 { // one every ten seconds
				t.Fatalf("%s changed %d times in ten minutes", name, c.count)
			}
		}
	})
}

func newAggregator(n int) *target.HealthAggregator {
	a := target.NewHealthAggregator(target.HealthAggregatorConfig{Domain: "d0", Fence: 1})
	s := service.Service{Name: "levy-desk"}
	for i := range n {
		s = s.WithTarget(newTarget(name(i), "d0", false))
	}
	a.Handle(0, target.ConfigChanged{Config: service.Config{}.WithNumber(1).WithService(s)})
	return a
}

func opinionsReplaced(member string, n int, level func(i int) target.Level) target.OpinionsReplaced {
	o := target.OpinionsReplaced{Member: member}
	for i := range n {
		o.Opinions = append(o.Opinions, target.Opinion{Service: "levy-desk", Target: name(i), Level: level(i)})
	}
	return o
}

func drawLevel(t *rapid.T) target.Level {
	return target.Level(rapid.SampledFrom([]int{0, 0, 0, 1, 4, 8}).Draw(t, "level"))
}

// levelHistory records the changes of one agreed level.
type levelHistory struct {
	count        int
	lastChangeAt time.Duration
	dropped      bool
}

// countChanges counts the changes of each level. It fails if a target that was dropped
// before changes twice within ten seconds.
func countChanges(t *rapid.T, changes map[string]levelHistory, now time.Duration, previous, current target.Health, n int) {
	for i := range n {
		level := current.Level("levy-desk", name(i))
		if previous.Level("levy-desk", name(i)) == level {
			continue
		}
		c := changes[name(i)]
		if c.dropped && now-c.lastChangeAt < 10*time.Second {
			t.Fatalf("%s: %s to %d only %s after its last change", now, name(i), level, now-c.lastChangeAt)
		}
		changes[name(i)] = levelHistory{count: c.count + 1, lastChangeAt: now, dropped: c.dropped || level == target.LevelNone}
	}
}

// checkCap fails if the agreed health leaves no target in rotation.
func checkCap(t *rapid.T, h target.Health, n int) {
	for i := range n {
		if h.Level("levy-desk", name(i)) > target.LevelNone {
			return
		}
	}
	t.Fatalf("no target has a level above 0 in %v", h)
}

// TestCompactionKeepsVotesOfConfiguredTargets guards against a compaction that loses votes.
// The targets of one service stay, and their opinions are sent only once. 400 targets of
// another service are replaced with each of 12 configurations, until their vote counts
// are compacted. The failing target of the first service must be dropped all the same.
func TestCompactionKeepsVotesOfConfiguredTargets(t *testing.T) {
	a := target.NewHealthAggregator(target.HealthAggregatorConfig{Domain: "d0", Fence: 1})
	permanent := service.Service{Name: "levy-desk"}
	for i := range 4 {
		permanent = permanent.WithTarget(newTarget(name(i), "d0", false))
	}
	dropped := false
	for n := range 12 {
		other := service.Service{Name: fmt.Sprintf("other-%d", n)}
		for i := range 400 {
			other.Pool = append(other.Pool, newTarget(name(i), "d0", false))
		}
		now := time.Duration(n) * 100 * time.Millisecond
		a.Handle(now, target.ConfigChanged{Config: service.Config{}.WithNumber(uint64(n + 1)).WithServices([]service.Service{permanent, other})})
		for _, m := range []string{"one", "two", "three"} {
			if n == 0 {
				a.Handle(now, opinionsReplaced(m, 4, func(i int) target.Level {
					if i == 1 {
						return target.LevelNone
					}
					return target.LevelFull
				}))
			}
			var observed []target.Opinion
			for _, x := range other.Pool {
				observed = append(observed, target.Opinion{Service: other.Name, Target: x.Name, Level: target.LevelFull})
			}
			a.Handle(now, target.OpinionsChanged{Member: m, Opinions: observed})
		}
		for _, e := range a.Handle(now, target.Tick{}) {
			dropped = e.(target.PublishHealth).Health.Level("levy-desk", name(1)) == target.LevelNone
		}
	}
	if !dropped {
		t.Fatal("three balancers report that a target fails, and it is not dropped")
	}
}
