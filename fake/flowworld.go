package fake

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"wisteriaweir/platform"
)

// TestEnvironmentConfig says what stands round a system of hosts.
type TestEnvironmentConfig struct {
	// Net is the first two bytes of all addresses.
	Net [2]byte
	// Port is the port of packets.
	Port uint16
	// Store is the URL of the store.
	Store   string
	Domains []string
	// Targets is the number of targets of the first service; the second has a
	// third of them.
	Targets int
	Hosts   []RouterHost
	Callers int
	Seed    uint64
	// ListenAddress returns where a target listens whose entry names at; nil means there.
	ListenAddress func(at netip.AddrPort) netip.AddrPort
}

// Services of a TestEnvironment and the ports of their routes.
const (
	worldDesk   = "levy-desk"
	worldIntake = "ledger-intake"
	portFeed    = 8443
	portAmend   = 8080
	portUpload  = 9443
)

// TestEnvironment is the targets, routers and callers round a system of hosts, and the
// operator who writes the first configuration.
type TestEnvironment struct {
	cfg     TestEnvironmentConfig
	store   *platform.Store
	Router  *Router
	Callers *FlowCallers

	mu      sync.Mutex
	targets map[string]*ManagedTarget
	made    int
	version int
	extra   int
	// free are the addresses of targets that ended, with the time of their end.
	free []freeAddress
}

// freeAddress is an address that another target may get.
type freeAddress struct {
	at      netip.AddrPort
	service string
	since   time.Time
}

// reuseAfter is the time after which the address of a target that ended may go to
// one of another service.
const reuseAfter = 2 * time.Second

// nextAddress returns the number and the address of the next target of a
// service: that of a target of another service, if one has ended.
func (w *TestEnvironment) nextAddress(service string) (int, netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.made++
	for i, f := range w.free {
		if f.service != service && time.Since(f.since) > reuseAfter {
			w.free = append(w.free[:i], w.free[i+1:]...)
			return w.made, f.at
		}
	}
	return w.made, netip.AddrPortFrom(w.address(2, w.made), 9000)
}

// ManagedTarget is a target with what ends it.
type ManagedTarget struct {
	*FlowTarget
	Stop func()
	// StoppedAt is when it was stopped, DrainedAt when it was told to leave.
	StoppedAt, DrainedAt time.Time
}

// NewTestEnvironment returns a world.
func NewTestEnvironment(cfg TestEnvironmentConfig) *TestEnvironment {
	w := &TestEnvironment{
		cfg:     cfg,
		store:   platform.NewStore(platform.StoreConfig{URL: cfg.Store}),
		Router:  NewRouter(cfg.Hosts),
		targets: map[string]*ManagedTarget{},
	}
	vip := w.address(8, 1)
	w.Callers = NewFlowCallers(FlowCallerConfig{
		First: w.address(4, 1), Count: cfg.Callers, Port: cfg.Port, Router: w.Router, Seed: cfg.Seed,
		RequestTypes: []RequestType{
			{Service: worldDesk, Address: netip.AddrPortFrom(vip, portFeed), Long: true, Safe: true, Deadline: 2 * time.Second},
			{Service: worldDesk, Address: netip.AddrPortFrom(vip, portAmend), Size: 900, Deadline: 2 * time.Second},
			{Service: worldIntake, Address: netip.AddrPortFrom(vip, portUpload), Size: 40000, Deadline: 5 * time.Second},
		},
	})
	return w
}

func (w *TestEnvironment) address(c, d int) netip.Addr {
	return netip.AddrFrom4([4]byte{w.cfg.Net[0], w.cfg.Net[1], byte(c), byte(d)})
}

// Configure writes the next version of the configuration. Each has a route that
// the one before had not, and lacks that one's.
func (w *TestEnvironment) Configure(ctx context.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	version, extra := w.version+1+w.version%3, w.extra+1
	vip := w.address(8, 1).String()
	routes := []map[string]any{
		routeSpec("feed", vip, portFeed, "safe", worldDesk),
		routeSpec("amend", vip, portAmend, "unsafe", worldDesk),
		routeSpec("upload", vip, portUpload, "upload", worldIntake),
		routeSpec(fmt.Sprintf("extra-%d", extra), vip, 10000+extra, "safe", worldDesk),
	}
	err := w.store.Set(ctx, platform.KindConfig, platform.ConfigName, map[string]any{
		"version": version, "routes": routes, "limits": map[string]any{"idle_timeout_ms": 15000},
	})
	if err == nil {
		w.version, w.extra = version, extra
	}
	return err
}

