package measure

import (
	"fmt"
	"runtime/debug"
	"slices"
	"time"
)

// requestStats holds the figures of one strategy in one run, for the requests to the
// measured service.
type requestStats struct {
	// asked counts all requests, answered those with a response within
	// requestDeadline, ranTwice those that are not repeatable and ran more than once,
	// misrouted those with the response to another request, falselyNotRun those that
	// were reported as not run although they ran, refused those that were reported as
	// busy or not run, unknown those with an unknown outcome, and lost all others:
	// those without an outcome and those answered too late.
	asked, answered, lost, ranTwice, misrouted, falselyNotRun, refused, unknown int
	// all, notRepeatable and repeatable hold the latencies of answered requests that
	// arrived after requestWarmUp; requestStatsOf sorts them.
	all, notRepeatable, repeatable []time.Duration
}

// requestStatsOf returns the figures of a finished run.
func requestStatsOf(requests []*simRequest) *requestStats {
	s := &requestStats{}
	for _, req := range deskRequests(requests) {
		s.add(req)
	}
	for _, l := range [][]time.Duration{s.all, s.notRepeatable, s.repeatable} {
		slices.Sort(l)
	}
	return s
}

// add counts one request.
func (s *requestStats) add(req *simRequest) {
	s.asked++
	if req.notRepeatable && req.runs > 1 {
		s.ranTwice++
	}
	if req.misrouted {
		s.misrouted++
	}
	if req.notRun && req.runs > 0 {
		s.falselyNotRun++
	}
	latency := req.answeredAt - req.arrivedAt
	switch {
	case req.answeredAt > 0 && latency <= requestDeadline:
		s.addAnswer(req, latency)
	case req.notRun || req.busy:
		s.refused++
	case req.unknown:
		s.unknown++
	default:
		s.lost++
	}
}

// addAnswer counts an answered request and, after requestWarmUp, records its latency.
func (s *requestStats) addAnswer(req *simRequest, latency time.Duration) {
	s.answered++
	if req.arrivedAt < requestWarmUp {
		return
	}
	s.all = append(s.all, latency)
	if req.notRepeatable {
		s.notRepeatable = append(s.notRepeatable, latency)
	} else {
		s.repeatable = append(s.repeatable, latency)
	}
}

// quantile returns the q-quantile of sorted latencies in nanoseconds, or 0 if there
// are none.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(q*float64(len(sorted)-1))])
}

// requestColumns are the columns of a table of requests. The p50 and p99 columns are
// multiples of those of the ideal queue, and so is the goodput, the requests answered
// by their deadline.
var requestColumns = []string{
	"row", "way", "asked", "lost", "unknown", "refused", "doubled", "crossed", "falsely not run",
	"p50", "p99", "p50 repeatable", "p99 repeatable", "p50 not repeatable", "p99 not repeatable",
	"goodput", "peer B/s", "messages/request", "targets",
}

// requestSizes are the size of today's systems and one that is ten times larger, each
// in one failure domain and in four.
var requestSizes = []requestSize{
	{name: "14 targets, 7 balancers, one domain", balancers: []int{7}, targets: 14, maxHolders: 12},
	{name: "14 targets, 9 balancers, four domains", balancers: []int{3, 2, 2, 2}, targets: 14, maxHolders: 12},
	{name: "140 targets, 70 balancers, one domain", balancers: []int{70}, targets: 140, maxHolders: 12},
	{name: "140 targets, 90 balancers, four domains", balancers: []int{24, 22, 22, 22}, targets: 140, maxHolders: 12},
}

// requestGCPercent is the value for debug.SetGCPercent during the runs, which allocate
// much and retain little.
const requestGCPercent = 400

// requestLoads are the offered loads as fractions of the capacity of all slots.
var requestLoads = []float64{0.5, 0.7, 0.9, 1.2}

// requestFaults are the faults that are measured at 70 % load in systems of today's
// size.
var requestFaults = []requestFault{
	faultTargetCrash, faultTargetDrain, faultBalancerCrash, faultBalancerPause, faultLossyLink, faultMisleadingLoad, faultServiceFlood,
}

// Requests compares package request and three simple strategies with an ideal queue,
// in virtual time: for each size of a system, load and fault the lost, misrouted and
// twice executed requests, the latencies and the traffic between balancers.
func Requests(seed uint64) ([]*Table, error) {
	defer debug.SetGCPercent(debug.SetGCPercent(requestGCPercent))
	var tables []*Table
	for _, size := range requestSizes {
		t := NewTable("requests: "+size.name, requestColumns...)
		for _, c := range requestCases(size) {
			addRequestRows(t, c, seed)
		}
		tables = append(tables, t)
	}
	return tables, nil
}

