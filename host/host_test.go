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

const (
	// testNetByte is the second byte of all IP addresses of these tests. It differs from
	// that of the process tests.
	testNetByte = 250
	// testPacketPort is the UDP port of packets.
	testPacketPort = 7400
	// testMonitorPort is the port of the hosts' dumps and metrics.
	testMonitorPort = 9102
)

// system holds the settings of the hosts and the fakes around them.
type system struct {
	store       *httptest.Server
	settings    []platform.HostSettings
	environment *fake.TestEnvironment
}

// newSystem returns a system whose hosts have the IP addresses that end with lastByte
// and the byte after it. Entries of the store expire after 2 s.
func newSystem(t *testing.T, lastByte byte) *system {
	return newSystemWith(t, lastByte, fake.PlatformConfig{EntryTTL: 2 * time.Second})
}

// newSystemWith is like newSystem, with a platform of its own configuration.
func newSystemWith(t *testing.T, lastByte byte, cfg fake.PlatformConfig) *system {
	return newSystemOf(t, systemConfig{
		lastByte: lastByte, platform: fake.NewPlatform(cfg), hostDomains: []string{"west-a", "west-a"}, targetDomains: []string{"west-a"}, targets: 3,
	})
}

// systemConfig configures a system.
type systemConfig struct {
	// lastByte is the last byte of the first host's IP address.
	lastByte byte
	platform *fake.Platform
	// hostDomains are the failure domains of the hosts, one for each host.
	hostDomains []string
	// targetDomains are the failure domains of the targets, and targets the number of
	// targets of the first service.
	targetDomains []string
	targets       int
	// evacuationBound is the setting bounds.evacuate_ms.
	evacuationBound time.Duration
}

// newSystemOf returns a system whose hosts have consecutive IP addresses.
func newSystemOf(t *testing.T, cfg systemConfig) *system {
	s := &system{store: httptest.NewServer(cfg.platform)}
	t.Cleanup(s.store.Close)
	var hosts []fake.RouterHost
	for i, domain := range cfg.hostDomains {
		ip := netip.AddrFrom4([4]byte{127, testNetByte, 3, cfg.lastByte + byte(i)})
		settings := platform.HostSettings{
			Name: "host-" + ip.String(), Domain: domain, IP: ip, PacketAddr: netip.AddrPortFrom(ip, testPacketPort),
			ReadyAddr: netip.AddrPortFrom(ip, 7401), FirstPort: 7410, LastPort: 7415,
			StoreAddr:   netip.MustParseAddrPort(strings.TrimPrefix(s.store.URL, "http://")),
			StopTimeout: 6 * time.Second, MaxFlowAge: time.Minute, MaxMemoryBytes: 256 << 20, LinkMbps: 100, CPUShare: 1,
			EvacuationBound: cfg.evacuationBound,
		}
		s.settings = append(s.settings, settings)
		hosts = append(hosts, fake.RouterHost{Packets: settings.PacketAddr, Ready: settings.ReadyAddr})
	}
	s.environment = fake.NewTestEnvironment(fake.TestEnvironmentConfig{
		AddressPrefix: [2]byte{127, testNetByte}, Port: testPacketPort, Store: s.store.URL, Domains: cfg.targetDomains, Targets: cfg.targets,
		Hosts: hosts, Callers: 2, Seed: 1,
	})
	t.Cleanup(func() {
		for _, target := range s.environment.Targets() {
			target.Stop() // The next test uses the same addresses.
		}
	})
	return s
}

// monitorAddr returns the monitor address of a host.
func (s *system) monitorAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(s.settings[i].IP, testMonitorPort)
}

// dump returns the dump of a host.
func (s *system) dump(t *testing.T, i int) host.Dump {
	var d host.Dump
	raw, err := monitor.FetchDump(context.Background(), s.monitorAddr(i).String())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, json.Unmarshal(raw, &d), qt.IsNil)
	return d
}

// start runs a host. The returned function stops it and returns how long that took.
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
	stop = func() (duration time.Duration) {
		once.Do(func() {
			startedAt := time.Now()
			cancel()
			qt.Check(t, <-done, qt.IsNil)
			duration = time.Since(startedAt)
		})
		return duration
	}
	t.Cleanup(func() { stop() })
	return stop
}

// status returns the HTTP status of the readiness check, 0 if there is no response.
func status(t *testing.T, settings platform.HostSettings) int {
	resp, err := http.Get("http://" + settings.ReadyAddr.String() + "/api/readiness")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	qt.Assert(t, err, qt.IsNil)
	return resp.StatusCode
}

