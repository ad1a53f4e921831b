// Package monitor exposes the metrics, health, readiness and whole state (the
// dump) of a process over HTTP, and provides its logger.
//
// # Usage
//
//	set := metrics.NewSet()
//	srv := monitor.NewServer(monitor.Config{
//		Address: cfg.Addresses.Monitor,
//		Metrics: set,
//		Dump:    func(ctx context.Context) any { return core.Dump() },
//		Log:     logger,
//	})
//	if err := srv.Start(); err != nil {
//		return err
//	}
//	defer srv.Close()
//	srv.SetState(monitor.State{Phase: monitor.PhaseReady})
//
// /metrics, /healthz, /readyz and /dump answer GET. The number of connections,
// the size of headers and the duration of each request are limited, so that slow
// or many clients cannot slow down the process.
package monitor

import (
	"context"
	"crypto/tls"
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	// maxConnections is the largest number of open connections. Further ones
	// are closed at once.
	maxConnections = 64
	// maxHeaderBytes is the largest size of the headers of a request.
	maxHeaderBytes = 8 << 10
	// readHeaderTimeout is the time limit for reading the headers of a request.
	readHeaderTimeout = 2 * time.Second
	// readTimeout is the time limit for reading a whole request.
	readTimeout = 5 * time.Second
	// writeTimeout is the time limit for a response, from the end of the
	// request headers. It includes the time for collecting a dump.
	writeTimeout = 20 * time.Second
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 30 * time.Second
	// closeTimeout is how long Close waits for requests in progress.
	closeTimeout = time.Second
	// dumpTimeout is the time limit for collecting the state for a dump.
	dumpTimeout = 5 * time.Second
)

// Config is the configuration of a Server.
type Config struct {
	// Address is the TCP address to listen on; port 0 selects a free one.
	Address netip.AddrPort
	// Metrics holds the metrics that /metrics returns, together with those of
	// the process.
	Metrics *metrics.Set
	// TLS makes the server accept TLS connections only; nil means plain text.
	TLS *tls.Config
	// DumpRefusal is the text with which /dump refuses requests, with status
	// 403; empty means that it returns the state.
	DumpRefusal string
	// Dump returns the whole state for /dump, as a value for encoding/json. It
	// is called for one request at a time and should return when ctx ends.
	Dump func(ctx context.Context) any
	// Log receives one line for each change of state, and the errors of the HTTP
	// server.
	Log log.Interface
}

// Server is the HTTP server of the monitor address. Its methods may be called
// from any goroutine.
type Server struct {
	cfg            Config
	http           *http.Server
	listener       net.Listener
	state          atomic.Pointer[State]
	connections    atomic.Int64
	dumpInProgress atomic.Bool
	done           chan struct{}
}

// NewServer returns a server in PhaseStarting that does not listen yet.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, done: make(chan struct{})}
	s.state.Store(&State{Phase: PhaseStarting})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.serveMetrics)
	mux.HandleFunc("GET /healthz", serveHealth)
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /dump", s.serveDump)
	s.http = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.countConnection,
		ErrorLog:          stdlog.New(&debugWriter{log: cfg.Log}, "", 0),
	}
	return s
}

// Start listens and serves until Close. If the address cannot be listened on,
// it returns a *ListenError.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.cfg.Address.String())
	if err != nil {
		return &ListenError{Address: s.cfg.Address, Err: err}
	}
	s.listener = l
	if s.cfg.TLS != nil {
		l = tls.NewListener(l, s.cfg.TLS)
	}
	go s.serve(l)
	return nil
}

// serve serves the connections of l until Close.
func (s *Server) serve(l net.Listener) {
	defer close(s.done)
	err := s.http.Serve(l)
	if !errors.Is(err, http.ErrServerClosed) {
		s.cfg.Log.WithError(err).Error("monitor stopped")
	}
}

// Addr returns the address on which the server listens. It may be called only
// after Start has succeeded.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close stops listening and waits up to one second for requests in progress,
// whose connections it then closes.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = s.http.Close()
	}
	if s.listener != nil {
		<-s.done
	}
	return err
}

// countConnection counts open connections and closes those beyond
// maxConnections.
func (s *Server) countConnection(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.connections.Add(1) > maxConnections {
			c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.connections.Add(-1)
	}
}
