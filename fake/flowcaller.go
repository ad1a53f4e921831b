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
	// openingTries is the number of sends of an opening packet; it fails
	// openingLimit after the first.
	openingTries = 3
	openingLimit = 1400 * time.Millisecond
	// callerTick is the time between two looks for segments to send again.
	callerTick = 20 * time.Millisecond
	// feedGap is the time between two requests of a long flow.
	feedGap = 250 * time.Millisecond
	// retryMost is the number of further tries of a request.
	retryMost = 2
	// retryPause is the wait before a further try.
	retryPause = 50 * time.Millisecond
	// feedLife is the number of requests after which a caller opens another flow.
	feedLife = 40
)

// openingResend is when an opening packet is sent again.
var openingResend = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// RequestType is one kind of request of the callers.
type RequestType struct {
	Service string
	// Address is the address of the service's route.
	Address netip.AddrPort
	// Long says that a flow carries many requests.
	Long bool
	// Safe says that requests may be repeated.
	Safe bool
	// Size is the size of a request's body in bytes.
	Size     int
	Deadline time.Duration
}

// FlowCallerConfig configures FlowCallers.
type FlowCallerConfig struct {
	// First is the address of the first caller; the others follow.
	First netip.Addr
	// Count is the number of callers of each line.
	Count int
	// Port is the port on which hosts and callers hear packets.
	Port         uint16
	RequestTypes []RequestType
	Router       *Router
	Seed         uint64
}

// FlowCallers stand in for clients that speak the platform's packets.
type FlowCallers struct {
	cfg FlowCallerConfig
	ids atomic.Int64

	mu     sync.Mutex
	result FlowResult
}

// NewFlowCallers returns callers.
func NewFlowCallers(cfg FlowCallerConfig) *FlowCallers {
	return &FlowCallers{cfg: cfg, result: FlowResult{ReportedOutcomes: map[string]string{}}}
}

// Result returns what the callers saw so far.
func (c *FlowCallers) Result() FlowResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.result
	r.Resets = append([]FlowReset(nil), c.result.Resets...)
	r.ReportedOutcomes = map[string]string{}
	for id, told := range c.result.ReportedOutcomes {
		r.ReportedOutcomes[id] = told
	}
	return r
}

// note changes the result.
func (c *FlowCallers) note(change func(r *FlowResult)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.result)
}

// Run calls until ctx ends.
func (c *FlowCallers) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	at := c.cfg.First
	for i, line := range c.cfg.RequestTypes {
		for k := range c.cfg.Count {
			conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(at, c.cfg.Port)))
			if err != nil {
				return err
			}
			caller := &flowCaller{
				all: c, line: line, conn: conn, at: at, flows: map[uint16]*callerEnd{},
				rnd: rand.New(rand.NewPCG(c.cfg.Seed, uint64(i*c.cfg.Count+k))), port: 1024,
			}
			wg.Go(caller.read)
			wg.Go(func() { caller.tick(ctx) })
			wg.Go(func() { caller.run(ctx) })
			at = at.Next()
		}
	}
	wg.Wait()
	return nil
}

// flowCaller is one caller with an address of its own.
type flowCaller struct {
	all  *FlowCallers
	line RequestType
	conn *net.UDPConn
	at   netip.Addr
	rnd  *rand.Rand

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*callerEnd
}

// callerEnd is a flow with its end here.
type callerEnd struct {
	end     flowEnd
	seq     uint32
	open    bool
	failed  bool
	target  string
	changed chan struct{}
}

func (c *flowCaller) run(ctx context.Context) {
	defer c.conn.Close()
	var f *callerEnd
	left := 0
	for platform.Sleep(ctx, time.Duration((0.5+c.rnd.Float64())*float64(feedGap))) == nil {
		if f == nil || left == 0 {
			c.drop(f)
			f, left = nil, feedLife
		}
		left--
		f = c.request(ctx, f)
		if !c.line.Long {
			c.drop(f)
			f = nil
		}
	}
	c.drop(f)
}

