package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/fake"
	"wisteriaweir/fleet"
	"wisteriaweir/platform"
	"wisteriaweir/service"
	"wisteriaweir/target"
	"wisteriaweir/ticket"
)

const (
	// readyTimeout limits the time until every balancer of a system is ready.
	readyTimeout = 40 * time.Second
	// stopTimeout limits the graceful shutdown of a balancer.
	stopTimeout = 25 * time.Second
)

// system is a whole local system. The fakes of the platform, the fabric and the
// targets run in the test process; the balancers are processes of their own unless
// partition is set.
type system struct {
	t *testing.T
	c *qt.C
	// block is the second byte of all addresses. It differs between systems,
	// so that their addresses don't overlap.
	block        int
	platform     *fake.Platform
	platformURL  string
	client       *platform.Client
	fabric       *fake.Fabric
	balancers    []*process
	pools        map[string][]service.Target
	ticketNumber uint64
	probeCount   int
	// targets are the fake targets by name.
	targets map[string]*fake.Target
	// flowAddrsSwapped reports whether tickets assign the flow address of each
	// service to the other one.
	flowAddrsSwapped bool
	// seeds is the value of --seeds for balancers that are started later.
	seeds string
	// partition is not nil in a system whose balancers run in the test process, so
	// that network partitions between them can be simulated.
	partition *partition
	// logDir is the directory of the logs of all processes.
	logDir string
}

// process is a balancer. cmd is nil if it is stopped or runs in the test process.
type process struct {
	name   string
	domain string
	ip     string
	cmd    *exec.Cmd
}

// newSystem starts a platform, targets, a fabric and balancers, and declares
// two services.
func newSystem(t *testing.T, balancers, targets int) *system {
	return startSystem(t, nil, balancers, targets)
}

// startSystem starts a system. With a partition its balancers run in the test process,
// without one (nil) as processes of their own.
func startSystem(t *testing.T, part *partition, balancers, targets int) *system {
	s := &system{
		t: t, c: qt.New(t), partition: part, block: newBlock(qt.New(t)), logDir: createLogDir(t),
		pools: make(map[string][]service.Target), targets: make(map[string]*fake.Target),
	}
	s.platform = fake.NewPlatform(fake.PlatformConfig{Seed: 1})
	srv := httptest.NewServer(s.platform)
	t.Cleanup(srv.Close)
	s.platformURL = srv.URL
	if part != nil {
		part.servePlatform(t, s.platform)
	}
	s.client = platform.NewClient(platform.ClientConfig{URL: srv.URL, Seed: 1})

	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range targets {
		s.startTarget(ctx, "levy-desk", 1, i)
		s.startTarget(ctx, "ledger-intake", 2, i)
	}
	s.submit()

	cfg := fake.FabricConfig{
		Uplink:    s.addr(0, 100, 7100),
		Addresses: []netip.AddrPort{s.addr(1, 0, 5683), s.addr(1, 0, 5684), s.addr(2, 0, 5683), s.addr(2, 0, 5684)},
		Seed:      1,
	}
	for i := range balancers {
		p := &process{
			name:   fmt.Sprintf("balancer-%d", i+1),
			domain: []string{"west-a", "west-b"}[i%2],
			ip:     s.addr(3, i+1, 0).Addr().String(),
		}
		s.balancers = append(s.balancers, p)
		cfg.Balancers = append(cfg.Balancers, fake.FabricBalancer{
			Entry:    s.addr(3, i+1, 7000),
			ReadyURL: "http://" + p.ip + ":7003/readyz",
		})
		s.start(p)
	}
	t.Cleanup(s.killAll)
	fabric, err := fake.NewFabric(cfg)
	s.c.Assert(err, qt.IsNil)
	s.fabric = fabric
	go func() { _ = fabric.Run(ctx) }()
	s.waitReady()
	return s
}

// addr returns an address of this system, 127.BLOCK.GROUP.HOST+1:PORT. Group 0 is
// the fabric's uplink, 1 and 2 the addresses of services, 3 the balancers, 11 and 12
// the targets, 40 the dumps of fakes and 50 the callers of probes.
func (s *system) addr(group, host int, port uint16) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{127, byte(s.block), byte(group), byte(host + 1)})
	return netip.AddrPortFrom(ip, port)
}

