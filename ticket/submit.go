package ticket

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"wisteriaweir/platform"
)

// writeTries bounds how often what is no ticket is replaced.
const writeTries = 4

// NumberError says that a ticket's number lies ahead of the next one.
type NumberError struct {
	Number uint64
	Next   uint64
}

func (e *NumberError) Error() string {
	return fmt.Sprintf("ticket: number %d is not the next one, which is %d", e.Number, e.Next)
}

// NumberTakenError says that another ticket won the number.
type NumberTakenError struct {
	Number uint64
	Winner Ticket
	// Shared are the services that both tickets touch.
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

// takenError returns a NumberTakenError unless t itself won.
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

// OutcomeUnknownError says that a ticket may have been accepted, or may be accepted
// later when another operator finds it. Submitting it again tells.
type OutcomeUnknownError struct {
	Number uint64
	Err    error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("ticket: outcome of number %d is not known, submit it again: %v", e.Number, e.Err)
}

func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// Submit accepts t, and returns the head after it. Submitting a ticket that is
// accepted already changes nothing. After an OutcomeUnknownError, submitting again
// tells the outcome; after any other error this call has not accepted t and
// will not.
func Submit(ctx context.Context, c Client, t Ticket) (Head, error) {
	if err := checkError(t.check()); err != nil {
		return Head{}, err
	}
	h, version, err := headFor(ctx, c, t.Number)
	if err != nil {
		return Head{}, err
	}
	if t.Number > h.Number+1 {
		return Head{}, &NumberError{Number: t.Number, Next: h.Number + 1}
	}
	if t.Number <= h.Number {
		return past(ctx, c, h, t)
	}
	state, from, err := loadState(ctx, c, h)
	if err != nil {
		return Head{}, err
	}
	if err := state.Check(t); err != nil {
		return Head{}, err
	}
	winner, err := write(ctx, c, state, t)
	if err != nil {
		return Head{}, err
	}
	if err := takenError(t, winner); err != nil {
		_, _ = advance(ctx, c, h, version, winner)
		return Head{}, err
	}
	h, err = advance(ctx, c, h, version, winner)
	if err != nil {
		return Head{}, &OutcomeUnknownError{Number: t.Number, Err: err}
	}
	if from.read && h.Number == t.Number {
		storeFolded(ctx, c, from.version, state.WithTicket(t))
	}
	return h, nil
}

// headFor reads the head, again if number n lies ahead of it.
func headFor(ctx context.Context, c Client, n uint64) (Head, uint64, error) {
	for reads := 1; ; reads++ {
		h, version, err := LoadHead(ctx, c)
		if err != nil || n <= h.Number+1 || reads == staleReads {
			return h, version, err
		}
		_ = platform.Sleep(ctx, stalePause)
	}
}

// past settles a ticket whose number is accepted already.
func past(ctx context.Context, c Client, h Head, t Ticket) (Head, error) {
	winner, err := loadAccepted(ctx, c, t.Number, h.digest(t.Number))
	if err != nil {
		return Head{}, err
	}
	return h, takenError(t, winner)
}

// write creates the object of t, and returns the ticket that it holds. What no
// operator would accept in that state is replaced: it can never become part of
// the head.
func write(ctx context.Context, c Client, s State, t Ticket) (Ticket, error) {
	var version uint64
	var err error
	for range writeTries {
		_, err = c.Put(ctx, Path(t.Number), version, t.Encode())
		if err == nil {
			return t, nil
		}
		have, ok := state(err)
		if errors.As(err, new(*platform.OutcomeUnknownError)) && !ok {
			return Ticket{}, &OutcomeUnknownError{Number: t.Number, Err: err}
		}
		if !ok {
			return Ticket{}, err
		}
		winner, wrong := Decode(t.Number, have.Value)
		if wrong == nil && s.Check(winner) == nil {
			return winner, nil
		}
		version = have.Version
	}
	return Ticket{}, err
}

// advance moves the head on to t. Whoever wrote the object of the next ticket,
// all operators that find it make the same update, so one that broke off half
// way blocks nobody.
func advance(ctx context.Context, c Client, h Head, version uint64, t Ticket) (Head, error) {
	next := h.WithTicket(t)
	_, err := c.Put(ctx, HeadPath, version, next.Encode())
	if err == nil {
		return next, nil
	}
	have, ok := state(err)
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

// state returns the object that stood in the way of an update, if err shows it.
func state(err error) (platform.Object, bool) {
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Have, true
	}
	var unknown *platform.OutcomeUnknownError
	if errors.As(err, &unknown) && unknown.Have.Version > 0 {
		return unknown.Have, true
	}
	return platform.Object{}, false
}
