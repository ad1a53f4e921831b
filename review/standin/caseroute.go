package main

import (
	"net/netip"
	"sync/atomic"
	"time"
)

func init() {
	cases["route"] = playRoute
}

// playRoute checks ROUTE while another writer writes to the entry of a server: a request of
// one service must not run at a server of the other.
func playRoute(w *world) (int, error) {
	if err := w.startStore(); err != nil {
		return 0, err
	}
	desk, intake := netip.AddrPortFrom(w.addr(8, 1), 8443), netip.AddrPortFrom(w.addr(8, 2), 8443)
	w.writeConfig(3, route("tally-feed", desk, "safe", "levy-desk", 500*time.Millisecond, 120*time.Millisecond, 2),
		route("ledger-upload", intake, "upload", "ledger-intake", 3*time.Second, 500*time.Millisecond, 2))
	var violations atomic.Int64
	w.onRun = func(s *server, path, id string) {
		if path != "/"+s.cfg.service {
			violations.Add(1)
			w.record("ROUTE: request %s for %s ran at server %s, which runs %s", id, path, s.id, s.cfg.service)
		}
	}
	work := func(string) time.Duration { return 15 * time.Millisecond }
	zones := []string{"west-a", "west-b"}
	var intakes []*server
	for i := range 8 {
		service := "levy-desk"
		if i >= 5 {
			service = "ledger-intake"
		}
		s, err := w.addServer(0xab00000001+uint64(i), service, zones[i%2], work)
		if err != nil {
			return 0, err
		}
		if i >= 5 {
			intakes = append(intakes, s)
		}
	}
	for i := range 4 {
		if _, err := w.addHost(zones[i%2]); err != nil {
			return 0, err
		}
	}
	w.startRouter()
	if err := w.awaitReady(); err != nil {
		return 0, err
	}
	w.sleep(3 * time.Second)
	for i := range 8 {
		c, err := w.addClient(zones[i%2])
		if err != nil {
			return 0, err
		}
		at, path, method, body := desk, "/levy-desk", "GET", 0
		if i >= 6 {
			at, path, method, body = intake, "/ledger-intake", "POST", 900
		}
		go w.runShortFlows(c, at, method, path, body, 50*time.Millisecond, 500*time.Millisecond)
	}
	for i := range 6 {
		w.sleep(4 * time.Second)
		s := intakes[i%len(intakes)]
		if w.trouble {
			// Another writer's entry: sequence is missing.
			w.store.put(kindServers, s.id, map[string]any{
				"service": "levy-desk", "address": s.cfg.addr.String(), "zone": s.cfg.zone, "version": "v1", "slots": 2,
				"state": "ready", "warmup_left_ms": 0, "born": s.born.UnixMilli(),
			})
			w.record("another writer has written an entry %s for levy-desk, without sequence", s.id)
		}
	}
	w.sleep(3 * time.Second)
	return int(violations.Load()), nil
}

// runShortFlows sends one request after the other, each on a flow of its own.
func (w *world) runShortFlows(c *client, at netip.AddrPort, method, path string, body int, pause, timeout time.Duration) {
	for w.sleep(pause) {
		id := w.nextID()
		f, failed := c.dial(at)
		if f == nil {
			w.record("request %s %s %s: %s", id, method, path, failed)
			continue
		}
		o, by := f.do(method, path, body, id, timeout)
		w.record("request %s %s %s: %s %s", id, method, path, o, by)
		f.finish()
	}
}
