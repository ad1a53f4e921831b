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

// Headers of requests and answers, as the users' pages name them.
const (
	headerRequest = "X-Wisteriaweir-Request-Id"
	headerNotRun  = "X-Wisteriaweir-Not-Executed"
	headerTarget  = "X-Wisteriaweir-Instance-Id"
)

const (
	// targetBeat is the time between two writes of a target's entry.
	targetBeat = 400 * time.Millisecond
	// targetTick is the time between two looks for segments to send again.
	targetTick = 20 * time.Millisecond
	// targetQueue is the number of requests that may wait for a slot.
	targetQueue = 8
)

// FlowTargetConfig says what a FlowTarget is.
type FlowTargetConfig struct {
	// ID is its name in the store; its hex digits are its number.
	ID      string
	Number  uint64
	Service string
	Domain  string
	// Address is the address that its entry names. Listen, if it is set, is where it
	// listens instead, behind a proxy.
	Address netip.AddrPort
	Listen  netip.AddrPort
	// CallerPort is the port on which callers listen.
	CallerPort uint16
	Slots      int
	// MeanServiceTime is the mean time of a request.
	MeanServiceTime time.Duration
	Store           *platform.Store
	Seed            uint64
}

// FlowTarget is a stand-in for a server that speaks the platform's packets.
type FlowTarget struct {
	cfg  FlowTargetConfig
	conn *net.UDPConn

	mu       sync.Mutex
	rnd      *rand.Rand
	flows    map[netip.AddrPort]*targetFlow
	draining bool
	running  int
	waiting  []func()
	stats    FlowTargetStats
}

// FlowTargetStats is what a target has seen.
type FlowTargetStats struct {
	// Runs counts, for each request, how often it ran.
	Runs map[string]int
	// Opened is when a flow was last opened, Accepted when an opening packet was
	// last answered.
	Opened, Accepted time.Time
	// Misdirected counts packets for another target, Forged those that no end wrote,
	// Unknown those of flows that the target does not hold.
	Misdirected, Forged, Unknown int
}

// targetFlow is a flow with its end here.
type targetFlow struct {
	end  flowEnd
	open bool
	last time.Time
}

// NewFlowTarget opens the socket of a target.
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
		rnd:   rand.New(rand.NewPCG(cfg.Seed, 0)),
		flows: map[netip.AddrPort]*targetFlow{},
		stats: FlowTargetStats{Runs: map[string]int{}},
	}, nil
}

// Run serves until ctx ends, without a word to anybody then: what a crash looks
// like.
func (t *FlowTarget) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { t.beat(ctx) })
	wg.Go(func() { t.tick(ctx) })
	wg.Go(t.read)
	<-ctx.Done()
	_ = t.conn.Close()
	wg.Wait()
}

// Drain makes the target announce that it leaves.
func (t *FlowTarget) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// ID returns the name of the target.
func (t *FlowTarget) ID() string { return t.cfg.ID }

// Service returns the service of the target.
func (t *FlowTarget) Service() string { return t.cfg.Service }

// Domain returns the failure domain of the target.
func (t *FlowTarget) Domain() string { return t.cfg.Domain }

// Address returns the address that the target's entry names.
func (t *FlowTarget) Address() netip.AddrPort { return t.cfg.Address }

// Stats returns what the target has seen.
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

// beat keeps the target's entry in the store.
func (t *FlowTarget) beat(ctx context.Context) {
	born := time.Now().UnixMilli()
	for n := 0; ; n++ {
		t.mu.Lock()
		state := "ready"
		if t.draining {
			state = "draining"
		}
		t.mu.Unlock()
		_ = t.cfg.Store.Set(ctx, platform.KindTargets, t.cfg.ID, map[string]any{
			"service": t.cfg.Service, "address": t.cfg.Address.String(), "zone": t.cfg.Domain, "version": "v1",
			"slots": t.cfg.Slots, "state": state, "warmup_left_ms": 0, "sequence": n, "born": born,
		})
		if platform.Sleep(ctx, targetBeat) != nil {
			return
		}
	}
}

func (t *FlowTarget) tick(ctx context.Context) {
	for platform.Sleep(ctx, targetTick) == nil {
		now := time.Now()
		t.mu.Lock()
		for caller, f := range t.flows {
			if !f.end.tick(now) || now.Sub(f.last) > 30*time.Second {
				delete(t.flows, caller)
			}
		}
		t.mu.Unlock()
	}
}

func (t *FlowTarget) read() {
	b := make([]byte, maxDatagram)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		t.mu.Lock()
		t.handle(time.Now(), b[:n])
		t.mu.Unlock()
	}
}

