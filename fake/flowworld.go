package fake

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"wisteriaweir/platform"
)

// TestEnvironmentConfig configures a TestEnvironment.
type TestEnvironmentConfig struct {
	// AddressPrefix is the first two bytes of all addresses.
	AddressPrefix [2]byte
	// Port is the UDP port on which callers receive packets.
	Port uint16
	// Store is the URL of the store.
	Store string
	// Domains are the failure domains of the targets.
	Domains []string
	// Targets is the number of targets of the first service; the second has a third
	// as many, rounded up.
	Targets int
	// Hosts are the hosts that receive the callers' packets.
	Hosts []RouterHost
	// Callers is the number of callers of each request type.
	Callers int
	// Seed seeds the random choices of the callers and targets.
	Seed uint64
	// ListenAddress returns the address on which the target with the entry address at
	// listens, for targets behind proxies. If it is nil, targets listen on their entry
	// addresses.
	ListenAddress func(at netip.AddrPort) netip.AddrPort
}

// Services of a TestEnvironment and the ports of their routes.
const (
	// deskService is the first service. It receives short requests over the routes
	// feed and amend.
	deskService = "levy-desk"
	// intakeService is the second service. It receives large requests over the route
	// upload.
	intakeService = "ledger-intake"
	// feedPort is the port of the route for safe requests on long flows.
	feedPort = 8443
	// amendPort is the port of the route for requests that may not be repeated.
	amendPort = 8080
	// uploadPort is the port of the route for uploads.
	uploadPort = 9443
)

// TestEnvironment provides what a set of hosts needs for a test: targets, a router
// and callers. It also writes the configuration to the store, as an operator does.
type TestEnvironment struct {
	cfg     TestEnvironmentConfig
	store   *platform.Store
	Router  *Router
	Callers *FlowCallers

	mu      sync.Mutex
	targets map[string]*ManagedTarget
	// targetsCreated is the number of targets created so far.
	targetsCreated int
	// version is the version of the newest configuration.
	version int
	// extraRoute is the number of the extra route in the newest configuration.
	extraRoute int
	// freeAddresses are the addresses of stopped targets.
	freeAddresses []freeAddress
}

// freeAddress is the address of a stopped target, which a target of another service
// may reuse.
type freeAddress struct {
	addr    netip.AddrPort
	service string
	freedAt time.Time
}

// addressReuseDelay is the time after which the address of a stopped target may be
// reused by a target of another service.
const addressReuseDelay = 2 * time.Second

// nextAddress returns the number and the address of the next target of a service.
// It reuses the address of a stopped target of another service if there is one, so
// that runs include addresses that change their service.
func (e *TestEnvironment) nextAddress(service string) (int, netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.targetsCreated++
	for i, f := range e.freeAddresses {
		if f.service != service && time.Since(f.freedAt) > addressReuseDelay {
			e.freeAddresses = append(e.freeAddresses[:i], e.freeAddresses[i+1:]...)
			return e.targetsCreated, f.addr
		}
	}
	return e.targetsCreated, netip.AddrPortFrom(e.address(2, e.targetsCreated), 9000)
}

// ManagedTarget is a target of a TestEnvironment, running or stopped.
type ManagedTarget struct {
	*FlowTarget
	// Stop stops the target without notice and returns when it has stopped.
	Stop func()
	// StoppedAt is when the target was stopped by StopTarget, DrainedAt when it began
	// to drain; each is zero before.
	StoppedAt, DrainedAt time.Time
}