// await waits until ok returns true, and fails the test after 10 s.
func await(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 10 s", condition)
		}
	}
}

// TestHost runs two hosts. It guards against a host that reports itself ready before
// it knows routes and targets, against requests that fail while one of the hosts
// drains, and against an incomplete dump.
func TestHost(t *testing.T) {
	s := newSystem(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := start(t, host.Config{Settings: s.settings[0], Seed: 1, MonitorAddr: s.monitorAddr(0)})
	start(t, host.Config{Settings: s.settings[1], Seed: 2})
	await(t, "a response", func() bool { return status(t, s.settings[0]) != 0 })
	qt.Assert(t, status(t, s.settings[0]), qt.Equals, http.StatusServiceUnavailable)

	qt.Assert(t, s.environment.AddTargets(ctx), qt.IsNil)
	qt.Assert(t, s.environment.Configure(ctx), qt.IsNil)
	for _, settings := range s.settings {
		await(t, "ready", func() bool { return status(t, settings) == http.StatusOK })
	}
	go s.environment.Router.Run(ctx)
	await(t, "both hosts in rotation", func() bool { return s.environment.Router.ReadyCount() == 2 })
	loadCtx, cancelLoad := context.WithTimeout(ctx, 6*time.Second)
	defer cancelLoad()
	done := make(chan error, 1)
	go func() { done <- s.environment.Callers.Run(loadCtx) }()

	time.Sleep(1500 * time.Millisecond)
	d := s.dump(t, 0)
	qt.Check(t, d.Routes, qt.Equals, uint64(1))
	qt.Check(t, len(d.Targets), qt.Equals, 4)
	qt.Check(t, len(d.Members), qt.Equals, 2)

	stopDuration := stop()
	qt.Check(t, stopDuration > time.Second && stopDuration < 4500*time.Millisecond, qt.IsTrue, qt.Commentf("stopped in %v", stopDuration))
	qt.Assert(t, <-done, qt.IsNil)
	summary := s.environment.Summary()
	t.Log(summary)
	qt.Check(t, summary.HasViolations(), qt.IsFalse)
	qt.Check(t, summary.Answered, qt.Equals, summary.Requests)
	qt.Check(t, summary.Requests > 50, qt.IsTrue)
}

// recorder stores the messages of all log lines.
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

// has reports whether a message was logged.
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

// TestReload guards against a reload that replaces the settings by invalid ones or
// ignores a changed store address.
func TestReload(t *testing.T) {
	s := newSystem(t, 11)
	path := filepath.Join(t.TempDir(), "boot.conf")
	r := &recorder{}
	h, err := host.New(host.Config{Settings: s.settings[0], SettingsPath: path, Seed: 1, Log: &log.Logger{Handler: r, Level: log.InfoLevel}})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.WriteFile(path, []byte("node_name"), 0o600), qt.IsNil)
	h.Reload()
	qt.Check(t, r.has("host: invalid settings ignored, previous settings remain active"), qt.IsTrue)
	qt.Assert(t, os.WriteFile(path, []byte(`node_name=a
zone=west-a
ip=127.0.0.1
listen.datagram_addr=127.0.0.1:1
listen.ready=127.0.0.1:2
internal_ports=3,4
platform.address=127.0.0.1:5
`), 0o600), qt.IsNil)
	h.Reload()
	qt.Check(t, r.has("host: settings reloaded"), qt.IsTrue)
	qt.Check(t, r.has("host: store address changed"), qt.IsTrue)
}

// TestStoreMoves changes the store's address in the settings file without sending a
// signal. It guards against a host that continues to use the old address.
func TestStoreMoves(t *testing.T) {
	s := newSystem(t, 31)
	ctx := context.Background()
	qt.Assert(t, s.environment.AddTargets(ctx), qt.IsNil)
	qt.Assert(t, s.environment.Configure(ctx), qt.IsNil)
	path := filepath.Join(t.TempDir(), "boot.conf")
	write := func(store string) {
		settings := s.settings[0]
		text := fmt.Sprintf("node_name=%s\nzone=%s\nip=%s\nlisten.datagram_addr=%s\nlisten.ready=%s\ninternal_ports=7410,7415\nplatform.address=%s\n",
			settings.Name, settings.Domain, settings.IP, settings.PacketAddr, settings.ReadyAddr, store)
		qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	}
	write("127.0.0.1:1")
	settings, _, err := platform.ReadSettings(path)
	qt.Assert(t, err, qt.IsNil)
	start(t, host.Config{Settings: settings, SettingsPath: path, Seed: 1})
	await(t, "a response", func() bool { return status(t, settings) == http.StatusServiceUnavailable })
	write(strings.TrimPrefix(s.store.URL, "http://"))
	await(t, "ready", func() bool { return status(t, settings) == http.StatusOK })
}

