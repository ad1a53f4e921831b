package host_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"wisteriaweir/fake"
	"wisteriaweir/host"
	"wisteriaweir/monitor"
	"wisteriaweir/platform"
)

// Addresses of the tests, apart from those of the process tests.
const (
	testNet     = 250
	testPackets = 7400
)

// system is two hosts in one process, among stand-ins.
type system struct {
	store *httptest.Server
	boots []platform.HostSettings
	world *fake.TestEnvironment
}

func newSystem(t *testing.T, lastByte byte) *system {
	return newSystemWith(t, lastByte, fake.PlatformConfig{EntryTTL: 2 * time.Second})
}

func newSystemWith(t *testing.T, lastByte byte, cfg fake.PlatformConfig) *system {
	s := &system{store: httptest.NewServer(fake.NewPlatform(cfg))}
	t.Cleanup(s.store.Close)
	var hosts []fake.RouterHost
	for i := range 2 {
		ip := netip.AddrFrom4([4]byte{127, testNet, 3, lastByte + byte(i)})
		b := platform.HostSettings{
			Name: "host-" + ip.String(), Domain: "west-a", IP: ip, PacketAddr: netip.AddrPortFrom(ip, testPackets),
			ReadyAddr: netip.AddrPortFrom(ip, 7401), FirstPort: 7410, LastPort: 7415,
			Store:       netip.MustParseAddrPort(strings.TrimPrefix(s.store.URL, "http://")),
			StopTimeout: 6 * time.Second, MaxFlowAge: time.Minute, Memory: 256 << 20, LinkMbps: 100, CPUShare: 1,
		}
		s.boots = append(s.boots, b)
		hosts = append(hosts, fake.RouterHost{Packets: b.PacketAddr, Ready: b.ReadyAddr})
	}
	s.world = fake.NewTestEnvironment(fake.TestEnvironmentConfig{
		Net: [2]byte{127, testNet}, Port: testPackets, Store: s.store.URL, Domains: []string{"west-a"}, Targets: 3,
		Hosts: hosts, Callers: 2, Seed: 1,
	})
	t.Cleanup(func() {
		for _, x := range s.world.Targets() {
			x.Stop() // The next system uses the address again.
		}
	})
	return s
}

func start(t *testing.T, cfg host.Config) (stop func() time.Duration) {
	if cfg.Log == nil {
		cfg.Log = &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	}
	h, err := host.New(cfg)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	var once sync.Once
	stop = func() (took time.Duration) {
		once.Do(func() {
			asked := time.Now()
			cancel()
			qt.Check(t, <-done, qt.IsNil)
			took = time.Since(asked)
		})
		return took
	}
	t.Cleanup(func() { stop() })
	return stop
}

func status(t *testing.T, b platform.HostSettings) int {
	resp, err := http.Get("http://" + b.ReadyAddr.String() + "/api/readiness")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	qt.Assert(t, err, qt.IsNil)
	return resp.StatusCode
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 10 s", what)
		}
	}
}

// TestHost serves through two hosts: not ready before routes and targets are
// known, all requests answered while one of them leaves, and a dump that tells
// what it believes.
func TestHost(t *testing.T) {
	s := newSystem(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	at := netip.AddrPortFrom(s.boots[0].IP, 9102)
	stop := start(t, host.Config{Settings: s.boots[0], Seed: 1, Monitor: at})
	start(t, host.Config{Settings: s.boots[1], Seed: 2})
	await(t, "an answer", func() bool { return status(t, s.boots[0]) != 0 })
	qt.Assert(t, status(t, s.boots[0]), qt.Equals, http.StatusServiceUnavailable)

	qt.Assert(t, s.world.AddTargets(ctx), qt.IsNil)
	qt.Assert(t, s.world.Configure(ctx), qt.IsNil)
	for _, b := range s.boots {
		await(t, "ready", func() bool { return status(t, b) == http.StatusOK })
	}
	go s.world.Router.Run(ctx)
	await(t, "rotation", func() bool { return s.world.Router.ReadyCount() == 2 })
	load, cancelLoad := context.WithTimeout(ctx, 6*time.Second)
	defer cancelLoad()
	done := make(chan error, 1)
	go func() { done <- s.world.Callers.Run(load) }()

	time.Sleep(1500 * time.Millisecond)
	var d host.Dump
	raw, err := monitor.FetchDump(ctx, at.String())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, json.Unmarshal(raw, &d), qt.IsNil)
	qt.Check(t, d.Routes, qt.Equals, uint64(1))
	qt.Check(t, len(d.Targets), qt.Equals, 4)
	qt.Check(t, len(d.Members), qt.Equals, 2)

	took := stop()
	qt.Check(t, took > time.Second && took < 4500*time.Millisecond, qt.IsTrue, qt.Commentf("left in %v", took))
	qt.Assert(t, <-done, qt.IsNil)
	v := s.world.Summary()
	t.Log(v)
	qt.Check(t, v.HasViolations(), qt.IsFalse)
	qt.Check(t, v.Answered, qt.Equals, v.Requests)
	qt.Check(t, v.Requests > 50, qt.IsTrue)
}

// recorder keeps what is logged.
type recorder struct {
	mu    sync.Mutex
	lines []string
}

// HandleLog implements log.Handler.
func (r *recorder) HandleLog(e *log.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, e.Message)
	return nil
}

func (r *recorder) has(line string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lines {
		if l == line {
			return true
		}
	}
	return false
}

