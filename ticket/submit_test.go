package ticket_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/fake"
	"wisteriaweir/platform"
	"wisteriaweir/ticket"
)

// firstTicket is a valid ticket file with the number 1.
const firstTicket = `
number: 1
title: Open the levy desk
author: Nadeesha
domains: [north, south]
services:
  - name: levy-desk
    addresses:
      - {at: "127.0.1.1:5000", mode: request}
    pool:
      - {name: desk-1, at: "127.0.2.1:6000", domain: north, weight: 1, slots: 2}
      - {name: desk-2, at: "127.0.2.2:6000", domain: south, weight: 1, slots: 2}
`

// newPlatform starts a fake platform and returns it with a client.
func newPlatform(t *testing.T, cfg fake.PlatformConfig) (*fake.Platform, *platform.Client) {
	p := fake.NewPlatform(cfg)
	srv := httptest.NewServer(p)
	t.Cleanup(srv.Close)
	return p, platform.NewClient(platform.ClientConfig{URL: srv.URL, Rate: 1e6, Burst: 1e6, WatchTimeout: time.Second})
}

// TestSubmitAndLoad guards against a second submit of the same ticket that changes the
// head, and against a loaded configuration that lacks the submitted service.
func TestSubmitAndLoad(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	_, client := newPlatform(t, fake.PlatformConfig{})

	cfg, err := ticket.Load(ctx, client)
	c.Assert(err, qt.IsNil)
	c.Assert(cfg.Number, qt.Equals, uint64(0))

	tk, err := ticket.Parse("first.yaml", []byte(firstTicket))
	c.Assert(err, qt.IsNil)
	for range 2 { // the second time changes nothing
		h, err := ticket.Submit(ctx, client, tk)
		c.Assert(err, qt.IsNil)
		c.Assert(h.Number, qt.Equals, uint64(1))
	}
	cfg, err = ticket.Load(ctx, client)
	c.Assert(err, qt.IsNil)
	c.Assert(cfg.Number, qt.Equals, uint64(1))
	s, _, ok := cfg.Lookup(netip.MustParseAddrPort("127.0.1.1:5000"))
	c.Assert(ok, qt.IsTrue)
	c.Assert(s.Pool, qt.HasLen, 2)
}

// TestBuildConfigRefusesWrongTicketsAndTwoOwners guards against a configuration
// that is built from a ticket that the head does not name, or in which two
// services own one address.
func TestBuildConfigRefusesWrongTicketsAndTwoOwners(t *testing.T) {
	c := qt.New(t)
	tk, err := ticket.Parse("first.yaml", []byte(firstTicket))
	c.Assert(err, qt.IsNil)
	h := ticket.Head{}.WithTicket(tk)
	other := tk
	other.Title = "Another"
	_, err = ticket.BuildConfig(h, map[uint64]ticket.Ticket{1: other})
	c.Assert(err, qt.ErrorAs, new(*ticket.MismatchError))

	second := tk.WithNumber(2)
	second.Services = slices.Clone(tk.Services)
	second.Services[0].Name = "ledger-intake"
	_, err = ticket.BuildConfig(h.WithTicket(second), map[uint64]ticket.Ticket{1: tk, 2: second})
	c.Assert(err, qt.ErrorAs, new(*ticket.OwnerError))
}

// TestCalls guards against additional calls of the platform. It counts the calls of
// a submit, of a repeated submit, of a load, and of a wait for a ticket that is
// already active.
func TestCalls(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	p, client := newPlatform(t, fake.PlatformConfig{})
	before := p.Calls()
	calls := func(what string, want map[string]int) {
		now := p.Calls()
		got := map[string]int{}
		for k, n := range now {
			if n > before[k] {
				got[k] = n - before[k]
			}
		}
		before = now
		t.Logf("%s: %v", what, got)
		c.Assert(got, qt.DeepEquals, want, qt.Commentf(what))
	}
	tk, err := ticket.Parse("first.yaml", []byte(firstTicket))
	c.Assert(err, qt.IsNil)
	_, err = ticket.Submit(ctx, client, tk)
	c.Assert(err, qt.IsNil)
	calls("first ticket", map[string]int{"get": 1, "put": 2})
	_, err = ticket.Submit(ctx, client, tk)
	c.Assert(err, qt.IsNil)
	calls("the same again", map[string]int{"get": 2})
	_, err = ticket.Submit(ctx, client, tk.WithNumber(2))
	c.Assert(err, qt.IsNil)
	calls("second ticket", map[string]int{"get": 2, "put": 2})
	_, err = ticket.Load(ctx, client)
	c.Assert(err, qt.IsNil)
	calls("load", map[string]int{"get": 2})
	for _, domain := range []string{"north", "south"} {
		s := ticket.Status{Domain: domain, Number: 2, Members: 1}
		_, err = client.Put(ctx, ticket.StatusPath(domain), 0, s.Encode())
		c.Assert(err, qt.IsNil)
	}
	_, err = ticket.Wait(ctx, client, 2)
	c.Assert(err, qt.IsNil)
	// A watch needs a revision to start from, so that the first read of each object
	// is a list.
	calls("two statuses and a wait", map[string]int{"put": 2, "list": 3})
}