// handle takes in one datagram. The caller holds mu.
func (t *FlowTarget) handle(now time.Time, b []byte) {
	if len(b) < targetPrefix {
		return
	}
	if number := binary.BigEndian.Uint64(b); number != 0 && number != t.cfg.Number {
		t.stats.Misdirected++
		return
	}
	s, ok := decodeSegment(b[targetPrefix:])
	if !ok || !s.genuine || s.has(segSyn|segAck) {
		t.stats.Forged++
		return
	}
	f := t.flows[s.from]
	switch {
	case s.has(segSyn):
		t.accept(now, f, s)
	case f == nil:
		t.stats.Unknown++
		if !s.has(segRst) && (len(s.data) > 0 || !s.has(segFin)) {
			t.out(segment{flags: segRst, to: s.from, from: s.to, seq: s.ack, echo: s.echo})
		}
	case s.has(segRst):
		delete(t.flows, s.from)
	default:
		t.take(now, f, s)
	}
}

// accept answers an opening packet.
func (t *FlowTarget) accept(now time.Time, f *targetFlow, s segment) {
	if f == nil || f.end.got != s.seq+1 {
		f = &targetFlow{end: flowEnd{
			local: s.to, remote: s.from, next: t.rnd.Uint32(), got: s.seq + 1, early: map[uint32]segment{}, out: t.out,
		}}
		t.flows[s.from] = f
	}
	f.last = now
	t.stats.Accepted = now
	f.end.echo = s.echo
	t.out(segment{echo: s.echo, flags: segSyn | segAck, to: s.from, from: s.to, seq: f.end.next - 1, ack: f.end.got})
}

// take takes in a packet of a flow.
func (t *FlowTarget) take(now time.Time, f *targetFlow, s segment) {
	f.last = now
	if !f.open && s.ack != f.end.next {
		return // Opened at another target.
	}
	if !f.open {
		f.open = true
		t.stats.Opened = now
	}
	if f.end.receive(now, s) {
		t.serve(now, f)
	}
	if f.end.closed {
		f.end.write(now, nil, true)
	}
}

// serve runs the request that the stream holds, if it is whole.
func (t *FlowTarget) serve(now time.Time, f *targetFlow) {
	r, size, ok := wholeRequest(f.end.stream)
	if !ok {
		return
	}
	f.end.stream = f.end.stream[size:]
	id := r.Header.Get(headerRequest)
	if t.running >= t.cfg.Slots && len(t.waiting) >= targetQueue {
		t.answer(now, f, http.StatusServiceUnavailable, id)
		return
	}
	t.waiting = append(t.waiting, func() { t.run(f, id) })
	t.next()
}

// next runs the requests that there are slots for.
func (t *FlowTarget) next() {
	for t.running < t.cfg.Slots && len(t.waiting) > 0 {
		run := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.running++
		run()
	}
}

func (t *FlowTarget) run(f *targetFlow, id string) {
	t.stats.Runs[id]++
	work := time.Duration(t.rnd.ExpFloat64() * float64(t.cfg.MeanServiceTime))
	time.AfterFunc(min(work, 4*t.cfg.MeanServiceTime), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.running--
		t.answer(time.Now(), f, http.StatusOK, id)
		t.next()
	})
}

// answer writes an answer, and ends the flow of a target that leaves.
func (t *FlowTarget) answer(now time.Time, f *targetFlow, status int, id string) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n", status, http.StatusText(status), headerRequest, id, headerTarget, t.cfg.ID)
	if status != http.StatusOK {
		fmt.Fprintf(&b, "%s: 1\r\nRetry-After: 1\r\n", headerNotRun)
	}
	body := t.cfg.Service
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	f.end.write(now, b.Bytes(), t.draining)
}

// wholeRequest returns the first request of a stream and its size, if it is
// whole.
func wholeRequest(stream []byte) (*http.Request, int, bool) {
	end := bytes.Index(stream, []byte("\r\n\r\n"))
	if end < 0 {
		return nil, 0, false
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(stream)))
	if err != nil {
		return nil, 0, false
	}
	size := end + 4 + int(max(r.ContentLength, 0))
	if len(stream) < size {
		return nil, 0, false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r, size, true
}

// out sends a segment to its caller.
func (t *FlowTarget) out(s segment) {
	to := netip.AddrPortFrom(s.to.Addr(), t.cfg.CallerPort)
	_, _ = t.conn.WriteToUDPAddrPort(s.encode(0), to)
}

// TargetName returns the name and the number of the n-th target of a run.
func TargetName(n int) (string, uint64) {
	id := 0xab00000000 + uint64(n)
	return "i-" + strconv.FormatUint(id, 16), id
}
