// Package balancer is the process on an entry host: it puts sockets, timers,
// the platform and the other balancers round the cores that decide.
//
// # Usage
//
//	b, err := balancer.New(balancer.Config{Setting: cfg, Life: life, Log: logger})
//	err = b.Run(ctx)
//
// One goroutine owns the control state and publishes it as an immutable
// snapshot. Datagrams are handled by lanes on a pool; each lane has one owner
// at a time and reads the snapshot without a lock. When ctx ends, the balancer
// says that it is leaving, hands over what it alone knows, and goes on
// forwarding until nothing is in progress or the drain limit has come.
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

// Config says how a Balancer runs.
type Config struct {
	Setting setting.Balancer
	// Life differs between two runs under the same name and is greater for the
	// later one.
	Life uint64
	Log  log.Interface
	// IsPartitioned says whether a balancer cannot be reached, or, if the name is empty, the
	// targets of a failure domain. Tests set it to stand in for a network
	// partition; nil means that all can.
	IsPartitioned func(domain, name string) bool
}

// Balancer is one balancer process.
type Balancer struct {
	cfg     Config
	log     log.Interface
	self    member.Member
	started time.Time

	conn      *net.UDPConn
	pool      *ants.Pool
	transport *peer.Transport
	hop       *peer.Hop
	monitor   *monitor.Server
	dumping   atomic.Bool
	platform  *platform.Client
	count     *monitor.Counters

	current atomic.Pointer[snapshot]
	// freshUntil is the time since the start, in nanoseconds, until which traffic
	// may follow the snapshot. The control goroutine moves it on; after a pause of
	// the process it has passed.
	freshUntil atomic.Int64
	gauges     gauges
	flows      []*flowLane
	pins       pinBox
	requests   *requests
	control    *control
}

// New opens the sockets of a balancer.
func New(cfg Config) (*Balancer, error) {
	s := cfg.Setting
	set := metrics.NewSet()
	count := monitor.NewCounters(set)
	b := &Balancer{
		cfg:     cfg,
		log:     cfg.Log,
		started: time.Now(),
		count:   count,
		self: member.Member{
			Name:    s.Name,
			Domain:  s.Domain,
			Life:    cfg.Life,
			Control: s.Addresses.Control,
			Hop:     s.Addresses.Hop,
		},
		platform: platform.New(platform.Config{
			URL:     s.Platform.String(),
			Timeout: s.Times.PlatformTimeout,
			Watch:   s.Times.WatchTimeout,
			Seed:    cfg.Life,
			Observe: func(t platform.Attempt) { countTry(count, t) },
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

// open opens what has to be closed again.
func (b *Balancer) open(set *metrics.Set) error {
	s := b.cfg.Setting
	var err error
	b.pool, err = ants.NewPool(s.Limits.Shards + 1)
	if err != nil {
		return err
	}
	for range s.Limits.Shards {
		b.flows = append(b.flows, newFlowLane(b))
	}
	b.requests = newRequests(b)
	b.control = newControl(b)
	b.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Addresses.Entry))
	if err != nil {
		return err
	}
	b.transport, err = peer.New(peer.Config{
		Self:    b.self,
		Listen:  s.Addresses.Control,
		TLS:     peer.TLS{CertFile: s.TLS.CertFile, KeyFile: s.TLS.KeyFile, CAFile: s.TLS.CAFile},
		Handler: b.deliver,
		Dump:    b.dumpJSON,
		Metrics: set,
		Log:     b.log,
	})
	if err != nil {
		return err
	}
	b.hop, err = peer.NewHop(peer.HopConfig{
		Self:    b.self,
		Listen:  s.Addresses.Hop,
		KeyFile: s.HopKeyFile,
		Handler: b.takeHop,
		Metrics: set,
		Log:     b.log,
	})
	if err != nil {
		return err
	}
	b.monitor = monitor.NewServer(b.monitorConfig(set))
	return b.monitor.Start()
}

// monitorConfig returns the configuration of the monitor. With keys it gives no
// dump: only the control address, which asks for a certificate, does.
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

// Run serves until ctx ends and all that was in progress is done.
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

// close closes what is open.
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

// now returns the time since the start on the monotonic clock.
func (b *Balancer) now() time.Duration {
	return time.Since(b.started)
}

// fresh reports whether traffic may follow the snapshot.
func (b *Balancer) fresh() bool {
	return int64(b.now()) < b.freshUntil.Load()
}

func (b *Balancer) snapshot() *snapshot {
	return b.current.Load()
}

// send sends a datagram. One that cannot be sent is lost like any other; its
// sender repeats it.
func (b *Balancer) send(d []byte, to netip.AddrPort) {
	_, _ = b.conn.WriteToUDPAddrPort(d, to)
}

// tell sends an envelope to another balancer. One that is lost or dropped is
// made up for by its sender's protocol, and the transport counts it.
func (b *Balancer) tell(to member.Member, kind peer.Kind, payload []byte) {
	if b.cut(to) {
		return
	}
	_ = b.transport.Send(to, kind, payload)
}

func (b *Balancer) cut(m member.Member) bool {
	return b.cfg.IsPartitioned != nil && b.cfg.IsPartitioned(m.Domain, m.Name)
}

// sendTarget sends a datagram to a target.
func (b *Balancer) sendTarget(d []byte, to netip.AddrPort) {
	if b.cfg.IsPartitioned != nil && b.cfg.IsPartitioned(b.snapshot().targetDomain(to), "") {
		return
	}
	b.send(d, to)
}

// deliver takes an envelope of another balancer.
func (b *Balancer) deliver(from peer.Sender, kind peer.Kind, payload []byte) {
	switch kind {
	case kindRequest:
		b.requests.delivered(from.Name, from.Life, payload)
	default:
		b.control.delivered(from, kind, payload)
	}
}
