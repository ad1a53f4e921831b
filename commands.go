package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"wisteriaweir/release"
)

// Exit codes of every command; the operators' commands have further ones in exit.go.
const (
	// exitOK reports success.
	exitOK = 0
	// exitError reports a failure that has no other exit code.
	exitError = 1
	// exitUsage reports an invalid command line.
	exitUsage = 2
)

// exitCoder is an error that determines the exit code of the process.
type exitCoder interface {
	error
	ExitCode() int
}

// commands returns the commands of the program.
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

// run executes the command line args and returns the exit code.
func run(ctx context.Context, args []string) int {
	root := &cli.Command{
		Name:                  "wisteriaweir",
		Usage:                 "a layer-4 load balancer for many small entry hosts",
		Version:               release.Current().String(),
		EnableShellCompletion: true,
		Commands:              commands(),
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError:          handleUsageError,
		Action:                rootAction,
	}
	setUsageErrorHandler(root.Commands)
	err := root.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "wisteriaweir:", err)
	var c exitCoder
	if errors.As(err, &c) {
		return c.ExitCode()
	}
	return exitError
}

// rootAction prints the help, or reports an unknown command.
func rootAction(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		return newCommandError(fmt.Sprintf("no command %q, see --help", name))
	}
	return cli.ShowRootCommandHelp(cmd)
}

// setUsageErrorHandler sets handleUsageError as the handler of invalid flags on
// commands and all their subcommands.
func setUsageErrorHandler(commands []*cli.Command) {
	for _, c := range commands {
		c.OnUsageError = handleUsageError
		setUsageErrorHandler(c.Commands)
	}
}
