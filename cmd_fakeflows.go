package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"wisteriaweir/fake"
	"wisteriaweir/platform"
)

// BrokenPromiseError says that a run saw a promise broken.
type BrokenPromiseError struct {
	Verdict fake.Summary
}

func (e *BrokenPromiseError) Error() string {
	return "a promise was broken: " + e.Verdict.String()
}

// ExitCode is that of a broken promise.
func (e *BrokenPromiseError) ExitCode() int {
	return exitBroken
}

// fakeFlowsCommand stands in for what is round a system of entry hosts.
func fakeFlowsCommand() *cli.Command {
	return &cli.Command{
		Name:  "flows",
		Usage: "stand in for targets, routers and callers that speak the platform's packets, and print what they saw",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "store", Value: "http://127.0.0.1:7200", Usage: "base URL of the platform's store"},
			&cli.IntFlag{Name: "block", Usage: "second byte of all addresses, 127.BLOCK.x.y"},
			&cli.IntFlag{Name: "port", Value: 7400, Usage: "UDP port of packets"},
			&cli.StringSliceFlag{Name: "host", Usage: "PACKETS=READY addresses of an entry host, repeatable"},
			&cli.StringSliceFlag{Name: "domain", Usage: "failure domain of targets, repeatable"},
			&cli.IntFlag{Name: "targets", Value: 12, Usage: "targets of the first service; the second has a third of them"},
			&cli.IntFlag{Name: "callers", Value: 10, Usage: "callers of each kind of request"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "time of the load"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
		},
		Action: runFakeFlows,
	}
}

func runFakeFlows(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := untilSignal(ctx)
	defer stop()
	cfg := fake.TestEnvironmentConfig{
		Net: [2]byte{127, byte(cmd.Int("block"))}, Port: uint16(cmd.Int("port")), Store: cmd.String("store"),
		Domains: cmd.StringSlice("domain"), Targets: cmd.Int("targets"), Callers: cmd.Int("callers"), Seed: cmd.Uint64("seed"),
	}
	if len(cfg.Domains) == 0 || cmd.Int("targets") < 1 || cmd.Int("targets") > 150 {
		return usage("--domain is needed, and 1 to 150 --targets")
	}
	for _, given := range cmd.StringSlice("host") {
		packets, ready, _ := strings.Cut(given, "=")
		var h fake.RouterHost
		var err error
		if h.Packets, err = address("host", packets); err != nil {
			return err
		}
		if h.Ready, err = address("host", ready); err != nil {
			return err
		}
		cfg.Hosts = append(cfg.Hosts, h)
	}
	v, err := runFlowWorld(ctx, cfg, cmd.Duration("duration"))
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stdout, v)
	if v.HasViolations() {
		return &BrokenPromiseError{Verdict: v}
	}
	return nil
}

// runFlowWorld runs targets and callers for a time and returns what they saw.
func runFlowWorld(ctx context.Context, cfg fake.TestEnvironmentConfig, load time.Duration) (fake.Summary, error) {
	targets, stopTargets := context.WithCancel(ctx)
	defer stopTargets()
	w := fake.NewTestEnvironment(cfg)
	if err := w.AddTargets(targets); err != nil {
		return fake.Summary{}, err
	}
	if err := w.Configure(ctx); err != nil {
		return fake.Summary{}, err
	}
	go w.Router.Run(targets)
	for w.Router.ReadyCount() < len(cfg.Hosts) && platform.Sleep(ctx, 50*time.Millisecond) == nil {
	}
	callers, stopCallers := context.WithTimeout(ctx, load)
	defer stopCallers()
	if err := w.Callers.Run(callers); err != nil {
		return fake.Summary{}, err
	}
	return w.Summary(), ctx.Err()
}
