package target_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wisteriaweir/service"
	"wisteriaweir/target"
)

// TestAnyEventsKeepTheInvariants checks the invariants of a world for random events.
func TestAnyEventsKeepTheInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 15).Draw(t, "targets"))
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			w.randomEvent()
		}
	})
}

// TestABadSignalEjectsAThirdAtMost guards against a faulty signal that ejects the whole
// pool: all attempts fail, at every target, and no answer shows which targets work.
func TestABadSignalEjectsAThirdAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 15).Draw(t, "targets")
		w := newWorld(t, n)
		w.advance(20*time.Second, func() {
			for _, e := range w.svc.Pool {
				w.attempt(e.Name, rapid.SampledFrom([]string{"fail", "fail", "fail", "none"}).Draw(t, "outcome"))
			}
			if rapid.IntRange(0, 9).Draw(t, "reports") == 0 {
				w.report(name(rapid.IntRange(0, n-1).Draw(t, "target")))
			}
			if excluded := n - len(w.pool.Shares().Eligible()); excluded > n/3 {
				t.Fatalf("%s: %d of %d ejected", w.now, excluded, n)
			}
		})
	})
}

// TestFailingTargetsAreEjectedAndOthersKeepTheirShare checks that all failing targets are
// ejected, beyond a third of the pool, if at least an eighth of the pool answers, and
// that those which answer keep their full share.
func TestFailingTargetsAreEjectedAndOthersKeepTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 15).Draw(t, "targets")
		w := newWorld(t, n)
		responsive := max(1, (n+7)/8, rapid.IntRange(1, n-1).Draw(t, "sound"))
		w.advance(8*time.Second, func() {
			for i, e := range w.svc.Pool {
				outcome := "fail"
				if i < responsive {
					outcome = "ok"
				}
				if share, _ := w.pool.Shares().Find(e.Name); share.IsEligible() {
					w.attempt(e.Name, outcome)
				}
			}
			for i := range responsive {
				if w.levels[name(i)] != target.LevelFull {
					t.Fatalf("%s: %s answers and has level %d", w.now, name(i), w.levels[name(i)])
				}
			}
		})
		for i := responsive; i < n; i++ {
			if w.ejections[name(i)] == 0 {
				t.Fatalf("%s fails and was never ejected", name(i))
			}
		}
	})
}

// TestALoneReportNeverTakesAShare guards against targets that lose load because of a wrong
// report: reports are random, and no attempt fails.
func TestALoneReportNeverTakesAShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "targets")
		w := newWorld(t, n)
		w.advance(15*time.Second, func() {
			for _, e := range w.svc.Pool {
				w.attempt(e.Name, rapid.SampledFrom([]string{"ok", "none"}).Draw(t, "outcome"))
			}
			w.report(name(rapid.IntRange(0, n-1).Draw(t, "target")))
			for i := range n {
				if w.levels[name(i)] != target.LevelFull {
					t.Fatalf("%s: %s has level %d", w.now, name(i), w.levels[name(i)])
				}
			}
		})
	})
}

// TestAnAnnouncedDrainTakesEffect checks that a target which announces that it drains gets
// nothing new soon after, whatever the outcomes of its requests are.
func TestAnAnnouncedDrainTakesEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(3, 9).Draw(t, "targets"))
		outcomes := rapid.SliceOfN(rapid.SampledFrom([]string{"ok", "fail", "fail", "shed", "none"}), 30, 30).Draw(t, "outcomes")
		drainAt, tick := time.Duration(rapid.IntRange(1, 100).Draw(t, "leaving"))*100*time.Millisecond, 0
		w.advance(drainAt+time.Minute, func() {
			for _, e := range w.svc.Pool[1:] {
				w.attempt(e.Name, "ok")
			}
			w.attempt(name(0), outcomes[tick%len(outcomes)])
			tick++
			if w.now >= drainAt && w.now < drainAt+time.Second {
				w.handle(target.ReportReceived{Target: name(0), Report: target.Report{Healthy: true, Draining: true}})
			}
			if w.now > drainAt+maxDrainDelay && w.levels[name(0)] > target.LevelNone {
				t.Fatalf("%s: level %d, draining since %s", w.now, w.levels[name(0)], drainAt)
			}
		})
	})
}

