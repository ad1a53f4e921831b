package main

import (
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"
)

func init() {
	cases["drain"] = playDrain
}

const (
	// listedServers is the number of further servers that are listed. With them, a list has
	// two pages.
	listedServers = 51
	// staleFor is how old the second page of a stale list is.
	staleFor = 3 * time.Second
	// drainBound is drain_ms of the settings, stableWindow is stable_window_ms.
	drainBound   = 3 * time.Second
	stableWindow = 4 * time.Second
)

// playDrain checks DRAIN for a host that is killed and started again while a server begins to
// drain: once the host is in touch, the server must get no new flow through it.
func playDrain(w *world) (int, error) {
	if err := w.startStore(); err != nil {
		return 0, err
	}
	w.store.staleAge = func(kind, after string) time.Duration {
		if kind == kindServers && after != "" {
			return staleFor
		}
		return 0
	}
	desk := netip.AddrPortFrom(w.addr(8, 1), 8443)
	w.writeConfig(3, route("tally-feed", desk, "safe", "levy-desk", 500*time.Millisecond, 120*time.Millisecond, 2))
	work := func(string) time.Duration { return 15 * time.Millisecond }
	zones := []string{"west-a", "west-b"}
	go w.listServers()
	var servers []*server
	for i := range 6 {
		s, err := w.addServer(0xab00000001+uint64(i), "levy-desk", zones[i%2], work)
		if err != nil {
			return 0, err
		}
		servers = append(servers, s)
	}
	var hosts []*host
	for i := range 4 {
		h, err := w.addHost(zones[i%2])
		if err != nil {
			return 0, err
		}
		hosts = append(hosts, h)
	}
	w.startRouter()
	if err := w.awaitReady(); err != nil {
		return 0, err
	}
	w.sleep(6 * time.Second)
	var violations, restartedAt atomic.Int64
	w.onOpen = func(s *server, at time.Time, host netip.AddrPort) {
		// The lock of s is held. All hosts are calm but the one that was restarted, which is in
		// touch again stableWindow after its start.
		late := !s.drainedAt.IsZero() && at.Sub(s.drainedAt) > drainBound
		inTouch := time.Since(time.UnixMilli(restartedAt.Load())) > stableWindow
		if late {
			w.record("a new flow has reached server %s through host %s %v after it was acknowledged as draining; all hosts in touch: %v", s.id, host.Addr(), at.Sub(s.drainedAt).Round(time.Millisecond), inTouch)
		}
		if late && inTouch {
			violations.Add(1)
		}
	}
	for i := range 8 {
		c, err := w.addClient(zones[i%2])
		if err != nil {
			return 0, err
		}
		go w.runShortFlows(c, desk, "GET", "/levy-desk", 0, 50*time.Millisecond, 500*time.Millisecond)
	}
	w.sleep(3 * time.Second)
	servers[0].drain()
	w.sleep(500 * time.Millisecond)
	if w.trouble {
		hosts[0].kill()
		w.sleep(300 * time.Millisecond)
		restartedAt.Store(time.Now().UnixMilli())
		if err := hosts[0].start(false); err != nil {
			return 0, err
		}
	}
	w.sleep(15 * time.Second)
	servers[0].exit()
	w.sleep(2 * time.Second)
	return int(violations.Load()), nil
}

// listServers keeps the entries of further servers, of a service without a route.
func (w *world) listServers() {
	born := time.Now().UnixMilli()
	for {
		for i := range listedServers {
			w.store.put(kindServers, idOf(0x1000000001+uint64(i)), map[string]any{
				"service": "archive", "address": fmt.Sprintf("%s:%d", w.addr(9, i%250+1), 9000+i/250), "zone": "west-a", "version": "v1",
				"slots": 2, "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": born,
			})
		}
		if !w.sleep(w.heartbeat) {
			return
		}
	}
}
