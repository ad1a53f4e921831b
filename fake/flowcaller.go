package fake

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaweir/platform"
)

const (
	// maxOpeningSends is the maximum number of times that an opening packet is sent,
	// including retransmissions.
	maxOpeningSends = 3
	// openingTimeout is the time after the first opening packet after which the attempt
	// to open a flow fails.
	openingTimeout = 1400 * time.Millisecond
	// callerPollInterval is the time between two checks for overdue segments.
	callerPollInterval = 20 * time.Millisecond
	// meanRequestPause is the mean pause between two requests of a caller. Each pause
	// is 0.5 to 1.5 times as long.
	meanRequestPause = 250 * time.Millisecond
	// maxRetries is the maximum number of retries of a request after its first
	// attempt.
	maxRetries = 2
	// retryDelay is the delay before a retry.
	retryDelay = 50 * time.Millisecond
	// maxRequestsPerFlow is the number of requests after which a caller closes its
	// flow and opens another one.
	maxRequestsPerFlow = 40
)

// openingRetransmitOffsets are the times after the first opening packet at which it
// is sent again.
var openingRetransmitOffsets = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// RequestType is one kind of request that callers send.
type RequestType struct {
	Service string
	// Address is the address of the service's route.
	Address netip.AddrPort
	// ReusesFlow reports whether a flow carries many requests; otherwise each request
	// has a flow of its own.
	ReusesFlow bool
	// Safe reports whether a request may be repeated whatever its outcome. A request
	// that is not safe is repeated only if it was certainly not run.
	Safe bool
	// BodySize is the size of a request's body in bytes.
	BodySize int
	// Timeout is the time limit for a request, including all its attempts.
	Timeout time.Duration
}

// FlowCallerConfig configures FlowCallers.
type FlowCallerConfig struct {
	// FirstAddress is the address of the first caller; the others have the addresses
	// after it.
	FirstAddress netip.Addr
	// CallersPerType is the number of callers of each request type.
	CallersPerType int
	// Port is the UDP port on which callers receive packets.
	Port         uint16
	RequestTypes []RequestType
	// Router selects the host for each packet.
	Router *Router
	// Seed seeds the pauses and sequence numbers of the callers.
	Seed uint64
}

// FlowCallers are fake clients that speak the platform's packet protocol.
type FlowCallers struct {
	cfg    FlowCallerConfig
	lastID atomic.Int64

	mu     sync.Mutex
	result FlowResult
}

// NewFlowCallers returns callers, which send nothing before Run is called.
func NewFlowCallers(cfg FlowCallerConfig) *FlowCallers {
	return &FlowCallers{cfg: cfg, result: FlowResult{ReportedOutcomes: map[string]string{}}}
}

// Result returns a copy of the callers' counts so far.
func (c *FlowCallers) Result() FlowResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.result
	r.Resets = append([]FlowReset(nil), c.result.Resets...)
	r.ReportedOutcomes = map[string]string{}
	for id, outcome := range c.result.ReportedOutcomes {
		r.ReportedOutcomes[id] = outcome
	}
	return r
}

// updateResult calls change with the result while it holds the lock.
func (c *FlowCallers) updateResult(change func(r *FlowResult)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.result)
}

// Run sends requests until ctx ends. It fails if it cannot listen on the address of
// a caller.
func (c *FlowCallers) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	addr := c.cfg.FirstAddress
	for i, requestType := range c.cfg.RequestTypes {
		for k := range c.cfg.CallersPerType {
			conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, c.cfg.Port)))
			if err != nil {
				return err
			}
			caller := &flowCaller{
				callers: c, requestType: requestType, conn: conn, addr: addr, flows: map[uint16]*callerPacketFlow{},
				rng: rand.New(rand.NewPCG(c.cfg.Seed, uint64(i*c.cfg.CallersPerType+k))), lastPort: 1024,
			}
			wg.Go(caller.receivePackets)
			wg.Go(func() { caller.runRetransmissions(ctx) })
			wg.Go(func() { caller.run(ctx) })
			addr = addr.Next()
		}
	}
	wg.Wait()
	return nil
}

// flowCaller is one caller with its own address and socket.
type flowCaller struct {
	callers     *FlowCallers
	requestType RequestType
	conn        *net.UDPConn
	addr        netip.Addr
	rng         *rand.Rand

	mu sync.Mutex
	// lastPort is the local port of the newest flow.
	lastPort uint16
	// flows are the open flows and those that are being opened, by local port.
	flows map[uint16]*callerPacketFlow
}

// callerPacketFlow is the caller's end of one flow.
type callerPacketFlow struct {
	endpoint endpoint
	// initialSeq is the sequence number of the opening packet.
	initialSeq uint32
	// open reports whether a target has accepted the flow.
	open bool
	// failed reports whether the flow was reset or has no retransmissions left.
	failed bool
	// target is the ID of the target that sent the last response.
	target string
	// changed receives a value after each change of the flow; it has a buffer of one.
	changed chan struct{}
}

// run sends one request after the other until ctx ends.
func (c *flowCaller) run(ctx context.Context) {
	defer c.conn.Close()
	var f *callerPacketFlow
	remaining := 0
	for platform.Sleep(ctx, time.Duration((0.5+c.rng.Float64())*float64(meanRequestPause))) == nil {
		if f == nil || remaining == 0 {
			c.closeFlow(f)
			f, remaining = nil, maxRequestsPerFlow
		}
		remaining--
		f = c.request(ctx, f)
		if !c.requestType.ReusesFlow {
			c.closeFlow(f)
			f = nil
		}
	}
	c.closeFlow(f)
}

