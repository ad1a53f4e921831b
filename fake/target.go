package fake

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"wisteriaweir/entry"
	"wisteriaweir/platform"
)

// Timing of a fake target.
const (
	tallyInterval   = 200 * time.Millisecond
	flowIdleTimeout = 60 * time.Second
	// responseTTL is how long an answer is given again. Source: RFC 7252,
	// section 4.8.2, EXCHANGE_LIFETIME.
	responseTTL = 247 * time.Second
	shedMaxAge  = time.Second
)

// TargetConfig says what a Target serves.
type TargetConfig struct {
	Service string
	Name    string
	Listen  netip.AddrPort
	// Status is the HTTP address of the target's state; the zero value means
	// none.
	Status netip.AddrPort
	// Slots is the number of requests that run at one time.
	Slots int
	// MeanServiceTime is the mean time that a request takes; each one's is exponential.
	MeanServiceTime time.Duration
	Seed            uint64
}

// Target stands in for a server: it runs requests in a few slots and holds
// feeds and uploads.
type Target struct {
	cfg  TargetConfig
	conn *net.UDPConn

	mu           sync.Mutex
	unresponsive bool
	rng          *rand.Rand
	state        TargetState
	busy         int
	running      map[attempt]context.CancelFunc
	// responses are given again to a repeated attempt, also one that was refused.
	responses map[attempt]cachedResponse
	flows     map[flowID]*datagramFlow
}

// attempt identifies a request in progress: who sent it, with which token.
type attempt struct {
	balancer netip.AddrPort
	token    string
}

// cachedResponse is the payload of an answer and when it was given; nil until then.
type cachedResponse struct {
	payload []byte
	at      time.Time
}

type flowID struct {
	caller  netip.AddrPort
	address netip.AddrPort
}

type datagramFlow struct {
	feed           bool
	seq            int
	balancer       netip.AddrPort
	lastReceivedAt time.Time
}

// NewTarget opens the socket of a target.
func NewTarget(cfg TargetConfig) (*Target, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, err
	}
	return &Target{
		cfg:       cfg,
		conn:      conn,
		rng:       rand.New(rand.NewPCG(cfg.Seed, 1)),
		state:     TargetState{Service: cfg.Service, Target: cfg.Name, Runs: make(map[string]int)},
		running:   make(map[attempt]context.CancelFunc),
		responses: make(map[attempt]cachedResponse),
		flows:     make(map[flowID]*datagramFlow),
	}, nil
}

// Addr returns the address on which the target listens.
func (t *Target) Addr() netip.AddrPort {
	return t.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// State returns a copy of the target's state.
func (t *Target) State() TargetState {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state
	s.Runs = maps.Clone(t.state.Runs)
	s.Flows = len(t.flows)
	return s
}

// SetUnresponsive makes the target take and answer nothing, as if it were dead, until it
// is called with false.
func (t *Target) SetUnresponsive(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unresponsive = on
}

func (t *Target) isUnresponsive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unresponsive
}

// Run serves until ctx ends.
func (t *Target) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	if t.cfg.Status.IsValid() {
		l, err := net.Listen("tcp", t.cfg.Status.String())
		if err != nil {
			t.conn.Close()
			return err
		}
		srv := &http.Server{Handler: http.HandlerFunc(t.serveState), ReadHeaderTimeout: time.Second}
		wg.Go(func() { _ = srv.Serve(l) })
		defer srv.Close()
	}
	wg.Go(func() { t.runTallies(ctx) })
	wg.Go(func() { t.receive(ctx) })
	<-ctx.Done()
	t.conn.Close()
	return nil
}

func (t *Target) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(t.State())
}

func (t *Target) receive(ctx context.Context) {
	b := make([]byte, maxDatagram)
	for {
		n, balancer, err := t.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		h, payload, err := entry.ParseHeader(b[:n])
		if err != nil || len(payload) == 0 || t.isUnresponsive() {
			continue
		}
		if payload[0] == '{' {
			t.handleFlow(h, payload, balancer)
			continue
		}
		m, err := entry.ParseMessage(slices.Clone(payload))
		if err != nil {
			continue
		}
		t.handleRequest(ctx, h, m, balancer)
	}
}

// reply sends payload to the caller of h through balancer.
func (t *Target) reply(h entry.Header, payload []byte, balancer netip.AddrPort) {
	b := entry.AppendHeader(nil, entry.Header{Source: h.Destination, Destination: h.Source})
	_, _ = t.conn.WriteToUDPAddrPort(append(b, payload...), balancer)
}

