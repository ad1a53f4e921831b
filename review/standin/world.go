package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of a world. Each process has an address of its own.
const (
	packetPort   = 8172
	readyPort    = 8167
	storePort    = 8169
	firstPort    = 7720
	lastPort     = 7735
	monitorPort  = 9102
	graceSeconds = 6
)

// world is everything around the entry hosts.
type world struct {
	dir, program, temp string
	// trouble reports whether the case's disruption happens.
	trouble bool
	block   byte
	start   time.Time
	store   *store
	router  *router
	closed  chan struct{}
	// loss is the share of the datagrams that is lost on each way: from clients to hosts, from
	// hosts to servers and from servers to clients.
	loss float64
	// responseSize is the size of the body of a response in bytes.
	responseSize int
	// heartbeat is the time between two writes of a server's entry.
	heartbeat time.Duration
	// onReset, onOpen and onRun are called for each reset by the system, each flow that opens
	// at a server and each request that runs. They may be nil.
	onReset func(f *clientFlow, at time.Time, from netip.AddrPort)
	onOpen  func(s *server, at time.Time, host netip.AddrPort)
	onRun   func(s *server, path, id string)
	lastID  atomic.Int64

	mu      sync.Mutex
	out     *bufio.Writer
	file    *os.File
	hosts   []*host
	servers []*server
	clients []*client
}

// host is one entry host: a process of the project.
type host struct {
	w          *world
	name, zone string
	ip         netip.Addr
	cmd        *exec.Cmd
	startedAt  time.Time
}

// newWorld creates a world on free loopback addresses.
func newWorld(dir, program string, trouble bool) (*world, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, program: program, temp: temp, trouble: trouble, start: time.Now(), closed: make(chan struct{}),
		responseSize: 1000, heartbeat: 1200 * time.Millisecond, out: bufio.NewWriter(file), file: file,
	}
	for range 50 {
		w.block = byte(10 + rand.IntN(240))
		if w.isFree() {
			w.record("disruption: %v", trouble)
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// isFree reports whether no other run uses the block of addresses.
func (w *world) isFree() bool {
	l, err := net.Listen("tcp4", netip.AddrPortFrom(w.addr(0, 1), storePort).String())
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// addr returns the address 127.B.c.d.
func (w *world) addr(c, d int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.block, byte(c), byte(d)})
}

// record writes a line to record.txt.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%9.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// nextID returns a new request ID.
func (w *world) nextID() string {
	return fmt.Sprintf("q%d", w.lastID.Add(1))
}

// close ends all processes and stand-ins.
func (w *world) close() {
	close(w.closed)
	w.mu.Lock()
	hosts, servers, clients := w.hosts, w.servers, w.clients
	w.mu.Unlock()
	for _, h := range hosts {
		h.kill()
	}
	for _, c := range clients {
		c.close()
	}
	for _, s := range servers {
		s.stop()
		_ = s.conn.Close()
	}
	if w.store != nil {
		w.store.close()
	}
	w.mu.Lock()
	_ = w.out.Flush()
	_ = w.file.Close()
	w.mu.Unlock()
	_ = os.RemoveAll(w.temp)
}

// startStore starts the store.
func (w *world) startStore() error {
	s, err := newStore(netip.AddrPortFrom(w.addr(0, 1), storePort).String(), 3*w.heartbeat)
	w.store = s
	return err
}

// addHost adds a host to a zone and starts it.
func (w *world) addHost(zone string) (*host, error) {
	w.mu.Lock()
	n := len(w.hosts) + 1
	h := &host{w: w, name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: w.addr(3, n)}
	w.hosts = append(w.hosts, h)
	w.mu.Unlock()
	return h, h.start(true)
}

// start starts the process of a host with the command of the deploy file.
func (h *host) start(isFirst bool) error {
	path := filepath.Join(h.w.temp, h.name+".conf")
	settings := fmt.Sprintf(`node_name=%[1]s
role=balancer
machine_class=front
serves=front
ip=%[2]s
zone=%[3]s
region=west
zones.west-a=west
zones.west-b=west
zones.west-c=west
zones.west-d=west
listen.datagram_addr=%[2]s:%[4]d
listen.ready=%[2]s:%[5]d
internal_ports=%[6]d,%[7]d
bootstrap=%[8]v
in_tolerance=false
limits.cpu_share=0.4
limits.cpu_cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=announce
heartbeat_ms=%[9]d
contracts=base,drain,config,cost,recover,flows,platform
fault_tolerance.machines=1
fault_tolerance.zones=1
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.stable_window_ms=4000
bounds.ack_ms=5000
bounds.catch_up_s=4
bounds.drain_ms=3000
bounds.grace_s=%[10]d
bounds.loss_slack_ms=200
bounds.config_apply_ms=3000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=12000
bounds.recovery_s=12
bounds.flow_ms=2000
bounds.max_flow_s=60
hash=mod
forwarding_mode=echo
platform.address=%[11]s:%[12]d
platform.forwarding_mode=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.max_value_bytes=1048576
platform.min_ttl_ms=1000
`, h.name, h.ip, h.zone, packetPort, readyPort, firstPort, lastPort, isFirst, h.w.heartbeat.Milliseconds(), graceSeconds, h.w.addr(0, 1), storePort)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(h.w.temp, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	h.cmd = exec.Command(h.w.program, "host", "--monitor-port", fmt.Sprint(monitorPort), "--hosts-per-target", "4", "--shared-admission", "short")
	h.cmd.Env = append(os.Environ(), "WISTERIAWEIR_BOOT="+path)
	h.cmd.Stdout, h.cmd.Stderr = logFile, logFile
	h.startedAt = time.Now()
	h.w.record("host %s: started", h.name)
	return h.cmd.Start()
}

// kill ends the process at once.
func (h *host) kill() {
	if h.cmd == nil || h.cmd.Process == nil || h.cmd.ProcessState != nil {
		return
	}
	_ = h.cmd.Process.Signal(syscall.SIGKILL)
	_ = h.cmd.Wait()
	h.w.record("host %s: killed", h.name)
}

// addServer starts a server. work is that of a warm server.
func (w *world) addServer(number uint64, service, zone string, work func(path string) time.Duration) (*server, error) {
	s, err := newServer(serverConfig{
		world: w, number: number, service: service, zone: zone, addr: netip.AddrPortFrom(w.addr(2, int(number%250)+1), 9000),
		slots: 2, work: work, heartbeat: w.heartbeat,
	})
	if err != nil {
		return nil, err
	}
	w.record("server %s (%s, %s): started", s.id, service, zone)
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	return s, nil
}

// addClient adds a client to a zone.
func (w *world) addClient(zone string) (*client, error) {
	w.mu.Lock()
	n := len(w.clients) + 1
	w.mu.Unlock()
	c, err := newClient(w, zone, w.addr(100+n/250, n%250+1))
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.clients = append(w.clients, c)
	w.mu.Unlock()
	return c, nil
}

// holderOf returns the living server that has a flow open, and when it opened there.
func (w *world) holderOf(f *clientFlow) (*server, time.Time) {
	w.mu.Lock()
	servers := w.servers
	w.mu.Unlock()
	for _, s := range servers {
		if at, ok := s.holds(f.local, f.remote); ok {
			return s, at
		}
	}
	return nil, time.Time{}
}

func (w *world) wasReset(f *clientFlow, at time.Time, from netip.AddrPort) {
	if w.onReset != nil {
		w.onReset(f, at, from)
	}
}

func (w *world) opened(s *server, at time.Time, host netip.AddrPort) {
	if w.onOpen != nil {
		w.onOpen(s, at, host)
	}
}

func (w *world) ran(s *server, path, id string) {
	if w.onRun != nil {
		w.onRun(s, path, id)
	}
}

// isLost draws whether a datagram is lost.
func (w *world) isLost() bool {
	return w.loss > 0 && rand.Float64() < w.loss
}

// sleep waits. It returns false if the world was closed.
func (w *world) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-w.closed:
		return false
	}
}

