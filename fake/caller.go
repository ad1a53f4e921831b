package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"wisteriaweir/platform"
)

// Timing of a fake caller.
const (
	// initialRetransmitDelay is the delay before the first retransmission of a
	// request; it doubles with each further one.
	initialRetransmitDelay = 250 * time.Millisecond
	// responseGrace is how long after a request's deadline its caller still accepts
	// a response.
	responseGrace = time.Second
	// flowSendInterval is the time between two datagrams of a flow.
	flowSendInterval = 100 * time.Millisecond
	// flowTimeout is the time without a response after which a flow counts as
	// broken.
	flowTimeout = 5 * time.Second
)

// CallerConfig configures the load of a Caller.
type CallerConfig struct {
	// Services are the services to which requests and flows are sent.
	Services []CallerService
	// Rate is the mean number of requests per second to each service; 0 sends none.
	Rate float64
	// Duration is the time during which requests are started and flows kept open.
	Duration time.Duration
	// Timeout is the timeout that each request carries.
	Timeout time.Duration
	// PostFraction is the fraction of requests, from 0 to 1, that are POSTs and so may
	// not be repeated.
	PostFraction float64
	// Flows is the number of flows to each service. The first, third, and so on are
	// feeds, on which the target sends periodically; the others are uploads.
	Flows int
	// TargetURLs are the URLs at which the targets serve their states, which are read
	// at the end of the run.
	TargetURLs []string
	// Seed seeds the intervals between requests and the choice of POSTs.
	Seed uint64
	// Log is called with a line for each broken flow, each request with an unexpected
	// result and each misrouted datagram; nil discards the lines.
	Log func(line string)
}

// CallerService is a service: its name, its address for requests (Request) and its
// address for flows (Flow).
type CallerService struct {
	Name    string
	Request netip.AddrPort
	Flow    netip.AddrPort
}

// Caller sends requests and flows to services at a configured mean rate and for a
// configured duration, and counts their outcomes.
type Caller struct {
	cfg CallerConfig

	mu     sync.Mutex
	rng    *rand.Rand
	result Result
	// outcomes maps the ID of each finished POST to its outcome.
	outcomes map[string]outcome
	// sentIDs maps the key of each sent token to the ID of its request.
	sentIDs map[sentTokenKey]string
}

// outcome classifies a request by its final response.
type outcome int

const (
	// outcomeLost means that no final response arrived.
	outcomeLost outcome = iota
	// outcomeAnswered means that a target ran the request and responded.
	outcomeAnswered
	// outcomeRefused means that the request was not run.
	outcomeRefused
	// outcomeUnknown means that the response leaves open whether the request ran.
	outcomeUnknown
)

// String returns the outcome as dumps and logs show it.
func (o outcome) String() string {
	return [...]string{"nothing", "the answer", "not run", "not known"}[o]
}

// NewCaller returns a caller, which sends nothing before Run is called.
func NewCaller(cfg CallerConfig) *Caller {
	return &Caller{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 2)),
		outcomes: make(map[string]outcome),
		sentIDs:  make(map[sentTokenKey]string),
	}
}

// Run generates the load, then reads the state of the targets and returns the
// result. It fails if the state of a target cannot be read.
func (c *Caller) Run(ctx context.Context) (Result, error) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, s := range c.cfg.Services {
		wg.Go(func() { c.startRequests(ctx, s) })
		for i := range c.cfg.Flows {
			wg.Go(func() { c.runFlow(ctx, s, i) })
		}
	}
	wg.Wait()
	states, err := fetchStates(ctx, c.cfg.TargetURLs)
	if err != nil {
		return Result{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.addTargetStates(c.outcomes, states, c.log)
	c.result.Seconds = time.Since(start).Seconds()
	return c.result, nil
}

// startRequests starts requests to s with exponentially distributed intervals
// whose mean is 1/Rate seconds, and returns when the last request has its outcome.
func (c *Caller) startRequests(ctx context.Context, s CallerService) {
	var wg sync.WaitGroup
	defer wg.Wait()
	end := time.Now().Add(c.cfg.Duration)
	for i := 0; time.Now().Before(end) && ctx.Err() == nil && c.cfg.Rate > 0; i++ {
		delay, isPost := c.nextRequest()
		_ = platform.Sleep(ctx, delay)
		id := fmt.Sprintf("%s-%d", s.Name, i)
		wg.Go(func() { c.sendFromNewPort(ctx, s, id, isPost) })
	}
}

// nextRequest returns the time until the next request and whether it is a POST.
func (c *Caller) nextRequest() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delay := time.Duration(c.rng.ExpFloat64() / c.cfg.Rate * float64(time.Second))
	return delay, c.rng.Float64() < c.cfg.PostFraction
}

// sendFromNewPort sends one request from a new local port and counts its
// outcome. If no port can be opened, the request is counted without an outcome.
func (c *Caller) sendFromNewPort(ctx context.Context, s CallerService, id string, isPost bool) {
	c.updateResult(func(r *Result) { r.Requests++ })
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(s.Request))
	if err != nil {
		return
	}
	defer conn.Close()
	c.sendRequest(ctx, conn, s, id, isPost)
}

// sendRequest sends one request on conn and counts its outcome.
func (c *Caller) sendRequest(ctx context.Context, conn *net.UDPConn, s CallerService, id string, isPost bool) {
	r := &callerRequest{caller: c, conn: conn, service: s.Name, id: id, isPost: isPost}
	o := r.run(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if isPost {
		c.outcomes[id] = o
	}
	c.result.countOutcome(o)
}

// runFlow opens flow i to s and sends on it until Duration is over or the flow is
// broken.
func (c *Caller) runFlow(ctx context.Context, s CallerService, i int) {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(s.Flow))
	if err != nil {
		return
	}
	defer conn.Close()
	f := &callerDatagramFlow{
		caller:         c,
		conn:           conn,
		service:        s.Name,
		isFeed:         i%2 == 0,
		lastResponseAt: time.Now(),
	}
	c.updateResult(func(r *Result) { r.Flows++ })
	f.run(ctx, time.Now().Add(c.cfg.Duration))
}

// log passes line to the configured Log, if there is one.
func (c *Caller) log(line string) {
	if c.cfg.Log != nil {
		c.cfg.Log(line)
	}
}

// updateResult calls change with the result while it holds the lock.
func (c *Caller) updateResult(change func(*Result)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.result)
}

// fetchStates reads the state of each target by HTTP.
func fetchStates(ctx context.Context, urls []string) ([]TargetState, error) {
	client := &http.Client{Timeout: 5 * time.Second}
	states := make([]TargetState, 0, len(urls))
	for _, u := range urls {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
		if err != nil {
			return nil, err
		}
		resp, err := client.Do(r)
		if err != nil {
			return nil, err
		}
		var s TargetState
		err = json.NewDecoder(resp.Body).Decode(&s)
		resp.Body.Close()
		if err != nil {
			return nil, err
		}
		states = append(states, s)
	}
	return states, nil
}
