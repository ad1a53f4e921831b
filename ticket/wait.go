package ticket

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"wisteriaweir/platform"
)

// watchRetryDelay is the time that Wait waits after a watch that failed or found no
// change.
const watchRetryDelay = 200 * time.Millisecond

// Watcher is a Client that can also wait for an object to change.
type Watcher interface {
	Client
	// Watch returns an object once its version is above after. The error is a
	// *platform.UnchangedError if it does not change within the time of one watch.
	Watch(ctx context.Context, path string, after uint64) (platform.Object, error)
}

// LagError reports that a ticket was not accepted, or not active in every failure
// domain, when the context of Wait ended.
type LagError struct {
	// Number is the number of the ticket.
	Number uint64
	// Accepted reports whether the head had reached the number.
	Accepted bool
	// LaggingStatuses holds the last known statuses of the failure domains that were behind.
	LaggingStatuses []Status
}

func (e *LagError) Error() string {
	if !e.Accepted {
		return fmt.Sprintf("ticket: number %d is not accepted yet", e.Number)
	}
	parts := make([]string, 0, len(e.LaggingStatuses))
	for _, s := range e.LaggingStatuses {
		parts = append(parts, s.String())
	}
	return fmt.Sprintf("ticket: number %d is not in force in %s", e.Number, strings.Join(parts, "; "))
}

// String returns the status as a short text without line breaks.
func (s Status) String() string {
	if s.Members == 0 {
		return s.Domain + " (no status)"
	}
	out := fmt.Sprintf("%s (at %d, %d of %d behind", s.Domain, s.Number, s.Behind, s.Members)
	for _, l := range s.Laggards {
		out += fmt.Sprintf(", %s at %d", l.Name, l.Number)
	}
	return out + ")"
}

// Wait waits until number n is active in every failure domain, and returns the head
// that it has read. It watches one object at a time; the other domains progress while
// it waits for one of them. If ctx ends first, it returns a *LagError, or the last
// error of the platform for the watched object, unless a later watch has found no
// change.
func Wait(ctx context.Context, c Watcher, n uint64) (Head, error) {
	w := waiter{client: c, number: n}
	h, err := w.waitHead(ctx)
	if err != nil {
		return h, err
	}
	for i, domain := range h.Domains {
		s, err := w.waitDomain(ctx, domain)
		if err != nil {
			return h, err
		}
		if s.Number < n {
			return h, w.lagError(append([]Status{s}, w.laggingDomains(h.Domains[i+1:])...))
		}
	}
	return h, nil
}

// waiter waits for one number to be accepted and active.
type waiter struct {
	client Watcher
	number uint64
}

// lagError returns the error for an accepted ticket that is not active in the domains
// of the given statuses.
func (w waiter) lagError(lagging []Status) error {
	return &LagError{Number: w.number, Accepted: true, LaggingStatuses: lagging}
}

// waitHead waits until the head has reached the number, and returns the head. If ctx
// ends first, it returns a *LagError or the error of watchUntil.
func (w waiter) waitHead(ctx context.Context) (Head, error) {
	var h Head
	err := w.watchUntil(ctx, HeadPath, func(o platform.Object) (bool, error) {
		newer, err := ParseHead(o.Value)
		if err == nil && newer.Number > h.Number {
			h = newer
		}
		return h.Number >= w.number, err
	})
	if err != nil {
		return h, err
	}
	if h.Number < w.number {
		return h, &LagError{Number: w.number}
	}
	return h, nil
}

// waitDomain waits until the status of a failure domain has reached the number or
// ctx ends, and returns the last known status. The error is that of watchUntil.
func (w waiter) waitDomain(ctx context.Context, domain string) (Status, error) {
	s := Status{Domain: domain}
	err := w.watchUntil(ctx, StatusPath(domain), func(o platform.Object) (bool, error) {
		newer, err := ParseStatus(domain, o.Value)
		if err == nil {
			s = newer
		}
		return s.Number >= w.number, err
	})
	return s, err
}

// watchUntil watches an object and calls done with each version that it receives,
// until done returns true or ctx ends. If ctx ends, it returns the last error of the
// platform or of done that was not caused by ctx. A watch that finds no change resets
// that error.
func (w waiter) watchUntil(ctx context.Context, path string, done func(platform.Object) (bool, error)) error {
	var version uint64
	var lastErr error
	for ctx.Err() == nil {
		o, err := w.client.Watch(ctx, path, version)
		if errors.As(err, new(*platform.UnchangedError)) {
			lastErr = nil
			_ = platform.Sleep(ctx, watchRetryDelay)
			continue
		}
		if err == nil {
			version = o.Version
			var ok bool
			ok, err = done(o)
			if ok {
				return nil
			}
		}
		if err != nil && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) {
			lastErr = err
			_ = platform.Sleep(ctx, watchRetryDelay)
		}
	}
	return lastErr
}

// laggingDomains reads the statuses of the given failure domains once, within 1 s,
// and returns those that have not reached the number.
func (w waiter) laggingDomains(domains []string) []Status {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var lagging []Status
	for _, domain := range domains {
		s, err := LoadStatus(ctx, w.client, domain)
		if err != nil {
			s = Status{Domain: domain}
		}
		if s.Number < w.number {
			lagging = append(lagging, s)
		}
	}
	return lagging
}
