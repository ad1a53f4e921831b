package target_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"wisteriaweir/service"
	"wisteriaweir/target"
)

const (
	// minRampDuration is the minimum time from MinLevel to LevelFull for a new target.
	minRampDuration = 24 * time.Second
	// minRiseInterval is the minimum time between two rises of a share.
	minRiseInterval = 4 * time.Second
	// minResumeInterval replaces minRiseInterval for a warm target after refusals.
	minResumeInterval = time.Second
	// minEjectionInterval is the minimum time between two ejections of one target.
	minEjectionInterval = 5 * time.Second
	// maxDrainDelay is the maximum time until a draining target gets nothing new.
	maxDrainDelay = 3 * time.Second
)

// world sends generated events to a pool and checks its invariants after each.
type world struct {
	t      *rapid.T
	pool   *target.Pool
	now    time.Duration
	number uint64
	svc    service.Service

	// table is the last published table. The maps below are by target name.
	table target.Shares
	// levels has the last published level.
	levels map[string]target.Level
	// roseAt has the time of the last rise of the level.
	roseAt map[string]time.Duration
	// ejectedAt has the time of the last ejection.
	ejectedAt map[string]time.Duration
	// ejections counts the ejections.
	ejections map[string]int
	// drainingSince has the time from which on the configuration drains the target.
	drainingSince map[string]time.Duration
	// isWarm has the targets that recordWarm records.
	isWarm map[string]bool
}

func newWorld(t *rapid.T, targets int) *world {
	w := &world{
		t: t, pool: target.NewPool(target.Config{Domain: "d0"}),
		levels: map[string]target.Level{}, roseAt: map[string]time.Duration{},
		ejectedAt: map[string]time.Duration{}, ejections: map[string]int{}, drainingSince: map[string]time.Duration{}, isWarm: map[string]bool{},
	}
	w.svc.Name = "levy-desk"
	for i := range targets {
		w.svc = w.svc.WithTarget(newTarget(name(i), domain(i%4), false))
	}
	w.configure()
	return w
}

func name(i int) string   { return fmt.Sprintf("t%02d", i) }
func domain(i int) string { return fmt.Sprintf("d%d", i) }

func (w *world) configure() {
	w.number++
	for _, t := range w.svc.Pool {
		if !t.Draining {
			delete(w.drainingSince, t.Name)
		} else if _, ok := w.drainingSince[t.Name]; !ok {
			w.drainingSince[t.Name] = w.now
		}
	}
	w.handle(target.ServiceConfigured{Number: w.number, Service: w.svc})
}

func (w *world) handle(e target.Event) {
	effects := w.pool.Handle(w.now, e)
	for _, f := range effects {
		switch f := f.(type) {
		case target.PublishTable:
			w.table = f.Shares
		case target.PublishShares:
			w.checkLevels(f.Shares)
		case target.StateChanged:
			w.checkEjection(f)
			w.recordWarm(f)
		}
	}
	if len(effects) > 0 {
		w.checkEligible()
	}
	w.checkDrain()
}

// checkLevels fails if a share rises by more than one level at a time or too soon after
// its last rise, so that a target gets too much load at once.
func (w *world) checkLevels(s target.Shares) {
	for i := range s.Len() {
		e := s.At(i)
		previous, known := w.levels[e.Target.Name]
		w.levels[e.Target.Name] = e.Level
		if !known || e.Level <= previous {
			continue
		}
		if e.Level != previous+1 {
			w.t.Fatalf("%s: %s rose from %d to %d", w.now, e.Target.Name, previous, e.Level)
		}
		minInterval := minRiseInterval
		if w.isWarm[e.Target.Name] {
			minInterval = minResumeInterval
		}
		if previous > target.LevelNone && w.now-w.roseAt[e.Target.Name] < minInterval {
			w.t.Fatalf("%s: %s rose to %d only %s after its last rise", w.now, e.Target.Name, e.Level, w.now-w.roseAt[e.Target.Name])
		}
		w.roseAt[e.Target.Name] = w.now
	}
}

// checkEjection fails if a target is ejected again too soon.
func (w *world) checkEjection(f target.StateChanged) {
	if f.To != target.StateEjected {
		return
	}
	last, wasEjected := w.ejectedAt[f.Target]
	if wasEjected && w.now-last < minEjectionInterval {
		w.t.Fatalf("%s: %s ejected again after %s", w.now, f.Target, w.now-last)
	}
	w.ejectedAt[f.Target] = w.now
	w.ejections[f.Target]++
}

// recordWarm records the targets that have only refused work since they were in
// StateServing. They are warm, and their shares may grow faster until they serve again.
func (w *world) recordWarm(f target.StateChanged) {
	if f.To == target.StateServing {
		return
	}
	refused := f.Reason == target.ReasonRefused
	w.isWarm[f.Target] = refused && (f.From == target.StateServing || w.isWarm[f.Target])
}

