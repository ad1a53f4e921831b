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
	// tallyInterval is the time between two tallies on a feed.
	tallyInterval = 200 * time.Millisecond
	// flowIdleTimeout is the time without a datagram after which a flow is removed.
	flowIdleTimeout = 60 * time.Second
	// responseTTL is how long a response is cached for duplicates of its request.
	// Source: RFC 7252, section 4.8.2, EXCHANGE_LIFETIME.
	responseTTL = 247 * time.Second
	// shedMaxAge is the time after which a refused request may be sent again.
	shedMaxAge = time.Second
)

// TargetConfig configures a Target.
type TargetConfig struct {
	// Service is the name of the target's service.
	Service string
	// Name is the target's name, which its responses contain.
	Name string
	// Listen is the UDP address on which the target receives datagrams.
	Listen netip.AddrPort
	// Status is the address on which the target serves its state by HTTP; the zero
	// value means none.
	Status netip.AddrPort
	// Slots is the maximum number of requests that run at the same time.
	Slots int
	// MeanServiceTime is the mean of the exponentially distributed service time of a
	// request.
	MeanServiceTime time.Duration
	// Seed seeds the service times.
	Seed uint64
}

// Target is a fake server: it runs requests in a fixed number of slots and accepts
// feeds and uploads.
type Target struct {
	cfg  TargetConfig
	conn *net.UDPConn

	mu           sync.Mutex
	unresponsive bool
	rng          *rand.Rand
	state        TargetState
	// busySlots is the number of slots in use.
	busySlots int
	// cancelFuncs holds the functions that cancel the running requests.
	cancelFuncs map[attemptKey]context.CancelFunc
	// responses are the cached responses, refusals included, that are sent again for
	// duplicates of an attempt.
	responses map[attemptKey]cachedResponse
	flows     map[flowID]*targetDatagramFlow
}

// attemptKey identifies an attempt of a request by the address of the balancer that
// sent it and the token.
type attemptKey struct {
	balancer netip.AddrPort
	token    string
}

// cachedResponse is the encoded response to an attempt.
type cachedResponse struct {
	// payload is nil until the response is sent.
	payload []byte
	// at is when the response was sent; until then, it is when the request started.
	at time.Time
}

// flowID identifies a flow by the caller's address and the service address.
type flowID struct {
	caller  netip.AddrPort
	address netip.AddrPort
}

// targetDatagramFlow is a feed or an upload of a Target.
type targetDatagramFlow struct {
	isFeed bool
	// seq is the sequence number of the last tally.
	seq int
	// balancer is the address of the balancer that sent the last datagram.
	balancer netip.AddrPort
	// lastReceivedAt is when the last datagram of the flow arrived.
	lastReceivedAt time.Time
}

// NewTarget opens the socket of a target, which handles no datagrams before Run is
// called.
func NewTarget(cfg TargetConfig) (*Target, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, err
	}
	return &Target{
		cfg:         cfg,
		conn:        conn,
		rng:         rand.New(rand.NewPCG(cfg.Seed, 1)),
		state:       TargetState{Service: cfg.Service, Target: cfg.Name, Runs: make(map[string]int)},
		cancelFuncs: make(map[attemptKey]context.CancelFunc),
		responses:   make(map[attemptKey]cachedResponse),
		flows:       make(map[flowID]*targetDatagramFlow),
	}, nil
}

// Addr returns the UDP address on which the target receives datagrams.
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

// SetUnresponsive makes the target ignore all datagrams and send none, as if it had
// crashed, until it is called with false.
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

// Run serves until ctx ends. It fails if it cannot listen on the status address.
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
	wg.Go(func() { t.receiveDatagrams(ctx) })
	<-ctx.Done()
	t.conn.Close()
	return nil
}

func (t *Target) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(t.State())
}

// receiveDatagrams handles datagrams until the socket is closed. A payload that
// starts with a brace is a flowMessage, any other a request.
func (t *Target) receiveDatagrams(ctx context.Context) {
	b := make([]byte, readBufferBytes)
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

// handleFlow processes a datagram of a flow and responds to it.
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
			f = &targetDatagramFlow{isFeed: m.Feed}
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
	t.reply(h, encodeJSON(response), balancer)
}

