package ticket

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"wisteriaweir/platform"
)

// maxWriteAttempts is the largest number of attempts to write the object of a ticket.
// Each attempt after the first replaces an object that cannot be accepted.
const maxWriteAttempts = 4

// NumberError reports that a ticket's number is above the next one.
type NumberError struct {
	// Number is the number of the ticket.
	Number uint64
	// Next is the number of the next ticket.
	Next uint64
}

func (e *NumberError) Error() string {
	return fmt.Sprintf("ticket: number %d is not the next one, which is %d", e.Number, e.Next)
}

// NumberTakenError reports that another ticket was written first under the number.
type NumberTakenError struct {
	// Number is the number of both tickets.
	Number uint64
	// Winner is the other ticket.
	Winner Ticket
	// Shared holds the names of the services that both tickets touch.
	Shared []string
}

func (e *NumberTakenError) Error() string {
	why := "it touches none of your services"
	if len(e.Shared) > 0 {
		why = "it also touches " + strings.Join(e.Shared, ", ")
	}
	return fmt.Sprintf("ticket: number %d went to %q by %s (digest %.12s), whose write came first; %s; look at it, then give yours the next number",
		e.Number, e.Winner.Title, e.Winner.Author, e.Winner.Digest(), why)
}

// takenError returns a *NumberTakenError, or nil if winner is t itself. The ticket
// winner is the one that was written under the number of t.
func takenError(t, winner Ticket) error {
	if winner.Digest() == t.Digest() {
		return nil
	}
	e := &NumberTakenError{Number: t.Number, Winner: winner}
	for _, s := range t.Services {
		if winner.Touches(s.Name) {
			e.Shared = append(e.Shared, s.Name)
		}
	}
	for _, name := range t.Remove {
		if winner.Touches(name) {
			e.Shared = append(e.Shared, name)
		}
	}
	return e
}

// OutcomeUnknownError reports that a ticket may have been accepted, or may still be
// accepted when another operator finds it. Submitting it again returns the
// outcome.
type OutcomeUnknownError struct {
	// Number is the number of the ticket.
	Number uint64
	// Err is the error of the platform call whose outcome is unknown.
	Err error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("ticket: outcome of number %d is not known, submit it again: %v", e.Number, e.Err)
}

func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// Submit checks t, writes it and accepts it, and returns a head that includes it.
// Submitting an accepted ticket again changes nothing. After an
// *OutcomeUnknownError, submitting t again returns the outcome. After any other
// error, this call has not accepted t, and none of its writes will accept t later.
func Submit(ctx context.Context, c Client, t Ticket) (Head, error) {
	if err := checkError(t.check()); err != nil {
		return Head{}, err
	}
	h, version, err := loadHeadFor(ctx, c, t.Number)
	if err != nil {
		return Head{}, err
	}
	if t.Number > h.Number+1 {
		return Head{}, &NumberError{Number: t.Number, Next: h.Number + 1}
	}
	if t.Number <= h.Number {
		return settleAccepted(ctx, c, h, t)
	}
	state, source, err := loadState(ctx, c, h)
	if err != nil {
		return Head{}, err
	}
	if err := state.Check(t); err != nil {
		return Head{}, err
	}
	winner, err := writeTicket(ctx, c, state, t)
	if err != nil {
		return Head{}, err
	}
	if err := takenError(t, winner); err != nil {
		// The operator of the winner may have stopped before it accepted the ticket.
		_, _ = advanceHead(ctx, c, h, version, winner)
		return Head{}, err
	}
	h, err = advanceHead(ctx, c, h, version, winner)
	if err != nil {
		return Head{}, &OutcomeUnknownError{Number: t.Number, Err: err}
	}
	if source.wasRead && h.Number == t.Number {
		storeSnapshot(ctx, c, source.version, state.WithTicket(t))
	}
	return h, nil
}

// loadHeadFor returns the head and the version of its object, for the submit of
// ticket n. If n is above the next number, the head may be stale, and the read is
// retried.
func loadHeadFor(ctx context.Context, c Client, n uint64) (Head, uint64, error) {
	for reads := 1; ; reads++ {
		h, version, err := LoadHead(ctx, c)
		if err != nil || n <= h.Number+1 || reads == maxReadAttempts {
			return h, version, err
		}
		_ = platform.Sleep(ctx, readRetryDelay)
	}
}

// settleAccepted returns the outcome of t if a ticket with its number is already
// accepted: a *NumberTakenError unless that ticket is t.
func settleAccepted(ctx context.Context, c Client, h Head, t Ticket) (Head, error) {
	winner, err := loadAccepted(ctx, c, t.Number, h.digest(t.Number))
	if err != nil {
		return Head{}, err
	}
	return h, takenError(t, winner)
}

// writeTicket creates the object of t, and returns the ticket in that object, which
// is another one if it was written first. An object that no operator would accept
// after state s is replaced, as it can never become part of the head.
func writeTicket(ctx context.Context, c Client, s State, t Ticket) (Ticket, error) {
	var version uint64
	var err error
	for range maxWriteAttempts {
		_, err = c.Put(ctx, Path(t.Number), version, t.Encode())
		if err == nil {
			return t, nil
		}
		have, ok := conflictingObject(err)
		if errors.As(err, new(*platform.OutcomeUnknownError)) && !ok {
			return Ticket{}, &OutcomeUnknownError{Number: t.Number, Err: err}
		}
		if !ok {
			return Ticket{}, err
		}
		winner, decodeErr := Decode(t.Number, have.Value)
		if decodeErr == nil && s.Check(winner) == nil {
			return winner, nil
		}
		version = have.Version
	}
	return Ticket{}, err
}

// advanceHead updates the head to include t, and returns the new head. Every
// operator that finds the object of the next ticket makes the same update, no
// matter who wrote the object. An operator that stops between the two writes
// therefore does not block the others.
func advanceHead(ctx context.Context, c Client, h Head, version uint64, t Ticket) (Head, error) {
	next := h.WithTicket(t)
	_, err := c.Put(ctx, HeadPath, version, next.Encode())
	if err == nil {
		return next, nil
	}
	have, ok := conflictingObject(err)
	if !ok {
		return Head{}, err
	}
	newer, parseErr := ParseHead(have.Value)
	if parseErr != nil {
		return Head{}, parseErr
	}
	if newer.Number < t.Number {
		return Head{}, err
	}
	return newer, nil
}

// conflictingObject returns the object that the platform holds according to err, the
// error of a Put. It returns false if err does not contain that object.
func conflictingObject(err error) (platform.Object, bool) {
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Current, true
	}
	var unknown *platform.OutcomeUnknownError
	if errors.As(err, &unknown) && unknown.Current.Version > 0 {
		return unknown.Current, true
	}
	return platform.Object{}, false
}
