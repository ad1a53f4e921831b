package host_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	qt "github.com/frankban/quicktest"

	"wisteriaweir/fake"
	"wisteriaweir/host"
)

const (
	// feedPort is the port of the route for safe requests.
	feedPort = 8443
	// openingTimeout is the time for the response to an opening packet. A host sends an
	// opening packet without an acknowledgement to three targets within 120 ms; the rest
	// is for a busy system, on which the processes wait for the CPU.
	openingTimeout = 2 * time.Second
)

// evacuationSystem is a system of hosts in two failure domains and targets in three.
type evacuationSystem struct {
	*system
	t     *testing.T
	store *fake.Platform
	// logs holds the log lines of each host.
	logs [3]recorder
}

// newEvacuationSystem starts the targets and the first hosts of a system.
func newEvacuationSystem(t *testing.T, lastByte byte, hosts int) *evacuationSystem {
	store := fake.NewPlatform(fake.PlatformConfig{})
	s := &evacuationSystem{t: t, store: store, system: newSystemOf(t, systemConfig{
		lastByte: lastByte, platform: store, hostDomains: []string{"west-a", "west-a", "west-b"},
		targetDomains: []string{"west-a", "west-b", "west-c"}, targets: 6, evacuationBound: 5 * time.Second,
	})}
	ctx := context.Background()
	qt.Assert(t, s.environment.AddTargets(ctx), qt.IsNil)
	qt.Assert(t, s.environment.Configure(ctx), qt.IsNil)
	for i := range hosts {
		s.startHost(i)
	}
	return s
}

// startHost starts a host and waits until it is ready.
func (s *evacuationSystem) startHost(i int) {
	start(s.t, host.Config{
		Settings: s.settings[i], Seed: uint64(i), MonitorAddr: s.monitorAddr(i), Log: &log.Logger{Handler: &s.logs[i], Level: log.InfoLevel},
	})
	await(s.t, "ready", func() bool { return status(s.t, s.settings[i]) == http.StatusOK })
}

// metric returns the value of a host's metric wisteriaweir_evacuated_NAME.
func (s *evacuationSystem) metric(i int, name string) int {
	_, rest, _ := strings.Cut(metricsPage(s.t, s.monitorAddr(i)), "\nwisteriaweir_evacuated_"+name+" ")
	value := 0
	_, err := fmt.Sscan(rest, &value)
	qt.Assert(s.t, err, qt.IsNil)
	return value
}

// metricsPage returns the metrics of the host with the given monitor address.
func metricsPage(t *testing.T, addr netip.AddrPort) string {
	resp, err := http.Get("http://" + addr.String() + "/metrics")
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	page, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	return string(page)
}

// awaitEvacuated waits until the first hosts know that exactly the given failure domains
// are evacuated.
func (s *evacuationSystem) awaitEvacuated(hosts int, domains ...string) {
	s.t.Helper()
	for i := range hosts {
		await(s.t, "evacuations known", func() bool {
			return slices.EqualFunc(s.dump(s.t, i).Evacuated, domains, func(e host.DumpEvacuation, domain string) bool { return e.Domain == domain })
		})
	}
}

// accepted returns how many opening packets the targets of failure domains have received.
func (s *evacuationSystem) accepted(domains ...string) int {
	n := 0
	for _, target := range s.environment.Targets() {
		if slices.Contains(domains, target.Domain()) {
			n += target.Stats().Accepted
		}
	}
	return n
}

// open sends opening packets of new flows straight to a host. None is acknowledged, so
// that the host sends each to several targets. Such flows count as load until they
// expire, so a test must open only a few.
func (s *evacuationSystem) open(i, flows int) {
	s.t.Helper()
	for range flows {
		got, err := s.environment.ProbeRoute(s.settings[i].PacketAddr, feedPort, openingTimeout)
		qt.Assert(s.t, err, qt.IsNil)
		qt.Assert(s.t, got, qt.Equals, fake.ProbeAccepted)
	}
	time.Sleep(200 * time.Millisecond) // The last flow is sent to further targets.
}

// checkAvoided opens flows on the first hosts and checks that no target of the failure
// domains receives one.
func (s *evacuationSystem) checkAvoided(hosts int, domains ...string) {
	s.t.Helper()
	before := s.accepted(domains...)
	for i := range hosts {
		s.open(i, 3)
	}
	qt.Assert(s.t, s.accepted(domains...), qt.Equals, before, qt.Commentf("flows were sent to evacuated targets"))
}

