// Package soak runs real hosts as processes of their own among stand-ins, and
// makes trouble from outside them: signals, and proxies in front of the store
// and the targets. It checks the promises by what callers and targets see.
//
// # Usage
//
//	r, err := soak.Run(ctx, soak.Config{Seed: 7, Program: "bin/wisteriaweir", Length: 30 * time.Second, Dir: dir})
//	for _, b := range r.Violations {
//		// a promise that did not hold
//	}
//
// A seed draws the same plan each time; processes and timers are real, so two
// runs of a seed differ in what happens meanwhile.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"wisteriaweir/fake"
	"wisteriaweir/platform"
)

// Config configures a run.
type Config struct {
	Seed uint64
	// Program is the wisteriaweir to run.
	Program string
	// Hosts is the number of hosts, in two failure domains, Targets that of the
	// targets of the first service, Callers that of each kind of request.
	Hosts, Targets, Callers int
	// Length is the time of the load.
	Length time.Duration
	// Block is the second byte of all addresses.
	Block byte
	// Dir holds settings and logs.
	Dir string
	// Steps replaces the plan of the seed, if it is set.
	Steps []Step
	// Log is called for each step, if it is set.
	Log func(string)
}

// Report is what a run saw.
type Report struct {
	Steps   []Step
	Summary fake.Summary
	// Violations are the promises that did not hold.
	Violations []string
}

// run is a run in progress.
type run struct {
	cfg          Config
	ctx          context.Context
	store        *fake.Platform
	env          *fake.TestEnvironment
	hosts        []*process
	storeProxies []*tcpProxy
	storeServer  *http.Server
	wg           sync.WaitGroup

	mu            sync.Mutex
	rnd           *rand.Rand
	targetProxies map[netip.AddrPort]*udpProxy
	violations    []string
	// storeClearedAt is the end of the last trouble of the whole store.
	storeClearedAt time.Time
}

// Run plays one seed.
func Run(ctx context.Context, cfg Config) (Report, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := &run{cfg: cfg, ctx: ctx, rnd: rand.New(rand.NewPCG(cfg.Seed, 1)), targetProxies: map[netip.AddrPort]*udpProxy{}}
	steps := cfg.Steps
	if steps == nil {
		steps = NewPlan(cfg.Seed, cfg.Length)
	}
	defer r.close()
	if err := r.start(); err != nil {
		return Report{}, err
	}
	callers, stopCallers := context.WithTimeout(ctx, cfg.Length)
	defer stopCallers()
	done := make(chan error, 1)
	go func() { done <- r.env.Callers.Run(callers) }()
	r.runSteps(steps)
	r.wg.Wait()
	before := r.waitForRecovery(callers)
	if err := <-done; err != nil {
		return Report{}, err
	}
	r.checkInvariants(before)
	return Report{Steps: steps, Summary: r.env.Summary(), Violations: r.violations}, ctx.Err()
}

func (r *run) ip(c, d int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, r.cfg.Block, byte(c), byte(d)})
}