// startTarget starts target i of a service and adds it to the service's pool. The
// service has index group, 1 or 2.
func (s *system) startTarget(ctx context.Context, name string, group, i int) {
	t := service.Target{
		Name:    fmt.Sprintf("%s-%d", name, i+1),
		Address: s.addr(10+group, i, 9000),
		Domain:  []string{"west-a", "west-b"}[i%2],
		Weight:  100,
		Slots:   2,
	}
	running, err := fake.NewTarget(fake.TargetConfig{
		Service:         name,
		Name:            t.Name,
		Listen:          t.Address,
		Status:          s.addr(10+group, i, 9001),
		Slots:           t.Slots,
		MeanServiceTime: 30 * time.Millisecond,
		Seed:            uint64(i),
	})
	s.c.Assert(err, qt.IsNil)
	s.targets[t.Name] = running
	go func() { _ = running.Run(ctx) }()
	s.pools[name] = append(s.pools[name], t)
}

// submit submits the current pools as the next ticket, which must be accepted.
func (s *system) submit() {
	_, err := ticket.Submit(context.Background(), s.client, s.nextTicket())
	s.c.Assert(err, qt.IsNil)
}

// nextTicket returns the next ticket, with the current pools.
func (s *system) nextTicket() ticket.Ticket {
	s.ticketNumber++
	t := ticket.Ticket{Number: s.ticketNumber, Title: "test", Author: "test", Domains: []string{"west-a", "west-b"}}
	for i, name := range []string{"levy-desk", "ledger-intake"} {
		t.Services = append(t.Services, service.Service{
			Name: name,
			Addresses: []service.Address{
				{AddrPort: s.addr(i+1, 0, 5683), Mode: service.ModeRequest},
				{AddrPort: s.flowAddr(i + 1), Mode: service.ModeFlow},
			},
			Pool: s.pools[name],
		})
	}
	return t
}

// balancerFlags returns the command-line flags of p. Level debug logs the cause of each
// refused request and unknown outcome.
func (s *system) balancerFlags(p *process) []string {
	flags := []string{
		"--name", p.name, "--domain", p.domain, "--platform-url", s.platformURLOf(p.domain),
		"--entry-address", p.ip + ":7000", "--control-address", p.ip + ":7001",
		"--hop-address", p.ip + ":7002", "--monitor-address", p.ip + ":7003",
		"--fabric-address", s.addr(0, 100, 7100).String(),
		"--repeat-window", "30s", "--drain-limit", "20s", "--log-level", "debug",
	}
	if s.seeds != "" {
		flags = append(flags, "--seeds", s.seeds)
	}
	return flags
}

// flowAddr returns the flow address that tickets declare for the service with
// index i, 1 or 2.
func (s *system) flowAddr(i int) netip.AddrPort {
	if s.flowAddrsSwapped {
		i = 3 - i
	}
	return s.addr(i, 0, 5684)
}

// start starts the balancer p: in the test process if partition is set, otherwise as
// a process of its own.
func (s *system) start(p *process) {
	out := s.openLog(p.name)
	if s.partition != nil {
		s.startInProcess(p, out)
		return
	}
	defer out.Close()
	p.cmd = exec.Command("wisteriaweir", append([]string{"balancer"}, s.balancerFlags(p)...)...)
	p.cmd.Stdout = out
	p.cmd.Stderr = out
	s.c.Assert(p.cmd.Start(), qt.IsNil)
}

