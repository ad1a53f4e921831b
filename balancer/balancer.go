// Package balancer implements the balancer process of an entry host. It connects
// the decision cores (packages flow, member, lease, rollout, target and request),
// which do no I/O, to sockets, timers, the platform and the other balancers.
//
// # Usage
//
//	b, err := balancer.New(balancer.Config{Setting: cfg, Life: life, Log: logger})
//	err = b.Run(ctx)
//
// One goroutine owns the control state and publishes the part that traffic needs
// as an immutable snapshot. Datagrams are handled by serial queues on a worker
// pool: the tasks of one queue run one after the other and read the snapshot
// without a lock. When ctx ends, the balancer announces that it is leaving, hands
// over the flows that only it knows, and continues to forward until no request is
// in progress and the fleet has removed it, or the drain limit has passed.
package balancer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/panjf2000/ants/v2"

	"wisteriaweir/member"
	"wisteriaweir/monitor"
	"wisteriaweir/peer"
	"wisteriaweir/platform"
	"wisteriaweir/setting"
)

// Config is the configuration of a Balancer.
type Config struct {
	// Setting holds the checked settings of the process.
	Setting setting.Balancer
	// Life identifies this process instance among those that run under the same
	// name. A later instance has a greater value.
	Life uint64
	// Log receives the log lines of the balancer.
	Log log.Interface
	// IsPartitioned reports whether the balancer called name in a failure
	// domain is unreachable or, if name is empty, whether the targets of the
	// domain are. Tests use it to simulate a network partition; nil means that
	// everything is reachable.
	IsPartitioned func(domain, name string) bool
}

// Balancer is one balancer process.
type Balancer struct {
	cfg     Config
	log     log.Interface
	self    member.Member
	started time.Time

	// conn is the socket of the entry address. Datagrams to targets and to the
	// fabric are sent from it, too.
	conn *net.UDPConn
	// pool is the worker pool on which the serial queues run their tasks.
	pool           *ants.Pool
	transport      *peer.Transport
	hop            *peer.Hop
	monitor        *monitor.Server
	dumpInProgress atomic.Bool
	platform       *platform.Client
	counters       *monitor.Counters

	// current is the newest published snapshot.
	current atomic.Pointer[snapshot]
	// freshUntil is the time since the start, in nanoseconds, until which
	// traffic may use the snapshot. The control goroutine keeps extending it,
	// so it has passed after a pause of the process.
	freshUntil  atomic.Int64
	gauges      gauges
	flowWorkers []*flowWorker
	pins        pinBuffer
	requests    *requests
	control     *control
}

// New returns a balancer with open sockets and a started monitor server. On an
// error, everything that it opened is closed again.
func New(cfg Config) (*Balancer, error) {
	s := cfg.Setting
	set := metrics.NewSet()
	counters := monitor.NewCounters(set)
	b := &Balancer{
		cfg:      cfg,
		log:      cfg.Log,
		started:  time.Now(),
		counters: counters,
		self: member.Member{
			Name:    s.Name,
			Domain:  s.Domain,
			Life:    cfg.Life,
			Control: s.Addresses.Control,
			Hop:     s.Addresses.Hop,
		},
		platform: platform.NewClient(platform.ClientConfig{
			URL:          s.Platform.String(),
			Timeout:      s.Times.PlatformTimeout,
			WatchTimeout: s.Times.WatchTimeout,
			Seed:         cfg.Life,
			Observe:      func(attempt platform.Attempt) { countPlatformAttempt(counters, attempt) },
		}),
	}
	b.gauges.register(set)
	b.current.Store((&snapshot{}).withMembers(nil))
	if err := b.open(set); err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

// open creates the worker pool and the queues, opens the sockets and starts the
// monitor server. After an error, close closes what was opened.
func (b *Balancer) open(set *metrics.Set) error {
	s := b.cfg.Setting
	var err error
	b.pool, err = ants.NewPool(s.Limits.Shards + 1)
	if err != nil {
		return err
	}
	for range s.Limits.Shards {
		b.flowWorkers = append(b.flowWorkers, newFlowWorker(b))
	}
	b.requests = newRequests(b)
	b.control = newControl(b)
	b.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Addresses.Entry))
	if err != nil {
		return err
	}
	b.transport, err = peer.New(peer.Config{
		Self:          b.self,
		ListenAddress: s.Addresses.Control,
		TLS:           peer.TLS{CertFile: s.TLS.CertFile, KeyFile: s.TLS.KeyFile, CAFile: s.TLS.CAFile},
		Handler:       b.handleEnvelope,
		Dump:          b.dumpJSON,
		Metrics:       set,
		Log:           b.log,
	})
	if err != nil {
		return err
	}
	b.hop, err = peer.NewHop(peer.HopConfig{
		Self:          b.self,
		ListenAddress: s.Addresses.Hop,
		KeyFile:       s.HopKeyFile,
		Handler:       b.handleHop,
		Metrics:       set,
		Log:           b.log,
	})
	if err != nil {
		return err
	}
	b.monitor = monitor.NewServer(b.monitorConfig(set))
	return b.monitor.Start()
}