// runTallies calls sendTallies every tallyInterval until ctx ends.
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

// sendTallies sends the next tally on each feed through the balancer that sent the
// feed's last datagram. It also removes expired responses and idle flows.
func (t *Target) sendTallies() {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.responses, func(_ attemptKey, cached cachedResponse) bool { return time.Since(cached.at) > responseTTL })
	for id, f := range t.flows {
		if time.Since(f.lastReceivedAt) > flowIdleTimeout {
			delete(t.flows, id)
			continue
		}
		if !f.isFeed || t.unresponsive {
			continue
		}
		f.seq++
		m := flowMessage{Kind: flowTally, Service: t.cfg.Service, Target: t.cfg.Name, Seq: f.seq}
		t.reply(entry.Header{Source: id.caller, Destination: id.address}, encodeJSON(m), f.balancer)
	}
}

// handleRequest processes a request, a duplicate of one, or a cancellation, which is
// a reset with the request's token.
func (t *Target) handleRequest(ctx context.Context, h entry.Header, m entry.Message, balancer netip.AddrPort) {
	if m.Type == entry.TypeReset {
		t.cancelRequest(attemptKey{balancer: balancer, token: string(m.Token)})
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
	key := attemptKey{balancer: balancer, token: string(m.Token)}
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
		t.respond(h, m, entry.CodeServiceUnavailable, nil, balancer)
		return
	}
	go func() {
		completed := run()
		t.finishRequest(key)
		if !completed || t.isUnresponsive() {
			return
		}
		out := encodeJSON(responseBody{ID: body.ID, Service: t.cfg.Service, Target: t.cfg.Name})
		t.respond(h, m, entry.CodeContent, out, balancer)
	}()
}

// startRequest reserves a slot for the request and returns a function that waits for
// the service time and reports whether the request completed without a cancellation.
// It returns nil and true if no slot is free, and nil and false if the datagram is of
// another service and has to be ignored.
func (t *Target) startRequest(ctx context.Context, key attemptKey, body requestBody) (func() bool, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if body.Service != t.cfg.Service {
		t.state.Misrouted++
		return nil, false
	}
	if t.busySlots >= t.cfg.Slots {
		t.state.Shed++
		return nil, true
	}
	t.busySlots++
	t.state.Runs[body.ID]++
	t.responses[key] = cachedResponse{at: time.Now()}
	d := time.Duration(t.rng.ExpFloat64() * float64(t.cfg.MeanServiceTime))
	ctx, cancel := context.WithCancel(ctx)
	t.cancelFuncs[key] = cancel
	run := func() bool { return platform.Sleep(ctx, d) == nil }
	return run, true
}

// finishRequest releases the slot of a request.
func (t *Target) finishRequest(key attemptKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busySlots--
	if cancel, ok := t.cancelFuncs[key]; ok {
		cancel()
		delete(t.cancelFuncs, key)
	}
}

// cancelRequest cancels the request if it is running, and counts the cancellation.
func (t *Target) cancelRequest(key attemptKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cancel, ok := t.cancelFuncs[key]; ok {
		t.state.Cancelled++
		cancel()
	}
}

// respond sends a response with code c to m and caches it.
func (t *Target) respond(h entry.Header, m entry.Message, c entry.Code, payload []byte, balancer netip.AddrPort) {
	out := m.Reply(c)
	out.Payload = payload
	if c == entry.CodeServiceUnavailable {
		out.MaxAge = shedMaxAge
	}
	b, err := out.Encode()
	if err != nil {
		return
	}
	t.cacheResponse(attemptKey{balancer: balancer, token: string(m.Token)}, b)
	t.reply(h, b, balancer)
}

// cacheResponse stores the response to an attempt for its duplicates.
func (t *Target) cacheResponse(key attemptKey, payload []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.responses[key] = cachedResponse{payload: payload, at: time.Now()}
}

// findResponse returns the cached response to an attempt, and false if the attempt is
// new. The response is nil if the request is running or ended without a response.
func (t *Target) findResponse(key attemptKey) ([]byte, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cached, ok := t.responses[key]
	return cached.payload, ok
}