// TestEvacuation evacuates a failure domain in which two of three hosts run. It guards
// against new flows and copies of opening packets on evacuated targets, open flows that
// are cut or that operators do not see, targets that stay without flows after the
// withdrawal, and a host that starts meanwhile without the request.
func TestEvacuation(t *testing.T) {
	s := newEvacuationSystem(t, 101, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.environment.Router.Run(ctx)
	await(t, "hosts in rotation", func() bool { return s.environment.Router.ReadyCount() == 2 })
	loadCtx, cancelLoad := context.WithCancel(ctx)
	defer cancelLoad()
	done := make(chan error, 1)
	go func() { done <- s.environment.Callers.Run(loadCtx) }()
	runs := func() int {
		n := 0
		for _, target := range s.environment.Targets() {
			if target.Domain() == "west-a" {
				n += len(target.Stats().Runs)
			}
		}
		return n
	}
	await(t, "requests in the failure domain", func() bool { return runs() > 5 })

	qt.Assert(t, s.environment.Evacuate(ctx, "west-a"), qt.IsNil)
	s.awaitEvacuated(2, "west-a")
	before := runs()
	await(t, "open flows in a dump", func() bool { return s.dump(s.t, 0).Evacuated[0].OpenFlows+s.dump(s.t, 1).Evacuated[0].OpenFlows > 0 })
	await(t, "open flows in the metrics", func() bool { return s.metric(0, "flows")+s.metric(1, "flows") > 0 })
	qt.Assert(t, s.metric(0, "domains"), qt.Equals, 1)
	s.checkAvoided(2, "west-a")
	await(t, "requests on the open flows", func() bool { return runs() > before })
	s.startHost(2)
	s.checkAvoided(3, "west-a")

	qt.Assert(t, s.environment.Withdraw(ctx, "west-a"), qt.IsNil)
	s.awaitEvacuated(3)
	accepted := s.accepted("west-a")
	await(t, "new flows after the withdrawal", func() bool { return s.accepted("west-a") > accepted })
	cancelLoad()
	qt.Assert(t, <-done, qt.IsNil)
	summary := s.environment.Summary()
	t.Log(summary)
	qt.Assert(t, summary.HasViolations(), qt.IsFalse)
	qt.Assert(t, summary.Failed, qt.Equals, int64(0))
}

// TestEvacuationWithoutStore makes the store unreachable after a request. It guards
// against hosts that forget a request with the store, and against a second request that
// replaces the first one.
func TestEvacuationWithoutStore(t *testing.T) {
	s := newEvacuationSystem(t, 111, 3)
	ctx := context.Background()
	qt.Assert(t, s.environment.Evacuate(ctx, "west-c"), qt.IsNil)
	s.awaitEvacuated(3, "west-c")
	s.store.SetFaults(fake.PlatformFaults{Outage: true})
	s.checkAvoided(3, "west-c")
	time.Sleep(3500 * time.Millisecond) // The hosts count as isolated from here on.
	s.checkAvoided(3, "west-c")

	s.store.SetFaults(fake.PlatformFaults{})
	qt.Assert(t, s.environment.Evacuate(ctx, "west-b"), qt.IsNil)
	s.awaitEvacuated(3, "west-b", "west-c")
	s.checkAvoided(3, "west-b", "west-c")
}

// TestEvacuatedDomainIsCutOff makes the store and the targets elsewhere unreachable for
// the hosts of an evacuated failure domain. It guards against hosts that then leave their
// callers without any target, and against hosts that go on to use the evacuated targets
// once the store responds again.
func TestEvacuatedDomainIsCutOff(t *testing.T) {
	s := newEvacuationSystem(t, 121, 2)
	ctx := context.Background()
	qt.Assert(t, s.environment.Evacuate(ctx, "west-a"), qt.IsNil)
	s.awaitEvacuated(2, "west-a")
	s.store.SetFaults(fake.PlatformFaults{Outage: true})
	for id, target := range s.environment.Targets() {
		if target.Domain() != "west-a" {
			s.environment.StopTarget(id)
		}
	}
	before := s.accepted("west-a")
	await(t, "flows on the evacuated targets", func() bool {
		_, err := s.environment.ProbeRoute(s.settings[0].PacketAddr, feedPort, 300*time.Millisecond)
		qt.Assert(t, err, qt.IsNil)
		return s.accepted("west-a") > before
	})
	qt.Assert(t, s.logs[0].has("host: isolated, evacuated targets get new flows if no others respond"), qt.IsTrue)

	s.store.SetFaults(fake.PlatformFaults{})
	await(t, "end of the isolation", func() bool { return s.logs[0].has("host: no longer isolated, evacuated targets get no new flows") })
	time.Sleep(300 * time.Millisecond) // The targets handle the packets in flight.
	before = s.accepted("west-a")
	for range 3 {
		got, err := s.environment.ProbeRoute(s.settings[0].PacketAddr, feedPort, 300*time.Millisecond)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, fake.ProbeUnanswered)
	}
	qt.Assert(t, s.accepted("west-a"), qt.Equals, before)
}

// TestWithoutEvacuations runs a host whose settings have no bounds.evacuate_ms. It guards
// against calls to the store for evacuations, and against a request that takes effect.
func TestWithoutEvacuations(t *testing.T) {
	s := newSystem(t, 131)
	ctx := context.Background()
	qt.Assert(t, s.environment.AddTargets(ctx), qt.IsNil)
	qt.Assert(t, s.environment.Configure(ctx), qt.IsNil)
	qt.Assert(t, s.environment.Evacuate(ctx, "west-a"), qt.IsNil)
	monitorAddr := netip.AddrPortFrom(s.settings[0].IP, testMonitorPort)
	start(t, host.Config{Settings: s.settings[0], MonitorAddr: monitorAddr})
	await(t, "ready", func() bool { return status(t, s.settings[0]) == http.StatusOK })
	got, err := s.environment.ProbeRoute(s.settings[0].PacketAddr, feedPort, openingTimeout)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, fake.ProbeAccepted)
	page := metricsPage(t, monitorAddr)
	qt.Assert(t, strings.Contains(page, `kind="servers"`), qt.IsTrue)
	qt.Assert(t, strings.Contains(page, `kind="evacuations"`), qt.IsFalse)
}
