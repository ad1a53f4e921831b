package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"wisteriaweir/fake"
)

// exitViolation is the exit code of a run that violated an invariant.
const exitViolation = 3

// shutdownTimeout limits how long the fake platform waits for open calls when it
// stops.
const shutdownTimeout = time.Second

// flagValueError reports a flag of a fake command whose value is invalid.
type flagValueError struct {
	Flag, Given, Allowed string
}

func (e *flagValueError) Error() string {
	return fmt.Sprintf("--%s: given %q, allowed: %s", e.Flag, e.Given, e.Allowed)
}

// ExitCode returns exitUsage.
func (e *flagValueError) ExitCode() int {
	return exitUsage
}

// loadViolationError reports that an invariant was violated under the load of the
// fake caller.
type loadViolationError struct {
	Result fake.Result
}

func (e *loadViolationError) Error() string {
	return "a request was lost or ran twice, or a flow was broken or misrouted"
}

// ExitCode returns exitViolation.
func (e *loadViolationError) ExitCode() int {
	return exitViolation
}

// fakeCommand returns the command whose subcommands run the fakes of a local system.
func fakeCommand() *cli.Command {
	return &cli.Command{
		Name:  "fake",
		Usage: "run a fake component for local tests of balancers",
		Commands: []*cli.Command{
			fakePlatformCommand(),
			fakeFabricCommand(),
			fakeTargetCommand(),
			fakeCallerCommand(),
			fakeFlowsCommand(),
		},
	}
}

func fakePlatformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a fake of the platform's object service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7200", Usage: "HTTP address"},
			&cli.DurationFlag{Name: "host-lag", Value: time.Second, Usage: "how long the list of hosts lags behind changes"},
			&cli.DurationFlag{Name: "lapse", Value: 1200 * time.Millisecond, Usage: "time without renewal after which the entry of a target is removed"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, stop := signalContext(ctx)
			defer stop()
			p := fake.NewPlatform(fake.PlatformConfig{HostLag: cmd.Duration("host-lag"), EntryTTL: cmd.Duration("lapse")})
			go p.Run(ctx)
			srv := &http.Server{Addr: cmd.String("listen"), Handler: p, ReadHeaderTimeout: time.Second}
			go func() {
				<-ctx.Done()
				shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
				defer cancel()
				_ = srv.Shutdown(shutdownCtx)
				_ = srv.Close()
			}()
			err := srv.ListenAndServe()
			if err == http.ErrServerClosed {
				return nil
			}
			return err
		},
	}
}

func fakeFabricCommand() *cli.Command {
	return &cli.Command{
		Name:  "fabric",
		Usage: "run a fake fabric that sends each datagram to a random balancer",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "uplink", Value: "127.0.0.1:7100", Usage: "UDP address that balancers reply to"},
			&cli.StringSliceFlag{Name: "address", Usage: "service address to listen on, repeatable"},
			&cli.StringSliceFlag{Name: "balancer", Usage: "ENTRY or ENTRY=READYURL of a balancer, repeatable"},
			&cli.StringFlag{Name: "status", Usage: "HTTP address of the fabric's dump"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the choice of balancers"},
		},
		Action: runFakeFabric,
	}
}

func runFakeFabric(ctx context.Context, cmd *cli.Command) error {
	cfg := fake.FabricConfig{Seed: cmd.Uint64("seed")}
	var err error
	if cfg.Uplink, err = parseAddress("uplink", cmd.String("uplink")); err != nil {
		return err
	}
	for _, value := range cmd.StringSlice("address") {
		a, err := parseAddress("address", value)
		if err != nil {
			return err
		}
		cfg.Addresses = append(cfg.Addresses, a)
	}
	for _, value := range cmd.StringSlice("balancer") {
		entry, readyURL, _ := strings.Cut(value, "=")
		a, err := parseAddress("balancer", entry)
		if err != nil {
			return err
		}
		cfg.Balancers = append(cfg.Balancers, fake.FabricBalancer{Entry: a, ReadyURL: readyURL})
	}
	ctx, stop := signalContext(ctx)
	defer stop()
	f, err := fake.NewFabric(cfg)
	if err != nil {
		return err
	}
	if err := serveDump(ctx, cmd, func() any { return f.State() }); err != nil {
		return err
	}
	return f.Run(ctx)
}

func fakeTargetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "run a fake server behind a service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Required: true, Usage: "name of the service"},
			&cli.StringFlag{Name: "name", Required: true, Usage: "name of the target"},
			&cli.StringFlag{Name: "listen", Required: true, Usage: "UDP address"},
			&cli.StringFlag{Name: "status", Usage: "HTTP address of the target's state"},
			&cli.IntFlag{Name: "slots", Value: 2, Usage: "maximum number of concurrent requests"},
			&cli.DurationFlag{Name: "work", Value: 40 * time.Millisecond, Usage: "mean processing time of a request"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the processing times"},
		},
		Action: runFakeTarget,
	}
}