// TestReload reads changed settings, and keeps the old ones when they are broken.
func TestReload(t *testing.T) {
	s := newSystem(t, 11)
	path := filepath.Join(t.TempDir(), "boot.conf")
	r := &recorder{}
	h, err := host.New(host.Config{Settings: s.boots[0], SettingsPath: path, Seed: 1, Log: &log.Logger{Handler: r, Level: log.InfoLevel}})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.WriteFile(path, []byte("node_name"), 0o600), qt.IsNil)
	h.Reload()
	qt.Check(t, r.has("host: settings not taken, the old ones stay"), qt.IsTrue)
	qt.Assert(t, os.WriteFile(path, []byte(`node_name=a
zone=west-a
ip=127.0.0.1
listen.datagram_addr=127.0.0.1:1
listen.ready=127.0.0.1:2
internal_ports=3,4
platform.address=127.0.0.1:5
`), 0o600), qt.IsNil)
	h.Reload()
	qt.Check(t, r.has("host: settings read again"), qt.IsTrue)
	qt.Check(t, r.has("host: another address of the store"), qt.IsTrue)
}

// TestStoreMoves changes the store's address in the settings file, without a
// signal: the host reads from there.
func TestStoreMoves(t *testing.T) {
	s := newSystem(t, 31)
	ctx := context.Background()
	qt.Assert(t, s.world.AddTargets(ctx), qt.IsNil)
	qt.Assert(t, s.world.Configure(ctx), qt.IsNil)
	path := filepath.Join(t.TempDir(), "boot.conf")
	write := func(store string) {
		b := s.boots[0]
		text := fmt.Sprintf("node_name=%s\nzone=%s\nip=%s\nlisten.datagram_addr=%s\nlisten.ready=%s\ninternal_ports=7410,7415\nplatform.address=%s\n",
			b.Name, b.Domain, b.IP, b.PacketAddr, b.ReadyAddr, store)
		qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	}
	write("127.0.0.1:1")
	boot, err := platform.ReadSettings(path)
	qt.Assert(t, err, qt.IsNil)
	start(t, host.Config{Settings: boot, SettingsPath: path, Seed: 1})
	await(t, "an answer", func() bool { return status(t, boot) == http.StatusServiceUnavailable })
	write(strings.TrimPrefix(s.store.URL, "http://"))
	await(t, "ready", func() bool { return status(t, boot) == http.StatusOK })
}

// TestAddressTaken reports an address that is in use.
func TestAddressTaken(t *testing.T) {
	s := newSystem(t, 21)
	cfg := host.Config{Settings: s.boots[0], Log: &log.Logger{Handler: discard.New(), Level: log.InfoLevel}}
	_, err := host.New(cfg)
	qt.Assert(t, err, qt.IsNil)
	_, err = host.New(cfg)
	qt.Assert(t, err, qt.ErrorAs, new(*host.StartError))
}

// TestRemovesEntriesLeftBehind leaves the entry of a host that never comes back
// in the store, and one of a host that renews it.
func TestRemovesEntriesLeftBehind(t *testing.T) {
	s := newSystem(t, 61)
	ctx := context.Background()
	store := platform.NewStore(platform.StoreConfig{URL: s.store.URL})
	left := platform.HostSpec{Address: "127.250.3.99:7410", Domain: "west-a"}
	qt.Assert(t, store.Set(ctx, platform.KindHosts, "left", left), qt.IsNil)
	for i, b := range s.boots {
		start(t, host.Config{Settings: b, Seed: uint64(i), RenewInterval: 300 * time.Millisecond})
	}
	names := func() string {
		records, _, err := store.List(ctx, platform.KindHosts)
		qt.Assert(t, err, qt.IsNil)
		var all []string
		for _, r := range records {
			all = append(all, r.Name)
		}
		return strings.Join(all, " ")
	}
	await(t, "the removal", func() bool { return names() == s.boots[0].Name+" "+s.boots[1].Name })
}

// TestUsedAddressCrossesNothing ends a target without a word and gives its address
// to one of the other service, while its entry stays in the store: packets that
// hosts still send there are not taken.
func TestUsedAddressCrossesNothing(t *testing.T) {
	s := newSystemWith(t, 71, fake.PlatformConfig{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i, b := range s.boots {
		start(t, host.Config{Settings: b, Seed: uint64(i)})
	}
	qt.Assert(t, s.world.AddTargets(ctx), qt.IsNil)
	qt.Assert(t, s.world.Configure(ctx), qt.IsNil)
	go s.world.Router.Run(ctx)
	await(t, "rotation", func() bool { return s.world.Router.ReadyCount() == 2 })
	load, cancelLoad := context.WithTimeout(ctx, 7*time.Second)
	defer cancelLoad()
	done := make(chan error, 1)
	go func() { done <- s.world.Callers.Run(load) }()

	ended, other := twoServices(s.world.Targets())
	s.world.StopTarget(ended.ID())
	time.Sleep(2100 * time.Millisecond)
	qt.Assert(t, s.world.AddTarget(ctx, other.Service(), other.Domain()), qt.IsNil)
	var used fake.ManagedTarget
	for _, x := range s.world.Targets() {
		if x.Address() == ended.Address() && x.ID() != ended.ID() {
			used = x
		}
	}
	qt.Assert(t, used.FlowTarget, qt.IsNotNil)
	qt.Assert(t, <-done, qt.IsNil)
	v := s.world.Summary()
	t.Log(v)
	qt.Check(t, v.HasViolations(), qt.IsFalse)
	qt.Check(t, used.Stats().Misdirected > 0, qt.IsTrue)
}

// twoServices returns a target of the service with the most targets, and one of the
// other service.
func twoServices(targets map[string]fake.ManagedTarget) (most, other fake.ManagedTarget) {
	perService := map[string]int{}
	for _, x := range targets {
		perService[x.Service()]++
	}
	for _, x := range targets {
		if perService[x.Service()] > len(targets)/2 {
			most = x
		} else {
			other = x
		}
	}
	return most, other
}