// checkEligible fails if no target is eligible although not all are drained.
func (w *world) checkEligible() {
	hasUndrained := slices.ContainsFunc(w.svc.Pool, func(t service.Target) bool { return !t.Draining })
	if hasUndrained && len(w.pool.Shares().Eligible()) == 0 {
		w.t.Fatalf("%s: no eligible target", w.now)
	}
	if hasUndrained && len(w.table.Eligible()) == 0 {
		w.t.Fatalf("%s: no eligible target in the table", w.now)
	}
}

// checkDrain fails if a target is eligible later than maxDrainDelay after the
// configuration began to drain it.
func (w *world) checkDrain() {
	for name, since := range w.drainingSince {
		own, _ := w.pool.Shares().Find(name)
		table, _ := w.table.Find(name)
		if w.now-since > maxDrainDelay && (own.IsEligible() || table.IsEligible()) {
			w.t.Fatalf("%s: %s still gets new work, draining since %s", w.now, name, since)
		}
	}
}

// advance advances the time by d with Ticks, and calls f before each.
func (w *world) advance(d time.Duration, f func()) {
	for end := w.now + d; w.now < end; {
		w.now += 100 * time.Millisecond
		f()
		w.handle(target.Tick{})
	}
}

func (w *world) report(name string) {
	w.handle(target.ReportReceived{Target: name, Report: target.Report{
		Age:     time.Duration(rapid.IntRange(0, 8).Draw(w.t, "age")) * time.Second,
		Healthy: rapid.Bool().Draw(w.t, "healthy"),
		Load:    rapid.Float64Range(0, 2).Draw(w.t, "load"),
	}})
}

func (w *world) attempt(name, outcome string) {
	switch outcome {
	case "ok":
		w.handle(target.Answered{Target: name, Latency: 40 * time.Millisecond})
	case "slow":
		w.handle(target.Answered{Target: name, Latency: 400 * time.Millisecond})
	case "fail":
		w.handle(target.Failed{Target: name})
	case "shed":
		w.handle(target.Shed{Target: name, RetryAfter: 2 * time.Second})
	}
}

// randomEvent sends one random event.
func (w *world) randomEvent() {
	i := rapid.IntRange(0, len(w.svc.Pool)-1).Draw(w.t, "target")
	t := w.svc.Pool[i]
	switch rapid.SampledFrom([]string{"ok", "fail", "fails", "flows", "slow", "shed", "report", "drain", "health", "pause", "pass"}).Draw(w.t, "event") {
	case "ok":
		w.attempt(t.Name, "ok")
	case "fail":
		w.attempt(t.Name, "fail")
	case "fails":
		w.handle(target.Failed{Target: t.Name, Count: 6})
	case "flows":
		w.handle(target.Answered{Target: t.Name, IsFlow: true, Count: 20})
		w.handle(target.Failed{Target: t.Name, IsFlow: true, Count: rapid.IntRange(0, 6).Draw(w.t, "failed")})
	case "slow":
		w.handle(target.Answered{Target: t.Name, Latency: time.Second, Count: 10})
	case "shed":
		w.attempt(t.Name, "shed")
	case "report":
		w.report(t.Name)
	case "drain":
		t.Draining = !t.Draining
		w.svc = w.svc.WithTarget(t)
		w.configure()
	case "health":
		level := target.Level(rapid.SampledFrom([]int{0, 1, 2, 4, 8}).Draw(w.t, "level"))
		h := target.Health{Domain: t.Domain, Fence: w.number, Number: uint64(w.now)}
		w.handle(target.HealthUpdated{Health: h.WithLevel(w.svc.Name, t.Name, level).WithReach(domain(i%3), level)})
	case "pause":
		w.now += time.Duration(rapid.IntRange(0, 60000).Draw(w.t, "pause")) * time.Millisecond
		w.handle(target.Tick{})
	default:
		w.advance(time.Duration(rapid.IntRange(1, 80).Draw(w.t, "pass"))*100*time.Millisecond, func() {})
	}
}

// agreedHealth draws a health of each domain. Its fencing number is higher than that of any
// health that randomEvent sends.
func (w *world) agreedHealth(t *rapid.T) map[string]target.Health {
	agreed := make(map[string]target.Health)
	for i, e := range w.svc.Pool {
		h, ok := agreed[e.Domain]
		if !ok {
			h = target.Health{Domain: e.Domain, Fence: 1 << 40, Number: 1}
		}
		level := target.Level(rapid.SampledFrom([]int{0, 1, 2, 4, 8}).Draw(t, "level"))
		agreed[e.Domain] = h.WithLevel(w.svc.Name, e.Name, level).WithReach(domain(i%3), level)
	}
	return agreed
}
