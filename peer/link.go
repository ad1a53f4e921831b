package peer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"wisteriaweir/peer/peerpb"
)

// Times of a link.
const (
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	connectTimeout   = 3 * time.Second
	backoffFirst     = 100 * time.Millisecond
	backoffCap       = 5 * time.Second
	idleTimeout      = time.Minute
)

// link is the outgoing stream to one address, with its queue.
type link struct {
	t      *Transport
	addr   netip.AddrPort
	queue  chan *peerpb.Envelope
	queued atomic.Int64
	bytes  atomic.Int64
}

func newLink(t *Transport, addr netip.AddrPort) *link {
	return &link{t: t, addr: addr, queue: make(chan *peerpb.Envelope, queueEnvelopes)}
}

// put queues e without blocking.
func (l *link) put(e *peerpb.Envelope) error {
	size := int64(len(e.Payload))
	if l.bytes.Add(size) > queueBytes {
		return l.full(e, size)
	}
	l.queued.Add(1)
	select {
	case l.queue <- e:
		return nil
	default:
		l.queued.Add(-1)
		return l.full(e, size)
	}
}

func (l *link) full(e *peerpb.Envelope, size int64) error {
	l.bytes.Add(-size)
	l.t.stats.drop(Kind(e.Kind))
	return &QueueFullError{To: e.To, Kind: Kind(e.Kind)}
}

// run keeps a stream open for as long as there is something to send.
func (l *link) run() {
	var failures int
	for l.t.ctx.Err() == nil {
		start := time.Now()
		done := l.stream()
		if done && l.t.release(l) {
			return
		}
		if done || time.Since(start) > backoffCap {
			failures = 0
		}
		if !done {
			failures++
			l.wait(failures)
		}
	}
}

// wait sleeps for a jittered time that doubles with each failure in a row.
func (l *link) wait(failures int) {
	d := backoffCap
	if failures < 8 {
		d = min(backoffFirst<<(failures-1), backoffCap)
	}
	d = d/2 + rand.N(d/2)
	select {
	case <-time.After(d):
	case <-l.t.closing:
	}
}

// stream opens one connection and sends on it. It reports true if it ended
// because the keys changed, the transport closes or nothing was sent for the
// idle time, and false if the connection failed.
func (l *link) stream() bool {
	ctx, cancel := context.WithCancel(l.t.ctx)
	defer cancel()
	keys := l.t.creds.generation()
	conn, err := l.dial()
	if err != nil {
		return false
	}
	defer conn.Close()
	s, err := l.open(ctx, conn)
	if err != nil {
		l.t.stats.connectFailures.Inc()
		return false
	}
	go l.receive(s, cancel)
	if !l.transmit(ctx, s, keys) {
		return false
	}
	l.finish(ctx, s)
	return true
}

func (l *link) dial() (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+l.addr.String(),
		grpc.WithTransportCredentials(l.t.creds),
		grpc.WithNoProxy(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)
}

// open starts the stream, with a time limit on the connection only.
func (l *link) open(ctx context.Context, conn *grpc.ClientConn) (grpc.BidiStreamingClient[peerpb.Envelope, peerpb.Envelope], error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(connectTimeout, cancel)
	s, err := peerpb.NewPeerClient(conn).Exchange(ctx)
	if !timer.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	if err != nil {
		cancel()
		return nil, err
	}
	context.AfterFunc(s.Context(), cancel)
	return s, nil
}

// receive takes what the other end sends on the stream and ends with it.
func (l *link) receive(s grpc.BidiStreamingClient[peerpb.Envelope, peerpb.Envelope], cancel context.CancelFunc) {
	defer cancel()
	for {
		e, err := s.Recv()
		if err != nil {
			return
		}
		l.t.deliver(e)
	}
}

// transmit sends what is queued, until one of the reasons that stream names.
func (l *link) transmit(ctx context.Context, s grpc.BidiStreamingClient[peerpb.Envelope, peerpb.Envelope], keys uint64) bool {
	timer := time.NewTimer(idleTimeout)
	defer timer.Stop()
	for l.t.creds.generation() == keys {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-l.t.closing:
			return true
		case e := <-l.queue:
			if !l.write(s, e) {
				return false
			}
			timer.Reset(idleTimeout)
		}
	}
	return true
}

// finish sends what is still queued and waits until the other end has taken
// all of it and ended the stream too.
func (l *link) finish(ctx context.Context, s grpc.BidiStreamingClient[peerpb.Envelope, peerpb.Envelope]) {
	for len(l.queue) > 0 {
		if !l.write(s, <-l.queue) {
			return
		}
	}
	if s.CloseSend() != nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(closeGrace):
	}
}

// write sends one envelope. What fails here is lost and counted.
func (l *link) write(s grpc.BidiStreamingClient[peerpb.Envelope, peerpb.Envelope], e *peerpb.Envelope) bool {
	err := s.Send(e)
	l.queued.Add(-1)
	l.bytes.Add(-int64(len(e.Payload)))
	if err != nil {
		l.t.stats.drop(Kind(e.Kind))
		return false
	}
	l.t.stats.sent(Kind(e.Kind), len(e.Payload))
	return true
}
