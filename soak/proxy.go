package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// ProxyFaults is what a proxy does to what passes it.
type ProxyFaults struct {
	// Delay is added to each read.
	Delay time.Duration
	// BlockAll lets nothing pass; DropResponses lets requests pass and loses the answers.
	BlockAll, DropResponses bool
	// Reset breaks connections off.
	Reset bool
	// LossRate is the part of datagrams that is lost, from 0 to 1.
	LossRate float64
}

// isClear reports whether nothing is wrong.
func (f ProxyFaults) isClear() bool {
	return f == ProxyFaults{}
}

// faultState holds the trouble of a proxy and when it last had any.
type faultState struct {
	mu        sync.Mutex
	faults    ProxyFaults
	clearedAt time.Time
}

// Set sets the trouble.
func (s *faultState) Set(f ProxyFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.isClear() && !s.faults.isClear() {
		s.clearedAt = time.Now()
	}
	s.faults = f
}

func (s *faultState) get() ProxyFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// hadFaultsSince reports whether there was trouble at any time from since on.
func (s *faultState) hadFaultsSince(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.faults.isClear() || s.clearedAt.After(since)
}

// tcpProxy passes connections on, as long as its valve lets it.
type tcpProxy struct {
	faultState
	listener net.Listener
	to       string
}

func newTCPProxy(listenAddress, to string) (*tcpProxy, error) {
	l, err := net.Listen("tcp4", listenAddress)
	if err != nil {
		return nil, err
	}
	p := &tcpProxy{listener: l, to: to}
	go p.accept()
	return p, nil
}

func (p *tcpProxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.proxyConnection(c)
	}
}

func (p *tcpProxy) proxyConnection(c net.Conn) {
	defer c.Close()
	upstream, err := net.Dial("tcp4", p.to)
	if err != nil {
		return
	}
	defer upstream.Close()
	done := make(chan struct{}, 2)
	go func() { p.copy(upstream, c, false); done <- struct{}{} }()
	go func() { p.copy(c, upstream, true); done <- struct{}{} }()
	<-done
}

// copy passes bytes on in one direction until the connection ends.
func (p *tcpProxy) copy(to, from net.Conn, isResponse bool) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		f := p.get()
		if f.Reset {
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.SetLinger(0)
			}
			return
		}
		time.Sleep(f.Delay)
		if f.BlockAll || f.DropResponses && isResponse {
			// What is held up never comes: the connection stays open and silent.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// udpProxy stands in front of a target and passes datagrams on.
type udpProxy struct {
	faultState
	conn           *net.UDPConn
	to             netip.AddrPort
	randomFraction func() float64
}

func newUDPProxy(listenAddress, to netip.AddrPort, randomFraction func() float64) (*udpProxy, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listenAddress))
	if err != nil {
		return nil, err
	}
	p := &udpProxy{conn: conn, to: to, randomFraction: randomFraction}
	go p.run()
	return p, nil
}

func (p *udpProxy) run() {
	b := make([]byte, 2048)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if f := p.get(); f.BlockAll || f.LossRate > 0 && p.randomFraction() < f.LossRate {
			continue
		}
		_, _ = p.conn.WriteToUDPAddrPort(b[:n], p.to)
	}
}
