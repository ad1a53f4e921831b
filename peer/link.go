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

const (
	// keepaliveInterval is the time without traffic after which a connection is
	// probed.
	keepaliveInterval = 10 * time.Second
	// keepaliveTimeout is the time without a response to a probe after which the
	// connection is closed.
	keepaliveTimeout = 3 * time.Second
	// connectTimeout is the time limit for opening a stream.
	connectTimeout = 3 * time.Second
	// initialBackoff is the largest delay after the first failure of a link.
	initialBackoff = 100 * time.Millisecond
	// maxBackoff is the largest delay after any failure of a link. After a stream that
	// lasted longer, the delays begin at initialBackoff again.
	maxBackoff = 5 * time.Second
	// idleTimeout is the time without envelopes after which a stream is closed.
	idleTimeout = time.Minute
)

// link is the outgoing stream to one address, with its queue.
type link struct {
	transport *Transport
	addr      netip.AddrPort
	queue     chan *peerpb.Envelope
	// queued is the number of envelopes that are not sent yet, and queuedBytes the
	// size of their payloads.
	queued      atomic.Int64
	queuedBytes atomic.Int64
}

func newLink(t *Transport, addr netip.AddrPort) *link {
	return &link{transport: t, addr: addr, queue: make(chan *peerpb.Envelope, maxQueuedEnvelopes)}
}

// enqueue queues e without blocking. The error is a *QueueFullError.
func (l *link) enqueue(e *peerpb.Envelope) error {
	size := int64(len(e.Payload))
	if l.queuedBytes.Add(size) > maxQueuedBytes {
		return l.rejectFull(e, size)
	}
	l.queued.Add(1)
	select {
	case l.queue <- e:
		return nil
	default:
		l.queued.Add(-1)
		return l.rejectFull(e, size)
	}
}

// rejectFull counts e as dropped and returns a *QueueFullError.
func (l *link) rejectFull(e *peerpb.Envelope, size int64) error {
	l.queuedBytes.Add(-size)
	l.transport.stats.recordDropped(Kind(e.Kind))
	return &QueueFullError{To: e.To, Kind: Kind(e.Kind)}
}

// run keeps a stream open while there are envelopes to send, and opens it again after
// a failure.
func (l *link) run() {
	var failures int
	for l.transport.ctx.Err() == nil {
		start := time.Now()
		endedNormally := l.runStream()
		if endedNormally && l.transport.removeIfIdle(l) {
			return
		}
		if endedNormally || time.Since(start) > maxBackoff {
			failures = 0
		}
		if !endedNormally {
			failures++
			l.waitBackoff(failures)
		}
	}
}

// waitBackoff sleeps for a jittered time that doubles with each failure in a row.
func (l *link) waitBackoff(failures int) {
	d := maxBackoff
	if failures < 8 {
		d = min(initialBackoff<<(failures-1), maxBackoff)
	}
	d = d/2 + rand.N(d/2)
	select {
	case <-time.After(d):
	case <-l.transport.closing:
	}
}

// runStream opens one connection and sends on it. It reports true if the stream ended
// because the TLS credentials changed, the transport is closing or nothing was sent
// for idleTimeout, and false if the connection failed.
func (l *link) runStream() bool {
	ctx, cancel := context.WithCancel(l.transport.ctx)
	defer cancel()
	version := l.transport.creds.currentVersion()
	conn, err := l.dial()
	if err != nil {
		return false
	}
	defer conn.Close()
	s, err := l.openStream(ctx, conn)
	if err != nil {
		l.transport.stats.connectFailures.Inc()
		return false
	}
	go l.receiveLoop(s, cancel)
	if !l.sendQueued(ctx, s, version) {
		return false
	}
	l.closeStream(ctx, s)
	return true
}

// dial returns a connection to the address of the link, which is established with the
// first stream.
func (l *link) dial() (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+l.addr.String(),
		grpc.WithTransportCredentials(l.transport.creds),
		grpc.WithNoProxy(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize), grpc.MaxCallSendMsgSize(maxMessageSize)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	)
}

// openStream starts the stream. The time limit connectTimeout applies to the start
// only, not to the stream itself.
func (l *link) openStream(ctx context.Context, conn *grpc.ClientConn) (grpc.BidiStreamingClient[peerpb.Envelope, peerpb.Envelope], error) {
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

// receiveLoop delivers the envelopes that the other end sends on the stream. It
// returns and calls cancel when the stream ends.
func (l *link) receiveLoop(s grpc.BidiStreamingClient[peerpb.Envelope, peerpb.Envelope], cancel context.CancelFunc) {
	defer cancel()
	for {
		e, err := s.Recv()
		if err != nil {
			return
		}
		l.transport.deliver(e)
	}
}

// sendQueued sends queued envelopes until the stream has to end. It reports true and
// false for the same reasons as runStream.
func (l *link) sendQueued(ctx context.Context, s grpc.BidiStreamingClient[peerpb.Envelope, peerpb.Envelope], version uint64) bool {
	timer := time.NewTimer(idleTimeout)
	defer timer.Stop()
	for l.transport.creds.currentVersion() == version {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-l.transport.closing:
			return true
		case e := <-l.queue:
			if !l.sendEnvelope(s, e) {
				return false
			}
			timer.Reset(idleTimeout)
		}
	}
	return true
}

// closeStream sends the envelopes that are still queued. It then waits, for
// closeTimeout at most, until the other end has received them and ended the stream.
func (l *link) closeStream(ctx context.Context, s grpc.BidiStreamingClient[peerpb.Envelope, peerpb.Envelope]) {
	for len(l.queue) > 0 {
		if !l.sendEnvelope(s, <-l.queue) {
			return
		}
	}
	if s.CloseSend() != nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(closeTimeout):
	}
}

// sendEnvelope sends one envelope and reports whether this succeeded. An envelope
// that fails is lost and counted as dropped.
func (l *link) sendEnvelope(s grpc.BidiStreamingClient[peerpb.Envelope, peerpb.Envelope], e *peerpb.Envelope) bool {
	err := s.Send(e)
	l.queued.Add(-1)
	l.queuedBytes.Add(-int64(len(e.Payload)))
	if err != nil {
		l.transport.stats.recordDropped(Kind(e.Kind))
		return false
	}
	l.transport.stats.recordSent(Kind(e.Kind), len(e.Payload))
	return true
}
