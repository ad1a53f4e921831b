package soak

import (
	"context"
	"fmt"
	"os/exec"
	"syscall"
	"time"
)

// Upgrade is the way in which the hosts of a run change between two releases.
type Upgrade int

// Ways of an Upgrade.
const (
	// NoUpgrade: all hosts run Config.Program.
	NoUpgrade Upgrade = iota
	// RandomReleases: each start of a host runs Config.Program or Config.Earlier at random.
	RandomReleases
	// RollingUpgrade: all hosts begin with Config.Earlier. They are replaced one after the
	// other by Config.Program; half of them are taken back to Config.Earlier in between.
	RollingUpgrade
)

const (
	// upgradePause is the time between the replacements of two hosts in a rolling upgrade.
	upgradePause = 400 * time.Millisecond
	// versionTimeout is the time limit for a program to print its version.
	versionTimeout = 5 * time.Second
)

// ProgramError reports an executable that does not start.
type ProgramError struct {
	Program string
	Err     error
}

func (e *ProgramError) Error() string {
	return fmt.Sprintf("soak: %s does not start: %v", e.Program, e.Err)
}

// Unwrap returns the cause.
func (e *ProgramError) Unwrap() error { return e.Err }

// CheckProgram returns a *ProgramError if an executable does not print its version.
func CheckProgram(ctx context.Context, program string) error {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	if err := exec.CommandContext(ctx, program, "--version").Run(); err != nil {
		return &ProgramError{Program: program, Err: err}
	}
	return nil
}

// build is an executable and the flags with which hosts run it.
type build struct {
	program string
	flags   []string
}

// chooseBuild returns the build with which a host starts next. current is the one with which
// it started last.
func (r *run) chooseBuild(current build) build {
	present := build{program: r.cfg.Program, flags: r.cfg.HostFlags}
	earlier := build{program: r.cfg.Earlier, flags: r.cfg.EarlierFlags}
	switch r.cfg.Upgrade {
	case RandomReleases:
		if r.randomFraction() < 0.5 {
			return earlier
		}
		return present
	case RollingUpgrade:
		if current.program == "" {
			return earlier
		}
		return current
	default:
		return present
	}
}

// runUpgrade replaces the hosts one after the other: half of them by the present release,
// these by the earlier one again, and then all by the present one. It ends early if the time
// without new faults begins.
func (r *run) runUpgrade() {
	if r.cfg.Upgrade != RollingUpgrade {
		return
	}
	present := build{program: r.cfg.Program, flags: r.cfg.HostFlags}
	earlier := build{program: r.cfg.Earlier, flags: r.cfg.EarlierFlags}
	half := len(r.hosts) / 2
	end := time.Now().Add(r.cfg.LoadDuration - faultFreeEnd)
	r.sleep(faultFreeStart)
	for _, phase := range []struct {
		hosts []*process
		build build
	}{{r.hosts[:half], present}, {r.hosts[:half], earlier}, {r.hosts, present}} {
		for _, h := range phase.hosts {
			if r.ctx.Err() != nil || time.Now().After(end) {
				return
			}
			h.setBuild(phase.build)
			r.restart(h, syscall.SIGTERM, 0)
			r.sleep(upgradePause)
		}
	}
}
