package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// serverQueue is the number of requests that a server queues beyond its slots.
	serverQueue = 8
	// coldTime is the time after its start for which a server is slow, and coldFactor how
	// much longer its work then takes, as in the site files (cold_s and cold_x).
	coldTime   = 2 * time.Second
	coldFactor = 1.6
	// firstRTO is the time until a packet is sent again for the first time. It doubles up to
	// maxRTO, and an end gives up after maxResends.
	firstRTO   = 200 * time.Millisecond
	maxRTO     = 1600 * time.Millisecond
	maxResends = 8
	// timerInterval is the time between two checks of an end's timers.
	timerInterval = 5 * time.Millisecond
)

// serverConfig configures a server.
type serverConfig struct {
	world   *world
	number  uint64
	service string
	zone    string
	addr    netip.AddrPort
	slots   int
	// work returns the work time of a request on a warm server, by the path of the request.
	work func(path string) time.Duration
	// heartbeat is the time between two writes of the server's entry.
	heartbeat time.Duration
}

// server is a stand-in of a server of the users.
type server struct {
	cfg  serverConfig
	id   string
	conn *net.UDPConn
	born time.Time
	stop context.CancelFunc

	mu       sync.Mutex
	flows    map[netip.AddrPort]*serverFlow
	draining bool
	// drainedAt is when the store acknowledged that the server is draining, zero before.
	drainedAt time.Time
	exited    bool
	busy      int
	queue     []func()
	sequence  int
}

// serverFlow is the server's end of one flow.
type serverFlow struct {
	end
	open     bool
	openedAt time.Time
	stream   []byte
}

// end is what both ends of a flow have in common: the packets in flight and those received.
type end struct {
	local, remote netip.AddrPort
	echo          uint32
	next          uint32
	expected      uint32
	unacked       []packet
	resendAt      time.Time
	rto           time.Duration
	resends       int
	// unansweredPackets is the number of packets with data since the last acknowledgement.
	unansweredPackets int
	finReceived       bool
	finSent           bool
}

// newServer starts a server, which registers itself in the store.
func newServer(cfg serverConfig) (*server, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.addr))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &server{cfg: cfg, id: idOf(cfg.number), conn: conn, born: time.Now(), stop: stop, flows: map[netip.AddrPort]*serverFlow{}}
	s.register()
	go s.receive()
	go s.runTimers(ctx)
	return s, nil
}

// idOf returns the ID of a server: its hexadecimal digits are the number.
func idOf(number uint64) string {
	return "i-" + strconv.FormatUint(number, 16)
}

// spec returns the server's entry.
func (s *server) spec() map[string]any {
	state := "ready"
	if s.draining {
		state = "draining"
	}
	coldLeft := max(coldTime-time.Since(s.born), 0)
	return map[string]any{
		"service": s.cfg.service, "address": s.cfg.addr.String(), "zone": s.cfg.zone, "version": "v1", "slots": s.cfg.slots,
		"state": state, "warmup_left_ms": coldLeft.Milliseconds(),
		"sequence": s.sequence, "born": s.born.UnixMilli(),
	}
}

// register writes the server's entry, and returns when the store has acknowledged it.
func (s *server) register() time.Time {
	s.mu.Lock()
	if s.exited {
		s.mu.Unlock()
		return time.Now()
	}
	s.sequence++
	spec := s.spec()
	s.mu.Unlock()
	return s.cfg.world.store.put(kindServers, s.id, spec)
}

// drain reports that the server is draining. From then on, it closes each flow after its next
// response, and still accepts new ones.
func (s *server) drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	at := s.register()
	s.mu.Lock()
	s.drainedAt = at
	s.mu.Unlock()
	s.cfg.world.record("server %s (%s): draining, acknowledged by the store", s.id, s.cfg.service)
}

// exit ends the server and removes its entry.
func (s *server) exit() {
	s.mu.Lock()
	s.exited = true
	s.mu.Unlock()
	s.stop()
	_ = s.conn.Close()
	s.cfg.world.store.delete(kindServers, s.id)
	s.cfg.world.record("server %s (%s): left", s.id, s.cfg.service)
}

// holds reports whether the server lives and has the flow of a client open.
func (s *server) holds(client, service netip.AddrPort) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[client]
	if s.exited || f == nil || !f.open || f.local != service || f.finSent || f.finReceived {
		return time.Time{}, false
	}
	return f.openedAt, true
}

