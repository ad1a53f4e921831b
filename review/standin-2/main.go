// Command standin-2 is the world around a few entry hosts for the scripts in review/: targets
// that restart under their ID, the callers of one route, and the routers between callers and
// hosts. The store is the project's "fake platform".
//
// # Usage
//
//	standin-2 --store 127.60.0.1:7200 --host 127.60.3.1:7400=west-a ... --record record.txt
//
// It writes the targets and the configuration to the store, waits until the hosts have them,
// opens flows for --load, restarts some targets meanwhile unless --trouble is 0, and checks the
// rule FAILBACK on the opening packets that arrived. It exits with status 1 if the rule was
// broken, 0 if it held, and 2 if the run says nothing.
package main

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// hostFlags collects the values of the repeatable flag --host.
type hostFlags []entryHost

// entryHost is one entry host.
type entryHost struct {
	packets netip.AddrPort
	domain  string
}

func (h *hostFlags) String() string {
	return fmt.Sprint(*h)
}

// Set adds a host of the form ADDRESS=DOMAIN.
func (h *hostFlags) Set(s string) error {
	addr, domain, ok := strings.Cut(s, "=")
	if !ok {
		return fmt.Errorf("%q is not of the form ADDRESS=DOMAIN", s)
	}
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return err
	}
	*h = append(*h, entryHost{packets: a, domain: domain})
	return nil
}

func main() {
	var hosts hostFlags
	var w worldConfig
	flag.Var(&hosts, "host", "ADDRESS=DOMAIN of an entry host, repeatable")
	flag.StringVar(&w.store, "store", "127.60.0.1:7200", "address of the store")
	flag.IntVar(&w.block, "block", 60, "second byte of the addresses of targets and callers")
	flag.IntVar(&w.targets, "targets", 30, "number of targets")
	flag.IntVar(&w.restarted, "restarted", 3, "number of targets that restart together")
	flag.IntVar(&w.restarts, "restarts", 3, "how often they restart")
	flag.DurationVar(&w.down, "down", 80*time.Millisecond, "time between the end of a target and its next start")
	flag.DurationVar(&w.period, "period", 2800*time.Millisecond, "time between two restarts")
	flag.Float64Var(&w.flowsPerSecond, "rate", 600, "flows that the callers open per second")
	flag.DurationVar(&w.load, "load", 20*time.Second, "duration of the load")
	flag.Float64Var(&w.warmupRate, "warmup-per-s", 1, "requests per second that a cold target bears")
	flag.Float64Var(&w.overshoot, "overshoot", 1.5, "bounds.warmup_overshoot of the hosts")
	flag.Float64Var(&w.slack, "slack", 5, "bounds.warmup_slack of the hosts")
	flag.BoolVar(&w.trouble, "trouble", true, "restart targets")
	record := flag.String("record", "record.txt", "file for what was sent and what arrived")
	flag.Parse()
	w.hosts = hosts
	f, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-2:", err)
		os.Exit(exitFailed)
	}
	code := run(w, f)
	if err := f.Close(); err != nil {
		fmt.Fprintln(os.Stderr, "standin-2:", err)
		code = exitFailed
	}
	os.Exit(code)
}
