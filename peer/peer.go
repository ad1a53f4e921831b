// Package peer carries messages between balancers: control envelopes over
// gRPC, and forwarded packets over UDP.
//
// # Usage
//
//	t, err := peer.New(peer.Config{
//		Self:    self,
//		Listen:  self.Control,
//		TLS:     peer.TLS{CertFile: cert, KeyFile: key, CAFile: ca},
//		Handler: func(from peer.Sender, kind peer.Kind, payload []byte) { ... },
//		Dump:    func() ([]byte, error) { ... },
//	})
//	err = t.Send(neighbour, "heartbeat", payload)
//	defer t.Close()
//
// Send never blocks. An envelope is delivered at most once, in the order in
// which it was sent on one stream, and may be lost: whoever needs more repeats.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"wisteriaweir/member"
	"wisteriaweir/peer/peerpb"
)

// Limits of a transport.
const (
	// MaxPayload is the largest payload of an envelope, in bytes.
	MaxPayload = 2 << 20

	maxMessage       = MaxPayload + 64<<10
	queueEnvelopes   = 512
	queueBytes       = 8 << 20
	handshakeTimeout = 5 * time.Second
	maxStreamAge     = time.Hour
	streamAgeGrace   = 5 * time.Second
	closeGrace       = 500 * time.Millisecond
)

// Kind says what a payload holds, for example "heartbeat".
type Kind string

// Sender names the balancer that sent an envelope.
type Sender struct {
	Name   string
	Domain string
	Life   uint64
}

// Handler takes one received payload. It is called by one goroutine for each
// incoming stream and must not block.
type Handler func(from Sender, kind Kind, payload []byte)

// Config holds the settings of a Transport.
type Config struct {
	// Self is the balancer that sends.
	Self member.Member
	// Listen is the TCP address to listen on; port 0 picks a free port.
	Listen netip.AddrPort
	// TLS names the key files. It may be empty only on a loopback address.
	TLS TLS
	// ReloadInterval is the time between two looks at the key files; 0 means 2 seconds.
	ReloadInterval time.Duration
	// Handler takes what arrives.
	Handler Handler
	// Dump returns the state of the process as JSON, or nil if there is none.
	Dump func() ([]byte, error)
	// Metrics takes the counters; nil means a set of the transport's own.
	Metrics *metrics.Set
	// Log takes warnings; nil means the default logger.
	Log log.Interface
}

// Transport is the control connection of one balancer to all others.
type Transport struct {
	cfg    Config
	creds  *credential
	addr   netip.AddrPort
	server *grpc.Server
	stats  *stats
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	closing   chan struct{}
	linksDone sync.WaitGroup

	mu     sync.Mutex
	closed bool
	links  map[netip.AddrPort]*link
}

// New listens and returns a running transport.
func New(cfg Config) (*Transport, error) {
	if cfg.Log == nil {
		cfg.Log = log.Log
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	stats := newStats(cfg.Metrics)
	creds, err := newCredential(cfg.TLS, cfg.Listen, cfg.Log, stats)
	if err != nil {
		return nil, err
	}
	if cfg.ReloadInterval > 0 {
		creds.interval = cfg.ReloadInterval
	}
	ln, err := net.Listen("tcp", cfg.Listen.String())
	if err != nil {
		return nil, &ListenError{Addr: cfg.Listen, Err: err}
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		cfg:    cfg,
		creds:  creds,
		addr:   ln.Addr().(*net.TCPAddr).AddrPort(),
		stats:  stats,
		ctx:    ctx,
		cancel: cancel,
		links:  make(map[netip.AddrPort]*link),

		closing: make(chan struct{}),
	}
	t.server = grpc.NewServer(
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time:                  keepaliveTime,
			Timeout:               keepaliveTimeout,
			MaxConnectionAge:      maxStreamAge,
			MaxConnectionAgeGrace: streamAgeGrace,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             keepaliveTime / 2,
			PermitWithoutStream: true,
		}),
	)
	peerpb.RegisterPeerServer(t.server, &service{t: t})
	t.wg.Go(func() { t.serve(ln) })
	t.wg.Go(func() { creds.watch(ctx) })
	return t, nil
}

func (t *Transport) serve(ln net.Listener) {
	if err := t.server.Serve(ln); err != nil && t.ctx.Err() == nil {
		t.cfg.Log.WithError(err).Error("peer: server stopped")
	}
}

// Addr returns the address on which the transport listens.
func (t *Transport) Addr() netip.AddrPort {
	return t.addr
}

// ServerTLS returns the configuration for another server of the process: mutual
// TLS with the same keys, also after they change. It is nil without keys.
func (t *Transport) ServerTLS() *tls.Config {
	return t.creds.server()
}

// Send queues one envelope for to and returns at once. What can't be queued is
// dropped and counted, and the error says why.
func (t *Transport) Send(to member.Member, kind Kind, payload []byte) error {
	if len(payload) > MaxPayload {
		t.stats.drop(kind)
		return &SizeError{To: to.Name, Kind: kind, Size: len(payload), Limit: MaxPayload}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l, err := t.link(to)
	if err != nil {
		t.stats.drop(kind)
		return err
	}
	return l.put(&peerpb.Envelope{
		From:    t.cfg.Self.Name,
		Life:    t.cfg.Self.Life,
		Domain:  t.cfg.Self.Domain,
		To:      to.Name,
		ToLife:  to.Life,
		Kind:    string(kind),
		Payload: payload,
	})
}

// link returns the link to the address of to, started if there is none. The
// caller holds the mutex.
func (t *Transport) link(to member.Member) (*link, error) {
	if t.closed {
		return nil, &ClosedError{}
	}
	if l, ok := t.links[to.Control]; ok {
		return l, nil
	}
	if t.creds.plain() && !to.Control.Addr().IsLoopback() {
		return nil, &InsecureError{Addr: to.Control}
	}
	l := newLink(t, to.Control)
	t.links[to.Control] = l
	t.linksDone.Go(l.run)
	return l, nil
}

// release forgets l if its queue is empty, and reports whether it did.
func (t *Transport) release(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.queued.Load() > 0 {
		return false
	}
	delete(t.links, l.addr)
	return true
}

// Close sends what is queued on open streams, for a moment at most, ends every
// stream and waits for the transport's goroutines.
func (t *Transport) Close() {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return
	}
	t.closed = true
	t.mu.Unlock()
	close(t.closing)
	timer := time.AfterFunc(closeGrace, t.cancel)
	t.linksDone.Wait()
	timer.Stop()
	t.cancel()
	t.server.Stop()
	t.wg.Wait()
}
