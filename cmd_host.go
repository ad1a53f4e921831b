package main

import (
	"context"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"wisteriaweir/host"
	"wisteriaweir/monitor"
	"wisteriaweir/platform"
)

// hostCommand runs one entry host on the users' platform.
func hostCommand() *cli.Command {
	return &cli.Command{
		Name:  "host",
		Usage: "run a balancer on an entry host of the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Usage: "settings file that the platform writes",
				Sources: cli.EnvVars(platform.BootVariable), Required: true,
			},
			&cli.StringFlag{
				Name: "log-level", Usage: "debug, info, warn or error", Value: "info",
				Sources: cli.EnvVars("WISTERIAWEIR_LOG_LEVEL"),
			},
			&cli.StringFlag{
				Name: "log-format", Usage: "text or json", Value: "json",
				Sources: cli.EnvVars("WISTERIAWEIR_LOG_FORMAT"),
			},
		},
		Action: runHost,
	}
}

// heapGrowth is how far the heap may grow between two collections, in percent of
// what is live. Hosts are small and a collection is cheap.
const heapGrowth = 25

func runHost(ctx context.Context, cmd *cli.Command) error {
	debug.SetGCPercent(heapGrowth)
	boot, err := platform.ReadBoot(cmd.String("settings"))
	if err != nil {
		return err
	}
	logger, err := monitor.NewLogger(cmd.String("log-level"), cmd.String("log-format"), os.Stdout)
	if err != nil {
		return err
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	h, err := host.New(host.Config{
		Boot:     boot,
		BootPath: cmd.String("settings"),
		Log:      logger.WithField("host", boot.Name),
		Seed:     rand.Uint64(),
	})
	if err != nil {
		return err
	}
	stopReload := reloadOnSignal(h)
	defer stopReload()
	return h.Run(ctx)
}

// reloadOnSignal reads the settings again at each SIGHUP, until the function
// that it returns is called.
func reloadOnSignal(h *host.Host) func() {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for range hup {
			h.Reload()
		}
	}()
	return func() {
		signal.Stop(hup)
		close(hup)
	}
}
