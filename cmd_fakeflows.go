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

// flowsViolationError reports a run of "fake flows" that violated an invariant.
type flowsViolationError struct {
	Summary fake.Summary
}

func (e *flowsViolationError) Error() string {
	return "an invariant was violated: " + e.Summary.String()
}

// ExitCode returns exitViolation.
func (e *flowsViolationError) ExitCode() int {
	return exitViolation
}

// fakeFlowsCommand returns the command that runs the fakes around a system of
// entry hosts: targets, routers and callers.
func fakeFlowsCommand() *cli.Command {
	return &cli.Command{
		Name:  "flows",
		Usage: "run fake targets, routers and callers that exchange the platform's packets, and print a summary of the results",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "store", Value: "http://127.0.0.1:7200", Usage: "base URL of the platform's store"},
			&cli.IntFlag{Name: "block", Usage: "second byte of all addresses, 127.BLOCK.x.y"},
			&cli.IntFlag{Name: "port", Value: 7400, Usage: "UDP port for the platform's packets"},
			&cli.StringSliceFlag{Name: "host", Usage: "PACKETS=READY addresses of an entry host, repeatable"},
			&cli.StringSliceFlag{Name: "domain", Usage: "failure domain of targets, repeatable"},
			&cli.IntFlag{Name: "targets", Value: 12, Usage: "number of targets of the first service; the second has a third as many"},
			&cli.IntFlag{Name: "callers", Value: 10, Usage: "number of callers for each kind of request"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "duration of the load"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the load"},
		},
		Action: runFakeFlows,
	}
}

func runFakeFlows(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signalContext(ctx)
	defer stop()
	cfg := fake.TestEnvironmentConfig{
		AddressPrefix: [2]byte{127, byte(cmd.Int("block"))}, Port: uint16(cmd.Int("port")), Store: cmd.String("store"),
		Domains: cmd.StringSlice("domain"), Targets: cmd.Int("targets"), Callers: cmd.Int("callers"), Seed: cmd.Uint64("seed"),
	}
	if len(cfg.Domains) == 0 || cmd.Int("targets") < 1 || cmd.Int("targets") > 150 {
		return newCommandError("--domain is required, and --targets must be from 1 to 150")
	}
	for _, value := range cmd.StringSlice("host") {
		packetAddr, readyAddr, _ := strings.Cut(value, "=")
		var h fake.RouterHost
		var err error
		if h.Packets, err = parseAddress("host", packetAddr); err != nil {
			return err
		}
		if h.Ready, err = parseAddress("host", readyAddr); err != nil {
			return err
		}
		cfg.Hosts = append(cfg.Hosts, h)
	}
	summary, err := runFlowEnvironment(ctx, cfg, cmd.Duration("duration"))
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stdout, summary)
	if summary.HasViolations() {
		return &flowsViolationError{Summary: summary}
	}
	return nil
}

// runFlowEnvironment runs targets and a router, writes the configuration, waits
// until every host is ready, runs callers for loadDuration, and returns the
// summary of the run.
func runFlowEnvironment(ctx context.Context, cfg fake.TestEnvironmentConfig, loadDuration time.Duration) (fake.Summary, error) {
	targetsCtx, stopTargets := context.WithCancel(ctx)
	defer stopTargets()
	env := fake.NewTestEnvironment(cfg)
	if err := env.AddTargets(targetsCtx); err != nil {
		return fake.Summary{}, err
	}
	if err := env.Configure(ctx); err != nil {
		return fake.Summary{}, err
	}
	go env.Router.Run(targetsCtx)
	for env.Router.ReadyCount() < len(cfg.Hosts) && platform.Sleep(ctx, 50*time.Millisecond) == nil {
	}
	callersCtx, stopCallers := context.WithTimeout(ctx, loadDuration)
	defer stopCallers()
	if err := env.Callers.Run(callersCtx); err != nil {
		return fake.Summary{}, err
	}
	return env.Summary(), ctx.Err()
}