// receive handles datagrams until the socket is closed.
func (s *server) receive() {
	b := make([]byte, 2048)
	for {
		n, host, err := s.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < prefixSize || s.cfg.world.isLost() {
			continue
		}
		if number := binary.BigEndian.Uint64(b); number != 0 && number != s.cfg.number {
			continue // It is for another server.
		}
		if p, ok := decode(b[prefixSize:n]); ok && p.genuine && !p.has(flagSyn|flagAck) {
			s.mu.Lock()
			s.handle(time.Now(), p, host)
			s.mu.Unlock()
		}
	}
}

// handle processes one packet of a client, which a host has sent on.
func (s *server) handle(now time.Time, p packet, host netip.AddrPort) {
	f := s.flows[p.src]
	switch {
	case p.has(flagSyn):
		if f == nil || f.expected != p.seq+1 || f.local != p.dst {
			f = &serverFlow{end: end{local: p.dst, remote: p.src, next: rand.Uint32(), expected: p.seq + 1}}
			s.flows[p.src] = f
		}
		f.echo = p.echo
		if !f.open {
			s.send(packet{echo: f.echo, flags: flagSyn | flagAck, dst: p.src, src: p.dst, seq: f.next - 1, ack: f.expected})
		}
	case f == nil || f.local != p.dst:
		s.handleUnknown(p)
	case p.has(flagRst):
		delete(s.flows, p.src)
	default:
		s.handleFlow(now, f, p, host)
	}
}

// handleUnknown answers a packet of a flow that the server does not hold.
func (s *server) handleUnknown(p packet) {
	switch {
	case p.has(flagRst):
	case p.has(flagFin) && len(p.data) == 0:
		s.send(packet{echo: p.echo, flags: flagAck, dst: p.src, src: p.dst, seq: p.ack, ack: p.endSeq()})
	default:
		s.send(packet{echo: p.echo, flags: flagRst, dst: p.src, src: p.dst, seq: p.ack})
	}
}

func (s *server) handleFlow(now time.Time, f *serverFlow, p packet, host netip.AddrPort) {
	if !f.open && p.ack != f.next {
		return // It acknowledges another server.
	}
	if !f.open {
		f.open, f.openedAt = true, now
		s.cfg.world.opened(s, now, host)
	}
	if data, fresh := f.accept(now, p, s.send); fresh {
		f.stream = append(f.stream, data...)
		s.takeRequest(f)
	}
	if f.finReceived && !f.finSent {
		f.write(now, nil, true, s.send)
	}
	if f.finReceived && f.finSent && len(f.unacked) == 0 {
		delete(s.flows, f.remote)
	}
}

// accept processes a packet at an end of a flow. It returns the data that is next in the
// stream. An end acknowledges every second packet, and at once those that it already has.
func (e *end) accept(now time.Time, p packet, send func(packet)) ([]byte, bool) {
	e.echo = p.echo
	for len(e.unacked) > 0 && !isAfter(e.unacked[0].endSeq(), p.ack) {
		e.unacked = e.unacked[1:]
		e.rto, e.resends, e.resendAt = firstRTO, 0, now.Add(firstRTO)
	}
	if len(p.data) == 0 && !p.has(flagFin) {
		return nil, false
	}
	if p.seq != e.expected {
		e.acknowledge(send)
		return nil, false
	}
	e.expected = p.endSeq()
	e.finReceived = e.finReceived || p.has(flagFin)
	e.unansweredPackets++
	if e.unansweredPackets >= 2 || p.has(flagFin) {
		e.acknowledge(send)
	}
	return p.data, true
}

// acknowledge sends an acknowledgement without data.
func (e *end) acknowledge(send func(packet)) {
	e.unansweredPackets = 0
	send(packet{echo: e.echo, flags: flagAck, dst: e.remote, src: e.local, seq: e.next, ack: e.expected})
}

