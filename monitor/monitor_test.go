package monitor_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	qt "github.com/frankban/quicktest"

	"wisteriaweir/member"
	"wisteriaweir/monitor"
	"wisteriaweir/peer"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// TestScripts runs the files of testdata. Their commands are "state PHASE
// REASON", "dump VALUE" and an HTTP method with a path, such as "GET /readyz".
// The indented lines after a command are the log lines or the response that it
// must cause.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) { runScript(t, name) })
	}
}

func runScript(t *testing.T, name string) {
	c := qt.New(t)
	want, err := os.ReadFile(name)
	c.Assert(err, qt.IsNil)
	var logged, got bytes.Buffer
	logger, err := monitor.NewLogger("info", "text", &logged)
	c.Assert(err, qt.IsNil)
	var value any
	s := start(t, monitor.Config{Log: logger, Dump: func(context.Context) any { return value }})
	for line := range strings.Lines(string(want)) {
		if strings.HasPrefix(line, " ") {
			continue
		}
		got.WriteString(line)
		word, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch word {
		case "state":
			phase, reason, _ := strings.Cut(rest, " ")
			s.SetState(monitor.State{Phase: monitor.Phase(phase), Reason: reason})
			got.WriteString(indent(withoutTime(logged.String())))
			logged.Reset()
		case "dump":
			value = dumpValue(rest)
		default:
			got.WriteString(indent(request(t, word, s.Addr(), rest)))
		}
	}
	c.Assert(got.String(), qt.Equals, string(want))
}

// start starts a server with cfg on a free port, and closes it after the test.
func start(t *testing.T, cfg monitor.Config) *monitor.Server {
	cfg.Address = anyPort
	cfg.Metrics = metrics.NewSet()
	if cfg.Log == nil {
		cfg.Log = log.Log
	}
	s := monitor.NewServer(cfg)
	qt.Assert(t, s.Start(), qt.IsNil)
	t.Cleanup(func() { qt.Check(t, s.Close(), qt.IsNil) })
	return s
}

// dumpValue returns a value for a dump; that for "channel" cannot be encoded as
// JSON.
func dumpValue(word string) any {
	if word == "channel" {
		return make(chan int)
	}
	return map[string]string{"state": word}
}

// request returns the status and the body of a response.
func request(t *testing.T, method string, addr netip.AddrPort, path string) string {
	req, err := http.NewRequest(method, "http://"+addr.String()+path, http.NoBody)
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	return fmt.Sprintf("%d %s", resp.StatusCode, body)
}

// withoutTime removes the time at the start of a log line.
func withoutTime(line string) string {
	_, rest, _ := strings.Cut(line, " ")
	return rest
}

func indent(s string) string {
	if s == "" {
		return ""
	}
	return "  " + strings.TrimSuffix(s, "\n") + "\n"
}

// TestPageListsEveryMetric guards against metrics that docs/METRICS.md lacks,
// and against entries there without a metric.
func TestPageListsEveryMetric(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../docs/METRICS.md")
	c.Assert(err, qt.IsNil)
	var documented []string
	for _, m := range regexp.MustCompile("(?m)^\\| `(wisteriaweir_[^`]*)`").FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, m[1])
	}
	set := metrics.NewSet()
	monitor.NewCounters(set)
	zero := func() float64 { return 0 }
	monitor.Gauges{
		FlowsOpen: zero, PinsWaiting: zero, RequestsQueued: zero, ConfigNumber: zero, Members: zero, LeaseHeld: zero,
		Targets: func(string) float64 { return 0 },
	}.Register(set)
	self := member.Member{Name: "balancer-1"}
	transport, err := peer.New(peer.Config{Self: self, ListenAddress: anyPort, Metrics: set})
	c.Assert(err, qt.IsNil)
	defer transport.Close()
	hop, err := peer.NewHop(peer.HopConfig{Self: self, ListenAddress: anyPort, Metrics: set})
	c.Assert(err, qt.IsNil)
	defer hop.Close()
	names := set.ListMetricNames()
	slices.Sort(names)
	c.Assert(documented, qt.DeepEquals, names)
}

// TestOneDumpAtATime guards against two dumps in progress at once: a second
// request must get status 503 while the first one is collecting the state.
func TestOneDumpAtATime(t *testing.T) {
	c := qt.New(t)
	entered, leave := make(chan bool), make(chan bool)
	s := start(t, monitor.Config{Dump: func(context.Context) any {
		entered <- true
		<-leave
		return 1
	}})
	done := make(chan error)
	go func() {
		_, err := monitor.FetchDump(context.Background(), s.Addr().String())
		done <- err
	}()
	<-entered
	_, err := monitor.FetchDump(context.Background(), s.Addr().String())
	var refused *monitor.DumpError
	c.Assert(errors.As(err, &refused), qt.IsTrue)
	c.Assert(refused.Status, qt.Equals, http.StatusServiceUnavailable)
	leave <- true
	c.Assert(<-done, qt.IsNil)
}

// TestStartReportsABusyAddress guards against a server that starts without
// listening because its address is in use, and against a Close that blocks
// afterwards.
func TestStartReportsABusyAddress(t *testing.T) {
	l, err := net.Listen("tcp", anyPort.String())
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	s := monitor.NewServer(monitor.Config{Address: netip.MustParseAddrPort(l.Addr().String())})
	var busy *monitor.ListenError
	qt.Assert(t, errors.As(s.Start(), &busy), qt.IsTrue)
	qt.Assert(t, s.Close(), qt.IsNil)
}

// TestLoggerHonorsLevelAndFormat guards against a logger that writes entries
// below its level, changes the JSON layout, or accepts unknown levels and
// formats.
func TestLoggerHonorsLevelAndFormat(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	l, err := monitor.NewLogger("warn", "json", &b)
	c.Assert(err, qt.IsNil)
	l.Info("hidden")
	l.WithField("target", "levy-3").Warn("target ejected")
	c.Assert(b.String(), qt.Matches, `\{"fields":\{"target":"levy-3"\},"level":"warn","timestamp":"[^"]*","message":"target ejected"\}\n`)
	var want *monitor.LogError
	_, err = monitor.NewLogger("loud", "json", &b)
	c.Assert(errors.As(err, &want), qt.IsTrue)
	_, err = monitor.NewLogger("info", "xml", &b)
	c.Assert(errors.As(err, &want), qt.IsTrue)
}

// TestConnectionsAreBounded guards against a server that serves more than 64
// connections at once, and against closed connections that still count.
func TestConnectionsAreBounded(t *testing.T) {
	c := qt.New(t)
	const tooManyConnections = 65
	s := start(t, monitor.Config{})
	var open []net.Conn
	for range tooManyConnections {
		conn, err := net.Dial("tcp", s.Addr().String())
		c.Assert(err, qt.IsNil)
		open = append(open, conn)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	get := func() error {
		resp, err := client.Get("http://" + s.Addr().String() + "/healthz")
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	c.Assert(get(), qt.IsNotNil)
	for _, conn := range open {
		conn.Close()
	}
	deadline := time.Now().Add(10 * time.Second)
	for get() != nil && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	c.Assert(get(), qt.IsNil)
}
