// Package peer carries messages between balancers: control envelopes over
// gRPC, and forwarded packets over UDP.
//
// # Usage
//
//	t, err := peer.New(peer.Config{
//		Self:          self,
//		ListenAddress: self.Control,
//		TLS:           peer.TLS{CertFile: cert, KeyFile: key, CAFile: ca},
//		Handler:       func(from peer.Sender, kind peer.Kind, payload []byte) { ... },
//		Dump:          func() ([]byte, error) { ... },
//	})
//	err = t.Send(successor, "heartbeat", payload)
//	defer t.Close()
//
// Send never blocks. An envelope is delivered at most once and may be lost; envelopes
// on one stream arrive in the order in which they were sent. A sender that needs
// reliable delivery has to repeat its messages.
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

	// maxMessageSize is the largest gRPC message: a payload and the other fields of
	// its envelope, in bytes.
	maxMessageSize = MaxPayload + 64<<10
	// maxQueuedEnvelopes is the largest number of envelopes in the queue of a link.
	maxQueuedEnvelopes = 512
	// maxQueuedBytes is the largest sum of the payloads in the queue of a link, in
	// bytes.
	maxQueuedBytes = 8 << 20
	// handshakeTimeout is the time limit for the handshake of an incoming connection.
	handshakeTimeout = 5 * time.Second
	// maxConnectionAge is the age at which an incoming connection is closed.
	maxConnectionAge = time.Hour
	// connectionAgeGrace is the time for which the streams of a connection may continue
	// after maxConnectionAge.
	connectionAgeGrace = 5 * time.Second
	// closeTimeout is the time limit for sending the queued envelopes when the
	// transport is closed, and for the other end to end a stream that is closed.
	closeTimeout = 500 * time.Millisecond
)

// Kind is the type of the content of a payload, for example "heartbeat".
type Kind string

// Sender identifies the balancer that sent an envelope.
type Sender struct {
	// Name is the name of the balancer.
	Name string
	// Domain is its failure domain.
	Domain string
	// Life is its process instance.
	Life uint64
}

// Handler is called for each received payload, from one goroutine per stream. It must
// not block.
type Handler func(from Sender, kind Kind, payload []byte)

// Config holds the settings of a Transport.
type Config struct {
	// Self is the local balancer. Its name, domain and process instance are those of
	// the sender in each sent envelope; envelopes for another receiver are refused.
	Self member.Member
	// ListenAddress is the TCP address to listen on; port 0 picks a free port.
	ListenAddress netip.AddrPort
	// TLS contains the paths of the TLS files. It may be empty only on a loopback
	// address.
	TLS TLS
	// ReloadInterval is the time between two checks of the TLS files; 0 means 2
	// seconds.
	ReloadInterval time.Duration
	// Handler is called for each received payload; nil means that payloads are
	// dropped.
	Handler Handler
	// Dump returns the state of the process as JSON. It is nil if the process has no
	// dump.
	Dump func() ([]byte, error)
	// Metrics is the set in which the counters are registered; nil means a new set.
	Metrics *metrics.Set
	// Log receives warnings and key reloads; nil means the default logger.
	Log log.Interface
}

// Transport sends control envelopes from one balancer to all others and receives
// theirs. It is safe for concurrent use.
type Transport struct {
	cfg    Config
	creds  *credential
	addr   netip.AddrPort
	server *grpc.Server
	stats  *stats
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// closing is closed when Close begins.
	closing chan struct{}
	// linksDone counts the running links. The other goroutines are counted by wg.
	linksDone sync.WaitGroup

	// mu guards closed and links.
	mu     sync.Mutex
	closed bool
	links  map[netip.AddrPort]*link
}

// New listens on cfg.ListenAddress and returns a running Transport. The error is a
// *KeyError, an *InsecureError or a *ListenError.
func New(cfg Config) (*Transport, error) {
	if cfg.Log == nil {
		cfg.Log = log.Log
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	stats := newStats(cfg.Metrics)
	creds, err := newCredential(cfg.TLS, cfg.ListenAddress, cfg.Log, stats)
	if err != nil {
		return nil, err
	}
	if cfg.ReloadInterval > 0 {
		creds.reloadInterval = cfg.ReloadInterval
	}
	ln, err := net.Listen("tcp", cfg.ListenAddress.String())
	if err != nil {
		return nil, &ListenError{Addr: cfg.ListenAddress, Err: err}
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
		grpc.MaxRecvMsgSize(maxMessageSize),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time:                  keepaliveInterval,
			Timeout:               keepaliveTimeout,
			MaxConnectionAge:      maxConnectionAge,
			MaxConnectionAgeGrace: connectionAgeGrace,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             keepaliveInterval / 2,
			PermitWithoutStream: true,
		}),
	)
	peerpb.RegisterPeerServer(t.server, &service{transport: t})
	t.wg.Go(func() { t.serve(ln) })
	t.wg.Go(func() { creds.watchFiles(ctx) })
	return t, nil
}

// serve accepts streams until the transport is closed.
func (t *Transport) serve(ln net.Listener) {
	if err := t.server.Serve(ln); err != nil && t.ctx.Err() == nil {
		t.cfg.Log.WithError(err).Error("peer: server stopped")
	}
}

// Addr returns the address on which the transport listens.
func (t *Transport) Addr() netip.AddrPort {
	return t.addr
}

// ServerTLS returns the configuration for another server of the process: mutual TLS
// with the same TLS files, also after they change. It returns nil if the transport has
// no TLS files.
func (t *Transport) ServerTLS() *tls.Config {
	return t.creds.serverConfig()
}

// Send queues one envelope for the balancer to and returns without blocking. An
// envelope that cannot be queued is dropped and counted. The error is a *SizeError, a
// *ClosedError, an *InsecureError or a *QueueFullError.
func (t *Transport) Send(to member.Member, kind Kind, payload []byte) error {
	if len(payload) > MaxPayload {
		t.stats.recordDropped(kind)
		return &SizeError{To: to.Name, Kind: kind, Size: len(payload), Limit: MaxPayload}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l, err := t.link(to)
	if err != nil {
		t.stats.recordDropped(kind)
		return err
	}
	return l.enqueue(&peerpb.Envelope{
		From:    t.cfg.Self.Name,
		Life:    t.cfg.Self.Life,
		Domain:  t.cfg.Self.Domain,
		To:      to.Name,
		ToLife:  to.Life,
		Kind:    string(kind),
		Payload: payload,
	})
}

// link returns the link to the control address of to, and starts it if there is none.
// The caller must hold mu.
func (t *Transport) link(to member.Member) (*link, error) {
	if t.closed {
		return nil, &ClosedError{}
	}
	if l, ok := t.links[to.Control]; ok {
		return l, nil
	}
	if t.creds.isPlaintext() && !to.Control.Addr().IsLoopback() {
		return nil, &InsecureError{Addr: to.Control}
	}
	l := newLink(t, to.Control)
	t.links[to.Control] = l
	t.linksDone.Go(l.run)
	return l, nil
}

// removeIfIdle removes l if its queue is empty, and reports whether it did.
func (t *Transport) removeIfIdle(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.queued.Load() > 0 {
		return false
	}
	delete(t.links, l.addr)
	return true
}

// Close sends the queued envelopes on open streams, for closeTimeout at most, ends
// every stream and waits for the transport's goroutines.
func (t *Transport) Close() {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return
	}
	t.closed = true
	t.mu.Unlock()
	close(t.closing)
	timer := time.AfterFunc(closeTimeout, t.cancel)
	t.linksDone.Wait()
	timer.Stop()
	t.cancel()
	t.server.Stop()
	t.wg.Wait()
}