// NewTestEnvironment returns an environment without targets. The caller runs its
// Router and Callers.
func NewTestEnvironment(cfg TestEnvironmentConfig) *TestEnvironment {
	env := &TestEnvironment{
		cfg:     cfg,
		store:   platform.NewStore(platform.StoreConfig{URL: cfg.Store}),
		Router:  NewRouter(cfg.Hosts),
		targets: map[string]*ManagedTarget{},
	}
	vip := env.address(8, 1)
	env.Callers = NewFlowCallers(FlowCallerConfig{
		FirstAddress: env.address(4, 1), CallersPerType: cfg.Callers, Port: cfg.Port, Router: env.Router, Seed: cfg.Seed,
		RequestTypes: []RequestType{
			{Service: deskService, Address: netip.AddrPortFrom(vip, feedPort), ReusesFlow: true, Safe: true, Timeout: 2 * time.Second},
			{Service: deskService, Address: netip.AddrPortFrom(vip, amendPort), BodySize: 900, Timeout: 2 * time.Second},
			{Service: intakeService, Address: netip.AddrPortFrom(vip, uploadPort), BodySize: 40000, Timeout: 5 * time.Second},
		},
	})
	return env
}

// address returns the address with the last two bytes c and d.
func (e *TestEnvironment) address(c, d int) netip.Addr {
	return netip.AddrFrom4([4]byte{e.cfg.AddressPrefix[0], e.cfg.AddressPrefix[1], byte(c), byte(d)})
}

// Configure writes the next version of the configuration, which replaces the extra
// route of the previous version with a new one. Version numbers skip values.
func (e *TestEnvironment) Configure(ctx context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	version, extra := e.version+1+e.version%3, e.extraRoute+1
	err := e.writeConfig(ctx, version, extra)
	if err == nil {
		e.version, e.extraRoute = version, extra
	}
	return err
}

// RewriteConfig writes the newest configuration again, as the operator does when the store
// has come back from an older copy.
func (e *TestEnvironment) RewriteConfig(ctx context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.writeConfig(ctx, e.version, e.extraRoute)
}

// Version returns the version of the newest configuration.
func (e *TestEnvironment) Version() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// writeConfig writes a configuration with the given version and number of the extra route.
func (e *TestEnvironment) writeConfig(ctx context.Context, version, extra int) error {
	vip := e.address(8, 1).String()
	routes := []map[string]any{
		routeSpec("feed", vip, feedPort, "safe", deskService),
		routeSpec("amend", vip, amendPort, "unsafe", deskService),
		routeSpec("upload", vip, uploadPort, "upload", intakeService),
		routeSpec(fmt.Sprintf("extra-%d", extra), vip, 10000+extra, "safe", deskService),
	}
	return e.store.CreateOrReplace(ctx, platform.KindConfig, platform.ConfigName, map[string]any{
		"version": version, "routes": routes, "limits": map[string]any{"idle_timeout_ms": 15000},
	})
}

func routeSpec(name, host string, port int, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": fmt.Sprintf("/%d/", port), "type": kind, "service": service,
		"timeout_ms": 2000, "target_latency_ms": 200, "priority": 1,
	}
}

// Evacuate requests that the targets of a failure domain get no new flows. The store holds
// the request if Evacuate returns no error.
func (e *TestEnvironment) Evacuate(ctx context.Context, domain string) error {
	return e.store.CreateOrReplace(ctx, platform.KindEvacuations, domain, struct{}{})
}

// Withdraw withdraws the request of Evacuate.
func (e *TestEnvironment) Withdraw(ctx context.Context, domain string) error {
	return e.store.Remove(ctx, platform.KindEvacuations, domain, 0)
}

// AddTargets starts the initial targets and distributes them over the domains.
func (e *TestEnvironment) AddTargets(ctx context.Context) error {
	for i := range e.cfg.Targets {
		if err := e.AddTarget(ctx, deskService, e.cfg.Domains[i%len(e.cfg.Domains)]); err != nil {
			return err
		}
		if i%3 == 0 {
			if err := e.AddTarget(ctx, intakeService, e.cfg.Domains[i%len(e.cfg.Domains)]); err != nil {
				return err
			}
		}
	}
	return nil
}

