package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Headers of requests and responses.
const (
	requestIDHeader = "X-Wisteriaweir-Request-Id"
	notRunHeader    = "X-Wisteriaweir-Not-Executed"
	instanceHeader  = "X-Wisteriaweir-Instance-Id"
)

// openTimeout is the time after which an attempt to open a flow ends.
const openTimeout = 1400 * time.Millisecond

// resetWindow is the distance from the client's last acknowledgement within which a reset of
// an open flow counts.
const resetWindow = 76800

// openResends are the times after the first opening packet at which copies are sent.
var openResends = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// outcome is how an attempt ended.
type outcome string

const (
	answered   outcome = "answered"
	rejected   outcome = "rejected by the server, not run"
	notOpened  outcome = "flow not opened"
	resetBySys outcome = "reset by the system"
	resetBySrv outcome = "reset by the server"
	gaveUp     outcome = "given up"
)

// client is a client with its own address.
type client struct {
	w    *world
	zone string
	addr netip.Addr
	conn *net.UDPConn

	mu       sync.Mutex
	flows    map[uint16]*clientFlow
	lastPort uint16
}

// clientFlow is the client's end of one flow.
type clientFlow struct {
	end
	c          *client
	initialSeq uint32
	firstSent  time.Time
	// sends is the number of times that the opening packet was sent.
	sends   int
	open    bool
	ended   outcome
	stream  []byte
	changed chan struct{}
}

// newClient opens the socket of a client.
func newClient(w *world, zone string, addr netip.Addr) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, packetPort)))
	if err != nil {
		return nil, err
	}
	c := &client{w: w, zone: zone, addr: addr, conn: conn, flows: map[uint16]*clientFlow{}, lastPort: 1024}
	go c.receive()
	go c.runTimers()
	return c, nil
}

func (c *client) close() {
	_ = c.conn.Close()
}

// receive handles packets until the socket is closed.
func (c *client) receive() {
	b := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		if f := c.flows[p.dst.Port()]; f != nil && f.remote == p.src {
			f.handle(time.Now(), p, from)
		}
		c.mu.Unlock()
	}
}

// handle processes one packet; from is the address that it came from.
func (f *clientFlow) handle(now time.Time, p packet, from netip.AddrPort) {
	defer f.signal()
	switch {
	case f.ended != "":
	case p.has(flagRst) && !p.genuine:
		if d := int32(p.seq - f.expected); f.open && (d > resetWindow || d < -resetWindow) {
			return
		}
		f.ended = resetBySys
		f.c.w.wasReset(f, now, from)
	case !p.genuine:
	case p.has(flagRst):
		f.ended = resetBySrv
	case p.has(flagSyn | flagAck):
		if !f.open && p.ack == f.initialSeq+1 {
			f.open, f.expected, f.echo = true, p.seq+1, p.echo
			f.acknowledge(f.c.send)
		}
	case f.open:
		if data, fresh := f.accept(now, p, f.c.send); fresh {
			f.stream = append(f.stream, data...)
		}
	}
}

func (f *clientFlow) signal() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// send sends a packet to the host that the router picks.
func (c *client) send(p packet) {
	if host, ok := c.w.router.pick(c.zone, p.src, p.dst); ok && !c.w.isLost() {
		_, _ = c.conn.WriteToUDPAddrPort(p.encode(), host)
	}
}

// runTimers sends packets again until the world is closed.
func (c *client) runTimers() {
	t := time.NewTicker(timerInterval)
	defer t.Stop()
	for {
		select {
		case <-c.w.closed:
			return
		case now := <-t.C:
			c.mu.Lock()
			for _, f := range c.flows {
				if f.open && f.ended == "" && !f.resend(now, c.send) {
					f.ended = gaveUp
					f.signal()
				}
				if !f.open && f.ended == "" && f.sends <= len(openResends) && now.Sub(f.firstSent) >= openResends[f.sends-1] {
					f.sendOpening()
				}
			}
			c.mu.Unlock()
		}
	}
}

// sendOpening sends the opening packet, or a copy of it.
func (f *clientFlow) sendOpening() {
	f.c.send(packet{flags: flagSyn, dst: f.remote, src: f.local, seq: f.initialSeq, ack: uint32(f.sends)})
	f.sends++
}

// dial opens a flow to the address of a route.
func (c *client) dial(remote netip.AddrPort) (*clientFlow, outcome) {
	now := time.Now()
	c.mu.Lock()
	c.lastPort++
	isn := rand.Uint32()
	f := &clientFlow{c: c, initialSeq: isn, firstSent: now, changed: make(chan struct{}, 1)}
	f.end = end{local: netip.AddrPortFrom(c.addr, c.lastPort), remote: remote, next: isn + 1}
	c.flows[c.lastPort] = f
	f.sendOpening()
	c.mu.Unlock()
	for f.await(now.Add(openTimeout)) {
		c.mu.Lock()
		open, ended := f.open, f.ended
		c.mu.Unlock()
		switch {
		case ended != "":
			f.forget()
			return nil, ended
		case open:
			return f, ""
		}
	}
	f.forget()
	return nil, notOpened
}

// await waits for a change of the flow. It returns false at the deadline.
func (f *clientFlow) await(deadline time.Time) bool {
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-f.changed:
		return true
	case <-t.C:
		return false
	case <-f.c.w.closed:
		return false
	}
}

// do sends one request on an open flow and waits for the whole response. It returns the
// outcome and the ID of the server that answered.
func (f *clientFlow) do(method, path string, body int, id string, timeout time.Duration) (outcome, string) {
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, f.remote, requestIDHeader, id, body, strings.Repeat("y", body))
	deadline := time.Now().Add(timeout)
	f.c.mu.Lock()
	if f.ended == "" {
		f.write(time.Now(), []byte(request), false, f.c.send)
	}
	f.c.mu.Unlock()
	for {
		f.c.mu.Lock()
		ended := f.ended
		head, ok := f.popResponse()
		f.c.mu.Unlock()
		switch {
		case ok && headerOf(head, notRunHeader) != "":
			return rejected, headerOf(head, instanceHeader)
		case ok:
			return answered, headerOf(head, instanceHeader)
		case ended != "":
			return ended, ""
		case !f.await(deadline):
			return gaveUp, ""
		}
	}
}

// popResponse removes a complete response from the stream and returns its head.
func (f *clientFlow) popResponse() (string, bool) {
	headEnd := bytes.Index(f.stream, []byte("\r\n\r\n"))
	if headEnd < 0 {
		return "", false
	}
	head := string(f.stream[:headEnd])
	size := headEnd + 4 + contentLength(head)
	if len(f.stream) < size {
		return "", false
	}
	f.stream = f.stream[size:]
	if f.unansweredPackets > 0 {
		f.acknowledge(f.c.send)
	}
	return head, true
}

// usable reports whether the flow can carry another request.
func (f *clientFlow) usable() bool {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	return f.open && f.ended == "" && !f.finReceived
}

// finish ends the flow.
func (f *clientFlow) finish() {
	f.c.mu.Lock()
	if f.open && f.ended == "" && !f.finSent {
		f.write(time.Now(), nil, true, f.c.send)
	}
	f.c.mu.Unlock()
	time.AfterFunc(time.Second, f.forget)
}

// forget removes the flow.
func (f *clientFlow) forget() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.local.Port())
}
