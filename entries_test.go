package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/fake"
	"wisteriaweir/host"
	"wisteriaweir/monitor"
	"wisteriaweir/platform"
)

const (
	// followLimit is the time within which all hosts must use a change of the store.
	followLimit = 5 * time.Second
	// entriesMonitorPort is the port of the dumps of the hosts.
	entriesMonitorPort = 7402
)

// entrySystem runs host processes beside a fake store, whose entries the test writes.
type entrySystem struct {
	t      *testing.T
	c      *qt.C
	block  int
	logDir string
	store  *fake.Platform
	url    string
	client *platform.Store
	hosts  []*exec.Cmd
}

// newEntrySystem starts a store without entries.
func newEntrySystem(t *testing.T) *entrySystem {
	s := &entrySystem{t: t, c: qt.New(t), logDir: createLogDir(t), block: newBlock(qt.New(t)), store: fake.NewPlatform(fake.PlatformConfig{})}
	srv := httptest.NewServer(s.store)
	t.Cleanup(srv.Close)
	s.url = srv.URL
	s.client = platform.NewStore(platform.StoreConfig{URL: srv.URL})
	return s
}

// startHost starts the next host process.
func (s *entrySystem) startHost() {
	i := len(s.hosts) + 1
	ip := fmt.Sprintf("127.%d.3.%d", s.block, i)
	path := filepath.Join(s.logDir, fmt.Sprintf("host-%d.conf", i))
	settings := fmt.Sprintf("node_name=host-%d\nzone=west-a\nip=%s\nlisten.datagram_addr=%s:7400\nlisten.ready=%s:7401\ninternal_ports=7410,7415\n"+
		"bootstrap=%t\nbounds.evacuate_ms=5000\nplatform.address=%s\n", i, ip, ip, ip, i <= 2, strings.TrimPrefix(s.url, "http://"))
	s.c.Assert(os.WriteFile(path, []byte(settings), 0o600), qt.IsNil)
	out, err := os.Create(s.hostLog(i))
	s.c.Assert(err, qt.IsNil)
	cmd := exec.Command("wisteriaweir", "host", "--settings", path, "--monitor-port", fmt.Sprint(entriesMonitorPort))
	cmd.Stdout, cmd.Stderr = out, out
	s.c.Assert(cmd.Start(), qt.IsNil)
	s.hosts = append(s.hosts, cmd)
	s.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = out.Close()
	})
}

// hostLog returns the path of the log of a host, counted from 1.
func (s *entrySystem) hostLog(i int) string {
	return filepath.Join(s.logDir, fmt.Sprintf("host-%d.log", i))
}

// writeTarget writes the entry of a target.
func (s *entrySystem) writeTarget(n int) {
	s.c.Assert(s.client.CreateOrReplace(context.Background(), platform.KindTargets, targetID(n), map[string]any{
		"service": "levy-desk", "address": fmt.Sprintf("127.%d.2.%d:9000", s.block, n), "zone": "west-a", "version": "v1",
		"slots": 2, "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1790000000000 + n,
	}), qt.IsNil)
}

// targetID returns the ID of a target.
func targetID(n int) string {
	return fmt.Sprintf("i-ab%08x", n)
}

// writeConfig writes a configuration with one route.
func (s *entrySystem) writeConfig(version int) {
	s.c.Assert(s.client.CreateOrReplace(context.Background(), platform.KindConfig, platform.ConfigName, map[string]any{
		"version": version, "limits": map[string]any{"idle_timeout_ms": 15000}, "routes": []map[string]any{{
			"name": "feed", "host": fmt.Sprintf("127.%d.8.1", s.block), "path_prefix": "/8443/", "type": "safe", "service": "levy-desk",
			"timeout_ms": 500, "target_latency_ms": 120, "priority": 1,
		}},
	}), qt.IsNil)
}

// dump returns the dump of a host, counted from 1, and whether the host responded.
func (s *entrySystem) dump(i int) (host.Dump, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var d host.Dump
	raw, err := monitor.FetchDump(ctx, fmt.Sprintf("127.%d.3.%d:%d", s.block, i, entriesMonitorPort))
	return d, err == nil && json.Unmarshal(raw, &d) == nil
}

