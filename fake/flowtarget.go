package fake

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"wisteriaweir/platform"
)

// HTTP headers of requests and responses, as the user documentation names them.
const (
	// requestIDHeader contains the ID of a request; the response repeats it.
	requestIDHeader = "X-Wisteriaweir-Request-Id"
	// notRunHeader marks the response to a request that was not run.
	notRunHeader = "X-Wisteriaweir-Not-Executed"
	// targetIDHeader contains the ID of the target that responded.
	targetIDHeader = "X-Wisteriaweir-Instance-Id"
)

const (
	// targetHeartbeatInterval is the time between two writes of a target's entry.
	targetHeartbeatInterval = 400 * time.Millisecond
	// targetPollInterval is the time between two checks for overdue segments and idle
	// flows.
	targetPollInterval = 20 * time.Millisecond
	// maxQueuedRequests is the maximum number of requests that wait for a slot.
	maxQueuedRequests = 8
)

// FlowTargetConfig configures a FlowTarget.
type FlowTargetConfig struct {
	// ID is the target's name in the store: "i-" and Number in hexadecimal.
	ID string
	// Number identifies the target in the prefix of the datagrams that hosts send.
	Number uint64
	// Service is the name of the target's service.
	Service string
	// Domain is the target's failure domain.
	Domain string
	// Address is the address in the target's entry in the store.
	Address netip.AddrPort
	// Listen is the address on which the target listens if it is behind a proxy. The
	// zero value means Address.
	Listen netip.AddrPort
	// CallerPort is the port on which callers listen.
	CallerPort uint16
	// Slots is the maximum number of requests that run at the same time.
	Slots int
	// MeanServiceTime is the mean of the exponentially distributed service time of a
	// request, which is at most four times the mean.
	MeanServiceTime time.Duration
	// Store receives the target's entry.
	Store *platform.Store
	// Seed seeds the service times and sequence numbers.
	Seed uint64
}

// FlowTarget is a fake server that speaks the platform's packet protocol.
type FlowTarget struct {
	cfg  FlowTargetConfig
	conn *net.UDPConn

	mu       sync.Mutex
	rng      *rand.Rand
	flows    map[netip.AddrPort]*targetPacketFlow
	draining bool
	// busySlots is the number of slots in use.
	busySlots int
	// queued holds, for each request that waits for a slot, the function that runs it.
	queued []func()
	stats  FlowTargetStats
}

// FlowTargetStats counts the requests and packets of a FlowTarget.
type FlowTargetStats struct {
	// Runs counts, by request ID, how often the target started to run the request.
	Runs map[string]int
	// LastOpenedAt is when the last flow was opened. LastAcceptedAt is when the target
	// last responded to an opening packet.
	LastOpenedAt, LastAcceptedAt time.Time
	// Accepted counts the responses to opening packets.
	Accepted int
	// Misdirected counts packets for another target. Forged counts packets that are
	// malformed or have an invalid checksum, so that no caller wrote them, and
	// acknowledgements of an opening packet, which only targets send. Unknown counts
	// packets of flows that the target does not have.
	Misdirected, Forged, Unknown int
}

// targetPacketFlow is one flow of a FlowTarget.
type targetPacketFlow struct {
	endpoint endpoint
	// open reports whether the caller has acknowledged the target's acceptance.
	open bool
	// lastReceivedAt is when the last packet of the flow arrived.
	lastReceivedAt time.Time
}

// NewFlowTarget opens the socket of a target, which handles no datagrams before Run
// is called.
func NewFlowTarget(cfg FlowTargetConfig) (*FlowTarget, error) {
	if !cfg.Listen.IsValid() {
		cfg.Listen = cfg.Address
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, err
	}
	return &FlowTarget{
		cfg:   cfg,
		conn:  conn,
		rng:   rand.New(rand.NewPCG(cfg.Seed, 0)),
		flows: map[netip.AddrPort]*targetPacketFlow{},
		stats: FlowTargetStats{Runs: map[string]int{}},
	}, nil
}

// Run serves until ctx ends. It then stops without notice, as after a crash: its
// flows are not closed and its entry stays in the store.
func (t *FlowTarget) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { t.runHeartbeat(ctx) })
	wg.Go(func() { t.runRetransmissions(ctx) })
	wg.Go(t.receiveDatagrams)
	<-ctx.Done()
	_ = t.conn.Close()
	wg.Wait()
}

