// Package soak runs real hosts as separate processes in a fake environment and
// injects faults from outside: it sends signals to the processes, sets faults of the
// fake store and of the proxies in front of the store and the targets, stops and
// replaces targets, and changes the configuration. It checks the invariants of the
// system by the results of the callers and targets.
//
// # Usage
//
//	r, err := soak.Run(ctx, soak.Config{Seed: 7, Program: "bin/wisteriaweir", LoadDuration: 30 * time.Second, Dir: dir})
//	for _, v := range r.Violations {
//		// v describes a violated invariant or a failed step
//	}
//
// A seed determines the fault plan. Processes and timers are real, so two runs of
// the same seed still differ in their timing.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"wisteriaweir/fake"
	"wisteriaweir/platform"
)

// Config configures a run.
type Config struct {
	// Seed determines the fault plan, unless Steps is set, and the random choices of
	// the fake environment.
	Seed uint64
	// Program is the path of the wisteriaweir executable.
	Program string
	// HostFlags are the flags of the command host of Program, besides --settings.
	HostFlags []string
	// Earlier is the path of the executable of an earlier release, with EarlierFlags. It is
	// used unless Upgrade is NoUpgrade.
	Earlier      string
	EarlierFlags []string
	Upgrade      Upgrade
	// Hosts is the number of hosts, which are distributed over two failure domains.
	// Targets is the number of targets of the first service. Callers is the number of
	// callers of each request type.
	Hosts, Targets, Callers int
	// LoadDuration is the duration of the load.
	LoadDuration time.Duration
	// SecondAddressByte is the second byte of all addresses: 127.SecondAddressByte.x.y.
	SecondAddressByte byte
	// Dir is an existing directory for the hosts' settings and logs.
	Dir string
	// Steps replaces the fault plan of the seed, if it is not nil.
	Steps []Step
	// Log, if set, is called with a line for each step.
	Log func(string)
}

// Report is the result of a run.
type Report struct {
	// Steps are the faults that were planned.
	Steps []Step
	// Summary contains the counts of the callers and targets.
	Summary fake.Summary
	// Violations has a line for each violated invariant and each failed step.
	Violations []string
}

// domains are the failure domains of hosts and targets.
var domains = []string{"west-a", "west-b"}

// run is the state of a run.
type run struct {
	cfg   Config
	ctx   context.Context
	store *fake.Platform
	env   *fake.TestEnvironment
	hosts []*process
	// storeProxies are the proxies to the store, one for each host in the same order.
	storeProxies []*tcpProxy
	storeServer  *http.Server
	// wg counts the steps in progress.
	wg sync.WaitGroup

	mu  sync.Mutex
	rng *rand.Rand
	// targetProxies are the proxies in front of the targets, by entry address.
	targetProxies map[netip.AddrPort]*udpProxy
	violations    []string
	// evacuated holds the failure domains that are evacuated.
	evacuated map[string]bool
	// evacuationWrites is held while the operator writes the state of evacuations, so that
	// what it writes again after a restore is not older than another write.
	evacuationWrites sync.Mutex
	// backups are the copies of the store that a restore may bring back, oldest first.
	backups []fake.Backup
	// uninformedUntil is until when a host may not know an evacuation that a restore has lost,
	// because the host started before the operator requested it again.
	uninformedUntil time.Time
	// storeFaultEndedAt is the end of the last StoreDown, StoreRestore or StoreCompaction,
	// which affect the store for all hosts.
	storeFaultEndedAt time.Time
	// storeDownTime is the sum of the durations of the StoreDown faults that have ended.
	storeDownTime time.Duration
}

// Run starts the hosts and their environment, injects the faults under load and
// checks the invariants. It fails if something cannot be started or ctx ends;
// violations are no error.
func Run(ctx context.Context, cfg Config) (Report, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := &run{cfg: cfg, ctx: ctx, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), targetProxies: map[netip.AddrPort]*udpProxy{}, evacuated: map[string]bool{}}
	steps := cfg.Steps
	if steps == nil {
		steps = NewPlan(cfg.Seed, cfg.LoadDuration)
	}
	defer r.close()
	if err := r.start(); err != nil {
		return Report{}, err
	}
	callers, stopCallers := context.WithTimeout(ctx, cfg.LoadDuration)
	defer stopCallers()
	done := make(chan error, 1)
	go func() { done <- r.env.Callers.Run(callers) }()
	r.wg.Go(r.runUpgrade)
	r.runSteps(steps)
	r.wg.Wait()
	before := r.waitForRecovery(callers)
	if err := <-done; err != nil {
		return Report{}, err
	}
	r.checkInvariants(before)
	return Report{Steps: steps, Summary: r.env.Summary(), Violations: r.violations}, ctx.Err()
}

// ip returns the address with the last two bytes c and d. c is 0 for the store, 3 for
// hosts and 5 for their proxies to the store.
func (r *run) ip(c, d int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, r.cfg.SecondAddressByte, byte(c), byte(d)})
}

