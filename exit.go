package main

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"wisteriaweir/platform"
	"wisteriaweir/ticket"
)

// Exit codes of the operators' commands, beside those in commands.go. They are
// documented in docs/TICKETS.md and stable.
const (
	// exitInvalidTicket reports that a ticket is invalid.
	exitInvalidTicket = 3
	// exitConflict reports that another ticket has the number, or that the
	// number is not the next one.
	exitConflict = 4
	// exitNotActive reports that a ticket was not active in every failure domain
	// before the timeout.
	exitNotActive = 5
	// exitUnavailable reports that the platform or a process was unavailable;
	// nothing was changed.
	exitUnavailable = 6
	// exitOutcomeUnknown reports that the command may or may not have taken
	// effect: run it again.
	exitOutcomeUnknown = 7
	// exitInvalidData reports that the platform stores or returned invalid data.
	exitInvalidData = 8
	// exitNotFound reports that the ticket does not exist.
	exitNotFound = 9
)

// exitCodeError wraps an error with an exit code.
type exitCodeError struct {
	err  error
	code int
}

func (e *exitCodeError) Error() string { return e.err.Error() }

func (e *exitCodeError) Unwrap() error { return e.err }

// ExitCode returns the code that the error was wrapped with.
func (e *exitCodeError) ExitCode() int { return e.code }

// withExitCode wraps err with the exit code of its type, unless err is nil or has
// an exit code already.
func withExitCode(err error) error {
	if err == nil || errors.As(err, new(exitCoder)) {
		return err
	}
	return &exitCodeError{err: err, code: exitCode(err)}
}

// exitCode maps errors of the packages ticket and platform to exit codes.
func exitCode(err error) int {
	switch {
	case errors.As(err, new(*ticket.CheckError)):
		return exitInvalidTicket
	case errors.As(err, new(*ticket.NumberTakenError)), errors.As(err, new(*ticket.NumberError)):
		return exitConflict
	case errors.As(err, new(*ticket.LagError)):
		return exitNotActive
	case errors.As(err, new(*ticket.OutcomeUnknownError)), errors.As(err, new(*platform.OutcomeUnknownError)):
		return exitOutcomeUnknown
	case errors.As(err, new(*platform.UnavailableError)), errors.As(err, new(*platform.RateLimitError)), errors.As(err, new(*ticket.StaleError)):
		return exitUnavailable
	case errors.As(err, new(*platform.NotFoundError)):
		return exitNotFound
	case errors.As(err, new(*platform.InvalidResponseError)), errors.As(err, new(*ticket.HeadError)),
		errors.As(err, new(*ticket.StoredError)), errors.As(err, new(*ticket.MismatchError)),
		errors.As(err, new(*ticket.OwnerError)), errors.As(err, new(*ticket.StatusError)):
		return exitInvalidData
	}
	return exitError
}

// handleUsageError wraps the error of an invalid flag with exitUsage.
func handleUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &exitCodeError{err: err, code: exitUsage}
}