// Drain makes the target draining: its entry has the state draining from the next
// heartbeat on, and it ends each flow after the next response.
func (t *FlowTarget) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// ID returns the name of the target in the store.
func (t *FlowTarget) ID() string { return t.cfg.ID }

// Service returns the service of the target.
func (t *FlowTarget) Service() string { return t.cfg.Service }

// Domain returns the failure domain of the target.
func (t *FlowTarget) Domain() string { return t.cfg.Domain }

// Address returns the address in the target's entry.
func (t *FlowTarget) Address() netip.AddrPort { return t.cfg.Address }

// Stats returns a copy of the target's counts.
func (t *FlowTarget) Stats() FlowTargetStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Runs = make(map[string]int, len(t.stats.Runs))
	for id, n := range t.stats.Runs {
		s.Runs[id] = n
	}
	return s
}

// runHeartbeat writes the target's entry to the store periodically until ctx ends.
func (t *FlowTarget) runHeartbeat(ctx context.Context) {
	startedAt := time.Now().UnixMilli()
	for sequence := 0; ; sequence++ {
		t.mu.Lock()
		state := "ready"
		if t.draining {
			state = "draining"
		}
		t.mu.Unlock()
		_ = t.cfg.Store.CreateOrReplace(ctx, platform.KindTargets, t.cfg.ID, map[string]any{
			"service": t.cfg.Service, "address": t.cfg.Address.String(), "zone": t.cfg.Domain, "version": "v1",
			"slots": t.cfg.Slots, "state": state, "warmup_left_ms": 0, "sequence": sequence, "born": startedAt,
		})
		if platform.Sleep(ctx, targetHeartbeatInterval) != nil {
			return
		}
	}
}

// runRetransmissions retransmits overdue segments until ctx ends, and removes flows
// that have no retransmissions left or have been idle for more than 30 s.
func (t *FlowTarget) runRetransmissions(ctx context.Context) {
	for platform.Sleep(ctx, targetPollInterval) == nil {
		now := time.Now()
		t.mu.Lock()
		for caller, f := range t.flows {
			if !f.endpoint.retransmitOverdue(now) || now.Sub(f.lastReceivedAt) > 30*time.Second {
				delete(t.flows, caller)
			}
		}
		t.mu.Unlock()
	}
}

// receiveDatagrams receives datagrams until the socket is closed.
func (t *FlowTarget) receiveDatagrams() {
	b := make([]byte, readBufferBytes)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		t.mu.Lock()
		t.handleDatagram(time.Now(), b[:n])
		t.mu.Unlock()
	}
}

// handleDatagram processes one datagram: a prefix with the number of the target that
// it is for, or 0 for any target, and a packet. It responds to a packet of an unknown
// flow with a reset, unless the packet is a reset itself or has the flag segFin and no
// data. The caller holds mu.
func (t *FlowTarget) handleDatagram(now time.Time, b []byte) {
	if len(b) < targetPrefixSize {
		return
	}
	if number := binary.BigEndian.Uint64(b); number != 0 && number != t.cfg.Number {
		t.stats.Misdirected++
		return
	}
	s, ok := decodeSegment(b[targetPrefixSize:])
	if !ok || !s.checksumValid || s.has(segSyn|segAck) {
		t.stats.Forged++
		return
	}
	f := t.flows[s.from]
	switch {
	case s.has(segSyn):
		t.acceptFlow(now, f, s)
	case f == nil:
		t.stats.Unknown++
		if !s.has(segRst) && (len(s.data) > 0 || !s.has(segFin)) {
			t.transmit(segment{flags: segRst, to: s.from, from: s.to, seq: s.ack, stamp: s.stamp})
		}
	case s.has(segRst):
		delete(t.flows, s.from)
	default:
		t.handleSegment(now, f, s)
	}
}