// requestCases returns the runs for one size. The faults are left out for large sizes,
// whose runs are shorter.
func requestCases(size requestSize) []requestCase {
	var cases []requestCase
	isLarge := size.targets > 14
	for _, load := range requestLoads {
		c := requestCase{size: size, load: load, duration: 10 * time.Second}
		if isLarge {
			c.duration = 2500 * time.Millisecond
		}
		cases = append(cases, c)
	}
	if isLarge {
		return cases
	}
	for _, f := range requestFaults {
		cases = append(cases, newFaultCase(size, f))
	}
	return cases
}

// newFaultCase returns the run with a fault. It is longer for a paused balancer, to
// cover the time after the pause.
func newFaultCase(size requestSize, f requestFault) requestCase {
	c := requestCase{size: size, load: 0.7, duration: 12 * time.Second, fault: f}
	switch f {
	case faultBalancerPause:
		c.duration = 41 * time.Second
	case faultLossyLink:
		c.lossRatio = 0.01
		c.maxJitter = 2 * time.Millisecond
	case faultNone, faultTargetCrash, faultTargetDrain, faultBalancerCrash, faultMisleadingLoad, faultServiceFlood:
	}
	return c
}

// addRequestRows runs one case with all strategies on the same requests and adds a row
// for each.
func addRequestRows(t *Table, c requestCase, seed uint64) {
	requests := c.requests(seed)
	runIdeal(c, requests)
	ideal := requestStatsOf(requests)

	requests = c.requests(seed)
	w := runRequestSimulation(c, requests, seed)
	addRequestRow(t, c, "wisteriaweir", requestStatsOf(requests), ideal, w)

	baselines := []struct {
		name string
		pick targetPicker
	}{
		{"random", pickRandom},
		{"least loaded by own view", pickLeastLoaded},
		{"two choices", pickBetterOfTwo},
	}
	for _, b := range baselines {
		requests = c.requests(seed)
		runBaseline(c, requests, seed, b.pick)
		addRequestRow(t, c, b.name, requestStatsOf(requests), ideal, nil)
	}
}

// addRequestRow adds the figures of one strategy as a row. w is nil for the baselines.
func addRequestRow(t *Table, c requestCase, strategy string, s, ideal *requestStats, w *requestSimulation) {
	bytesPerSecond, messagesPerRequest, verdict := 0.0, 0.0, "-"
	if w != nil {
		bytesPerSecond = float64(w.bytes) / c.duration.Seconds() / float64(len(w.hosts))
		messagesPerRequest = float64(w.messages) / float64(len(w.requests))
		verdict = requestVerdict(c, s, ideal)
	}
	p := func(l []time.Duration, q float64) float64 { return ratio(quantile(l, q), quantile(ideal.all, q)) }
	t.Add(c.name(), strategy, s.asked, s.lost, s.unknown, s.refused, s.ranTwice, s.misrouted, s.falselyNotRun,
		p(s.all, 0.5), p(s.all, 0.99), p(s.repeatable, 0.5), p(s.repeatable, 0.99), p(s.notRepeatable, 0.5), p(s.notRepeatable, 0.99),
		ratio(float64(s.answered), float64(ideal.answered)), bytesPerSecond, messagesPerRequest, verdict)
}

// ratio returns a / b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// requestVerdict returns the cell that states whether the objectives are met. With a
// fault only the objectives on correctness apply.
func requestVerdict(c requestCase, s, ideal *requestStats) string {
	if s.ranTwice+s.misrouted+s.falselyNotRun > 0 {
		return "not reached: doubled, crossed or falsely not run"
	}
	if c.fault != faultNone {
		return "reached"
	}
	if limit := maxP99Ratio(c); limit > 0 {
		if p99 := quantile(s.all, 0.99) / quantile(ideal.all, 0.99); p99 > limit {
			return fmt.Sprintf("not reached: p99 above %.4g", limit)
		}
	}
	if c.load > 1 && float64(s.answered) < 0.95*float64(ideal.answered) {
		return "not reached: goodput below 0.95"
	}
	return "reached"
}

// maxP99Ratio returns the objective for p99 as a multiple of the ideal queue's, or 0
// if there is none.
func maxP99Ratio(c requestCase) float64 {
	interDomain := len(c.size.balancers) > 1
	switch {
	case c.load == 0.7 && interDomain:
		return 1.2
	case c.load == 0.9 && interDomain:
		return 1.5
	case c.load == 0.7:
		return 1.05
	case c.load == 0.9:
		return 1.1
	default:
		return 0
	}
}