// write sends data, and ends the stream if fin is set.
func (e *end) write(now time.Time, data []byte, fin bool, send func(packet)) {
	for first := true; first || len(data) > 0; first = false {
		n := min(len(data), maxData)
		p := packet{flags: flagAck, dst: e.remote, src: e.local, seq: e.next, data: data[:n]}
		data = data[n:]
		if fin && len(data) == 0 {
			p.flags |= flagFin
			e.finSent = true
		}
		if p.endSeq() == p.seq {
			return
		}
		e.next = p.endSeq()
		if len(e.unacked) == 0 {
			e.rto, e.resends, e.resendAt = firstRTO, 0, now.Add(firstRTO)
		}
		e.unacked = append(e.unacked, p)
		p.echo, p.ack = e.echo, e.expected
		e.unansweredPackets = 0
		send(p)
	}
}

// resend sends the oldest packet in flight again if that is due. It returns false if the end
// gives up.
func (e *end) resend(now time.Time, send func(packet)) bool {
	if len(e.unacked) == 0 || now.Before(e.resendAt) {
		return true
	}
	if e.resends == maxResends {
		return false
	}
	e.resends++
	e.rto = min(2*e.rto, maxRTO)
	e.resendAt = now.Add(e.rto)
	p := e.unacked[0]
	p.echo, p.ack = e.echo, e.expected
	send(p)
	return true
}

// takeRequest queues the request at the start of the stream, if it is complete. A server
// whose queue is full rejects it.
func (s *server) takeRequest(f *serverFlow) {
	headEnd := bytes.Index(f.stream, []byte("\r\n\r\n"))
	if headEnd < 0 {
		return
	}
	head := string(f.stream[:headEnd])
	size := headEnd + 4 + contentLength(head)
	if len(f.stream) < size {
		return
	}
	f.stream = f.stream[size:]
	path, id := strings.Fields(head)[1], headerOf(head, requestIDHeader)
	if s.busy >= s.cfg.slots && len(s.queue) >= serverQueue {
		s.answer(f, "503 Service Unavailable", id, path)
		return
	}
	s.queue = append(s.queue, func() { s.runRequest(f, path, id) })
	s.startQueued()
}

func (s *server) startQueued() {
	for s.busy < s.cfg.slots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.busy++
		next()
	}
}

// runRequest works on a request and answers it.
func (s *server) runRequest(f *serverFlow, path, id string) {
	s.cfg.world.ran(s, path, id)
	work := s.cfg.work(path)
	if time.Since(s.born) < coldTime {
		work = time.Duration(coldFactor * float64(work))
	}
	time.AfterFunc(work, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.busy--
		if !s.exited {
			s.answer(f, "200 OK", id, path)
		}
		s.startQueued()
	})
}

// answer sends a response, and ends the flow if the server is draining.
func (s *server) answer(f *serverFlow, status, id, path string) {
	if s.flows[f.remote] != f || f.finSent {
		return
	}
	body := strings.Repeat("x", s.cfg.world.responseSize)
	extra := ""
	if status != "200 OK" {
		body, extra = "", notRunHeader+": 1\r\n"
	}
	head := fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: %s\r\nX-Path: %s\r\n%sContent-Length: %d\r\n\r\n", status, requestIDHeader, id, instanceHeader, s.id, path, extra, len(body))
	f.write(time.Now(), []byte(head+body), s.draining, s.send)
}

// send sends a packet straight to its client.
func (s *server) send(p packet) {
	if !s.cfg.world.isLost() {
		_, _ = s.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.dst.Addr(), packetPort))
	}
}

// runTimers sends packets again and writes the entry, until ctx ends.
func (s *server) runTimers(ctx context.Context) {
	t := time.NewTicker(timerInterval)
	defer t.Stop()
	beat := time.NewTicker(s.cfg.heartbeat)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
			s.register()
		case now := <-t.C:
			s.mu.Lock()
			for client, f := range s.flows {
				if !f.resend(now, s.send) {
					delete(s.flows, client)
				}
			}
			s.mu.Unlock()
		}
	}
}

// contentLength returns the value of the header Content-Length, 0 if there is none.
func contentLength(head string) int {
	n, err := strconv.Atoi(headerOf(head, "Content-Length"))
	if err != nil {
		return 0
	}
	return n
}

// headerOf returns the value of a header field.
func headerOf(head, name string) string {
	for _, line := range strings.Split(head, "\r\n") {
		if k, v, ok := strings.Cut(line, ":"); ok && strings.EqualFold(k, name) {
			return strings.TrimSpace(v)
		}
	}
	return ""
}
