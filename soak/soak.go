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
	cfg     Config
	ctx     context.Context
	store   *fake.Platform
	world   *fake.TestEnvironment
	hosts   []*process
	proxies []*tcpProxy
	server  *http.Server
	wg      sync.WaitGroup

	mu     sync.Mutex
	rnd    *rand.Rand
	fronts map[netip.AddrPort]*udpProxy
	broken []string
	// storeCalmAt is the end of the last trouble of the whole store.
	storeCalmAt time.Time
}

// Run plays one seed.
func Run(ctx context.Context, cfg Config) (Report, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := &run{cfg: cfg, ctx: ctx, rnd: rand.New(rand.NewPCG(cfg.Seed, 1)), fronts: map[netip.AddrPort]*udpProxy{}}
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
	go func() { done <- r.world.Callers.Run(callers) }()
	r.play(steps)
	r.wg.Wait()
	before := r.atCalm(callers)
	if err := <-done; err != nil {
		return Report{}, err
	}
	r.check(before)
	return Report{Steps: steps, Summary: r.world.Summary(), Violations: r.broken}, ctx.Err()
}

func (r *run) ip(c, d int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, r.cfg.Block, byte(c), byte(d)})
}

// start starts the store, the hosts and the targets, and waits until the hosts
// are ready.
func (r *run) start() error {
	r.store = fake.NewPlatform(fake.PlatformConfig{EntryTTL: 1500 * time.Millisecond, Seed: r.cfg.Seed})
	at := fmt.Sprintf("%s:%d", r.ip(0, 1), portStore)
	l, err := net.Listen("tcp4", at)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: r.store, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(l) }()
	go r.store.Run(r.ctx)
	r.server = srv
	var hosts []fake.RouterHost
	for i := range r.cfg.Hosts {
		h, err := r.addHost(i, at)
		if err != nil {
			return err
		}
		hosts = append(hosts, h)
	}
	r.world = fake.NewTestEnvironment(fake.TestEnvironmentConfig{
		Net: [2]byte{127, r.cfg.Block}, Port: portPackets, Store: "http://" + at, Domains: []string{"west-a", "west-b"},
		Targets: r.cfg.Targets, Hosts: hosts, Callers: r.cfg.Callers, Seed: r.cfg.Seed, ListenAddress: r.front,
	})
	if err := r.world.AddTargets(r.ctx); err != nil {
		return err
	}
	if err := r.world.Configure(r.ctx); err != nil {
		return err
	}
	go r.world.Router.Run(r.ctx)
	for end := time.Now().Add(20 * time.Second); r.world.Router.ReadyCount() < r.cfg.Hosts; {
		if time.Now().After(end) {
			return fmt.Errorf("soak: %d of %d hosts are ready", r.world.Router.ReadyCount(), r.cfg.Hosts)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// addHost starts one host with a proxy of its own to the store.
func (r *run) addHost(i int, store string) (fake.RouterHost, error) {
	ip := r.ip(3, i+1)
	proxy, err := newTCPProxy(fmt.Sprintf("%s:%d", r.ip(5, i+1), portStore), store)
	if err != nil {
		return fake.RouterHost{}, err
	}
	r.proxies = append(r.proxies, proxy)
	name := fmt.Sprintf("host-%d", i+1)
	domain := "west-a"
	if i%2 == 1 {
		domain = "west-b"
	}
	p := &process{name: name, program: r.cfg.Program, dir: r.cfg.Dir, conf: filepath.Join(r.cfg.Dir, name+".conf")}
	if err := writeConf(p.conf, name, domain, ip, proxy.listener.Addr().String(), true); err != nil {
		return fake.RouterHost{}, err
	}
	if err := p.start(); err != nil {
		return fake.RouterHost{}, err
	}
	// Later starts are restarts.
	if err := writeConf(p.conf, name, domain, ip, proxy.listener.Addr().String(), false); err != nil {
		return fake.RouterHost{}, err
	}
	r.hosts = append(r.hosts, p)
	return fake.RouterHost{Packets: netip.AddrPortFrom(ip, portPackets), Ready: netip.AddrPortFrom(ip, portReady)}, nil
}

// front puts a proxy at the address of a target's entry and returns where the
// target listens.
func (r *run) front(at netip.AddrPort) netip.AddrPort {
	r.mu.Lock()
	old := r.fronts[at]
	r.mu.Unlock()
	if old != nil {
		return old.to // The address is used again.
	}
	ip := at.Addr().As4()
	ip[2] = 6
	to := netip.AddrPortFrom(netip.AddrFrom4(ip), at.Port())
	p, err := newUDPProxy(at, to, r.draw)
	if err != nil {
		r.complain("no proxy in front of %v: %v", at, err)
		return at
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fronts[at] = p
	return to
}

func (r *run) draw() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rnd.Float64()
}

func (r *run) complain(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// play carries out the plan.
func (r *run) play(steps []Step) {
	start := time.Now()
	for _, s := range steps {
		if platform.Sleep(r.ctx, s.At-time.Since(start)) != nil {
			return
		}
		if r.cfg.Log != nil {
			r.cfg.Log(s.String())
		}
		r.wg.Go(func() { r.step(s) })
	}
}

// step carries out one fault and ends it.
func (r *run) step(s Step) {
	h := r.hosts[s.Selector%len(r.hosts)]
	proxy := r.proxies[s.Selector%len(r.proxies)]
	switch s.Fault {
	case HostTerm:
		r.restart(h, syscall.SIGTERM, 100*time.Millisecond)
	case HostKill:
		r.restart(h, syscall.SIGKILL, s.Duration)
	case HostPause:
		h.signal(syscall.SIGSTOP)
		r.sleep(s.Duration)
		h.signal(syscall.SIGCONT)
	case HostHup:
		h.signal(syscall.SIGHUP)
	case AllKill:
		var wg sync.WaitGroup
		for _, h := range r.hosts {
			wg.Go(func() { r.restart(h, syscall.SIGKILL, s.Duration/2) })
		}
		wg.Wait()
	case StoreUnresponsive, StoreReset, StoreSlow, StoreResponsesLost:
		proxy.Set(storeTrouble(s.Fault))
		r.sleep(s.Duration)
		proxy.Set(ProxyFaults{})
	case StoreDown:
		r.store.SetFaults(fake.PlatformFaults{Outage: true})
		r.sleep(s.Duration)
		r.store.SetFaults(fake.PlatformFaults{})
		r.storeCalm()
	case StoreDrop:
		r.store.Compact()
		r.storeCalm()
	case TargetCrash, TargetUnreachable, TargetLoss, TargetSwap:
		r.stepTarget(s)
	case ConfigNext:
		if err := r.world.Configure(r.ctx); err != nil {
			return // The store is down for the operator too.
		}
	}
}

func storeTrouble(f Fault) ProxyFaults {
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

func (r *run) storeCalm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeCalmAt = time.Now()
}

func (r *run) sleep(d time.Duration) {
	_ = platform.Sleep(r.ctx, d)
}

// restart ends a host by a signal and starts it again after a time.
func (r *run) restart(h *process, s syscall.Signal, after time.Duration) {
	h.mu.Lock()
	busy := h.wanted
	h.mu.Unlock()
	if busy {
		return // Another step restarts it already.
	}
	young := h.young()
	h.signal(s)
	h.signal(syscall.SIGCONT)
	select {
	case <-h.ended():
	case <-time.After(6 * time.Second):
		r.complain("%s goes on 6 s after %v", h.name, s)
		h.signal(syscall.SIGKILL)
		<-h.ended()
	}
	if code := h.exitCode(); s == syscall.SIGTERM && code != 0 && !young {
		r.complain("%s exited with %d after SIGTERM", h.name, code)
	}
	r.sleep(after)
	if err := h.start(); err != nil {
		r.complain("%s does not start: %v", h.name, err)
	}
}

// close ends what the run started.
func (r *run) close() {
	for _, h := range r.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		<-h.ended()
	}
	if r.server != nil {
		_ = r.server.Close()
	}
	for _, p := range r.proxies {
		_ = p.listener.Close()
	}
	for _, p := range r.fronts {
		_ = p.conn.Close()
	}
	if r.world != nil {
		for _, t := range r.world.Targets() {
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
