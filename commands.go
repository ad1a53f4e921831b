package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// Exit codes of the program.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// coder is an error that names its own exit code.
type coder interface {
	error
	ExitCode() int
}

// commands lists every command of the program.
func commands() []*cli.Command {
	return []*cli.Command{
		balancerCommand(),
		hostCommand(),
		ticketCommand(),
		statusCommand(),
		dumpCommand(),
		measureCommand(),
		fakeCommand(),
		soakCommand(),
	}
}

// run runs one command line and returns its exit code.
func run(ctx context.Context, args []string) int {
	root := &cli.Command{
		Name:                  "wisteriaweir",
		Usage:                 "a layer-4 load balancer for many small entry hosts",
		Version:               version,
		EnableShellCompletion: true,
		Commands:              commands(),
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError:          usageError,
		Action:                rootAction,
	}
	checkUsage(root.Commands)
	err := root.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "wisteriaweir:", err)
	var c coder
	if errors.As(err, &c) {
		return c.ExitCode()
	}
	return exitError
}

// rootAction shows the help, or reports a command that does not exist.
func rootAction(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		return usage(fmt.Sprintf("no command %q, see --help", name))
	}
	return cli.ShowRootCommandHelp(cmd)
}

// checkUsage makes every command report a wrong flag in the same way.
func checkUsage(commands []*cli.Command) {
	for _, c := range commands {
		c.OnUsageError = usageError
		checkUsage(c.Commands)
	}
}