func routeSpec(name, host string, port int, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": fmt.Sprintf("/%d/", port), "type": kind, "service": service,
		"timeout_ms": 2000, "target_latency_ms": 200, "priority": 1,
	}
}

// AddTargets starts the first targets.
func (w *TestEnvironment) AddTargets(ctx context.Context) error {
	for i := range w.cfg.Targets {
		if err := w.AddTarget(ctx, worldDesk, w.cfg.Domains[i%len(w.cfg.Domains)]); err != nil {
			return err
		}
		if i%3 == 0 {
			if err := w.AddTarget(ctx, worldIntake, w.cfg.Domains[i%len(w.cfg.Domains)]); err != nil {
				return err
			}
		}
	}
	return nil
}

// AddTarget starts one target.
func (w *TestEnvironment) AddTarget(ctx context.Context, service, domain string) error {
	n, at := w.nextAddress(service)
	id, number := TargetName(n)
	cfg := FlowTargetConfig{
		ID: id, Number: number, Service: service, Domain: domain, CallerPort: w.cfg.Port, Slots: 2,
		Address: at, MeanServiceTime: 15 * time.Millisecond, Store: w.store, Seed: w.cfg.Seed + uint64(n),
	}
	if w.cfg.ListenAddress != nil {
		cfg.Listen = w.cfg.ListenAddress(cfg.Address)
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
	w.mu.Lock()
	defer w.mu.Unlock()
	w.targets[id] = &ManagedTarget{FlowTarget: t, Stop: func() { stop(); <-done }}
	return nil
}

// Drain tells a target to announce that it leaves.
func (w *TestEnvironment) Drain(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.targets[id]
	t.DrainedAt = time.Now()
	t.FlowTarget.Drain()
}

// StopTarget stops a target without a word to anybody.
func (w *TestEnvironment) StopTarget(id string) {
	w.mu.Lock()
	t := w.targets[id]
	w.mu.Unlock()
	t.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	t.StoppedAt = time.Now()
	w.free = append(w.free, freeAddress{at: t.cfg.Address, service: t.cfg.Service, since: t.StoppedAt})
}

// Targets returns the targets by their names as they are now, also those that
// ended.
func (w *TestEnvironment) Targets() map[string]ManagedTarget {
	w.mu.Lock()
	defer w.mu.Unlock()
	targets := make(map[string]ManagedTarget, len(w.targets))
	for id, t := range w.targets {
		targets[id] = *t
	}
	return targets
}

// Summary is what a run broke of the promises.
type Summary struct {
	FlowResult
	// Doubled counts requests that ran more than once, or ran although the caller
	// was told that they had not. LiveResets counts open flows that a host reset while
	// their target was alive.
	Doubled, LiveResets int
	// Misdirected and ForgedAtTargets count packets that reached a target that they were
	// not for, or that no end wrote.
	Misdirected, ForgedAtTargets int
}

// Summary sums up what callers and targets saw.
func (w *TestEnvironment) Summary() Summary {
	v := Summary{FlowResult: w.Callers.Result()}
	targets := w.Targets()
	runs := map[string]int{}
	for _, t := range targets {
		s := t.Stats()
		v.ForgedAtTargets += s.Forged
		for id, n := range s.Runs {
			runs[id] += n
		}
	}
	for id, told := range v.ReportedOutcomes {
		if runs[id] > 1 || runs[id] > 0 && told == "not run" {
			v.Doubled++
		}
	}
	for _, r := range v.Resets {
		if t, ok := targets[r.Target]; ok && (t.StoppedAt.IsZero() || r.At.Before(t.StoppedAt)) {
			v.LiveResets++
		}
	}
	return v
}

// String returns the verdict as one line.
func (v Summary) String() string {
	return fmt.Sprintf("requests=%d answered=%d refused=%d failed=%d late=%d doubled=%d crossed=%d cut=%d forged=%d resets=%d",
		v.Requests, v.Answered, v.Refused, v.Failed, v.Late, v.Doubled, v.Misrouted, v.LiveResets, v.Forged+int64(v.ForgedAtTargets), len(v.Resets))
}

// HasViolations reports whether a promise was broken.
func (v Summary) HasViolations() bool {
	return v.Doubled+v.LiveResets+v.ForgedAtTargets > 0 || v.Misrouted+v.Forged > 0
}
