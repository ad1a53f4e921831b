package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"wisteriaweir/balancer"
	"wisteriaweir/monitor"
	"wisteriaweir/setting"
)

// balancerCommand returns the command that runs one balancer of package balancer
// until SIGTERM or SIGINT. Its configuration comes from change tickets.
func balancerCommand() *cli.Command {
	return &cli.Command{
		Name:   "balancer",
		Usage:  "run a balancer on this entry host",
		Flags:  setting.Flags(),
		Action: runBalancer,
	}
}

func runBalancer(ctx context.Context, cmd *cli.Command) error {
	cfg, err := setting.FromCommand(cmd)
	if err != nil {
		return err
	}
	logger, err := monitor.NewLogger(cfg.Log.Level, cfg.Log.Format, os.Stderr)
	if err != nil {
		return err
	}
	ctx, stop := signalContext(ctx)
	defer stop()
	b, err := balancer.New(balancer.Config{
		Setting: cfg,
		Life:    uint64(time.Now().UnixNano()),
		Log:     logger.WithField("balancer", cfg.Name),
	})
	if err != nil {
		return err
	}
	return b.Run(ctx)
}
