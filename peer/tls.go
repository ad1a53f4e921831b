package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// ServerName is the DNS name in the certificate of each balancer.
const ServerName = "wisteriaweir"

// defaultReloadInterval is the default time between two checks of key files.
const defaultReloadInterval = 2 * time.Second

// refusalLogInterval is the shortest time between two log lines about refused
// connections. The lines are limited because anyone can cause them.
const refusalLogInterval = 10 * time.Second

// errNotHTTP2 is the error of a connection that cannot be one of another balancer.
var errNotHTTP2 error = &PrefaceError{}

// http2Preface is the first data that an HTTP/2 client sends.
var http2Preface = []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")

// TLS contains the paths of the TLS files, in PEM form. The files are read again when
// they change.
type TLS struct {
	// CertFile contains the certificate of the process.
	CertFile string
	// KeyFile contains its private key.
	KeyFile string
	// CAFile contains the certificates of the authorities that sign the peers. It may
	// contain several, so that an authority can be replaced without an interruption.
	CAFile string
}

// isEmpty reports whether no file is set.
func (t TLS) isEmpty() bool {
	return t == TLS{}
}

// loadConfig reads the files and returns a configuration for both ends of mutual TLS.
// The error is a *KeyError.
func (t TLS) loadConfig() (*tls.Config, error) {
	cert, err := t.loadCertificate()
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, &KeyError{Path: t.CAFile, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &KeyError{Path: t.CAFile, Err: errors.New("no certificate in it")}
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   ServerName,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// loadCertificate reads the certificate and its key. The error is a *KeyError, which names
// the key file if the certificate file contains a certificate.
func (t TLS) loadCertificate() (tls.Certificate, error) {
	certPEM, err := os.ReadFile(t.CertFile)
	if err != nil {
		return tls.Certificate{}, &KeyError{Path: t.CertFile, Err: err}
	}
	keyPEM, err := os.ReadFile(t.KeyFile)
	if err != nil {
		return tls.Certificate{}, &KeyError{Path: t.KeyFile, Err: err}
	}
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	if err == nil {
		return cert, nil
	}
	if !x509.NewCertPool().AppendCertsFromPEM(certPEM) {
		return tls.Certificate{}, &KeyError{Path: t.CertFile, Err: err}
	}
	return tls.Certificate{}, &KeyError{Path: t.KeyFile, Err: err}
}

// fileStates returns the states of the files, by which a change is detected without
// reading them.
func (t TLS) fileStates() [3]fileState {
	return [3]fileState{statFile(t.CertFile), statFile(t.KeyFile), statFile(t.CAFile)}
}

// fileState is the modification time and the size of a file. It is zero if the file
// cannot be accessed.
type fileState struct {
	// modifiedAt is in Unix nanoseconds.
	modifiedAt int64
	// size is in bytes.
	size int64
}

// statFile returns the state of the file at path.
func statFile(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	return fileState{modifiedAt: info.ModTime().UnixNano(), size: info.Size()}
}

// credential is the gRPC credential of a transport. Each handshake uses the TLS files
// as they were loaded last. Without TLS files connections are in plain text.
type credential struct {
	files          TLS
	log            log.Interface
	stats          *stats
	reloadInterval time.Duration
	fileStates     [3]fileState
	config         atomic.Pointer[tls.Config]
	// version is the number of reloads.
	version atomic.Uint64
	// refusalLoggedAt is the time at which a refusal was logged last, in Unix
	// nanoseconds.
	refusalLoggedAt atomic.Int64
}

// newCredential loads the TLS files. Without files it returns a plain-text credential
// if addr is a loopback address, and an *InsecureError otherwise.
func newCredential(files TLS, addr netip.AddrPort, l log.Interface, s *stats) (*credential, error) {
	c := &credential{files: files, log: l, stats: s, reloadInterval: defaultReloadInterval}
	if files.isEmpty() {
		if !addr.Addr().IsLoopback() {
			return nil, &InsecureError{Addr: addr}
		}
		l.WithField("address", addr.String()).Warn("peer: no TLS files: connections on a loopback address are in plain text")
		return c, nil
	}
	c.fileStates = files.fileStates()
	cfg, err := files.loadConfig()
	if err != nil {
		return nil, err
	}
	c.config.Store(cfg)
	return c, nil
}

// isPlaintext reports whether connections are in plain text.
func (c *credential) isPlaintext() bool {
	return c.files.isEmpty()
}

// currentVersion returns the version of the loaded TLS files, which increases by one
// with each reload.
func (c *credential) currentVersion() uint64 {
	return c.version.Load()
}

// watchFiles reads the files again when they have changed, until ctx is done.
func (c *credential) watchFiles(ctx context.Context) {
	if c.isPlaintext() {
		return
	}
	ticker := time.NewTicker(c.reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.reloadFiles()
		}
	}
}

// reloadFiles loads the files if they have changed. The former ones stay in use while
// the new ones cannot be used, for example because only one file of a pair has been
// replaced so far.
func (c *credential) reloadFiles() {
	states := c.files.fileStates()
	if states == c.fileStates {
		return
	}
	cfg, err := c.files.loadConfig()
	if err != nil {
		c.stats.keyReloadFailures.Inc()
		c.log.WithError(err).Warn("peer: the keys changed and can't be used yet")
		return
	}
	c.fileStates = states
	c.config.Store(cfg)
	c.version.Add(1)
	c.stats.keyReloads.Inc()
	c.log.Info("peer: keys reloaded")
}

// currentCredentials returns the credentials for the next handshake.
func (c *credential) currentCredentials() credentials.TransportCredentials {
	if c.isPlaintext() {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(c.config.Load())
}

// ClientHandshake implements credentials.TransportCredentials.
func (c *credential) ClientHandshake(ctx context.Context, _ string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return c.currentCredentials().ClientHandshake(ctx, ServerName, conn)
}

// ServerHandshake implements credentials.TransportCredentials.
func (c *credential) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	if c.isPlaintext() {
		return c.plainHandshake(conn)
	}
	secured, info, err := c.currentCredentials().ServerHandshake(conn)
	if err != nil {
		c.recordRefusal(conn.RemoteAddr(), err)
	}
	return secured, info, err
}

// recordRefusal counts a refused connection, and logs it unless another one was logged
// within refusalLogInterval.
func (c *credential) recordRefusal(from net.Addr, err error) {
	c.stats.refused.Inc()
	now, last := time.Now().UnixNano(), c.refusalLoggedAt.Load()
	if now-last < int64(refusalLogInterval) || !c.refusalLoggedAt.CompareAndSwap(last, now) {
		return
	}
	c.log.WithError(err).WithField("from", from.String()).Warn("peer: connection refused")
}

// serverConfig returns the configuration of a server that uses the files as they were
// loaded last before each handshake. It returns nil without TLS files.
func (c *credential) serverConfig() *tls.Config {
	if c.isPlaintext() {
		return nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return c.config.Load(), nil },
	}
}

