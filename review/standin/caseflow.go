package main

import (
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"
)

func init() {
	cases["flow"] = playFlow
}

const (
	// datagramLoss is the loss on links in the site file of benammar-booking.
	datagramLoss = 0.0015
	// maxFlowAge is max_flow_s of the settings: older flows do not count. Feeds are opened anew
	// when they are feedAge old.
	maxFlowAge = 60 * time.Second
	feedAge    = 40 * time.Second
	// foreignInterval is the time between two writes of the other writer to an entry.
	foreignInterval = 1500 * time.Millisecond
)

// playFlow checks FLOW while another writer writes to the entries of some servers, which live
// on: a host must not reset an open flow whose server lives.
func playFlow(w *world) (int, error) {
	if err := w.startStore(); err != nil {
		return 0, err
	}
	w.loss = datagramLoss
	board := netip.AddrPortFrom(w.addr(8, 1), 8443)
	w.writeConfig(3, route("room-board", board, "safe", "calendar", 2500*time.Millisecond, 200*time.Millisecond, 2))
	var violations, opened atomic.Int64
	w.onOpen = func(*server, time.Time, netip.AddrPort) { opened.Add(1) }
	w.onReset = func(f *clientFlow, at time.Time, from netip.AddrPort) {
		s, openedAt := w.holderOf(f)
		if s == nil || at.Sub(openedAt) >= maxFlowAge {
			return
		}
		violations.Add(1)
		w.record("FLOW: host %s reset the flow %s to %s, which has been open for %v at server %s, which lives", from.Addr(), f.local, f.remote,
			at.Sub(openedAt).Round(time.Millisecond), s.id)
	}
	work := func(string) time.Duration { return 30 * time.Millisecond }
	zones := []string{"west-a", "west-b", "west-c", "west-d"}
	var servers []*server
	for i := range 64 {
		s, err := w.addServer(0xab00000001+uint64(i), "calendar", zones[i%4], work)
		if err != nil {
			return 0, err
		}
		servers = append(servers, s)
	}
	for i := range 4 {
		if _, err := w.addHost(zones[i%4]); err != nil {
			return 0, err
		}
	}
	w.startRouter()
	if err := w.awaitReady(); err != nil {
		return 0, err
	}
	w.sleep(3 * time.Second)
	for i := range 200 {
		c, err := w.addClient(zones[i%4])
		if err != nil {
			return 0, err
		}
		go w.runFeed(c, board, "/board", time.Second, 2500*time.Millisecond)
	}
	w.sleep(5 * time.Second)
	for range 62 {
		for _, s := range servers[:28] {
			if w.trouble {
				// Another writer's entry, with a state that the pages do not name.
				w.store.put(kindServers, s.id, map[string]any{
					"service": "calendar", "address": s.cfg.addr.String(), "zone": s.cfg.zone, "version": "v1", "slots": 2,
					"state": "maintenance", "warmup_left_ms": 0, "sequence": 1, "born": s.born.UnixMilli(),
				})
				w.record("another writer has written an entry %s with the state maintenance", s.id)
			}
		}
		w.sleep(foreignInterval)
	}
	w.record("flows opened: %d", opened.Load())
	return int(violations.Load()), nil
}

// runFeed keeps a flow open and sends one request after the other on it.
func (w *world) runFeed(c *client, at netip.AddrPort, path string, pause, timeout time.Duration) {
	var f *clientFlow
	for w.sleep(time.Duration((0.5 + rand.Float64()) * float64(pause))) {
		if f != nil && (!f.usable() || time.Since(f.firstSent) > feedAge) {
			f.finish()
			f = nil
		}
		id := w.nextID()
		if f == nil {
			var failed outcome
			if f, failed = c.dial(at); f == nil {
				w.record("request %s GET %s: %s", id, path, failed)
				continue
			}
		}
		o, by := f.do("GET", path, 0, id, timeout)
		w.record("request %s GET %s: %s %s", id, path, o, by)
		if o == gaveUp {
			f.finish()
			f = nil
		}
	}
}
