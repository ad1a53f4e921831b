package measure

import (
	"fmt"
	"slices"
	"time"

	"wisteriaweir/target"
)

const (
	// targetRunDuration is the virtual length of one run.
	targetRunDuration = 75 * time.Second
	// targetFaultAt is the virtual time at which a fault begins.
	targetFaultAt = 15 * time.Second
	// targetFaultEnd is the virtual time at which a fault ends.
	targetFaultEnd = 40 * time.Second
)

// targetStrategy is a strategy to choose among targets.
type targetStrategy int

// The strategies that are compared.
const (
	// strategyReportsAndOwnView uses the health reports of targets and the outcomes of
	// own attempts, as package target does.
	strategyReportsAndOwnView targetStrategy = iota
	// strategyOwnView uses the outcomes of own attempts alone.
	strategyOwnView
	// strategyReports uses the health reports of targets alone.
	strategyReports
	// strategyNoHealth considers every target that does not drain as healthy.
	strategyNoHealth
)

var targetStrategies = []targetStrategy{strategyReportsAndOwnView, strategyOwnView, strategyReports, strategyNoHealth}

// String returns the name that the tables print.
func (s targetStrategy) String() string {
	return [...]string{"reports and own view", "own view only", "reports only", "no health"}[s]
}

// targetScenario is the load and the fault of a run.
type targetScenario struct {
	name string
	// load is the offered load as a fraction of the capacity of all slots.
	load float64
	// lossRatio is the fraction of datagrams lost in each direction.
	lossRatio float64
	// reportAge is the age of the state that health reports describe.
	reportAge time.Duration
	// runsForEveryPool is set for the scenarios that are run for every pool.
	runsForEveryPool bool
	// differsInReportsOnly is set for a scenario that differs from another one in the
	// reports alone, so that strategyOwnView has the same figures in both and is left
	// out.
	differsInReportsOnly bool
	// begin and end change the simulated targets at targetFaultAt and targetFaultEnd.
	begin, end func(r *targetRun)
}

// targetPool describes the pool of targets of a run.
type targetPool struct {
	name string
	// targets is the number of targets.
	targets int
	// interDomainDelay is the one-way delay between two failure domains.
	interDomainDelay time.Duration
}

var (
	poolLevyDesk     = targetPool{name: "levy desk", targets: 14, interDomainDelay: 5 * time.Millisecond}
	poolLedgerIntake = targetPool{name: "ledger intake", targets: 4, interDomainDelay: 5 * time.Millisecond}
	poolTenTimes     = targetPool{name: "levy desk at ten times the size", targets: 140, interDomainDelay: 5 * time.Millisecond}
	poolCalendar     = targetPool{name: "calendar", targets: 14, interDomainDelay: 4 * time.Millisecond}
)

