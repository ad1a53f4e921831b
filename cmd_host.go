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
	"wisteriaweir/placement"
	"wisteriaweir/platform"
)

// hostCommand returns the command that runs one entry host of package host on the
// users' platform until SIGTERM or SIGINT. The platform writes its settings file.
func hostCommand() *cli.Command {
	return &cli.Command{
		Name:  "host",
		Usage: "run a balancer on an entry host of the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Usage: "settings file that the platform writes",
				Sources: cli.EnvVars(platform.SettingsPathVariable), Required: true,
			},
			&cli.IntFlag{
				Name: "monitor-port", Usage: "TCP port of metrics, health and dump, 0 for none", Value: 0,
				Sources: cli.EnvVars("WISTERIAWEIR_MONITOR_PORT"),
			},
			&cli.IntFlag{
				Name: "hosts-per-target", Usage: "number of hosts of a failure domain that use each of its targets under load, 0 for all", Value: 0,
				Sources: cli.EnvVars("WISTERIAWEIR_HOSTS_PER_TARGET"),
			},
			&cli.BoolFlag{
				Name: "target-speed", Usage: "estimate the speeds of targets from the response times of the host's own flows, and send more to faster ones",
				Sources: cli.EnvVars("WISTERIAWEIR_TARGET_SPEED"),
			},
			&cli.StringFlag{
				Name: "log-level", Usage: "debug, info, warn or error", Value: "info",
				Sources: cli.EnvVars("WISTERIAWEIR_LOG_LEVEL"),
			},
			&cli.StringFlag{
				Name: "log-format", Usage: "text or json", Value: "json",
				Sources: cli.EnvVars("WISTERIAWEIR_LOG_FORMAT"),
			},
			&cli.StringFlag{
				Name: "shared-admission", Value: "off",
				Usage:   "services for which the hosts of a failure domain share an admission level and reject the worse priorities under overload: off, short (services with about one request per flow) or all",
				Sources: cli.EnvVars("WISTERIAWEIR_SHARED_ADMISSION"),
			},
		},
		Action: runHost,
	}
}

const (
	// maxBufferedLogLines is the maximum number of log lines that are queued for a
	// slow reader of stdout; further lines are dropped and counted.
	maxBufferedLogLines = 2048
	// logFlushTimeout limits the time for writing the queued lines when the process
	// ends.
	logFlushTimeout = 200 * time.Millisecond
)

// heapGrowthPercent is the growth of the heap that starts a garbage collection, in
// percent of the live heap. It is low since hosts have little memory and a
// collection of a small heap is cheap.
const heapGrowthPercent = 25

// sharedAdmissionModes are the values of --shared-admission.
var sharedAdmissionModes = map[string]placement.SharedAdmission{
	"off":   placement.NoSharedAdmission,
	"short": placement.ShortFlowAdmission,
	"all":   placement.FullAdmission,
}

func runHost(ctx context.Context, cmd *cli.Command) error {
	debug.SetGCPercent(heapGrowthPercent)
	settings, ignored, err := platform.ReadSettings(cmd.String("settings"))
	if err != nil {
		return err
	}
	port := cmd.Int("monitor-port")
	if port < 0 || port > 65535 {
		return newCommandError(fmt.Sprintf("--monitor-port is %d, a port from 0 to 65535 is needed", port))
	}
	admission, ok := sharedAdmissionModes[cmd.String("shared-admission")]
	if !ok {
		return newCommandError(fmt.Sprintf("--shared-admission is %q, one of off, short and all is needed", cmd.String("shared-admission")))
	}
	logOutput := monitor.NewNonBlockingWriter(os.Stdout, maxBufferedLogLines)
	defer logOutput.Close(logFlushTimeout)
	logger, err := monitor.NewLogger(cmd.String("log-level"), cmd.String("log-format"), logOutput)
	if err != nil {
		return err
	}
	ctx, stop := signalContext(ctx)
	defer stop()
	cfg := host.Config{
		Settings:        settings,
		SettingsPath:    cmd.String("settings"),
		IgnoredSettings: ignored,
		Log:             logger.WithField("host", settings.Name),
		Seed:            rand.Uint64(),
		HostsPerTarget:  cmd.Int("hosts-per-target"),
		TargetSpeed:     cmd.Bool("target-speed"),
		DroppedLogLines: logOutput.DroppedLines,
		SharedAdmission: admission,
	}
	if port > 0 {
		cfg.MonitorAddr = netip.AddrPortFrom(settings.IP, uint16(port))
	}
	h, err := host.New(cfg)
	if err != nil {
		return err
	}
	stopReload := reloadOnSignal(h)
	defer stopReload()
	return h.Run(ctx)
}

// reloadOnSignal reloads the settings of h on each SIGHUP until the returned
// function is called.
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