func runFakeTarget(ctx context.Context, cmd *cli.Command) error {
	cfg := fake.TargetConfig{
		Service:         cmd.String("service"),
		Name:            cmd.String("name"),
		Slots:           cmd.Int("slots"),
		MeanServiceTime: cmd.Duration("work"),
		Seed:            cmd.Uint64("seed"),
	}
	var err error
	if cfg.Listen, err = parseAddress("listen", cmd.String("listen")); err != nil {
		return err
	}
	if value := cmd.String("status"); value != "" {
		if cfg.Status, err = parseAddress("status", value); err != nil {
			return err
		}
	}
	ctx, stop := signalContext(ctx)
	defer stop()
	t, err := fake.NewTarget(cfg)
	if err != nil {
		return err
	}
	return t.Run(ctx)
}

func fakeCallerCommand() *cli.Command {
	return &cli.Command{
		Name:  "caller",
		Usage: "run a bounded load and print a one-line summary of the results",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "service", Required: true, Usage: "NAME=REQUESTADDRESS=FLOWADDRESS, repeatable"},
			&cli.FloatFlag{Name: "rate", Value: 50, Usage: "requests per second to each service"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "duration of the load"},
			&cli.DurationFlag{Name: "timeout", Value: 3 * time.Second, Usage: "deadline of a request"},
			&cli.FloatFlag{Name: "post", Value: 0.5, Usage: "fraction of requests that are POSTs and so must not be repeated"},
			&cli.IntFlag{Name: "flows", Value: 40, Usage: "number of flows to each service"},
			&cli.StringSliceFlag{Name: "target", Usage: "URL of a target's state, repeatable"},
			&cli.StringFlag{Name: "status", Usage: "HTTP address of the caller's dump"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the load"},
		},
		Action: runFakeCaller,
	}
}

func runFakeCaller(ctx context.Context, cmd *cli.Command) error {
	cfg := fake.CallerConfig{
		Rate:         cmd.Float("rate"),
		Duration:     cmd.Duration("duration"),
		Timeout:      cmd.Duration("timeout"),
		PostFraction: cmd.Float("post"),
		Flows:        cmd.Int("flows"),
		TargetURLs:   cmd.StringSlice("target"),
		Seed:         cmd.Uint64("seed"),
		Log:          func(line string) { fmt.Fprintln(os.Stderr, line) },
	}
	for _, value := range cmd.StringSlice("service") {
		s, err := parseCallerService(value)
		if err != nil {
			return err
		}
		cfg.Services = append(cfg.Services, s)
	}
	ctx, stop := signalContext(ctx)
	defer stop()
	c := fake.NewCaller(cfg)
	if err := serveDump(ctx, cmd, func() any { return c.State() }); err != nil {
		return err
	}
	result, err := c.Run(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stdout, result)
	if result.Failed() {
		return &loadViolationError{Result: result}
	}
	return nil
}

// parseCallerService parses a NAME=REQUESTADDRESS=FLOWADDRESS value of --service.
func parseCallerService(value string) (fake.CallerService, error) {
	parts := strings.Split(value, "=")
	if len(parts) != 3 {
		return fake.CallerService{}, &flagValueError{Flag: "service", Given: value, Allowed: "NAME=REQUESTADDRESS=FLOWADDRESS"}
	}
	request, err := parseAddress("service", parts[1])
	if err != nil {
		return fake.CallerService{}, err
	}
	flow, err := parseAddress("service", parts[2])
	if err != nil {
		return fake.CallerService{}, err
	}
	return fake.CallerService{Name: parts[0], Request: request, Flow: flow}, nil
}

// serveDump serves the result of state as a dump on the address of --status until
// ctx ends. Without --status it does nothing.
func serveDump(ctx context.Context, cmd *cli.Command, state func() any) error {
	value := cmd.String("status")
	if value == "" {
		return nil
	}
	addr, err := parseAddress("status", value)
	if err != nil {
		return err
	}
	return fake.ServeDump(ctx, addr, state)
}

// parseAddress parses an IP:PORT value of a flag.
func parseAddress(flag, value string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		return netip.AddrPort{}, &flagValueError{Flag: flag, Given: value, Allowed: "IP:PORT"}
	}
	return a, nil
}

// signalContext returns a context that is canceled on SIGTERM or SIGINT.
func signalContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}
