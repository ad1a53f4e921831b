package peer

import (
	"context"
	"net/netip"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"github.com/apex/log"

	"wisteriaweir/peer/peerpb"
)

// service is the receiving end of the streams.
type service struct {
	peerpb.UnimplementedPeerServer
	transport *Transport
}

// Exchange receives and delivers the envelopes of one other balancer until its stream
// ends.
func (s *service) Exchange(stream grpc.BidiStreamingServer[peerpb.Envelope, peerpb.Envelope]) error {
	if err := s.authorize(stream.Context()); err != nil {
		if p, ok := grpcpeer.FromContext(stream.Context()); ok {
			s.transport.creds.recordRefusal(p.Addr, err)
		}
		return err
	}
	for {
		e, err := stream.Recv()
		if err != nil {
			s.recordStreamError(err)
			return nil
		}
		s.transport.deliver(e)
	}
}

// authorize returns an error if the certificate of the other end is not that of a
// balancer. An operator's certificate permits dumps, but no envelopes.
func (s *service) authorize(ctx context.Context) error {
	if s.transport.creds.isPlaintext() {
		return nil
	}
	p, ok := grpcpeer.FromContext(ctx)
	if !ok {
		return status.Error(codes.Unauthenticated, "the client connection has no peer information")
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return status.Error(codes.Unauthenticated, "the client sent no certificate")
	}
	if err := info.State.PeerCertificates[0].VerifyHostname(ServerName); err != nil {
		return status.Error(codes.PermissionDenied, "the certificate is not one of a balancer")
	}
	return nil
}

// recordStreamError counts a stream as refused if it ended because of an invalid
// message.
func (s *service) recordStreamError(err error) {
	switch status.Code(err) {
	case codes.ResourceExhausted, codes.Internal, codes.InvalidArgument:
		s.transport.stats.refused.Inc()
	}
}

// Dump returns the state of the process as JSON.
func (s *service) Dump(context.Context, *peerpb.DumpRequest) (*peerpb.DumpReply, error) {
	if s.transport.cfg.Dump == nil {
		return nil, status.Error(codes.Unimplemented, "this process has no dump")
	}
	b, err := s.transport.cfg.Dump()
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &peerpb.DumpReply{State: b}, nil
}

// deliver passes one envelope to the handler. It refuses an envelope for another
// balancer or for another process instance of this one.
func (t *Transport) deliver(e *peerpb.Envelope) {
	self := t.cfg.Self
	if e.To != "" && e.To != self.Name || e.ToLife != 0 && e.ToLife != self.Life {
		t.stats.refused.Inc()
		return
	}
	kind := Kind(e.Kind)
	t.stats.recordReceived(kind, len(e.Payload))
	if t.cfg.Handler == nil {
		return
	}
	t.cfg.Handler(Sender{Name: e.From, Domain: e.Domain, Life: e.Life}, kind, e.Payload)
}

// Dump requests the state of the process at addr and returns it as JSON. The files are
// the TLS files of the client. The error is a *DumpError, a *KeyError or an
// *InsecureError.
func Dump(ctx context.Context, addr netip.AddrPort, files TLS) ([]byte, error) {
	creds, err := newCredential(files, addr, log.Log, nil)
	if err != nil {
		return nil, err
	}
	conn, err := grpc.NewClient("passthrough:///"+addr.String(),
		grpc.WithTransportCredentials(creds),
		grpc.WithNoProxy(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxDumpBytes)),
	)
	if err != nil {
		return nil, &DumpError{Addr: addr, Err: err}
	}
	defer conn.Close()
	r, err := peerpb.NewPeerClient(conn).Dump(ctx, &peerpb.DumpRequest{})
	if err != nil {
		return nil, &DumpError{Addr: addr, Err: err}
	}
	return r.State, nil
}

// maxDumpBytes is the largest dump that Dump accepts, in bytes.
const maxDumpBytes = 256 << 20