// TestRefusalsLeaveTwoThirdsOfThePool checks that refusals by all targets remove at most a
// third of the pool's shares, since lower shares would leave usable slots idle.
func TestRefusalsLeaveTwoThirdsOfThePool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 15).Draw(t, "targets"))
		w.advance(5*time.Second, func() {
			sum, full := 0, 0
			for _, e := range w.svc.Pool {
				w.attempt(e.Name, rapid.SampledFrom([]string{"shed", "shed", "shed", "ok"}).Draw(t, "outcome"))
				sum += int(w.levels[e.Name])
				full += int(target.LevelFull)
			}
			if 3*sum < 2*full {
				t.Fatalf("%s: %d of %d eighths remain", w.now, sum, full)
			}
		})
	})
}

// TestAColdTargetsShareOnlyGrows checks that the share of a new target never falls while it
// does not fail, and that it is full no sooner than after minRampDuration.
func TestAColdTargetsShareOnlyGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 9).Draw(t, "targets"))
		w.svc = w.svc.WithTarget(newTarget("cold", "d1", false))
		w.configure()
		previous, startedAt := target.MinLevel, w.now
		w.advance(40*time.Second, func() {
			w.attempt("cold", rapid.SampledFrom([]string{"ok", "slow", "none"}).Draw(t, "outcome"))
			level := w.levels["cold"]
			if level < previous {
				t.Fatalf("%s: fell from %d to %d", w.now, previous, level)
			}
			if level == target.LevelFull && w.now-startedAt < minRampDuration {
				t.Fatalf("full share after only %s", w.now-startedAt)
			}
			previous = level
		})
		if previous != target.LevelFull {
			t.Fatalf("level %d after %s", previous, w.now)
		}
	})
}

// TestEjectionsOfOneTargetAreBounded guards against a target that is ejected and readmitted
// without end at a high rate, because it answers just often enough.
func TestEjectionsOfOneTargetAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 4)
		// The target answers sometimes, just often enough to be readmitted.
		pattern := rapid.SliceOfN(rapid.SampledFrom([]string{"fail", "fail", "fail", "fail", "ok"}), 200, 200).Draw(t, "outcomes")
		tick := 0
		w.advance(10*time.Minute, func() {
			for _, e := range w.svc.Pool[1:] {
				w.attempt(e.Name, "ok")
			}
			w.attempt(name(0), pattern[tick%len(pattern)])
			tick++
		})
		// The ejections last 5, 10, 20 and 40 s, then a minute each.
		if w.ejections[name(0)] > 14 {
			t.Fatalf("%d ejections in ten minutes", w.ejections[name(0)])
		}
	})
}

// TestTablesFollowSharedStateAlone checks that two balancers compute the same table from
// the same configuration and agreed health, whatever each of them has observed.
func TestTablesFollowSharedStateAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "targets")
		one, two := newWorld(t, n), newWorld(t, n)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			one.randomEvent()
		}
		agreed := one.agreedHealth(t)
		one.number++
		two.svc, two.number = one.svc, one.number
		for _, w := range []*world{one, two} {
			w.handle(target.ServiceConfigured{Number: w.number, Service: w.svc})
			for _, d := range slices.Sorted(maps.Keys(agreed)) {
				w.handle(target.HealthUpdated{Health: agreed[d]})
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "own") {
			i := rapid.IntRange(0, n-1).Draw(t, "target")
			two.attempt(name(i), rapid.SampledFrom([]string{"ok", "fail", "shed", "slow"}).Draw(t, "outcome"))
			two.advance(500*time.Millisecond, func() {})
		}
		if !one.table.EqualExceptIdleTime(two.table) {
			t.Fatalf("tables differ:\n%v\n%v", one.table, two.table)
		}
	})
}

// TestAnsweredAllocatesNothing checks that the most frequent event needs no memory.
func TestAnsweredAllocatesNothing(t *testing.T) {
	p := target.NewPool(target.Config{Domain: "d0"})
	p.Handle(0, target.ServiceConfigured{Number: 1, Service: service.Service{Name: "s", Pool: []service.Target{newTarget("a", "d0", false)}}})
	var e target.Event = target.Answered{Target: "a", Latency: time.Millisecond}
	n := testing.AllocsPerRun(100, func() { p.Handle(time.Second, e) })
	qt.Assert(t, n, qt.Equals, 0.0)
}
