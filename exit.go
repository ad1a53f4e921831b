package main

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"wisteriaweir/platform"
	"wisteriaweir/ticket"
)

// Further exit codes, of the operators' commands. They are listed in docs/TICKETS.md
// and do not change.
const (
	// exitMistake says that a ticket has mistakes.
	exitMistake = 3
	// exitConflict says that another ticket holds the number, or that the
	// number is not the next one.
	exitConflict = 4
	// exitLag says that a ticket is not in force everywhere in time.
	exitLag = 5
	// exitUnavailable says that the platform did not answer and nothing was
	// changed.
	exitUnavailable = 6
	// exitUnknown says that the outcome is not known: run the command again.
	exitUnknown = 7
	// exitPlatform says that the platform holds or answered something wrong.
	exitPlatform = 8
	// exitMissing says that there is no such ticket.
	exitMissing = 9
)

// codeError gives an error an exit code.
type codeError struct {
	err  error
	code int
}

func (e *codeError) Error() string { return e.err.Error() }

func (e *codeError) Unwrap() error { return e.err }

// ExitCode returns the exit code of the program for this error.
func (e *codeError) ExitCode() int { return e.code }

// withCode gives err the exit code of its kind.
func withCode(err error) error {
	if err == nil || errors.As(err, new(coder)) {
		return err
	}
	return &codeError{err: err, code: exitCode(err)}
}

// exitCode returns the exit code of an error of the ticket and platform
// packages.
func exitCode(err error) int {
	switch {
	case errors.As(err, new(*ticket.CheckError)):
		return exitMistake
	case errors.As(err, new(*ticket.NumberTakenError)), errors.As(err, new(*ticket.NumberError)):
		return exitConflict
	case errors.As(err, new(*ticket.LagError)):
		return exitLag
	case errors.As(err, new(*ticket.OutcomeUnknownError)), errors.As(err, new(*platform.OutcomeUnknownError)):
		return exitUnknown
	case errors.As(err, new(*platform.UnavailableError)), errors.As(err, new(*platform.RateLimitError)), errors.As(err, new(*ticket.StaleError)):
		return exitUnavailable
	case errors.As(err, new(*platform.NotFoundError)):
		return exitMissing
	case errors.As(err, new(*platform.InvalidResponseError)), errors.As(err, new(*ticket.HeadError)),
		errors.As(err, new(*ticket.StoredError)), errors.As(err, new(*ticket.MismatchError)),
		errors.As(err, new(*ticket.OwnerError)), errors.As(err, new(*ticket.StatusError)):
		return exitPlatform
	}
	return exitError
}

// usageError reports a command line that is not allowed.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &codeError{err: err, code: exitUsage}
}