// acceptFlow responds to an opening packet. It starts a new flow unless the packet is
// a retransmission of the one that opened f.
func (t *FlowTarget) acceptFlow(now time.Time, f *targetPacketFlow, s segment) {
	if f == nil || f.endpoint.expectedSeq != s.seq+1 {
		f = &targetPacketFlow{endpoint: endpoint{
			local: s.to, remote: s.from, nextSeq: t.rng.Uint32(), expectedSeq: s.seq + 1, outOfOrder: map[uint32]segment{}, transmit: t.transmit,
		}}
		t.flows[s.from] = f
	}
	f.lastReceivedAt = now
	t.stats.LastAcceptedAt = now
	t.stats.Accepted++
	f.endpoint.stamp = s.stamp
	t.transmit(segment{stamp: s.stamp, flags: segSyn | segAck, to: s.from, from: s.to, seq: f.endpoint.nextSeq - 1, ack: f.endpoint.expectedSeq})
}

// handleSegment processes a packet of a known flow.
func (t *FlowTarget) handleSegment(now time.Time, f *targetPacketFlow, s segment) {
	f.lastReceivedAt = now
	if !f.open && s.ack != f.endpoint.nextSeq {
		return // The packet acknowledges another target's acceptance.
	}
	if !f.open {
		f.open = true
		t.stats.LastOpenedAt = now
	}
	if f.endpoint.receive(now, s) {
		t.queueRequest(now, f)
	}
	if f.endpoint.remoteClosed {
		f.endpoint.write(now, nil, true)
	}
}

// queueRequest queues the request at the start of the stream if it is complete. If the
// queue is full it responds that the request was not run.
func (t *FlowTarget) queueRequest(now time.Time, f *targetPacketFlow) {
	r, size, ok := parseRequest(f.endpoint.stream)
	if !ok {
		return
	}
	f.endpoint.stream = f.endpoint.stream[size:]
	id := r.Header.Get(requestIDHeader)
	if t.busySlots >= t.cfg.Slots && len(t.queued) >= maxQueuedRequests {
		t.respond(now, f, http.StatusServiceUnavailable, id)
		return
	}
	t.queued = append(t.queued, func() { t.runRequest(f, id) })
	t.startQueued()
}

// startQueued starts queued requests while slots are free.
func (t *FlowTarget) startQueued() {
	for t.busySlots < t.cfg.Slots && len(t.queued) > 0 {
		run := t.queued[0]
		t.queued = t.queued[1:]
		t.busySlots++
		run()
	}
}

// runRequest runs a request: it waits for the service time and then responds. The
// caller holds mu.
func (t *FlowTarget) runRequest(f *targetPacketFlow, id string) {
	t.stats.Runs[id]++
	serviceTime := time.Duration(t.rng.ExpFloat64() * float64(t.cfg.MeanServiceTime))
	time.AfterFunc(min(serviceTime, 4*t.cfg.MeanServiceTime), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.busySlots--
		t.respond(time.Now(), f, http.StatusOK, id)
		t.startQueued()
	})
}

// respond sends a response, and ends the flow if the target is draining.
func (t *FlowTarget) respond(now time.Time, f *targetPacketFlow, status int, id string) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n", status, http.StatusText(status), requestIDHeader, id, targetIDHeader, t.cfg.ID)
	if status != http.StatusOK {
		fmt.Fprintf(&b, "%s: 1\r\nRetry-After: 1\r\n", notRunHeader)
	}
	body := t.cfg.Service
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	f.endpoint.write(now, b.Bytes(), t.draining)
}

// parseRequest returns the first request of a stream and its size in bytes, or false
// if the request is not complete or its header is malformed.
func parseRequest(stream []byte) (*http.Request, int, bool) {
	headerEnd := bytes.Index(stream, []byte("\r\n\r\n"))
	if headerEnd < 0 {
		return nil, 0, false
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(stream)))
	if err != nil {
		return nil, 0, false
	}
	size := headerEnd + 4 + int(max(r.ContentLength, 0))
	if len(stream) < size {
		return nil, 0, false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r, size, true
}

// transmit sends a segment straight to its caller.
func (t *FlowTarget) transmit(s segment) {
	to := netip.AddrPortFrom(s.to.Addr(), t.cfg.CallerPort)
	_, _ = t.conn.WriteToUDPAddrPort(s.encode(0), to)
}

// TargetName returns the ID and the number of the n-th target of a run.
func TargetName(n int) (string, uint64) {
	number := 0xab00000000 + uint64(n)
	return "i-" + strconv.FormatUint(number, 16), number
}
