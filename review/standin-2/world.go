package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// serviceName is the name of the only service.
	serviceName = "levy-desk"
	// callersPerDomain is the number of callers in each failure domain.
	callersPerDomain = 4
	// settleTime is the time for which the hosts run before the load begins.
	settleTime = 6 * time.Second
	// calmTime is the time of the load before the first restart.
	calmTime = 4 * time.Second
)

// worldConfig configures a run.
type worldConfig struct {
	hosts                        []entryHost
	store                        string
	block                        int
	targets, restarted, restarts int
	down, period, load           time.Duration
	flowsPerSecond               float64
	warmupRate, overshoot, slack float64
	trouble                      bool
}

// routeAddr is the address that the callers use.
func (w worldConfig) routeAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(w.block), 9, 1}), 443)
}

// limit is the largest number of requests that a cold target may get in a second.
func (w worldConfig) limit() float64 {
	return w.warmupRate*w.overshoot + w.slack
}

// domains returns the failure domains of the hosts, each once.
func (w worldConfig) domains() []string {
	var domains []string
	for _, h := range w.hosts {
		if !slices.Contains(domains, h.domain) {
			domains = append(domains, h.domain)
		}
	}
	return domains
}

// run runs the world, writes the record, and returns the exit code.
func run(w worldConfig, record io.Writer) int {
	if len(w.hosts) == 0 || w.targets < 1 || w.restarted > w.targets {
		fmt.Fprintln(os.Stderr, "standin-2: no hosts, or too few targets")
		return exitFailed
	}
	events := newEventLog(w.limit())
	if err := w.play(events); err != nil {
		fmt.Fprintln(os.Stderr, "standin-2:", err)
		return exitFailed
	}
	return events.report(record, w)
}

// play starts the targets and the callers, and restarts targets.
func (w *worldConfig) play(events *eventLog) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s := newStore(w.store)
	if !s.put(ctx, "config", "main", w.routes()) {
		return fmt.Errorf("the store at %s does not take the configuration", w.store)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	for i := range w.targets {
		t := w.newTarget(i, s, events)
		wg.Go(func() { w.runTarget(ctx, t, i < w.restarted) })
	}
	sleep(ctx, settleTime)
	return w.runCallers(ctx, events)
}

// newTarget returns the i-th target.
func (w *worldConfig) newTarget(i int, s *store, events *eventLog) *target {
	domains := w.domains()
	number := 0xab00000000 + uint64(i)
	return &target{
		id: "i-" + strconv.FormatUint(number, 16), number: number, domain: domains[i%len(domains)], store: s, log: events,
		addr:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(w.block), 5, byte(i + 1)}), 8080),
		callerPort: w.hosts[0].packets.Port(),
	}
}

// runTarget runs a target until ctx ends. If it is one of those that restart, it ends and starts
// again under its ID, at the same times as the others of them.
func (w *worldConfig) runTarget(ctx context.Context, t *target, restarts bool) {
	first, stop := context.WithCancel(ctx)
	defer stop()
	end := settleTime + calmTime
	start := time.Now()
	if !w.trouble || !restarts {
		t.runLogged(first, false)
		return
	}
	time.AfterFunc(end, stop)
	t.runLogged(first, false)
	for i := range w.restarts {
		if !sleep(ctx, time.Until(start.Add(end+time.Duration(i)*w.period+w.down))) {
			return
		}
		next, stopNext := context.WithCancel(ctx)
		if i < w.restarts-1 {
			time.AfterFunc(w.period-w.down, stopNext)
		}
		t.runLogged(next, true)
		stopNext()
	}
}

// runLogged runs one incarnation and logs an error.
func (t *target) runLogged(ctx context.Context, cold bool) {
	if err := t.run(ctx, cold); err != nil {
		fmt.Fprintln(os.Stderr, "standin-2: target:", err)
	}
}

// runCallers runs the callers of all failure domains for the duration of the load.
func (w *worldConfig) runCallers(ctx context.Context, events *eventLog) error {
	ctx, stop := context.WithTimeout(ctx, w.load)
	defer stop()
	domains := w.domains()
	var wg sync.WaitGroup
	for d, domain := range domains {
		for i := range callersPerDomain {
			ip := netip.AddrFrom4([4]byte{127, byte(w.block), 8, byte(d*callersPerDomain + i + 1)})
			c, err := newCaller(w, ip, domain, events)
			if err != nil {
				stop()
				wg.Wait()
				return err
			}
			go c.receive()
			wg.Go(func() {
				c.run(ctx, w.flowsPerSecond/float64(len(domains)*callersPerDomain))
				_ = c.conn.Close()
			})
		}
	}
	wg.Wait()
	return nil
}

// sleep waits for d, and reports whether it did: false if ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
