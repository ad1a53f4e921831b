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
	// lostUpdateFraction is the fraction of updates whose response is lost, drawn
	// in addition to lostResponseFraction: together 0.7 of them.
	lostUpdateFraction = 0.6
	// maxSubmitAttempts limits how often a ticket with an unknown outcome is
	// submitted.
	maxSubmitAttempts = 10
)

// TestLostAnswersDoubleNoTicket discards a quarter of the platform's responses, and
// seven of ten responses to updates, after the calls took effect. Meanwhile one
// ticket after the other is submitted and a balancer is restarted. A retry that
// mistakes its own earlier write for that of another operator fails or writes a
// ticket twice: each ticket must be written once and reported as accepted, and no
// configuration number may decrease.
func TestLostAnswersDoubleNoTicket(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 4, 4)
	faults := s.platform.Faults()
	faults.LostResponseRate, faults.LostPutResponseRate = lostResponseFraction, lostUpdateFraction
	s.platform.SetFaults(faults)
	watchCtx, stopWatch := context.WithCancel(context.Background())
	decreased := make(chan []string, 1)
	go func() { decreased <- s.watchNumberDecreases(watchCtx) }()
	r := s.runLoad(50*time.Second, func() {
		time.Sleep(3 * time.Second)
		for drainedIndex := range 4 {
			for _, pool := range s.pools {
				for i := range pool {
					pool[i].Draining = i == drainedIndex
				}
			}
			s.submitUntilAccepted()
			t.Logf("ticket %d active after %v", s.ticketNumber, s.waitActiveInDomains(10*time.Second))
			time.Sleep(2 * time.Second)
		}
		s.stop(s.balancers[0])
		s.start(s.balancers[0])
		s.waitReady()
		s.pools["levy-desk"][3].Draining = false
		s.submitUntilAccepted()
		t.Logf("ticket %d active after %v", s.ticketNumber, s.waitActiveInDomains(10*time.Second))
	})
	s.waitActiveOnBalancers(5 * time.Second)
	stopWatch()
	s.c.Check(<-decreased, qt.HasLen, 0)
	s.c.Check(s.countStoredTickets(), qt.Equals, int(s.ticketNumber))
	checkInvariants(s.c, r)
	s.c.Check(r.Broken, qt.Equals, 0)
	s.c.Check(r.Unknown, qt.Equals, 0)
}

// submitUntilAccepted submits the next ticket until it is accepted. Any error other
// than an unknown outcome or an unavailable platform fails the test, for instance the
// error that another ticket has its number.
func (s *system) submitUntilAccepted() {
	t := s.nextTicket()
	for range maxSubmitAttempts {
		_, err := ticket.Submit(context.Background(), s.client, t)
		if err == nil {
			return
		}
		isRetryable := errors.As(err, new(*ticket.OutcomeUnknownError)) || errors.As(err, new(*platform.UnavailableError))
		s.c.Assert(isRetryable, qt.IsTrue, qt.Commentf("ticket %d: %v", t.Number, err))
	}
	s.c.Fatalf("ticket %d is not accepted after all attempts", t.Number)
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

// watchNumberDecreases polls the number of the head and the active configuration
// number of each balancer until ctx ends. It returns the path of the head or the name
// of the balancer for each number that was lower than an earlier one. A balancer
// without a configuration has the number 0, which is not compared.
func (s *system) watchNumberDecreases(ctx context.Context) []string {
	var decreased []string
	newest := make(map[string]uint64)
	observe := func(name string, n uint64) {
		if n != 0 && n < newest[name] {
			decreased = append(decreased, name)
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
			observe(p.name, s.dumpedConfigNumber(p))
		}
		time.Sleep(50 * time.Millisecond)
	}
	return decreased
}
