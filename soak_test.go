package main

import (
	"context"
	"os/exec"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/soak"
)

// TestSoak plays a short plan from a seed; docs/SOAK.md says how to play others.
func TestSoak(t *testing.T) {
	t.Parallel()
	playSoak(t, soak.Config{Seed: 1, Length: 22 * time.Second})
}

// playSoak plays a plan on a small fleet and holds it to the promises.
func playSoak(t *testing.T, cfg soak.Config) {
	c := qt.New(t)
	var err error
	cfg.Program, err = exec.LookPath("wisteriaweir")
	c.Assert(err, qt.IsNil)
	cfg.Hosts, cfg.Targets, cfg.Callers = 4, 6, 4
	cfg.Block, cfg.Dir = byte(newBlock()), t.TempDir()
	r, err := soak.Run(context.Background(), cfg)
	c.Assert(err, qt.IsNil)
	t.Log(r.Verdict)
	for _, s := range r.Steps {
		t.Log(s)
	}
	c.Check(r.Verdict.Requests > 200, qt.IsTrue)
	c.Assert(r.Broken, qt.HasLen, 0, qt.Commentf("%v", r.Broken))
}