// start starts the store, the hosts and the targets, and waits until the hosts
// are ready.
func (r *run) start() error {
	r.store = fake.NewPlatform(fake.PlatformConfig{EntryTTL: 1500 * time.Millisecond, Seed: r.cfg.Seed, PageObjects: pageObjects, PageLag: r.pageLag})
	storeAddress := fmt.Sprintf("%s:%d", r.ip(0, 1), storePort)
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
		AddressPrefix: [2]byte{127, r.cfg.SecondAddressByte}, Port: packetPort, Store: "http://" + storeAddress, Domains: domains,
		Targets: r.cfg.Targets, Hosts: hosts, Callers: r.cfg.Callers, Seed: r.cfg.Seed, ListenAddress: r.startTargetProxy,
	})
	if err := r.env.AddTargets(r.ctx); err != nil {
		return err
	}
	if err := r.env.Configure(r.ctx); err != nil {
		return err
	}
	go r.env.Router.Run(r.ctx)
	go r.copyStore()
	for end := time.Now().Add(20 * time.Second); r.env.Router.ReadyCount() < r.cfg.Hosts; {
		if time.Now().After(end) {
			return fmt.Errorf("soak: only %d of %d hosts are ready after 20 s", r.env.Router.ReadyCount(), r.cfg.Hosts)
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, p := range r.hosts {
		// Later starts of the process are restarts, which do not bootstrap.
		if err := p.writeSettings(false); err != nil {
			return err
		}
	}
	return nil
}

// addHost starts the host with index i and its own proxy to the store. Hosts with an
// even index are in failure domain west-a, the others in west-b.
func (r *run) addHost(i int, storeAddress string) (fake.RouterHost, error) {
	ip := r.ip(3, i+1)
	proxy, err := newTCPProxy(fmt.Sprintf("%s:%d", r.ip(5, i+1), storePort), storeAddress)
	if err != nil {
		return fake.RouterHost{}, err
	}
	r.storeProxies = append(r.storeProxies, proxy)
	name := fmt.Sprintf("host-%d", i+1)
	p := &process{
		name: name, dir: r.cfg.Dir, build: r.chooseBuild(build{}), settingsPath: filepath.Join(r.cfg.Dir, name+".conf"),
		domain: domains[i%len(domains)], ip: ip, storeAddress: proxy.listener.Addr().String(),
	}
	if err := p.writeSettings(true); err != nil {
		return fake.RouterHost{}, err
	}
	if err := p.start(); err != nil {
		return fake.RouterHost{}, err
	}
	r.hosts = append(r.hosts, p)
	return fake.RouterHost{Packets: netip.AddrPortFrom(ip, packetPort), Ready: netip.AddrPortFrom(ip, readyPort)}, nil
}

// startTargetProxy starts a proxy on the address in a target's entry, unless there is
// one, and returns the address on which the target listens. If the proxy cannot be
// started, that is the address in the entry.
func (r *run) startTargetProxy(at netip.AddrPort) netip.AddrPort {
	r.mu.Lock()
	old := r.targetProxies[at]
	r.mu.Unlock()
	if old != nil {
		return old.targetAddress // The target reuses the address of a stopped one.
	}
	ip := at.Addr().As4()
	ip[2] = 6
	listenAddress := netip.AddrPortFrom(netip.AddrFrom4(ip), at.Port())
	p, err := newUDPProxy(at, listenAddress, r.randomFraction)
	if err != nil {
		r.recordViolation("cannot start a proxy in front of target %v: %v", at, err)
		return at
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targetProxies[at] = p
	return listenAddress
}

// randomFraction returns a random number in [0, 1).
func (r *run) randomFraction() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

// recordViolation adds a line to the violations of the run.
func (r *run) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// runSteps starts each step at its time. Steps may overlap; r.wg counts the running
// ones.
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

// injectFault injects one fault and returns when the fault has ended.
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
		proxy.setFaults(storeProxyFaults(s.Fault))
		r.sleep(s.Duration)
		proxy.setFaults(ProxyFaults{})
	case StoreDown:
		start := time.Now()
		r.store.SetFaults(fake.PlatformFaults{Outage: true})
		r.sleep(s.Duration)
		r.store.SetFaults(fake.PlatformFaults{})
		r.recordStoreDown(time.Since(start))
		r.recordStoreFaultEnd()
	case StoreRestore:
		r.injectRestore(s)
	case StoreCompaction:
		r.store.Compact()
		r.recordStoreFaultEnd()
	case TargetCrash, TargetUnreachable, TargetLoss, TargetReplacement:
		r.injectTargetFault(s)
	case Evacuation:
		r.injectEvacuation(s)
	case ForeignEntries:
		r.injectForeignEntries(s)
	case ConfigChange:
		if err := r.env.Configure(r.ctx); err != nil {
			return // During an outage of the store, the write fails as expected.
		}
	}
}

// recordStoreFaultEnd records the current time as the end of a fault that affected the
// store for all hosts.
func (r *run) recordStoreFaultEnd() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeFaultEndedAt = time.Now()
}

// recordStoreDown adds the duration of a StoreDown that has ended to storeDownTime.
func (r *run) recordStoreDown(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeDownTime += d
}

// sleep waits for d or until the run ends.
func (r *run) sleep(d time.Duration) {
	_ = platform.Sleep(r.ctx, d)
}

// restart ends a host by a signal and starts it again delay after its end. It does
// nothing if another step is restarting the host.
func (r *run) restart(h *process, s syscall.Signal, delay time.Duration) {
	h.mu.Lock()
	restarting := h.exitExpected
	h.mu.Unlock()
	if restarting {
		return
	}
	justStarted := h.justStarted()
	h.signal(s)
	h.signal(syscall.SIGCONT)
	select {
	case <-h.exited():
	case <-time.After(6 * time.Second):
		r.recordViolation("%s is still running 6 s after %v", h.name, s)
		h.signal(syscall.SIGKILL)
		<-h.exited()
	}
	if code := h.exitCode(); s == syscall.SIGTERM && code != 0 && !justStarted {
		r.recordViolation("%s exited with %d after SIGTERM", h.name, code)
	}
	r.sleep(delay)
	h.setBuild(r.chooseBuild(h.currentBuild()))
	if err := h.start(); err != nil {
		r.recordViolation("cannot restart %s: %v", h.name, err)
	}
}

// close ends the hosts, and closes the store, the proxies and the targets.
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
