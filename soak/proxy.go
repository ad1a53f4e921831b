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

// calm reports whether nothing is wrong.
func (t ProxyFaults) calm() bool {
	return t == ProxyFaults{}
}

// valve holds the trouble of a proxy and when it last had any.
type valve struct {
	mu     sync.Mutex
	now    ProxyFaults
	calmAt time.Time
}

// Set sets the trouble.
func (v *valve) Set(t ProxyFaults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if t.calm() && !v.now.calm() {
		v.calmAt = time.Now()
	}
	v.now = t
}

func (v *valve) get() ProxyFaults {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// disturbed reports whether there was trouble at any time from since on.
func (v *valve) disturbed(since time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.now.calm() || v.calmAt.After(since)
}

// tcpProxy passes connections on, as long as its valve lets it.
type tcpProxy struct {
	valve
	listener net.Listener
	to       string
}

func newTCPProxy(at, to string) (*tcpProxy, error) {
	l, err := net.Listen("tcp4", at)
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
		go p.pass(c)
	}
}

func (p *tcpProxy) pass(c net.Conn) {
	defer c.Close()
	up, err := net.Dial("tcp4", p.to)
	if err != nil {
		return
	}
	defer up.Close()
	done := make(chan struct{}, 2)
	go func() { p.copy(up, c, false); done <- struct{}{} }()
	go func() { p.copy(c, up, true); done <- struct{}{} }()
	<-done
}

// copy passes bytes on in one direction until the connection ends.
func (p *tcpProxy) copy(to, from net.Conn, answers bool) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		t := p.get()
		if t.Reset {
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.SetLinger(0)
			}
			return
		}
		time.Sleep(t.Delay)
		if t.BlockAll || t.DropResponses && answers {
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
	valve
	conn *net.UDPConn
	to   netip.AddrPort
	draw func() float64
}

func newUDPProxy(at, to netip.AddrPort, draw func() float64) (*udpProxy, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	p := &udpProxy{conn: conn, to: to, draw: draw}
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
		if t := p.get(); t.BlockAll || t.LossRate > 0 && p.draw() < t.LossRate {
			continue
		}
		_, _ = p.conn.WriteToUDPAddrPort(b[:n], p.to)
	}
}
