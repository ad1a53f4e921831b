package ticket_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/fake"
	"wisteriaweir/platform"
	"wisteriaweir/service"
	"wisteriaweir/ticket"
)

// serviceTicket returns a ticket with number n that declares service i only.
func serviceTicket(n uint64, i int) ticket.Ticket {
	at := func(kind, k int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(kind), byte(i), byte(k)}), 5000)
	}
	s := service.Service{
		Name:      fmt.Sprintf("service-%d", i),
		Addresses: []service.Address{{AddrPort: at(1, 1), Mode: service.ModeFlow}},
	}
	for _, k := range []int{3, 1, 2} { // unsorted: the stored ticket has sorted lists
		s.Pool = append(s.Pool, service.Target{
			Name: fmt.Sprintf("t%d", k), Address: at(2, k), Domain: "north", Weight: int(n), Slots: 1,
		})
	}
	return ticket.Ticket{
		Number: n, Title: "one service", Author: "operator", Domains: []string{"north"}, Services: []service.Service{s},
	}
}

// newPlatformWithTickets returns a platform with n accepted tickets, each of which
// declares a different service.
func newPlatformWithTickets(t *testing.T, n int) (*fake.Platform, *platform.Client) {
	p, client := newPlatform(t, fake.PlatformConfig{})
	for i := range n {
		_, err := ticket.Submit(context.Background(), client, serviceTicket(uint64(i+1), i))
		qt.Assert(t, err, qt.IsNil)
	}
	return p, client
}

// countCalls returns the number of calls of the platform that f makes.
func countCalls(p *fake.Platform, f func()) int {
	sum := func() int {
		n := 0
		for _, k := range p.Calls() {
			n += k
		}
		return n
	}
	before := sum()
	f()
	return sum() - before
}

// storeSnapshot replaces the value of the snapshot object.
func storeSnapshot(c *qt.C, client *platform.Client, value []byte) {
	o, err := client.Get(context.Background(), ticket.SnapshotPath)
	c.Assert(err, qt.IsNil)
	_, err = client.Put(context.Background(), ticket.SnapshotPath, o.Version, value)
	c.Assert(err, qt.IsNil)
}

// TestCallsDoNotGrowWithTheServices guards against loads and submits that read
// every ticket. It counts the calls of a load without a known state, a load from a
// known state and a submit, which must not depend on the number of services.
func TestCallsDoNotGrowWithTheServices(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	for _, n := range []int{10, 40} {
		p, client := newPlatformWithTickets(t, n)
		h, _, err := ticket.LoadHead(ctx, client)
		c.Assert(err, qt.IsNil)
		var cold ticket.State
		c.Check(countCalls(p, func() { cold, err = ticket.LoadState(ctx, client, h) }), qt.Equals, 1)
		c.Assert(err, qt.IsNil)
		c.Check(countCalls(p, func() { h, err = ticket.Submit(ctx, client, serviceTicket(uint64(n+1), 3)) }), qt.Equals, 5)
		c.Assert(err, qt.IsNil)
		var warm ticket.State
		c.Check(countCalls(p, func() { warm, err = cold.Load(ctx, client, h) }), qt.Equals, 1)
		c.Assert(err, qt.IsNil)
		tickets := make(map[uint64]ticket.Ticket)
		for k := range n + 1 {
			tickets[uint64(k+1)], err = ticket.LoadTicket(ctx, client, uint64(k+1))
			c.Assert(err, qt.IsNil)
		}
		want, err := ticket.BuildConfig(h, tickets)
		c.Assert(err, qt.IsNil)
		c.Check(fmt.Sprint(warm.Config), qt.Equals, fmt.Sprint(want))
		again, err := ticket.LoadConfig(ctx, client, h)
		c.Assert(err, qt.IsNil)
		c.Check(fmt.Sprint(again), qt.Equals, fmt.Sprint(want))
	}
}

// TestSnapshotDoesNotChangeTheResult guards against a configuration with services of
// a wrong snapshot. It loads and submits with a snapshot that is invalid,
// empty, corrupted, outdated, or holds other tickets under the same numbers. The
// next submit replaces that snapshot.
func TestSnapshotDoesNotChangeTheResult(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	old, other := ticket.State{}.WithTicket(serviceTicket(1, 0)), ticket.State{}
	for i := range 6 {
		other = other.WithTicket(serviceTicket(uint64(i+1), i+10))
	}
	encoded := func(s ticket.State) []byte {
		b, err := ticket.EncodeSnapshot(s)
		c.Assert(err, qt.IsNil)
		return b
	}
	broken := encoded(old)
	broken[len(broken)/2] ^= 1
	for name, value := range map[string][]byte{
		"rubbish": []byte("rubbish"), "empty": {}, "broken": broken, "old": encoded(old), "other": encoded(other),
	} {
		_, client := newPlatformWithTickets(t, 6)
		h, _, err := ticket.LoadHead(ctx, client)
		c.Assert(err, qt.IsNil)
		want, err := ticket.LoadConfig(ctx, client, h)
		c.Assert(err, qt.IsNil)
		storeSnapshot(c, client, value)
		have, err := ticket.LoadConfig(ctx, client, h)
		c.Assert(err, qt.IsNil, qt.Commentf(name))
		c.Check(fmt.Sprint(have), qt.Equals, fmt.Sprint(want), qt.Commentf(name))
		_, err = ticket.Submit(ctx, client, serviceTicket(7, 2))
		c.Assert(err, qt.IsNil)
		o, err := client.Get(ctx, ticket.SnapshotPath)
		c.Assert(err, qt.IsNil)
		s, err := ticket.DecodeSnapshot(o.Value)
		c.Assert(err, qt.IsNil, qt.Commentf(name))
		c.Check(s.Head.Number, qt.Equals, uint64(7))
	}
}

// TestTicketsWithoutSnapshot loads tickets that were accepted without a snapshot,
// as by a version that does not write one. A submit writes the snapshot, after
// which a load needs two calls.
func TestTicketsWithoutSnapshot(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	p, client := newPlatform(t, fake.PlatformConfig{})
	state := ticket.State{}
	for i := range 20 {
		tk := serviceTicket(uint64(i+1), i)
		state = state.WithTicket(tk)
		_, err := client.Put(ctx, ticket.Path(tk.Number), 0, tk.Encode())
		c.Assert(err, qt.IsNil)
	}
	_, err := client.Put(ctx, ticket.HeadPath, 0, state.Head.Encode())
	c.Assert(err, qt.IsNil)
	var cfg service.Config
	c.Check(countCalls(p, func() { cfg, err = ticket.Load(ctx, client) }), qt.Equals, 22)
	c.Assert(err, qt.IsNil)
	c.Check(cfg.Services, qt.HasLen, 20)
	_, err = ticket.Submit(ctx, client, serviceTicket(21, 2))
	c.Assert(err, qt.IsNil)
	c.Check(countCalls(p, func() { _, err = ticket.Load(ctx, client) }), qt.Equals, 2)
	c.Assert(err, qt.IsNil)
}

// FuzzDecodeSnapshot checks that a decoded snapshot has one entry for each
// service.
func FuzzDecodeSnapshot(f *testing.F) {
	b, err := ticket.EncodeSnapshot(ticket.State{}.WithTicket(serviceTicket(1, 0)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte("rubbish"))
	f.Fuzz(func(t *testing.T, value []byte) {
		s, err := ticket.DecodeSnapshot(value)
		if err == nil && len(s.Config.Services) != len(s.Head.Services) {
			t.Fatalf("%d services of %d entries", len(s.Config.Services), len(s.Head.Services))
		}
	})
}