// plainHandshake refuses a connection that does not begin with the HTTP/2 preface.
func (c *credential) plainHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	prefix := make([]byte, len(http2Preface))
	if _, err := io.ReadFull(conn, prefix); err != nil || !bytes.Equal(prefix, http2Preface) {
		c.recordRefusal(conn.RemoteAddr(), errNotHTTP2)
		conn.Close()
		return nil, nil, credentials.ErrConnDispatched
	}
	return c.currentCredentials().ServerHandshake(&prefixConn{Conn: conn, prefix: prefix})
}

// Info implements credentials.TransportCredentials.
func (c *credential) Info() credentials.ProtocolInfo {
	return c.currentCredentials().Info()
}

// Clone implements credentials.TransportCredentials. It returns c itself.
func (c *credential) Clone() credentials.TransportCredentials {
	return c
}

// OverrideServerName implements credentials.TransportCredentials. The name is
// always ServerName.
func (c *credential) OverrideServerName(string) error {
	return nil
}

// prefixConn is a connection from which the first bytes, prefix, have already been
// read.
type prefixConn struct {
	net.Conn
	prefix []byte
}

// Read returns the bytes of the prefix before those of the connection.
func (c *prefixConn) Read(b []byte) (int, error) {
	if len(c.prefix) == 0 {
		return c.Conn.Read(b)
	}
	n := copy(b, c.prefix)
	c.prefix = c.prefix[n:]
	return n, nil
}