// await waits until all hosts have the version of the configuration and the number of
// targets, and fails the test if that takes longer than followLimit.
func (s *entrySystem) await(step string, version uint64, targets int) {
	s.t.Helper()
	end := time.Now().Add(followLimit)
	for i := range s.hosts {
		d, ok := s.dump(i + 1)
		for ; !ok || d.Routes != version || countListed(d) != targets; d, ok = s.dump(i + 1) {
			if time.Now().After(end) {
				s.t.Fatalf("%s: host-%d responds: %t, has routes %d, want %d, and %d targets, want %d", step, i+1, ok, d.Routes, version, countListed(d), targets)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// countListed returns the number of targets that the store lists.
func countListed(d host.Dump) int {
	n := 0
	for _, t := range d.Targets {
		if t.Load.State != "gone" {
			n++
		}
	}
	return n
}

// checkRunning fails the test if a host has ended.
func (s *entrySystem) checkRunning() {
	for i, cmd := range s.hosts {
		s.c.Assert(cmd.Process.Signal(syscall.Signal(0)), qt.IsNil, qt.Commentf("host-%d has ended", i+1))
	}
}

// awaitState waits until the target has a state in the dumps of all hosts, and fails the test if
// that takes longer than followLimit.
func (s *entrySystem) awaitState(id, state string) {
	s.t.Helper()
	end := time.Now().Add(followLimit)
	for i := range s.hosts {
		for !s.hasState(i+1, id, state) {
			if time.Now().After(end) {
				s.t.Fatalf("%s is not %s on host-%d", id, state, i+1)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// hasState reports whether the target has a state in the dump of a host, counted from 1.
func (s *entrySystem) hasState(i int, id, state string) bool {
	d, _ := s.dump(i)
	return slices.ContainsFunc(d.Targets, func(t host.DumpTarget) bool { return t.ID == id && t.Load.State == state })
}

// TestInvalidEntryIsNoRemoval writes over the entry of a target. It guards against hosts, the
// readers and those that they inform, that count the target as removed, so that one flow without
// a response is enough to reset all its flows.
func TestInvalidEntryIsNoRemoval(t *testing.T) {
	t.Parallel()
	s := newEntrySystem(t)
	s.writeTarget(1)
	s.writeTarget(2)
	s.writeConfig(1)
	for range 3 {
		s.startHost()
	}
	s.await("before", 1, 2)
	s.store.PutRaw(platform.KindTargets, targetID(1), []byte(`{"service":"levy-desk","state":"maintenance"}`))
	s.awaitState(targetID(1), "invalid")
	s.writeTarget(1)
	s.awaitState(targetID(1), "ready")
	s.c.Assert(s.client.Remove(context.Background(), platform.KindTargets, targetID(1), 0), qt.IsNil)
	s.awaitState(targetID(1), "gone")
}

// metric returns the value of a metric of a host, counted from 1.
func (s *entrySystem) metric(i int, name string) float64 {
	resp, err := http.Get(fmt.Sprintf("http://127.%d.3.%d:%d/metrics", s.block, i, entriesMonitorPort))
	s.c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.c.Assert(err, qt.IsNil)
	for _, line := range strings.Split(string(body), "\n") {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			n, err := strconv.ParseFloat(value, 64)
			s.c.Assert(err, qt.IsNil)
			return n
		}
	}
	s.t.Fatalf("host-%d has no metric %s", i, name)
	return 0
}

// send sends a datagram to a port of a host, counted from 1.
func (s *entrySystem) send(i, port int, b []byte) {
	conn, err := net.Dial("udp4", fmt.Sprintf("127.%d.3.%d:%d", s.block, i, port))
	s.c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = conn.Write(b)
	s.c.Assert(err, qt.IsNil)
}

// oddDatagrams are neither messages of hosts nor packets of callers.
func oddDatagrams() [][]byte {
	deepGroup := bytes.Repeat([]byte{0x7b}, 1300) // Starts of group 15, one in the other.
	return [][]byte{{}, {0xff}, bytes.Repeat([]byte{0xff}, 1400), bytes.Repeat([]byte{0}, 32), deepGroup, []byte("GET / HTTP/1.1\r\n\r\n")}
}

// TestOddDatagramsCostThemselvesAlone sends odd datagrams to hosts. It guards against a host
// that ends or no longer follows changes, and against datagrams that are not counted or cause
// a log line each.
func TestOddDatagramsCostThemselvesAlone(t *testing.T) {
	t.Parallel()
	const rounds = 20
	s := newEntrySystem(t)
	s.writeTarget(1)
	s.writeConfig(1)
	s.startHost()
	s.startHost()
	s.await("before", 1, 1)
	for range rounds {
		for _, b := range oddDatagrams() {
			s.send(1, 7410, b)
			s.send(1, 7400, b)
		}
	}
	s.writeTarget(2)
	s.writeConfig(2)
	s.await("after", 2, 2)
	s.checkRunning()
	s.c.Check(s.metric(1, `wisteriaweir_invalid_elements_total{source="message"}`) >= rounds, qt.IsTrue)
	s.c.Check(s.metric(1, `wisteriaweir_invalid_elements_total{source="packet"}`) >= rounds, qt.IsTrue)
	log, err := os.ReadFile(s.hostLog(1))
	s.c.Assert(err, qt.IsNil)
	lines := strings.Count(string(log), "cannot be read")
	s.c.Check(lines >= 2 && lines <= 12, qt.IsTrue, qt.Commentf("%d lines", lines))
}

// oddSpecs are entries that no target, host or operator writes.
func oddSpecs() map[string]string {
	valid := `"service":"levy-desk","address":"127.0.0.1:9000","zone":"west-a","version":"v1","state":"ready","sequence":1`
	return map[string]string{
		"deep":      strings.Repeat(`{"a":`, 20000) + "1" + strings.Repeat("}", 20000),
		"deeplist":  strings.Repeat("[", 200000) + strings.Repeat("]", 200000),
		"number":    "{" + valid + `,"slots":1e999,"warmup_left_ms":0}`,
		"overflow":  "{" + valid + `,"slots":2,"warmup_left_ms":1e300}`,
		"slots":     "{" + valid + `,"slots":18446744073709551615,"warmup_left_ms":0}`,
		"wide":      "{" + valid + `,"slots":4294967297,"warmup_left_ms":0}`,
		"port":      strings.Replace("{"+valid+`,"slots":2,"warmup_left_ms":0}`, ":9000", ":70000", 1),
		"zeroport":  strings.Replace("{"+valid+`,"slots":2,"warmup_left_ms":0}`, ":9000", ":0", 1),
		"multicast": strings.Replace("{"+valid+`,"slots":2,"warmup_left_ms":0}`, "127.0.0.1", "239.0.0.1", 1),
		"null":      "null",
		"text":      "\"\xff\xfe\"",
	}
}

// TestOddEntriesCostThemselvesAlone leaves odd entries among those of targets, hosts and
// evacuations. It guards against hosts that end, stop following the store, or cannot start,
// because they cannot decode one element of a response.
func TestOddEntriesCostThemselvesAlone(t *testing.T) {
	t.Parallel()
	s := newEntrySystem(t)
	for n := range 3 {
		s.writeTarget(n + 1)
	}
	s.writeConfig(1)
	s.startHost()
	s.startHost()
	s.await("before", 1, 3)

	version, targets := 1, 3
	for label, spec := range oddSpecs() {
		s.store.PutRaw(platform.KindTargets, "i-0dd"+fmt.Sprintf("%08x", version), []byte(spec))
		s.store.PutRaw(platform.KindHosts, "odd-"+label, []byte(spec))
		s.store.PutRaw(platform.KindEvacuations, "odd-"+label, []byte(spec))
		version, targets = version+1, targets+1
		s.writeTarget(targets)
		s.writeConfig(version)
		s.await(label, uint64(version), targets)
	}
	s.startHost()
	s.await("start", uint64(version), targets)
	s.store.Compact()
	s.writeTarget(targets + 1)
	s.await("new list", uint64(version), targets+1)
	s.checkRunning()
	for i := range s.hosts {
		log, err := os.ReadFile(s.hostLog(i + 1))
		s.c.Assert(err, qt.IsNil)
		lines := strings.Count(string(log), "invalid target entry skipped")
		s.c.Check(lines >= 1 && lines <= len(oddSpecs()), qt.IsTrue, qt.Commentf("host-%d logged %d lines", i+1, lines))
	}
}
