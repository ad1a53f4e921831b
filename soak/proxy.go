package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// ProxyFaults are the faults of a proxy; the zero value means none.
type ProxyFaults struct {
	// Delay is the delay of each chunk of data on a TCP connection.
	Delay time.Duration
	// BlockAll discards all data. DropResponses discards the data from the server on a
	// TCP connection, and does not affect the data to the server.
	BlockAll, DropResponses bool
	// Reset resets TCP connections at their next data.
	Reset bool
	// LossRate is the fraction of datagrams that are lost, from 0 to 1.
	LossRate float64
}

// isClear reports whether there are no faults.
func (f ProxyFaults) isClear() bool {
	return f == ProxyFaults{}
}

// faultState contains the current faults of a proxy and the end of its last ones.
type faultState struct {
	mu            sync.Mutex
	faults        ProxyFaults
	faultsEndedAt time.Time
}

// setFaults replaces the faults.
func (s *faultState) setFaults(f ProxyFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.isClear() && !s.faults.isClear() {
		s.faultsEndedAt = time.Now()
	}
	s.faults = f
}

// currentFaults returns the current faults.
func (s *faultState) currentFaults() ProxyFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// hadFaultsSince reports whether there were faults at any time after since.
func (s *faultState) hadFaultsSince(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.faults.isClear() || s.faultsEndedAt.After(since)
}

// tcpProxy forwards TCP connections to an address, subject to its faults.
type tcpProxy struct {
	faultState
	listener      net.Listener
	serverAddress string
}

// newTCPProxy starts a proxy that listens on listenAddress and connects to
// serverAddress.
func newTCPProxy(listenAddress, serverAddress string) (*tcpProxy, error) {
	l, err := net.Listen("tcp4", listenAddress)
	if err != nil {
		return nil, err
	}
	p := &tcpProxy{listener: l, serverAddress: serverAddress}
	go p.acceptConnections()
	return p, nil
}

func (p *tcpProxy) acceptConnections() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.proxyConnection(c)
	}
}

// proxyConnection forwards data in both directions until one of them ends.
func (p *tcpProxy) proxyConnection(c net.Conn) {
	defer c.Close()
	upstream, err := net.Dial("tcp4", p.serverAddress)
	if err != nil {
		return
	}
	defer upstream.Close()
	done := make(chan struct{}, 2)
	go func() { p.copy(upstream, c, false); done <- struct{}{} }()
	go func() { p.copy(c, upstream, true); done <- struct{}{} }()
	<-done
}

// copy forwards data in one direction until the connection ends. isResponse
// reports whether that is the direction from the server.
func (p *tcpProxy) copy(to, from net.Conn, isResponse bool) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		f := p.currentFaults()
		if f.Reset {
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.SetLinger(0)
			}
			return
		}
		time.Sleep(f.Delay)
		if f.BlockAll || f.DropResponses && isResponse {
			// The data is lost for good: the connection stays open, but this direction
			// forwards nothing any more, even after the fault.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// udpProxy forwards datagrams to a target, subject to its faults.
type udpProxy struct {
	faultState
	conn           *net.UDPConn
	targetAddress  netip.AddrPort
	randomFraction func() float64
}

// newUDPProxy starts a proxy that listens on listenAddress and forwards to
// targetAddress. randomFraction returns a random number in [0, 1), by which the proxy
// chooses the datagrams that are lost.
func newUDPProxy(listenAddress, targetAddress netip.AddrPort, randomFraction func() float64) (*udpProxy, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listenAddress))
	if err != nil {
		return nil, err
	}
	p := &udpProxy{conn: conn, targetAddress: targetAddress, randomFraction: randomFraction}
	go p.forwardDatagrams()
	return p, nil
}

func (p *udpProxy) forwardDatagrams() {
	b := make([]byte, 2048)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if f := p.currentFaults(); f.BlockAll || f.LossRate > 0 && p.randomFraction() < f.LossRate {
			continue
		}
		_, _ = p.conn.WriteToUDPAddrPort(b[:n], p.targetAddress)
	}
}

// storeProxyFaults returns the proxy faults of a fault between a host and the store.
func storeProxyFaults(f Fault) ProxyFaults {
	switch f {
	case StoreUnresponsive:
		return ProxyFaults{BlockAll: true}
	case StoreReset:
		return ProxyFaults{Reset: true}
	case StoreSlow:
		return ProxyFaults{Delay: 400 * time.Millisecond}
	default:
		return ProxyFaults{DropResponses: true}
	}
}
