package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// openingTimeout is the time after which an attempt ends if nothing has accepted the flow.
	openingTimeout = 1400 * time.Millisecond
	// deadline is the time after which a caller gives up a request.
	deadline = 1200 * time.Millisecond
	// firstRetransmit is the time after which data without an acknowledgement is sent again.
	firstRetransmit = 200 * time.Millisecond
	// firstCallerPort is the port of the first flow of a caller.
	firstCallerPort = 20000
)

// openingRetransmits are the times, since the first one, of the copies of an opening packet.
var openingRetransmits = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// caller opens one flow for each request.
type caller struct {
	w     *worldConfig
	ip    netip.Addr
	conn  *net.UDPConn
	hosts []netip.AddrPort
	log   *eventLog

	mu       sync.Mutex
	nextPort uint16
	// received carries the packets of each open flow by the caller's port.
	received map[uint16]chan wirePacket
}

// newCaller opens the socket of a caller in a failure domain.
func newCaller(w *worldConfig, ip netip.Addr, domain string, log *eventLog) (*caller, error) {
	c := &caller{w: w, ip: ip, log: log, nextPort: firstCallerPort, received: map[uint16]chan wirePacket{}}
	for _, h := range w.hosts {
		if h.domain == domain {
			c.hosts = append(c.hosts, h.packets)
		}
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, w.hosts[0].packets.Port())))
	c.conn = conn
	return c, err
}

// run opens flows at the given rate until ctx ends, and waits for the last ones.
func (c *caller) run(ctx context.Context, perSecond float64) {
	var wg sync.WaitGroup
	for sleep(ctx, time.Duration(rand.ExpFloat64()/perSecond*float64(time.Second))) {
		port, packets := c.open()
		wg.Go(func() {
			defer c.close(port)
			c.request(port, packets)
		})
	}
	wg.Wait()
}

// open reserves a port for a flow.
func (c *caller) open() (uint16, chan wirePacket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextPort++
	packets := make(chan wirePacket, 8)
	c.received[c.nextPort] = packets
	return c.nextPort, packets
}

// close forgets a flow.
func (c *caller) close(port uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.received, port)
}

// receive passes packets to their flows until the socket is closed.
func (c *caller) receive() {
	b := make([]byte, maxDatagram+1)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		packets := c.received[p.dst.Port()]
		c.mu.Unlock()
		select {
		case packets <- p:
		default:
		}
	}
}

// request opens a flow, sends one request on it and waits for the response.
func (c *caller) request(port uint16, packets <-chan wirePacket) {
	local := netip.AddrPortFrom(c.ip, port)
	seq := rand.Uint32()
	start := time.Now()
	c.log.addSent(local, start)
	accepted, ok := c.handshake(local, seq, packets)
	if !ok {
		c.log.addResult(false)
		return
	}
	p := wirePacket{
		flags: flagAck, echo: accepted.echo, src: local, dst: c.w.routeAddr(), seq: seq + 1, ack: accepted.seq + 1,
		data: fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: %v\r\nX-Wisteriaweir-Request-Id: %08x%08x\r\nContent-Length: 0\r\n\r\n", c.w.routeAddr(), seq, port),
	}
	response, ok := c.exchange(p, packets, start.Add(deadline))
	if ok {
		c.transmit(wirePacket{
			flags: flagAck | flagFin, echo: response.echo, src: local, dst: p.dst, seq: p.seq + uint32(len(p.data)), ack: response.seq + uint32(len(response.data)),
		})
	}
	c.log.addResult(ok)
}

// handshake sends the opening packet and its copies, and returns the packet that accepts the
// flow, and false if a reset or nothing comes.
func (c *caller) handshake(local netip.AddrPort, seq uint32, packets <-chan wirePacket) (wirePacket, bool) {
	end := time.After(openingTimeout)
	opening := wirePacket{flags: flagSyn, src: local, dst: c.w.routeAddr(), seq: seq}
	c.transmit(opening)
	last := time.Duration(0)
	for copies := 0; ; {
		var next <-chan time.Time
		if copies < len(openingRetransmits) {
			next = time.After(openingRetransmits[copies] - last)
		}
		select {
		case p := <-packets:
			if p.has(flagRst) {
				return wirePacket{}, false
			}
			if p.has(flagSyn|flagAck) && p.ack == seq+1 {
				return p, true
			}
		case <-next:
			last = openingRetransmits[copies]
			copies++
			opening.ack = uint32(copies)
			c.transmit(opening)
		case <-end:
			return wirePacket{}, false
		}
	}
}

// exchange sends data until the first data of the response comes, and returns it.
func (c *caller) exchange(p wirePacket, packets <-chan wirePacket, until time.Time) (wirePacket, bool) {
	end := time.After(time.Until(until))
	for wait := firstRetransmit; ; wait *= 2 {
		c.transmit(p)
		again := time.After(wait)
		for waiting := true; waiting; {
			select {
			case r := <-packets:
				if r.has(flagRst) {
					return wirePacket{}, false
				}
				if len(r.data) > 0 && r.seq == p.ack {
					return r, true
				}
			case <-again:
				waiting = false
			case <-end:
				return wirePacket{}, false
			}
		}
	}
}

// transmit sends a packet to the host that the routers choose by a hash of the flow.
func (c *caller) transmit(p wirePacket) {
	h := fnv.New32a()
	fmt.Fprint(h, p.src, p.dst)
	host := c.hosts[int(h.Sum32()%uint32(len(c.hosts)))]
	if _, err := c.conn.WriteToUDPAddrPort(p.encode(), host); err != nil {
		return
	}
}