// openLog opens the log of a process to append to it, also after a restart.
func (s *system) openLog(name string) *os.File {
	out, err := os.OpenFile(filepath.Join(s.logDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	s.c.Assert(err, qt.IsNil)
	return out
}

// signal sends a signal to the balancer process p.
func (s *system) signal(p *process, sig syscall.Signal) {
	s.c.Assert(p.cmd.Process.Signal(sig), qt.IsNil)
}

// stop ends p with SIGTERM; it must exit with code 0 within stopTimeout.
func (s *system) stop(p *process) {
	s.signal(p, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- p.cmd.Wait() }()
	select {
	case err := <-done:
		s.c.Assert(err, qt.IsNil)
	case <-time.After(stopTimeout):
		s.c.Fatalf("%s did not stop within the time limit", p.name)
	}
	p.cmd = nil
}

// kill ends p with SIGKILL.
func (s *system) kill(p *process) {
	s.signal(p, syscall.SIGKILL)
	_ = p.cmd.Wait()
	p.cmd = nil
}

// killAll ends all running balancer processes with SIGKILL. If the test has failed, it
// adds their dumps to the logs first.
func (s *system) killAll() {
	for _, p := range s.balancers {
		if p.cmd != nil {
			if s.t.Failed() {
				s.saveDump(p)
			}
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
	}
}

// saveDump writes the dump of p, or the reason why there is none, to the logs.
func (s *system) saveDump(p *process) {
	out := s.openLog(p.name + "-dump")
	defer out.Close()
	client := &http.Client{Timeout: dumpTimeout}
	resp, err := client.Get("http://" + p.ip + ":7003/dump")
	if err == nil {
		defer resp.Body.Close()
		_, err = io.Copy(out, resp.Body)
	}
	if err != nil {
		fmt.Fprintln(out, err)
	}
}

// waitReady waits until every running balancer is ready.
func (s *system) waitReady() {
	end := time.Now().Add(readyTimeout)
	for _, p := range s.balancers {
		for (p.cmd != nil || s.partition != nil) && !respondsOK("http://"+p.ip+":7003/readyz") {
			if time.Now().After(end) {
				s.c.Fatalf("%s is not ready", p.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// waitActiveInDomains waits until the newest ticket is active in both failure domains
// and returns the time that it waited. It fails the test after limit.
func (s *system) waitActiveInDomains(limit time.Duration) time.Duration {
	start := time.Now()
	for _, domain := range []string{"west-a", "west-b"} {
		for {
			st, err := ticket.LoadStatus(context.Background(), s.client, domain)
			if err == nil && st.Number == s.ticketNumber {
				break
			}
			if time.Since(start) > limit {
				s.c.Fatalf("ticket %d is not active in %s: %+v %v", s.ticketNumber, domain, st, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return time.Since(start)
}

// waitLevel waits until the agreed health of a failure domain has the level want
// for the target targetName of the service name, and returns the time that it waited.
// It reports a test error after limit.
func (s *system) waitLevel(domain, name, targetName string, want target.Level, limit time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < limit {
		if s.loadFleet().HealthOf(domain).Level(name, targetName) == want {
			return time.Since(start)
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.c.Errorf("%s of %s did not reach level %v within %v", targetName, name, want, limit)
	return limit
}

// loadFleet returns the fleet state that is stored on the platform.
func (s *system) loadFleet() fleet.Fleet {
	o, err := s.client.Get(context.Background(), fleet.Path)
	s.c.Assert(err, qt.IsNil)
	f, err := fleet.Decode(o.Value)
	s.c.Assert(err, qt.IsNil)
	return f
}

// runLoad runs a load for d, calls during at the same time, and returns the result
// when both have ended.
func (s *system) runLoad(d time.Duration, during func()) fake.Result {
	cfg := fake.CallerConfig{
		Rate:         30,
		Duration:     d,
		Timeout:      4 * time.Second,
		PostFraction: 0.5,
		Flows:        40,
		Seed:         1,
		Log:          func(line string) { s.t.Log(line) },
	}
	for i, name := range []string{"levy-desk", "ledger-intake"} {
		cfg.Services = append(cfg.Services, fake.CallerService{
			Name:    name,
			Request: s.addr(i+1, 0, 5683),
			Flow:    s.addr(i+1, 0, 5684),
		})
		for j := range s.pools[name] {
			cfg.TargetURLs = append(cfg.TargetURLs, "http://"+s.addr(11+i, j, 9001).String()+"/")
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		during()
	}()
	result, err := fake.NewCaller(cfg).Run(context.Background())
	<-done
	s.c.Assert(err, qt.IsNil)
	s.t.Log(result)
	return result
}

// respondsOK reports whether a GET of url returns status 200.
func respondsOK(url string) bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// getJSON decodes the body of the response to a GET of url into v.
func getJSON(url string, v any) error {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}
