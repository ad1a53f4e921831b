package ticket

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriaweir/platform"
	"wisteriaweir/service"
)

const (
	// maxReadAttempts is the largest number of attempts to read an object of which the
	// platform returns a stale version.
	maxReadAttempts = 8
	// readRetryDelay is the time between two attempts of such a read.
	readRetryDelay = 50 * time.Millisecond
	// maxConcurrentReads is the largest number of tickets that are read concurrently.
	maxConcurrentReads = 8
)

// Client reads and writes objects of the platform. A *platform.Client is one.
type Client interface {
	// Get reads an object. It may return an older version than the newest one. The error
	// is a *platform.NotFoundError if there is no object.
	Get(ctx context.Context, path string) (platform.Object, error)
	// Put writes an object if its current version is the given one, and returns its new
	// version. Version 0 means that the object must not exist.
	Put(ctx context.Context, path string, version uint64, value []byte) (uint64, error)
}

// MismatchError reports that a stored ticket is not the one that the head names.
type MismatchError struct {
	// Number is the number of the ticket.
	Number uint64
	// Want is the digest that the head names.
	Want string
	// Have is the digest of the stored ticket, empty if it is missing.
	Have string
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("ticket: ticket %d has digest %.12s, the head names %.12s", e.Number, e.Have, e.Want)
}

// Load reads the head and returns the configuration that results from it. The number
// of the configuration is 0 before the first ticket.
func Load(ctx context.Context, c Client) (service.Config, error) {
	h, _, err := LoadHead(ctx, c)
	if err != nil {
		return service.Config{}, err
	}
	return LoadConfig(ctx, c, h)
}

// LoadHead returns the head and the version of its object. Before the first ticket it
// returns the zero Head and version 0.
func LoadHead(ctx context.Context, c Client) (Head, uint64, error) {
	o, err := c.Get(ctx, HeadPath)
	if errors.As(err, new(*platform.NotFoundError)) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	h, err := ParseHead(o.Value)
	return h, o.Version, err
}

// LoadConfig returns the configuration that results from h. It reads the tickets that
// are needed for it.
func LoadConfig(ctx context.Context, c Client, h Head) (service.Config, error) {
	s, err := LoadState(ctx, c, h)
	return s.Config, err
}

// loadTickets reads accepted tickets, up to maxConcurrentReads concurrently. The
// map digests holds their numbers and the digests that they must have.
func loadTickets(ctx context.Context, c Client, digests map[uint64]string) (map[uint64]Ticket, error) {
	var mu sync.Mutex
	tickets := make(map[uint64]Ticket, len(digests))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentReads)
	for n, digest := range digests {
		g.Go(func() error {
			t, err := loadAccepted(ctx, c, n, digest)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			tickets[n] = t
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return tickets, nil
}

// LoadTicket reads the ticket stored under number n, whether accepted or not.
func LoadTicket(ctx context.Context, c Client, n uint64) (Ticket, error) {
	o, err := c.Get(ctx, Path(n))
	if err != nil {
		return Ticket{}, err
	}
	return Decode(n, o.Value)
}

// FindTicket returns the ticket stored under number n, and whether it is accepted. A ticket
// whose number is above that of the head was written but is not accepted yet.
func FindTicket(ctx context.Context, c Client, n uint64) (Ticket, bool, error) {
	h, _, err := LoadHead(ctx, c)
	if err != nil {
		return Ticket{}, false, err
	}
	if n <= h.Number {
		t, err := loadAccepted(ctx, c, n, h.digest(n))
		return t, true, err
	}
	t, err := LoadTicket(ctx, c, n)
	return t, false, err
}

// StaleError reports that an accepted ticket was not found, which means that the
// platform returned stale data.
type StaleError struct {
	// Number is the number of the ticket.
	Number uint64
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("ticket: ticket %d is accepted and was not found: the platform's reads are stale", e.Number)
}

// loadAccepted reads the accepted ticket n, which must have the digest want unless
// want is empty. If the ticket is missing, invalid or has another digest, the read was
// stale and is retried, up to maxReadAttempts reads in total.
func loadAccepted(ctx context.Context, c Client, n uint64, want string) (Ticket, error) {
	var lastErr error
	for range maxReadAttempts {
		t, err := LoadTicket(ctx, c, n)
		switch {
		case err == nil && (want == "" || t.Digest() == want):
			return t, nil
		case err == nil:
			lastErr = &MismatchError{Number: n, Want: want, Have: t.Digest()}
		case errors.As(err, new(*platform.NotFoundError)):
			lastErr = &StaleError{Number: n}
		case errors.As(err, new(*StoredError)):
			lastErr = err
		default:
			return Ticket{}, err
		}
		_ = platform.Sleep(ctx, readRetryDelay)
	}
	return Ticket{}, lastErr
}

// Decode decodes and checks the ticket that is stored under number n. The error is
// a *StoredError.
func Decode(n uint64, value []byte) (Ticket, error) {
	var t Ticket
	if err := json.Unmarshal(value, &t); err != nil {
		return Ticket{}, &StoredError{Number: n, Reason: err.Error()}
	}
	if t.Number != n {
		return Ticket{}, &StoredError{Number: n, Reason: fmt.Sprintf("it names number %d", t.Number)}
	}
	if mistakes := t.check(); len(mistakes) > 0 {
		return Ticket{}, &StoredError{Number: n, Reason: mistakes[0].String()}
	}
	return t, nil
}

// StoredError reports that the object stored under a ticket's number is not a
// valid ticket, or not the ticket that the head refers to.
type StoredError struct {
	// Number is the number under which the object is stored.
	Number uint64
	// Reason describes the error.
	Reason string
}

func (e *StoredError) Error() string {
	return fmt.Sprintf("ticket: stored ticket %d is wrong: %s", e.Number, e.Reason)
}