// monitorConfig returns the configuration of the monitor server. With TLS
// files, the monitor address refuses /dump: only the control address, which
// requires a client certificate, serves the dump.
func (b *Balancer) monitorConfig(set *metrics.Set) monitor.Config {
	s := b.cfg.Setting
	cfg := monitor.Config{
		Address: s.Addresses.Monitor,
		Metrics: set,
		Dump:    func(ctx context.Context) any { return b.dump(ctx) },
		Log:     b.log,
	}
	if s.TLS.Enabled() {
		cfg.DumpRefusal = "the state is given over mutual TLS only: dump " + s.Addresses.Control.String() +
			" with --tls-cert, --tls-key and --tls-ca"
	}
	if s.MonitorTLS == setting.MonitorAll {
		cfg.TLS = b.transport.ServerTLS()
	}
	return cfg
}

// Run serves until ctx ends, then drains and closes the balancer. It always
// returns nil.
func (b *Balancer) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { b.control.run(serving) })
	wg.Go(b.receive)
	<-ctx.Done()
	b.drain(serving)
	stop()
	b.close()
	wg.Wait()
	b.pool.Release()
	return nil
}

// close closes those of the sockets and the monitor server that are open.
func (b *Balancer) close() {
	if b.conn != nil {
		b.conn.Close()
	}
	if b.transport != nil {
		b.transport.Close()
	}
	if b.hop != nil {
		b.hop.Close()
	}
	if b.monitor != nil {
		_ = b.monitor.Close()
	}
}

// now returns the time since the start, on the monotonic clock.
func (b *Balancer) now() time.Duration {
	return time.Since(b.started)
}

// isFresh reports whether traffic may use the snapshot.
func (b *Balancer) isFresh() bool {
	return int64(b.now()) < b.freshUntil.Load()
}

// snapshot returns the newest published snapshot.
func (b *Balancer) snapshot() *snapshot {
	return b.current.Load()
}

// send sends a datagram to a UDP address. A send error is treated like a loss
// in the network: the sender of the datagram retransmits it.
func (b *Balancer) send(d []byte, to netip.AddrPort) {
	_, _ = b.conn.WriteToUDPAddrPort(d, to)
}

// sendEnvelope sends an envelope to another balancer. It ignores errors: the
// protocol of each kind of envelopes repairs their loss, and the transport
// counts those that it drops.
func (b *Balancer) sendEnvelope(to member.Member, kind peer.Kind, payload []byte) {
	if b.isPartitionedFrom(to) {
		return
	}
	_ = b.transport.Send(to, kind, payload)
}

// isPartitionedFrom reports whether a test has made m unreachable.
func (b *Balancer) isPartitionedFrom(m member.Member) bool {
	return b.cfg.IsPartitioned != nil && b.cfg.IsPartitioned(m.Domain, m.Name)
}

// sendTarget sends a datagram to the target at address to.
func (b *Balancer) sendTarget(d []byte, to netip.AddrPort) {
	if b.cfg.IsPartitioned != nil && b.cfg.IsPartitioned(b.snapshot().targetDomainAt(to), "") {
		return
	}
	b.send(d, to)
}

// handleEnvelope handles an envelope from another balancer. The transport calls
// it on its own goroutines.
func (b *Balancer) handleEnvelope(from peer.Sender, kind peer.Kind, payload []byte) {
	switch kind {
	case kindRequest:
		b.requests.handleMessage(from.Name, from.Life, payload)
	default:
		b.control.handleEnvelope(from, kind, payload)
	}
}