func (t *Target) handleFlow(h entry.Header, payload []byte, balancer netip.AddrPort) {
	var m flowMessage
	if err := json.Unmarshal(payload, &m); err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.Service != t.cfg.Service {
		t.state.Misrouted++
		return
	}
	id := flowID{caller: h.Source, address: h.Destination}
	f := t.flows[id]
	response := flowMessage{Kind: flowAck, Service: t.cfg.Service, Target: t.cfg.Name, Seq: m.Seq}
	switch {
	case m.Kind == flowOpen:
		if f == nil {
			f = &datagramFlow{feed: m.Feed}
			t.flows[id] = f
		}
		response.Kind = flowOpened
	case f == nil:
		response.Kind = flowUnknown
	}
	if f != nil {
		f.balancer = balancer
		f.lastReceivedAt = time.Now()
	}
	t.reply(h, encode(response), balancer)
}

// runTallies sends the next tally on each feed, through the balancer that was
// heard last, and forgets flows that have been idle too long.
func (t *Target) runTallies(ctx context.Context) {
	tick := time.NewTicker(tallyInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		t.sendTallies()
	}
}

func (t *Target) sendTallies() {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.responses, func(_ attempt, a cachedResponse) bool { return time.Since(a.at) > responseTTL })
	for id, f := range t.flows {
		if time.Since(f.lastReceivedAt) > flowIdleTimeout {
			delete(t.flows, id)
			continue
		}
		if !f.feed || t.unresponsive {
			continue
		}
		f.seq++
		m := flowMessage{Kind: flowTally, Service: t.cfg.Service, Target: t.cfg.Name, Seq: f.seq}
		t.reply(entry.Header{Source: id.caller, Destination: id.address}, encode(m), f.balancer)
	}
}

func (t *Target) handleRequest(ctx context.Context, h entry.Header, m entry.Message, balancer netip.AddrPort) {
	if m.Type == entry.TypeReset {
		t.cancelRequest(attempt{balancer: balancer, token: string(m.Token)})
		return
	}
	if !m.Code.IsRequest() {
		return
	}
	var body requestBody
	if err := json.Unmarshal(m.Payload, &body); err != nil {
		t.respond(h, m, entry.CodeBadRequest, nil, balancer)
		return
	}
	key := attempt{balancer: balancer, token: string(m.Token)}
	if payload, ok := t.findResponse(key); ok {
		if payload != nil {
			t.reply(h, payload, balancer)
		}
		return
	}
	run, ok := t.startRequest(ctx, key, body)
	if !ok {
		return
	}
	if run == nil {
		t.respond(h, m, entry.CodeUnavailable, nil, balancer)
		return
	}
	go func() {
		completed := run()
		t.finishRequest(key)
		if !completed || t.isUnresponsive() {
			return
		}
		out := encode(responseBody{ID: body.ID, Service: t.cfg.Service, Target: t.cfg.Name})
		t.respond(h, m, entry.CodeContent, out, balancer)
	}()
}

// startRequest takes a slot for the request. It returns nil and true if none is free,
// and false if the datagram is to be passed over.
func (t *Target) startRequest(ctx context.Context, key attempt, body requestBody) (func() bool, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if body.Service != t.cfg.Service {
		t.state.Misrouted++
		return nil, false
	}
	if t.busy >= t.cfg.Slots {
		t.state.Shed++
		return nil, true
	}
	t.busy++
	t.state.Runs[body.ID]++
	t.responses[key] = cachedResponse{at: time.Now()}
	d := time.Duration(t.rng.ExpFloat64() * float64(t.cfg.MeanServiceTime))
	ctx, cancel := context.WithCancel(ctx)
	t.running[key] = cancel
	run := func() bool { return platform.Sleep(ctx, d) == nil }
	return run, true
}

func (t *Target) finishRequest(key attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy--
	if cancel, ok := t.running[key]; ok {
		cancel()
		delete(t.running, key)
	}
}

func (t *Target) cancelRequest(key attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cancel, ok := t.running[key]; ok {
		t.state.Cancelled++
		cancel()
	}
}

func (t *Target) respond(h entry.Header, m entry.Message, c entry.Code, payload []byte, balancer netip.AddrPort) {
	out := m.Reply(c)
	out.Payload = payload
	if c == entry.CodeUnavailable {
		out.MaxAge = shedMaxAge
	}
	b, err := out.Encode()
	if err != nil {
		return
	}
	t.cacheResponse(attempt{balancer: balancer, token: string(m.Token)}, b)
	t.reply(h, b, balancer)
}

// cacheResponse remembers the answer to an attempt.
func (t *Target) cacheResponse(key attempt, payload []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.responses[key] = cachedResponse{payload: payload, at: time.Now()}
}

// findResponse returns the answer that the attempt got before, nil if it is running or
// was cancelled.
func (t *Target) findResponse(key attempt) ([]byte, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.responses[key]
	return a.payload, ok
}