// router is a stand-in of the platform's routers.
type router struct {
	w      *world
	client http.Client

	mu     sync.Mutex
	misses map[*host]int
}

// probeInterval is the time between two readiness checks of a host.
const probeInterval = 500 * time.Millisecond

// startRouter starts the routers.
func (w *world) startRouter() {
	w.router = &router{w: w, client: http.Client{Timeout: probeInterval}, misses: map[*host]int{}}
	go func() {
		for {
			w.mu.Lock()
			hosts := w.hosts
			w.mu.Unlock()
			for _, h := range hosts {
				go w.router.probe(h)
			}
			if !w.sleep(probeInterval) {
				return
			}
		}
	}()
}

// probe checks the readiness of a host. After two misses it is out of rotation.
func (r *router) probe(h *host) {
	resp, err := r.client.Get("http://" + netip.AddrPortFrom(h.ip, readyPort).String() + "/api/readiness")
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.misses[h] = 0
	} else {
		r.misses[h]++
	}
	if _, known := r.misses[h]; !known {
		r.misses[h] = 2
	}
}

// inRotation reports whether a host is in rotation. A host that was never ready is not.
func (r *router) inRotation(h *host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, known := r.misses[h]
	return known && n < 2
}

// pick returns the host for a packet of a client: by a hash of the addresses and ports over
// the hosts of the client's zone that are in rotation, all of them if these are fewer than
// half, and those of the other zones if there is none.
func (r *router) pick(zone string, src, dst netip.AddrPort) (netip.AddrPort, bool) {
	r.w.mu.Lock()
	hosts := r.w.hosts
	r.w.mu.Unlock()
	var own, ready, others []*host
	for _, h := range hosts {
		switch {
		case h.zone == zone && r.inRotation(h):
			own, ready = append(own, h), append(ready, h)
		case h.zone == zone:
			own = append(own, h)
		case r.inRotation(h):
			others = append(others, h)
		}
	}
	candidates := ready
	switch {
	case len(ready) == 0 && len(others) > 0:
		candidates = others
	case 2*len(ready) < len(own):
		candidates = own
	}
	if len(candidates) == 0 {
		return netip.AddrPort{}, false
	}
	h := uint32(2166136261)
	for _, b := range []byte(src.String() + dst.String()) {
		h = (h ^ uint32(b)) * 16777619
	}
	return netip.AddrPortFrom(candidates[int(h>>8)%len(candidates)].ip, packetPort), true
}

// awaitReady waits until all hosts are in rotation.
func (w *world) awaitReady() error {
	for range 150 {
		w.mu.Lock()
		hosts := w.hosts
		w.mu.Unlock()
		n := 0
		for _, h := range hosts {
			if w.router.inRotation(h) {
				n++
			}
		}
		if n == len(hosts) {
			return nil
		}
		if !w.sleep(100 * time.Millisecond) {
			break
		}
	}
	return fmt.Errorf("the hosts are not ready")
}

// writeConfig writes a version of the configuration.
func (w *world) writeConfig(version int, routes ...map[string]any) {
	w.store.put(kindConfig, "main", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.record("configuration %d written", version)
}

// route returns a route of the configuration.
func route(name string, at netip.AddrPort, kind, service string, timeout, objective time.Duration, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": at.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", at.Port()), "type": kind, "service": service,
		"timeout_ms": timeout.Milliseconds(), "target_latency_ms": objective.Milliseconds(), "priority": priority, "max_attempts": 2,
	}
}
