package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"wisteriaweir/soak"
)

// soakViolationError reports the seeds whose runs violated an invariant.
type soakViolationError struct {
	Seeds []uint64
}

func (e *soakViolationError) Error() string {
	return fmt.Sprintf("soak: invariants violated with the seeds %v", e.Seeds)
}

// ExitCode returns exitViolation.
func (e *soakViolationError) ExitCode() int {
	return exitViolation
}

// soakCommand returns the command that runs hosts as child processes, injects faults
// from outside them and checks the invariants.
func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run hosts as processes with fake targets, routers and callers, inject faults and check the invariants",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds, run one after the other"},
			&cli.DurationFlag{Name: "length", Value: 30 * time.Second, Usage: "duration of the load of each seed"},
			&cli.IntFlag{Name: "hosts", Value: 6, Usage: "number of hosts, in two failure domains"},
			&cli.IntFlag{Name: "targets", Value: 9, Usage: "number of targets of the first service; the second has a third as many"},
			&cli.IntFlag{Name: "callers", Value: 6, Usage: "number of callers for each kind of request"},
			&cli.IntFlag{Name: "block", Value: 40, Usage: "second byte of all addresses, 127.BLOCK.x.y"},
			&cli.StringFlag{Name: "logs", Value: "run/soak", Usage: "directory for settings files and logs"},
			&cli.StringFlag{Name: "host-flags", Value: "--hosts-per-target 4 --shared-admission short", Usage: "flags of the hosts, separated by spaces"},
			&cli.StringFlag{Name: "earlier", Usage: "executable of an earlier release: with odd seeds each start of a host runs it or this release at random, with even ones the hosts are upgraded one after the other, half of them are taken back, and all are upgraded"},
			&cli.StringFlag{Name: "earlier-flags", Value: "--hosts-per-target 4 --shared-admission short", Usage: "flags of the hosts of the earlier release"},
			&cli.BoolFlag{Name: "verbose", Usage: "print each fault"},
		},
		Action: runSoak,
	}
}

// upgradeOf returns the way in which the hosts of a seed change between two releases.
func upgradeOf(seed uint64) soak.Upgrade {
	if seed%2 == 0 {
		return soak.RollingUpgrade
	}
	return soak.RandomReleases
}

func runSoak(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signalContext(ctx)
	defer stop()
	program, err := os.Executable()
	if err != nil {
		return err
	}
	if cmd.Int("hosts") < 2 || cmd.Int("hosts") > 200 || cmd.Int("targets") < 6 || cmd.Int("targets") > 120 {
		return newCommandError("--hosts must be from 2 to 200 and --targets from 6 to 120")
	}
	earlier := cmd.String("earlier")
	if earlier != "" {
		if err := soak.CheckProgram(ctx, earlier); err != nil {
			return err
		}
	}
	violationErr := &soakViolationError{}
	for i := range cmd.Int("seeds") {
		seed := cmd.Uint64("seed") + uint64(i)
		dir, err := soak.MakeDir(cmd.String("logs"), seed)
		if err != nil {
			return err
		}
		cfg := soak.Config{
			Seed: seed, Program: program, Hosts: cmd.Int("hosts"), Targets: cmd.Int("targets"), Callers: cmd.Int("callers"),
			LoadDuration: cmd.Duration("length"), SecondAddressByte: byte(cmd.Int("block")), Dir: dir,
		}
		cfg.HostFlags = strings.Fields(cmd.String("host-flags"))
		if earlier != "" {
			cfg.Earlier, cfg.EarlierFlags = earlier, strings.Fields(cmd.String("earlier-flags"))
			cfg.Upgrade = upgradeOf(seed)
		}
		if cmd.Bool("verbose") {
			cfg.Log = func(line string) { fmt.Fprintln(os.Stderr, line) }
		}
		r, err := soak.Run(ctx, cfg)
		if err != nil {
			return err
		}
		fmt.Fprintf(os.Stdout, "seed=%d steps=%d broken=%d %s\n", seed, len(r.Steps), len(r.Violations), r.Summary)
		for _, violation := range r.Violations {
			fmt.Fprintln(os.Stdout, "  "+violation)
		}
		if len(r.Violations) > 0 {
			violationErr.Seeds = append(violationErr.Seeds, seed)
		}
	}
	if len(violationErr.Seeds) > 0 {
		return violationErr
	}
	return nil
}
