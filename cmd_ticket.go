package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"
	"gopkg.in/yaml.v3"

	"wisteriaweir/platform"
	"wisteriaweir/ticket"
)

// ticketCommand returns the command whose subcommands handle change tickets.
func ticketCommand() *cli.Command {
	return &cli.Command{
		Name:         "ticket",
		Usage:        "check, submit, show and wait for change tickets",
		Commands:     []*cli.Command{ticketCheckCommand(), ticketSubmitCommand(), ticketShowCommand(), ticketWaitCommand()},
		OnUsageError: handleUsageError,
	}
}

func ticketCheckCommand() *cli.Command {
	return &cli.Command{
		Name:         "check",
		Usage:        "report every mistake in ticket files, checked in the order of their numbers",
		ArgsUsage:    "FILE...",
		Flags:        []cli.Flag{jsonFlag()},
		OnUsageError: handleUsageError,
		Action: func(_ context.Context, cmd *cli.Command) error {
			if !cmd.Args().Present() {
				return newCommandError("ticket check: needs one FILE or more")
			}
			return checkTickets(newPrinter(cmd), cmd.Args().Slice())
		},
	}
}

// checkTickets checks the named files as a sequence of tickets and prints the
// mistakes.
func checkTickets(p printer, names []string) error {
	files := make([]ticket.File, 0, len(names))
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return newCommandError(err.Error())
		}
		files = append(files, ticket.File{Name: name, Data: data})
	}
	var checkErr *ticket.CheckError
	_, err := ticket.CheckFiles(files)
	errors.As(err, &checkErr)
	return p.printCheck(len(files), checkErr)
}

func ticketSubmitCommand() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "submit a ticket; submitting the same ticket again has no effect",
		ArgsUsage: "FILE",
		Flags:     append(platformFlags(), jsonFlag()),
		Description: "The ticket's number must be the one after the newest accepted ticket. If two tickets\n" +
			"have the same number, one is accepted and the other submit command reports which.",
		OnUsageError: handleUsageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return newCommandError("ticket submit: needs one FILE")
			}
			c, err := newClient(cmd)
			if err != nil {
				return err
			}
			return submitTicket(ctx, newPrinter(cmd), c, cmd.Args().First())
		},
	}
}

func submitTicket(ctx context.Context, p printer, c *platform.Client, name string) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return newCommandError(err.Error())
	}
	t, err := ticket.Parse(name, data)
	var checkErr *ticket.CheckError
	if errors.As(err, &checkErr) {
		return p.printCheck(1, checkErr)
	}
	h, err := ticket.Submit(ctx, c, t)
	if errors.As(err, &checkErr) {
		return p.printCheck(1, &ticket.CheckError{Mistakes: ticket.LocateMistakes(name, data, checkErr.Mistakes)})
	}
	return p.printSubmit(t, h, err)
}

func ticketShowCommand() *cli.Command {
	return &cli.Command{
		Name:         "show",
		Usage:        "print a ticket in the format of a ticket file",
		ArgsUsage:    "NUMBER",
		Flags:        append(platformFlags(), jsonFlag()),
		OnUsageError: handleUsageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			n, err := parseTicketNumber(cmd)
			if err != nil {
				return err
			}
			c, err := newClient(cmd)
			if err != nil {
				return err
			}
			return showTicket(ctx, newPrinter(cmd), c, n)
		},
	}
}

func showTicket(ctx context.Context, p printer, c *platform.Client, n uint64) error {
	t, accepted, err := ticket.FindTicket(ctx, c, n)
	if err != nil {
		return withExitCode(err)
	}
	if !accepted {
		fmt.Fprintf(os.Stderr, "wisteriaweir: ticket %d is written and not accepted: submit it again\n", n)
	}
	if p.json {
		return p.printJSON(t)
	}
	return yaml.NewEncoder(p.w).Encode(t)
}

func ticketWaitCommand() *cli.Command {
	return &cli.Command{
		Name:         "wait",
		Usage:        "wait until a ticket is in force in every failure domain",
		ArgsUsage:    "NUMBER",
		Flags:        append(platformFlags(), timeoutFlag(), jsonFlag()),
		OnUsageError: handleUsageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			n, err := parseTicketNumber(cmd)
			if err != nil {
				return err
			}
			c, err := newClient(cmd)
			if err != nil {
				return err
			}
			timeout, err := time.ParseDuration(cmd.String("timeout"))
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			h, err := ticket.Wait(ctx, c, n)
			return newPrinter(cmd).printWait(n, h, err)
		},
	}
}

// parseTicketNumber parses the only argument of cmd, the number of a ticket.
func parseTicketNumber(cmd *cli.Command) (uint64, error) {
	n, err := strconv.ParseUint(cmd.Args().First(), 10, 64)
	if err != nil || n == 0 || cmd.Args().Len() != 1 {
		return 0, newCommandError(fmt.Sprintf("ticket %s: needs one NUMBER, 1 or more", cmd.Name))
	}
	return n, nil
}

// newCommandError returns the error of an invalid command line.
func newCommandError(reason string) error {
	return &commandError{reason: reason}
}

// commandError reports an invalid command line.
type commandError struct {
	reason string
}

func (e *commandError) Error() string { return e.reason }

// ExitCode returns exitUsage.
func (e *commandError) ExitCode() int { return exitUsage }
