package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

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
				Sources: cli.EnvVars(platform.SettingsVariable), Required: true,
			},
			&cli.IntFlag{
				Name: "monitor-port", Usage: "TCP port of metrics, health and dump, 0 for none", Value: 0,
				Sources: cli.EnvVars("WISTERIAWEIR_MONITOR_PORT"),
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

const (
	// logLines is the number of log lines that may wait for a slow reader, logFlush
	// the time for them at the end.
	logLines = 2048
	logFlush = 200 * time.Millisecond
)

// heapGrowth is how far the heap may grow between two collections, in percent of
// what is live. Hosts are small and a collection is cheap.
const heapGrowth = 25

func runHost(ctx context.Context, cmd *cli.Command) error {
	debug.SetGCPercent(heapGrowth)
	boot, err := platform.ReadSettings(cmd.String("settings"))
	if err != nil {
		return err
	}
	port := cmd.Int("monitor-port")
	if port < 0 || port > 65535 {
		return usage(fmt.Sprintf("--monitor-port is %d, a port from 0 to 65535 is needed", port))
	}
	lines := monitor.NewNonBlockingWriter(os.Stdout, logLines)
	defer lines.Close(logFlush)
	logger, err := monitor.NewLogger(cmd.String("log-level"), cmd.String("log-format"), lines)
	if err != nil {
		return err
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	cfg := host.Config{
		Settings:        boot,
		SettingsPath:    cmd.String("settings"),
		Log:             logger.WithField("host", boot.Name),
		Seed:            rand.Uint64(),
		DroppedLogLines: lines.DroppedLines,
	}
	if port > 0 {
		cfg.Monitor = netip.AddrPortFrom(boot.IP, uint16(port))
	}
	h, err := host.New(cfg)
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