// AddTarget starts one target, which runs until ctx ends or it is stopped.
func (e *TestEnvironment) AddTarget(ctx context.Context, service, domain string) error {
	n, at := e.nextAddress(service)
	id, number := TargetName(n)
	cfg := FlowTargetConfig{
		ID: id, Number: number, Service: service, Domain: domain, CallerPort: e.cfg.Port, Slots: 2,
		Address: at, MeanServiceTime: 15 * time.Millisecond, Store: e.store, Seed: e.cfg.Seed + uint64(n),
	}
	if e.cfg.ListenAddress != nil {
		cfg.Listen = e.cfg.ListenAddress(cfg.Address)
	}
	t, err := NewFlowTarget(cfg)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		t.Run(ctx)
		close(done)
	}()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.targets[id] = &ManagedTarget{FlowTarget: t, Stop: func() { stop(); <-done }}
	return nil
}

// Drain makes a target draining.
func (e *TestEnvironment) Drain(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.targets[id]
	t.DrainedAt = time.Now()
	t.FlowTarget.Drain()
}

// StopTarget stops a target without notice, as a crash does.
func (e *TestEnvironment) StopTarget(id string) {
	e.mu.Lock()
	t := e.targets[id]
	e.mu.Unlock()
	t.Stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	t.StoppedAt = time.Now()
	e.freeAddresses = append(e.freeAddresses, freeAddress{addr: t.cfg.Address, service: t.cfg.Service, freedAt: t.StoppedAt})
}

// Targets returns a copy of all targets by ID, including stopped ones.
func (e *TestEnvironment) Targets() map[string]ManagedTarget {
	e.mu.Lock()
	defer e.mu.Unlock()
	targets := make(map[string]ManagedTarget, len(e.targets))
	for id, t := range e.targets {
		targets[id] = *t
	}
	return targets
}

// Summary is the result of the callers, with the violated invariants of a run.
type Summary struct {
	FlowResult
	// Doubled counts, among the attempts of requests that may run at most once, those
	// that ran more than once and those that ran although the outcome "not run" was
	// reported to the caller. LiveTargetResets counts resets of open flows by a host
	// while the flow's target was running.
	Doubled, LiveTargetResets int
	// Misdirected is not set and always 0. ForgedAtTargets is the sum of the
	// targets' Forged counts.
	Misdirected, ForgedAtTargets int
}

// Summary returns the counts of all callers and targets.
func (e *TestEnvironment) Summary() Summary {
	sum := Summary{FlowResult: e.Callers.Result()}
	targets := e.Targets()
	runs := map[string]int{}
	for _, t := range targets {
		stats := t.Stats()
		sum.ForgedAtTargets += stats.Forged
		for id, n := range stats.Runs {
			runs[id] += n
		}
	}
	for id, outcome := range sum.ReportedOutcomes {
		if runs[id] > 1 || runs[id] > 0 && outcome == "not run" {
			sum.Doubled++
		}
	}
	for _, r := range sum.Resets {
		if t, ok := targets[r.Target]; ok && (t.StoppedAt.IsZero() || r.At.Before(t.StoppedAt)) {
			sum.LiveTargetResets++
		}
	}
	return sum
}

// String returns the summary as one line.
func (s Summary) String() string {
	return fmt.Sprintf("requests=%d answered=%d refused=%d failed=%d late=%d doubled=%d crossed=%d cut=%d forged=%d resets=%d",
		s.Requests, s.Answered, s.Refused, s.Failed, s.Late, s.Doubled, s.Misrouted, s.LiveTargetResets, s.Forged+int64(s.ForgedAtTargets), len(s.Resets))
}

// HasViolations reports whether an invariant was violated: no request runs twice, no
// flow of a live target is reset, no response is misrouted, no packet is forged.
func (s Summary) HasViolations() bool {
	return s.Doubled+s.LiveTargetResets+s.ForgedAtTargets > 0 || s.Misrouted+s.Forged > 0
}