// request sends one request and retries it if necessary. It uses the flow f, or
// opens a new flow if f is nil. It returns the flow for the next request, or nil if
// that is closed. A request that the end of ctx interrupts is not counted.
func (c *flowCaller) request(ctx context.Context, f *callerPacketFlow) *callerPacketFlow {
	start := time.Now()
	deadline := start.Add(c.requestType.Timeout)
	c.callers.updateResult(func(r *FlowResult) { r.Requests++ })
	for retries := 0; ; retries++ {
		id := fmt.Sprintf("%s-%d", c.addr, c.callers.lastID.Add(1))
		outcome := ""
		f, outcome = c.sendAttempt(ctx, f, id, deadline)
		if !c.requestType.Safe {
			c.callers.updateResult(func(r *FlowResult) { r.ReportedOutcomes[id] = outcome })
		}
		switch {
		case ctx.Err() != nil:
			c.callers.updateResult(func(r *FlowResult) { r.Requests-- })
			return f
		case outcome == "answered":
			c.callers.updateResult(func(r *FlowResult) {
				r.Answered++
				if time.Since(start) > c.requestType.Timeout/2 {
					r.Late++
				}
			})
			return f
		}
		mayRetry := c.requestType.Safe || outcome == "not run"
		if !mayRetry || retries == maxRetries || time.Now().Add(retryDelay).After(deadline) {
			c.callers.updateResult(func(r *FlowResult) {
				if outcome == "not run" {
					r.Refused++
				} else {
					r.Failed++
				}
			})
			return f
		}
		_ = platform.Sleep(ctx, retryDelay)
	}
}

// sendAttempt sends the request once, on f or on a new flow if f is nil. It returns
// the flow, or nil if that is closed, and the outcome: "answered", "not run" or
// "unknown".
func (c *flowCaller) sendAttempt(ctx context.Context, f *callerPacketFlow, id string, deadline time.Time) (*callerPacketFlow, string) {
	if f == nil {
		if f = c.openFlow(ctx, deadline); f == nil {
			return nil, "not run"
		}
	}
	method := http.MethodPost
	if c.requestType.Safe {
		method = http.MethodGet
	}
	request := fmt.Appendf(nil, "%s /%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
		method, c.requestType.Service, c.requestType.Address, requestIDHeader, id, c.requestType.BodySize)
	request = append(request, bytes.Repeat([]byte{'x'}, c.requestType.BodySize)...)
	c.mu.Lock()
	f.endpoint.write(time.Now(), request, false)
	c.mu.Unlock()
	for {
		resp, ok := c.popResponse(f)
		switch {
		case ok && resp.Header.Get(requestIDHeader) != id:
			c.callers.updateResult(func(r *FlowResult) { r.Misrouted++ })
			c.closeFlow(f)
			return nil, "unknown"
		case ok && resp.StatusCode == http.StatusOK:
			return c.keepIfUsable(f), "answered"
		case ok:
			return c.keepIfUsable(f), "not run"
		case c.hasFailed(f) || !c.waitForChange(ctx, f, deadline):
			c.closeFlow(f)
			return nil, "unknown"
		}
	}
}

// runRetransmissions retransmits overdue segments until ctx ends, and fails flows
// that have no retransmissions left.
func (c *flowCaller) runRetransmissions(ctx context.Context) {
	for platform.Sleep(ctx, callerPollInterval) == nil {
		c.mu.Lock()
		for _, f := range c.flows {
			if f.open && !f.endpoint.retransmitOverdue(time.Now()) {
				f.failed = true
				f.signal()
			}
		}
		c.mu.Unlock()
	}
}

// signal wakes a goroutine in waitForChange, or the next one to call it.
func (f *callerPacketFlow) signal() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// receivePackets receives packets until the socket is closed.
func (c *flowCaller) receivePackets() {
	b := make([]byte, readBufferBytes)
	for {
		n, host, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		s, ok := decodeSegment(bytes.Clone(b[:n]))
		if !ok {
			c.callers.updateResult(func(r *FlowResult) { r.Forged++ })
			continue
		}
		c.mu.Lock()
		if f := c.flows[s.to.Port()]; f != nil && s.from == f.endpoint.remote {
			c.handleSegment(f, s, host)
		}
		c.mu.Unlock()
	}
}

// handleSegment processes a packet of a flow; host is the address of the host that
// sent it. The caller of the function holds mu.
func (c *flowCaller) handleSegment(f *callerPacketFlow, s segment, host netip.AddrPort) {
	defer f.signal()
	switch {
	case s.has(segRst) && !s.checksumValid:
		// A reset without a valid checksum was sent by a host, which does not know
		// the key.
		if f.open && !f.failed && len(s.data) == 0 {
			target := f.target
			c.callers.updateResult(func(r *FlowResult) {
				r.Resets = append(r.Resets, FlowReset{Target: target, At: time.Now(), From: host})
			})
		}
		f.failed = true
	case !s.checksumValid:
		c.callers.updateResult(func(r *FlowResult) { r.Forged++ })
	case s.has(segRst):
		f.failed = true
	case s.has(segSyn | segAck):
		if !f.open && s.ack == f.initialSeq+1 {
			f.open = true
			f.endpoint.expectedSeq, f.endpoint.ackedSeq, f.endpoint.stamp = s.seq+1, s.ack, s.stamp
			f.endpoint.send(segment{flags: segAck, seq: f.endpoint.nextSeq})
		}
	case f.open:
		f.endpoint.receive(time.Now(), s)
	}
}

// transmit sends a segment to the host that the router picks.
func (c *flowCaller) transmit(s segment) {
	_, _ = c.conn.WriteToUDPAddrPort(s.encode(0), c.callers.cfg.Router.pickHost(s.from, s.to))
}
