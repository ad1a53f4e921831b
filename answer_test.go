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
	// lostShare is the share of the platform's calls whose answer is lost after
	// they took effect.
	lostShare = 0.25
	// lostWriteShare is the share of the updates alone that is lost so besides.
	lostWriteShare = 0.6
	// submitTries is how often an operator submits a ticket whose outcome is not
	// known.
	submitTries = 10
)

// TestLostAnswersDoubleNoTicket loses a quarter of the platform's answers, and
// seven of ten to updates, after the calls took effect. Meanwhile one ticket
// after the other is submitted and a balancer is restarted: each ticket is
// written once and told to be accepted, and no configuration reverts.
func TestLostAnswersDoubleNoTicket(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 4, 4)
	faults := s.platform.Faults()
	faults.Lost, faults.LostPuts = lostShare, lostWriteShare
	s.platform.SetFaults(faults)
	watching, stop := context.WithCancel(context.Background())
	reverted := make(chan []string, 1)
	go func() { reverted <- s.watchNumbers(watching) }()
	r := s.load(50*time.Second, func() {
		time.Sleep(3 * time.Second)
		for drained := range 4 {
			for _, pool := range s.pool {
				for i := range pool {
					pool[i].Drain = i == drained
				}
			}
			s.submitAgain()
			t.Logf("ticket %d in force after %v", s.ticket, s.waitInForce(10*time.Second))
			time.Sleep(2 * time.Second)
		}
		s.stop(s.balancers[0])
		s.start(s.balancers[0])
		s.waitReady()
		s.pool["levy-desk"][3].Drain = false
		s.submitAgain()
		t.Logf("ticket %d in force after %v", s.ticket, s.waitInForce(10*time.Second))
	})
	s.waitNumbers(5 * time.Second)
	stop()
	s.c.Check(<-reverted, qt.HasLen, 0)
	s.c.Check(s.storedTickets(), qt.Equals, int(s.ticket))
	neverAllowed(s.c, r)
	s.c.Check(r.Broken, qt.Equals, 0)
	s.c.Check(r.Unknown, qt.Equals, 0)
}

// submitAgain submits the next ticket until its outcome is known. It may not be
// told that another ticket has its number.
func (s *system) submitAgain() {
	t := s.nextTicket()
	for range submitTries {
		_, err := ticket.Submit(context.Background(), s.client, t)
		if err == nil {
			return
		}
		known := errors.As(err, new(*ticket.OutcomeUnknownError)) || errors.As(err, new(*platform.UnavailableError))
		s.c.Assert(known, qt.IsTrue, qt.Commentf("ticket %d: %v", t.Number, err))
	}
	s.c.Fatalf("the outcome of ticket %d is not known", t.Number)
}

// storedTickets returns the number of tickets that the platform holds, each of
// which has to be written once.
func (s *system) storedTickets() int {
	var n int
	for _, o := range s.platform.State().Objects {
		if strings.HasPrefix(o.Path, "ticket/") {
			n++
			s.c.Check(o.Version, qt.Equals, uint64(1), qt.Commentf("%s", o.Path))
		}
	}
	return n
}

// watchNumbers returns each number that went back, of the head and of what a
// balancer has in force, until ctx ends. A balancer without a configuration has
// none, and begins again.
func (s *system) watchNumbers(ctx context.Context) []string {
	var reverted []string
	newest := make(map[string]uint64)
	note := func(name string, n uint64) {
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
				note(o.Path, head.Number)
			}
		}
		for _, p := range s.balancers {
			note(p.name, s.dumpedNumber(p))
		}
		time.Sleep(50 * time.Millisecond)
	}
	return reverted
}
