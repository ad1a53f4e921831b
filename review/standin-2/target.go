package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// heartbeatInterval is the time between two writes of a target's entry.
	heartbeatInterval = 1200 * time.Millisecond
	// warmupTime is how long a target is cold after a start.
	warmupTime = 2 * time.Second
	// workTime is the time that a target needs for a request.
	workTime = 5 * time.Millisecond
)

// target is a target that may restart under its ID. A restarted one knows nothing of before.
type target struct {
	id         string
	number     uint64
	domain     string
	addr       netip.AddrPort
	callerPort uint16
	store      *store
	log        *eventLog
}

// incarnation is one process of a target.
type incarnation struct {
	t       *target
	conn    *net.UDPConn
	started time.Time
	cold    bool

	mu    sync.Mutex
	flows map[netip.AddrPort]*targetFlow
}

// targetFlow is a flow of an incarnation.
type targetFlow struct {
	seq, expected uint32
	responded     bool
}

// run runs one incarnation until ctx ends. It then ends like a process that crashes.
func (t *target) run(ctx context.Context, cold bool) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.addr))
	if err != nil {
		return err
	}
	p := &incarnation{t: t, conn: conn, started: time.Now(), cold: cold, flows: map[netip.AddrPort]*targetFlow{}}
	if cold {
		t.log.addStart(t.id, p.started)
	}
	var wg sync.WaitGroup
	wg.Go(p.receive)
	wg.Go(func() { p.sendHeartbeats(ctx) })
	<-ctx.Done()
	err = conn.Close()
	wg.Wait()
	return err
}

// sendHeartbeats writes the entry of the target until ctx ends.
func (p *incarnation) sendHeartbeats(ctx context.Context) {
	for sequence := 0; ctx.Err() == nil; sequence++ {
		left := time.Duration(0)
		if p.cold {
			left = max(warmupTime-time.Since(p.started), 0)
		}
		p.t.store.put(ctx, "servers", p.t.id, map[string]any{
			"service": serviceName, "address": p.t.addr.String(), "zone": p.t.domain, "version": "v1", "slots": 2, "state": "ready",
			"warmup_left_ms": left.Milliseconds(), "sequence": sequence, "born": p.started.UnixMilli(),
		})
		sleep(ctx, heartbeatInterval)
	}
}

// receive handles datagrams until the socket is closed.
func (p *incarnation) receive() {
	b := make([]byte, maxDatagram+1)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < prefixSize {
			continue
		}
		if number := binary.BigEndian.Uint64(b); number != 0 && number != p.t.number {
			continue
		}
		if s, ok := decode(b[prefixSize:n]); ok {
			p.mu.Lock()
			p.handle(s)
			p.mu.Unlock()
		}
	}
}

// handle handles one packet of a caller.
func (p *incarnation) handle(s wirePacket) {
	f := p.flows[s.src]
	switch {
	case s.has(flagSyn):
		if f == nil || f.expected != s.seq+1 {
			f = &targetFlow{seq: rand.Uint32(), expected: s.seq + 1}
			p.flows[s.src] = f
			p.t.log.addArrival(p.t.id, p.started, s.src, time.Now())
		}
		p.send(s, wirePacket{flags: flagSyn | flagAck, seq: f.seq, ack: f.expected})
	case f == nil:
		if !s.has(flagRst) && (len(s.data) > 0 || !s.has(flagFin)) {
			p.send(s, wirePacket{flags: flagRst, seq: s.ack})
		}
	case s.has(flagRst):
		delete(p.flows, s.src)
	default:
		p.handleOpen(s, f)
	}
}

// handleOpen handles a packet of a flow that the target holds. A request is one packet.
func (p *incarnation) handleOpen(s wirePacket, f *targetFlow) {
	switch {
	case s.has(flagFin):
		p.send(s, wirePacket{flags: flagFin | flagAck, seq: s.ack, ack: s.seq + 1})
		delete(p.flows, s.src)
	case len(s.data) > 0 && s.ack == f.seq+1 && !f.responded:
		f.responded = true
		time.AfterFunc(workTime, func() { p.respond(s, f) })
	case len(s.data) > 0 && s.ack == f.seq+1:
		p.respond(s, f)
	}
}

// respond sends the response to the request in s.
func (p *incarnation) respond(s wirePacket, f *targetFlow) {
	body := serviceName
	data := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Wisteriaweir-Instance-Id: %s\r\nContent-Length: %d\r\n\r\n%s", p.t.id, len(body), body)
	p.send(s, wirePacket{flags: flagAck, seq: f.seq + 1, ack: s.seq + uint32(len(s.data)), data: []byte(data)})
}

// send sends a packet to the caller of s. Packets of a closed socket are lost, as those of a
// process that has crashed.
func (p *incarnation) send(s, reply wirePacket) {
	reply.echo, reply.dst, reply.src = s.echo, s.src, s.dst
	to := netip.AddrPortFrom(s.src.Addr(), p.t.callerPort)
	if _, err := p.conn.WriteToUDPAddrPort(reply.encode(), to); err != nil {
		return
	}
}