// TestAddressTaken guards against a packet address in use that is not reported as a
// StartError.
func TestAddressTaken(t *testing.T) {
	s := newSystem(t, 21)
	cfg := host.Config{Settings: s.settings[0], Log: &log.Logger{Handler: discard.New(), Level: log.InfoLevel}}
	_, err := host.New(cfg)
	qt.Assert(t, err, qt.IsNil)
	_, err = host.New(cfg)
	qt.Assert(t, err, qt.ErrorAs, new(*host.StartError))
}

// TestRemovesStaleEntries puts the entry of a host that does not run into the
// store. It guards against a stale entry that is never removed, and against the
// removal of entries that are renewed.
func TestRemovesStaleEntries(t *testing.T) {
	s := newSystem(t, 61)
	ctx := context.Background()
	store := platform.NewStore(platform.StoreConfig{URL: s.store.URL})
	unrenewed := platform.HostSpec{Address: "127.250.3.99:7410", Domain: "west-a"}
	qt.Assert(t, store.CreateOrReplace(ctx, platform.KindHosts, "left", unrenewed), qt.IsNil)
	for i, settings := range s.settings {
		start(t, host.Config{Settings: settings, Seed: uint64(i), RenewInterval: 300 * time.Millisecond})
	}
	names := func() string {
		listing, err := store.List(ctx, platform.KindHosts)
		qt.Assert(t, err, qt.IsNil)
		var all []string
		for _, r := range listing.Records {
			all = append(all, r.Name)
		}
		return strings.Join(all, " ")
	}
	await(t, "removal of the stale entry", func() bool { return names() == s.settings[0].Name+" "+s.settings[1].Name })
}

// TestReusedAddressRejectsOldPackets stops a target without notice and starts a target
// of another service on its address, while the old entry remains in the store. It
// guards against packets for the old target that are accepted by the new one.
func TestReusedAddressRejectsOldPackets(t *testing.T) {
	s := newSystemWith(t, 71, fake.PlatformConfig{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i, settings := range s.settings {
		start(t, host.Config{Settings: settings, Seed: uint64(i)})
	}
	qt.Assert(t, s.environment.AddTargets(ctx), qt.IsNil)
	qt.Assert(t, s.environment.Configure(ctx), qt.IsNil)
	go s.environment.Router.Run(ctx)
	await(t, "both hosts in rotation", func() bool { return s.environment.Router.ReadyCount() == 2 })
	loadCtx, cancelLoad := context.WithTimeout(ctx, 7*time.Second)
	defer cancelLoad()
	done := make(chan error, 1)
	go func() { done <- s.environment.Callers.Run(loadCtx) }()

	stopped, other := twoServices(s.environment.Targets())
	s.environment.StopTarget(stopped.ID())
	time.Sleep(2100 * time.Millisecond)
	qt.Assert(t, s.environment.AddTarget(ctx, other.Service(), other.Domain()), qt.IsNil)
	var reused fake.ManagedTarget
	for _, target := range s.environment.Targets() {
		if target.Address() == stopped.Address() && target.ID() != stopped.ID() {
			reused = target
		}
	}
	qt.Assert(t, reused.FlowTarget, qt.IsNotNil)
	qt.Assert(t, <-done, qt.IsNil)
	summary := s.environment.Summary()
	t.Log(summary)
	qt.Check(t, summary.HasViolations(), qt.IsFalse)
	qt.Check(t, reused.Stats().Misdirected > 0, qt.IsTrue)
}

// twoServices returns a target of the service with more than half of the targets,
// and one of the other service.
func twoServices(targets map[string]fake.ManagedTarget) (most, other fake.ManagedTarget) {
	perService := map[string]int{}
	for _, target := range targets {
		perService[target.Service()]++
	}
	for _, target := range targets {
		if perService[target.Service()] > len(targets)/2 {
			most = target
		} else {
			other = target
		}
	}
	return most, other
}