// start starts the store, the hosts and the targets, and waits until the hosts
// are ready.
func (r *run) start() error {
	r.store = fake.NewPlatform(fake.PlatformConfig{EntryTTL: 1500 * time.Millisecond, Seed: r.cfg.Seed})
	storeAddress := fmt.Sprintf("%s:%d", r.ip(0, 1), portStore)
	l, err := net.Listen("tcp4", storeAddress)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: r.store, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(l) }()
	go r.store.Run(r.ctx)
	r.storeServer = srv
	var hosts []fake.RouterHost
	for i := range r.cfg.Hosts {
		h, err := r.addHost(i, storeAddress)
		if err != nil {
			return err
		}
		hosts = append(hosts, h)
	}
	r.env = fake.NewTestEnvironment(fake.TestEnvironmentConfig{
		Net: [2]byte{127, r.cfg.Block}, Port: portPackets, Store: "http://" + storeAddress, Domains: []string{"west-a", "west-b"},
		Targets: r.cfg.Targets, Hosts: hosts, Callers: r.cfg.Callers, Seed: r.cfg.Seed, ListenAddress: r.proxyFor,
	})
	if err := r.env.AddTargets(r.ctx); err != nil {
		return err
	}
	if err := r.env.Configure(r.ctx); err != nil {
		return err
	}
	go r.env.Router.Run(r.ctx)
	for end := time.Now().Add(20 * time.Second); r.env.Router.ReadyCount() < r.cfg.Hosts; {
		if time.Now().After(end) {
			return fmt.Errorf("soak: %d of %d hosts are ready", r.env.Router.ReadyCount(), r.cfg.Hosts)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// addHost starts one host with a proxy of its own to the store.
func (r *run) addHost(i int, storeAddress string) (fake.RouterHost, error) {
	ip := r.ip(3, i+1)
	proxy, err := newTCPProxy(fmt.Sprintf("%s:%d", r.ip(5, i+1), portStore), storeAddress)
	if err != nil {
		return fake.RouterHost{}, err
	}
	r.storeProxies = append(r.storeProxies, proxy)
	name := fmt.Sprintf("host-%d", i+1)
	domain := "west-a"
	if i%2 == 1 {
		domain = "west-b"
	}
	p := &process{name: name, program: r.cfg.Program, dir: r.cfg.Dir, settingsPath: filepath.Join(r.cfg.Dir, name+".conf")}
	if err := writeSettings(p.settingsPath, name, domain, ip, proxy.listener.Addr().String(), true); err != nil {
		return fake.RouterHost{}, err
	}
	if err := p.start(); err != nil {
		return fake.RouterHost{}, err
	}
	// Later starts are restarts.
	if err := writeSettings(p.settingsPath, name, domain, ip, proxy.listener.Addr().String(), false); err != nil {
		return fake.RouterHost{}, err
	}
	r.hosts = append(r.hosts, p)
	return fake.RouterHost{Packets: netip.AddrPortFrom(ip, portPackets), Ready: netip.AddrPortFrom(ip, portReady)}, nil
}

// proxyFor puts a proxy at the address of a target's entry and returns where the
// target listens.
func (r *run) proxyFor(at netip.AddrPort) netip.AddrPort {
	r.mu.Lock()
	old := r.targetProxies[at]
	r.mu.Unlock()
	if old != nil {
		return old.to // The address is used again.
	}
	ip := at.Addr().As4()
	ip[2] = 6
	to := netip.AddrPortFrom(netip.AddrFrom4(ip), at.Port())
	p, err := newUDPProxy(at, to, r.randomFraction)
	if err != nil {
		r.recordViolation("no proxy in front of %v: %v", at, err)
		return at
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targetProxies[at] = p
	return to
}

func (r *run) randomFraction() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rnd.Float64()
}

func (r *run) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// runSteps carries out the plan.
func (r *run) runSteps(steps []Step) {
	start := time.Now()
	for _, s := range steps {
		if platform.Sleep(r.ctx, s.At-time.Since(start)) != nil {
			return
		}
		if r.cfg.Log != nil {
			r.cfg.Log(s.String())
		}
		r.wg.Go(func() { r.injectFault(s) })
	}
}

// injectFault carries out one fault and ends it.
func (r *run) injectFault(s Step) {
	h := r.hosts[s.Selector%len(r.hosts)]
	proxy := r.storeProxies[s.Selector%len(r.storeProxies)]
	switch s.Fault {
	case HostTerm:
		r.restart(h, syscall.SIGTERM, 100*time.Millisecond)
	case HostKill:
		r.restart(h, syscall.SIGKILL, s.Duration)
	case HostPause:
		h.signal(syscall.SIGSTOP)
		r.sleep(s.Duration)
		h.signal(syscall.SIGCONT)
	case HostHUP:
		h.signal(syscall.SIGHUP)
	case AllHostsKill:
		var wg sync.WaitGroup
		for _, h := range r.hosts {
			wg.Go(func() { r.restart(h, syscall.SIGKILL, s.Duration/2) })
		}
		wg.Wait()
	case StoreUnresponsive, StoreReset, StoreSlow, StoreResponsesLost:
		proxy.Set(storeProxyFaults(s.Fault))
		r.sleep(s.Duration)
		proxy.Set(ProxyFaults{})
	case StoreDown:
		r.store.SetFaults(fake.PlatformFaults{Outage: true})
		r.sleep(s.Duration)
		r.store.SetFaults(fake.PlatformFaults{})
		r.recordStoreFaultEnd()
	case StoreCompaction:
		r.store.Compact()
		r.recordStoreFaultEnd()
	case TargetCrash, TargetUnreachable, TargetLoss, TargetReplacement:
		r.injectTargetFault(s)
	case ConfigChange:
		if err := r.env.Configure(r.ctx); err != nil {
			return // The store is down for the operator too.
		}
	}
}

func storeProxyFaults(f Fault) ProxyFaults {
	switch f {
	case StoreUnresponsive:
		return ProxyFaults{BlockAll: true}
	case StoreReset:
		return ProxyFaults{Reset: true}
	case StoreSlow:
		return ProxyFaults{Delay: 400 * time.Millisecond}
	default:
		return ProxyFaults{DropResponses: true}
	}
}

func (r *run) recordStoreFaultEnd() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeClearedAt = time.Now()
}

func (r *run) sleep(d time.Duration) {
	_ = platform.Sleep(r.ctx, d)
}

// restart ends a host by a signal and starts it again after a time.
func (r *run) restart(h *process, s syscall.Signal, delay time.Duration) {
	h.mu.Lock()
	restarting := h.exitExpected
	h.mu.Unlock()
	if restarting {
		return // Another step restarts it already.
	}
	justStarted := h.justStarted()
	h.signal(s)
	h.signal(syscall.SIGCONT)
	select {
	case <-h.exited():
	case <-time.After(6 * time.Second):
		r.recordViolation("%s goes on 6 s after %v", h.name, s)
		h.signal(syscall.SIGKILL)
		<-h.exited()
	}
	if code := h.exitCode(); s == syscall.SIGTERM && code != 0 && !justStarted {
		r.recordViolation("%s exited with %d after SIGTERM", h.name, code)
	}
	r.sleep(delay)
	if err := h.start(); err != nil {
		r.recordViolation("%s does not start: %v", h.name, err)
	}
}

// close ends what the run started.
func (r *run) close() {
	for _, h := range r.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		<-h.exited()
	}
	if r.storeServer != nil {
		_ = r.storeServer.Close()
	}
	for _, p := range r.storeProxies {
		_ = p.listener.Close()
	}
	for _, p := range r.targetProxies {
		_ = p.conn.Close()
	}
	if r.env != nil {
		for _, t := range r.env.Targets() {
			t.Stop()
		}
	}
}

// MakeDir makes a directory for a run.
func MakeDir(root string, seed uint64) (string, error) {
	dir := filepath.Join(root, fmt.Sprintf("seed-%d", seed))
	if err := os.RemoveAll(dir); err != nil {
		return "", err
	}
	return dir, os.MkdirAll(dir, 0o755)
}
