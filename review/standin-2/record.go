package main

import (
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// window is the span in which the requests to a cold target are counted.
const window = time.Second

// minAnswered is the part of the requests that must be answered for the run to say anything.
const minAnswered = 0.5

// eventLog collects what was sent, what arrived and what was answered. It is safe for concurrent
// use.
type eventLog struct {
	limit float64

	mu       sync.Mutex
	sent     map[netip.AddrPort]time.Time
	starts   []targetStart
	arrivals []arrival
	ok, lost int
}

// targetStart is the start of a target during the load.
type targetStart struct {
	id string
	at time.Time
}

// arrival is an opening packet that a target took.
type arrival struct {
	id string
	// started is the start of the process that took it.
	started, at time.Time
	flow        netip.AddrPort
}

func newEventLog(limit float64) *eventLog {
	return &eventLog{limit: limit, sent: map[netip.AddrPort]time.Time{}}
}

func (l *eventLog) addSent(flow netip.AddrPort, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[flow] = at
}

func (l *eventLog) addStart(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts = append(l.starts, targetStart{id: id, at: at})
}

func (l *eventLog) addArrival(id string, started time.Time, flow netip.AddrPort, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, arrival{id: id, started: started, at: at, flow: flow})
}

func (l *eventLog) addResult(ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		l.ok++
		return
	}
	l.lost++
}

// report checks the rule, writes the record and returns the exit code.
func (l *eventLog) report(out io.Writer, w worldConfig) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(out, "hosts=%d targets=%d restarted=%d trouble=%v limit=%.1f (%v x %v + %v) in any second\n",
		len(w.hosts), w.targets, w.restarted, w.trouble, l.limit, w.warmupRate, w.overshoot, w.slack)
	fmt.Fprintf(out, "requests sent=%d answered=%d not answered=%d opening packets taken=%d\n", len(l.sent), l.ok, l.lost, len(l.arrivals))
	broken := 0
	for _, s := range l.starts {
		worst := l.worstWindow(s)
		if float64(len(worst)) > l.limit {
			broken++
		}
		fmt.Fprintf(out, "start of %s under its ID at %s: at most %d requests in a second while cold\n", s.id, s.at.Format("15:04:05.000"), len(worst))
		for _, a := range worst {
			fmt.Fprintf(out, "    flow %s sent %+.3f s, taken %+.3f s after the start\n", a.flow, l.sent[a.flow].Sub(s.at).Seconds(), a.at.Sub(s.at).Seconds())
		}
	}
	fmt.Fprintf(out, "starts=%d with more than the limit=%d\n", len(l.starts), broken)
	switch {
	case float64(l.ok) < minAnswered*float64(l.ok+l.lost) || l.ok == 0:
		fmt.Fprintln(out, "result: nothing shown, too few requests were answered")
		return exitFailed
	case broken > 0:
		fmt.Fprintln(out, "result: FAILBACK is broken")
		return exitBroken
	default:
		fmt.Fprintln(out, "result: FAILBACK holds")
		return exitHeld
	}
}

// worstWindow returns the requests of the second in which a target got the most while it was cold
// after a start: those that were sent and taken within it.
func (l *eventLog) worstWindow(s targetStart) []arrival {
	var taken []arrival
	for _, a := range l.arrivals {
		if a.id == s.id && a.started.Equal(s.at) && a.at.Sub(s.at) < warmupTime {
			taken = append(taken, a)
		}
	}
	slices.SortFunc(taken, func(a, b arrival) int { return a.at.Compare(b.at) })
	var worst []arrival
	for _, begin := range taken {
		from := l.sent[begin.flow]
		var inside []arrival
		for _, a := range taken {
			if !l.sent[a.flow].Before(from) && a.at.Before(from.Add(window)) {
				inside = append(inside, a)
			}
		}
		if len(inside) > len(worst) {
			worst = inside
		}
	}
	return worst
}
