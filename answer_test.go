package main

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/platform"
	"wisteriaweir/ticket"
)

const (
	// lostResponseFraction is the fraction of platform calls whose response is lost
	// after the call took effect.
	lostResponseFraction = 0.25
	// lostUpdateFraction is the fraction of updates whose response is lost in
	// addition.
	lostUpdateFraction = 0.6
	// maxSubmitAttempts limits how often a ticket with an unknown outcome is
	// submitted.
	maxSubmitAttempts = 10
)

// TestLostAnswersDoubleNoTicket loses a quarter of the platform's responses, and
// seven of ten to updates, after the calls took effect. Meanwhile one ticket
// after the other is submitted and a balancer is restarted. A retry that takes its
// own earlier write for that of another operator would fail or write a ticket
// twice: each ticket must be written once and reported as accepted, and no
// configuration number may decrease.
func TestLostAnswersDoubleNoTicket(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 4, 4)
	faults := s.platform.Faults()
	faults.Lost, faults.LostPuts = lostResponseFraction, lostUpdateFraction
	s.platform.SetFaults(faults)
	watching, stop := context.WithCancel(context.Background())
	reverted := make(chan []string, 1)
	go func() { reverted <- s.watchReverts(watching) }()
	r := s.load(50*time.Second, func() {
		time.Sleep(3 * time.Second)
		for drained := range 4 {
			for _, pool := range s.pool {
				for i := range pool {
					pool[i].Drain = i == drained
				}
			}
			s.submitUntilKnown()
			t.Logf("ticket %d in force after %v", s.ticket, s.waitInForce(10*time.Second))
			time.Sleep(2 * time.Second)
		}
		s.stop(s.balancers[0])
		s.start(s.balancers[0])
		s.waitReady()
		s.pool["levy-desk"][3].Drain = false
		s.submitUntilKnown()
		t.Logf("ticket %d in force after %v", s.ticket, s.waitInForce(10*time.Second))
	})
	s.waitNumbers(5 * time.Second)
	stop()
	s.c.Check(<-reverted, qt.HasLen, 0)
	s.c.Check(s.countStoredTickets(), qt.Equals, int(s.ticket))
	checkInvariants(s.c, r)
	s.c.Check(r.Broken, qt.Equals, 0)
	s.c.Check(r.Unknown, qt.Equals, 0)
}

// submitUntilKnown submits the next ticket until it is accepted. An error that
// names another ticket under its number, or any error but an unknown outcome or an
// unavailable platform, fails the test.
func (s *system) submitUntilKnown() {
	t := s.nextTicket()
	for range maxSubmitAttempts {
		_, err := ticket.Submit(context.Background(), s.client, t)
		if err == nil {
			return
		}
		known := errors.As(err, new(*ticket.OutcomeUnknownError)) || errors.As(err, new(*platform.UnavailableError))
		s.c.Assert(known, qt.IsTrue, qt.Commentf("ticket %d: %v", t.Number, err))
	}
	s.c.Fatalf("the outcome of ticket %d is not known", t.Number)
}

// countStoredTickets returns the number of tickets that are stored on the platform,
// and checks that each was written once.
func (s *system) countStoredTickets() int {
	var n int
	for _, o := range s.platform.State().Objects {
		if strings.HasPrefix(o.Path, "ticket/") {
			n++
			s.c.Check(o.Version, qt.Equals, uint64(1), qt.Commentf("%s", o.Path))
		}
	}
	return n
}

// watchReverts polls the number of the head and the active configuration number of
// each balancer until ctx ends, and returns the head or balancer of each number that
// was lower than one before. A balancer without a configuration has the number 0,
// which is not compared.
func (s *system) watchReverts(ctx context.Context) []string {
	var reverted []string
	newest := make(map[string]uint64)
	observe := func(name string, n uint64) {
		if n != 0 && n < newest[name] {
			reverted = append(reverted, name)
		}
		newest[name] = max(newest[name], n)
	}
	for ctx.Err() == nil {
		for _, o := range s.platform.State().Objects {
			var head struct {
				Number uint64 `json:"number"`
			}
			if o.Path == ticket.HeadPath && json.Unmarshal(o.Value, &head) == nil {
				observe(o.Path, head.Number)
			}
		}
		for _, p := range s.balancers {
			observe(p.name, s.dumpedNumber(p))
		}
		time.Sleep(50 * time.Millisecond)
	}
	return reverted
}