// targetScenarios returns all scenarios. A fault of a single target is one of the first
// server.
func targetScenarios() []targetScenario {
	one := func(f func(s *targetServer)) func(r *targetRun) {
		return func(r *targetRun) { f(r.servers[0]) }
	}
	nothing := func(*targetRun) {}
	idleReport := &target.Report{Healthy: true}
	fullReport := &target.Report{Load: 2}
	return []targetScenario{
		{name: "nothing fails", runsForEveryPool: true, load: 0.5, reportAge: time.Second, begin: nothing, end: nothing},
		{name: "2 % of datagrams lost", load: 0.5, lossRatio: 0.02, reportAge: time.Second, begin: nothing, end: nothing},
		{
			name: "one silent, truth 1 s late", load: 0.5, reportAge: time.Second,
			begin: one(func(s *targetServer) { s.fail(serverFaultSilent, nil) }), end: one(func(s *targetServer) { s.repair() }),
		},
		{
			name: "one silent, truth 1 s late, 5 % load", load: 0.05, reportAge: time.Second,
			begin: one(func(s *targetServer) { s.fail(serverFaultSilent, nil) }), end: one(func(s *targetServer) { s.repair() }),
		},
		{
			name: "one silent, truth 15 s late", differsInReportsOnly: true, load: 0.5, reportAge: 15 * time.Second,
			begin: one(func(s *targetServer) { s.fail(serverFaultSilent, nil) }), end: one(func(s *targetServer) { s.repair() }),
		},
		{
			name: "one silent, claims to be idle", runsForEveryPool: true, differsInReportsOnly: true, load: 0.5, reportAge: time.Second,
			begin: one(func(s *targetServer) { s.fail(serverFaultSilent, idleReport) }), end: one(func(s *targetServer) { s.repair() }),
		},
		{
			name: "one answers errors at once, claims to be idle", load: 0.5, reportAge: time.Second,
			begin: one(func(s *targetServer) { s.fail(serverFaultErrors, idleReport) }), end: one(func(s *targetServer) { s.repair() }),
		},
		{
			name: "one fine, claims to be overloaded", differsInReportsOnly: true, load: 0.5, reportAge: time.Second,
			begin: one(func(s *targetServer) { s.fail(serverFaultNone, fullReport) }), end: one(func(s *targetServer) { s.repair() }),
		},
		{
			name: "all but two fine, claim to be overloaded", differsInReportsOnly: true, load: 0.5, reportAge: time.Second,
			begin: func(r *targetRun) { r.failFrom(2, serverFaultNone, fullReport) }, end: (*targetRun).repairAll,
		},
		{
			name: "all silent for 25 s", load: 0.5, reportAge: time.Second,
			begin: func(r *targetRun) { r.failFrom(0, serverFaultSilent, nil) }, end: (*targetRun).repairAll,
		},
		{
			name: "one refuses work, names 5 s", load: 0.5, reportAge: time.Second,
			begin: one(func(s *targetServer) { s.fail(serverFaultRefuses, nil) }), end: one(func(s *targetServer) { s.repair() }),
		},
		{
			name: "one domain silent, returns cold", runsForEveryPool: true, load: 0.5, reportAge: time.Second,
			begin: func(r *targetRun) { r.failDomain(r.servers[0].domain) }, end: (*targetRun).repairCold,
		},
		{
			name: "one added cold", load: 0.7, reportAge: time.Second,
			begin: func(r *targetRun) { r.addColdTarget() }, end: nothing,
		},
		{
			name: "one drained", load: 0.5, reportAge: time.Second,
			begin: func(r *targetRun) { r.drainTarget(0) }, end: nothing,
		},
	}
}

// Targets compares strategies to choose among targets, in virtual time, with targets
// of 2 slots in four failure domains. It runs all strategies for the levy desk. For the
// other pools it runs the one that package target uses and the one that considers every
// target healthy. The last table compares agreed health with the own view of each
// balancer.
func Targets(seed uint64) ([]*Table, error) {
	return []*Table{
		targetTable(poolLevyDesk, targetScenarios(), targetStrategies, seed),
		targetTable(poolLedgerIntake, targetScenarios(), []targetStrategy{strategyReportsAndOwnView, strategyNoHealth}, seed),
		targetTable(poolTenTimes, everyPoolScenarios(), []targetStrategy{strategyReportsAndOwnView, strategyNoHealth}, seed),
		targetTable(poolCalendar, everyPoolScenarios(), []targetStrategy{strategyReportsAndOwnView, strategyNoHealth}, seed),
		agreedTable(seed),
	}, nil
}

// everyPoolScenarios returns the scenarios that are run for every pool.
func everyPoolScenarios() []targetScenario {
	return slices.DeleteFunc(targetScenarios(), func(s targetScenario) bool { return !s.runsForEveryPool })
}

// targetTable runs the scenarios on one pool with each strategy.
func targetTable(pool targetPool, scenarios []targetScenario, strategies []targetStrategy, seed uint64) *Table {
	t := NewTable(
		fmt.Sprintf("targets: %s, %d targets, domains %s apart, seed %d", pool.name, pool.targets, pool.interDomainDelay, seed),
		"scenario", "way", "requests", "lost", "failed attempts", "imbalance", "p99 ms", "nothing sent after s", "share on return",
	)
	for _, s := range scenarios {
		for _, strategy := range strategies {
			if strategy == strategyOwnView && s.differsInReportsOnly {
				continue
			}
			r := newTargetRun(pool, s, strategy, seed)
			r.run()
			r.addTo(t)
		}
	}
	return t
}