// request makes one request with its further tries, on f if it is open, and
// returns the flow that is still open.
func (c *flowCaller) request(ctx context.Context, f *callerEnd) *callerEnd {
	start := time.Now()
	end := start.Add(c.line.Deadline)
	c.all.note(func(r *FlowResult) { r.Requests++ })
	for try := 0; ; try++ {
		id := fmt.Sprintf("%s-%d", c.at, c.all.ids.Add(1))
		outcome := ""
		f, outcome = c.try(ctx, f, id, end)
		if !c.line.Safe {
			c.all.note(func(r *FlowResult) { r.ReportedOutcomes[id] = outcome })
		}
		switch {
		case ctx.Err() != nil:
			c.all.note(func(r *FlowResult) { r.Requests-- })
			return f
		case outcome == "answered":
			c.all.note(func(r *FlowResult) {
				r.Answered++
				if time.Since(start) > c.line.Deadline/2 {
					r.Late++
				}
			})
			return f
		}
		again := c.line.Safe || outcome == "not run"
		if !again || try == retryMost || time.Now().Add(retryPause).After(end) {
			c.all.note(func(r *FlowResult) {
				if outcome == "not run" {
					r.Refused++
				} else {
					r.Failed++
				}
			})
			return f
		}
		_ = platform.Sleep(ctx, retryPause)
	}
}

// try makes one try and returns the flow if it is still open, and the outcome:
// answered, not run or unknown.
func (c *flowCaller) try(ctx context.Context, f *callerEnd, id string, end time.Time) (*callerEnd, string) {
	if f == nil {
		if f = c.open(ctx, end); f == nil {
			return nil, "not run"
		}
	}
	method := http.MethodPost
	if c.line.Safe {
		method = http.MethodGet
	}
	request := fmt.Appendf(nil, "%s /%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
		method, c.line.Service, c.line.Address, headerRequest, id, c.line.Size)
	request = append(request, bytes.Repeat([]byte{'x'}, c.line.Size)...)
	c.mu.Lock()
	f.end.write(time.Now(), request, false)
	c.mu.Unlock()
	for {
		resp, ok := c.answer(f)
		switch {
		case ok && resp.Header.Get(headerRequest) != id:
			c.all.note(func(r *FlowResult) { r.Misrouted++ })
			c.drop(f)
			return nil, "unknown"
		case ok && resp.StatusCode == http.StatusOK:
			return c.after(f), "answered"
		case ok:
			return c.after(f), "not run"
		case c.broken(f) || !c.wait(ctx, f, end):
			c.drop(f)
			return nil, "unknown"
		}
	}
}

func (c *flowCaller) tick(ctx context.Context) {
	for platform.Sleep(ctx, callerTick) == nil {
		c.mu.Lock()
		for _, f := range c.flows {
			if f.open && !f.end.tick(time.Now()) {
				f.failed = true
				f.signal()
			}
		}
		c.mu.Unlock()
	}
}

func (f *callerEnd) signal() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

func (c *flowCaller) read() {
	b := make([]byte, maxDatagram)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		s, ok := decodeSegment(bytes.Clone(b[:n]))
		if !ok {
			c.all.note(func(r *FlowResult) { r.Forged++ })
			continue
		}
		c.mu.Lock()
		if f := c.flows[s.to.Port()]; f != nil && s.from == f.end.remote {
			c.take(f, s, from)
		}
		c.mu.Unlock()
	}
}

// take takes in a packet of a flow. The caller holds mu.
func (c *flowCaller) take(f *callerEnd, s segment, from netip.AddrPort) {
	defer f.signal()
	switch {
	case s.has(segRst) && !s.genuine:
		// A host's own reset.
		if f.open && !f.failed && len(s.data) == 0 {
			target := f.target
			c.all.note(func(r *FlowResult) {
				r.Resets = append(r.Resets, FlowReset{Target: target, At: time.Now(), From: from})
			})
		}
		f.failed = true
	case !s.genuine:
		c.all.note(func(r *FlowResult) { r.Forged++ })
	case s.has(segRst):
		f.failed = true
	case s.has(segSyn | segAck):
		if !f.open && s.ack == f.seq+1 {
			f.open = true
			f.end.got, f.end.acked, f.end.echo = s.seq+1, s.ack, s.echo
			f.end.send(segment{flags: segAck, seq: f.end.next})
		}
	case f.open:
		f.end.receive(time.Now(), s)
	}
}

// out sends a segment by way of the router.
func (c *flowCaller) out(s segment) {
	_, _ = c.conn.WriteToUDPAddrPort(s.encode(0), c.all.cfg.Router.pick(s.from, s.to))
}
