package main

import (
	"context"
	"os/exec"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/soak"
)

// TestSoak runs a short fault plan from a seed; docs/SOAK.md describes how to run
// others.
func TestSoak(t *testing.T) {
	t.Parallel()
	runSoakPlan(t, soak.Config{Seed: 1, LoadDuration: 22 * time.Second})
}

// TestSoakTermAtStart repeats a fault sequence of seed 309: a host receives SIGTERM
// 14 ms after it was started again. Its signal handlers may not be installed by then,
// and the exit code that follows from this must not count as a violation.
func TestSoakTermAtStart(t *testing.T) {
	t.Parallel()
	runSoakPlan(t, soak.Config{Seed: 309, LoadDuration: 17 * time.Second, Steps: []soak.Step{
		{At: 2 * time.Second, Fault: soak.HostKill, Selector: 0, Duration: 500 * time.Millisecond},
		{At: 2514 * time.Millisecond, Fault: soak.HostTerm, Selector: 0},
		{At: 3 * time.Second, Fault: soak.HostTerm, Selector: 1},
	}})
}

// TestSoakRestore guards against hosts that ignore, or mix up, what a store says that is
// back from an older copy, while hosts start, an evacuation stands and targets change.
func TestSoakRestore(t *testing.T) {
	t.Parallel()
	second := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	runSoakPlan(t, soak.Config{Seed: 2, LoadDuration: 24 * time.Second, Steps: []soak.Step{
		{At: second(2), Fault: soak.Evacuation, Selector: 1, Duration: 7 * time.Second},
		{At: second(2.5), Fault: soak.ConfigChange},
		{At: second(3), Fault: soak.ConfigChange},
		{At: second(3.5), Fault: soak.TargetReplacement, Selector: 2},
		{At: second(5.2), Fault: soak.StoreRestore, Selector: 1, Duration: 2 * time.Second},
		{At: second(5.4), Fault: soak.HostKill, Selector: 1, Duration: time.Second},
		{At: second(7), Fault: soak.ConfigChange},
		{At: second(7.5), Fault: soak.StoreRestore, Selector: 0, Duration: 500 * time.Millisecond},
		{At: second(8.5), Fault: soak.ConfigChange},
	}})
}

// runSoakPlan runs a fault plan on 4 hosts and checks that no invariant is violated.
func runSoakPlan(t *testing.T, cfg soak.Config) {
	c := qt.New(t)
	var err error
	cfg.Program, err = exec.LookPath("wisteriaweir")
	c.Assert(err, qt.IsNil)
	cfg.Hosts, cfg.Targets, cfg.Callers = 4, 6, 4
	cfg.SecondAddressByte, cfg.Dir = byte(newBlock(qt.New(t))), createLogDir(t)
	r, err := soak.Run(context.Background(), cfg)
	c.Assert(err, qt.IsNil)
	t.Log(r.Summary)
	for _, s := range r.Steps {
		t.Log(s)
	}
	c.Check(r.Summary.Requests > 200, qt.IsTrue)
	c.Assert(r.Violations, qt.HasLen, 0, qt.Commentf("%v", r.Violations))
}

// TestSoakUpgrade guards against hosts of this release and of the one in service that mislead
// each other while hosts are upgraded one after the other and taken back.
func TestSoakUpgrade(t *testing.T) {
	t.Parallel()
	out, err := exec.Command("script/earlier").Output()
	qt.Assert(t, err, qt.IsNil)
	flags := []string{"--hosts-per-target", "4", "--shared-admission", "short"}
	runSoakPlan(t, soak.Config{
		Seed: 4, LoadDuration: 40 * time.Second, Upgrade: soak.RollingUpgrade,
		HostFlags: flags, Earlier: strings.TrimSpace(string(out)), EarlierFlags: flags,
	})
}
