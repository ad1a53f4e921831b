package measure

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"wisteriaweir/request"
	"wisteriaweir/service"
)

const (
	// meanRequestServiceTime is the mean service time of a request at a target.
	meanRequestServiceTime = 40 * time.Millisecond
	// requestDeadline is the time for which callers wait for a response.
	requestDeadline = time.Second
	// requestRetryInterval is the time after which callers without an outcome send the
	// datagram again.
	requestRetryInterval = 400 * time.Millisecond
	// duplicateRatio is the fraction of requests whose first datagram the fabric
	// delivers twice.
	duplicateRatio = 0.005
	// requestWarmUp is the time at the start of a run whose latencies are left out of
	// the figures.
	requestWarmUp = time.Second
	// requestSlots is the number of requests that a target runs at the same time.
	requestSlots = 2
	// requestIntraDomainDelay is the one-way delay within a failure domain.
	requestIntraDomainDelay = 300 * time.Microsecond
	// requestInterDomainDelay is the one-way delay between failure domains.
	requestInterDomainDelay = 5 * time.Millisecond
	// deskService is the service that is measured.
	deskService = "levy-desk"
	// floodService is the service that faultServiceFlood floods.
	floodService = "ledger-intake"
)

// requestSize is the size of a system.
type requestSize struct {
	name string
	// balancers is the number of balancers in each failure domain.
	balancers []int
	// targets is the number of targets of the measured service.
	targets int
	// maxHolders limits the number of claim holders.
	maxHolders int
}

// requestCase describes one run.
type requestCase struct {
	size requestSize
	// load is the offered load as a fraction of the capacity of all slots.
	load float64
	// duration is the time during which requests arrive.
	duration time.Duration
	fault    requestFault
	// lossRatio is the fraction of lost datagrams between balancers and to and from
	// targets, maxJitter the largest random addition to the one-way delay.
	lossRatio float64
	maxJitter time.Duration
}

// requestFault is the fault of a run. Its value is printed in the tables.
type requestFault string

const (
	// faultNone is a run without a fault.
	faultNone requestFault = ""
	// faultTargetCrash stops the first target without notice.
	faultTargetCrash requestFault = "target dies"
	// faultTargetDrain drains the first target.
	faultTargetDrain requestFault = "target drains"
	// faultBalancerCrash stops a balancer without notice: the coordinator of the
	// measured service, or the first balancer in the baselines.
	faultBalancerCrash requestFault = "balancer dies"
	// faultBalancerPause pauses the same balancer.
	faultBalancerPause requestFault = "balancer freezes 30 s"
	// faultLossyLink runs the case with the loss and the jitter of newFaultCase on all
	// links.
	faultLossyLink requestFault = "lossy link"
	// faultMisleadingLoad makes two targets refuse half of the requests that they
	// could run. In the baselines, the first target appears to be idle instead.
	faultMisleadingLoad requestFault = "misleading load"
	// faultServiceFlood sends requests to floodService at ten times the rate that its
	// targets can serve.
	faultServiceFlood requestFault = "other service flooded"
)

// requestFaultAt is the virtual time at which the fault of a run occurs.
const requestFaultAt = 10 * time.Second

// name returns the cell of the case in the first column.
func (c requestCase) name() string {
	if c.fault == faultNone {
		return fmt.Sprintf("%.0f %%", c.load*100)
	}
	return fmt.Sprintf("%s, %.0f %%", c.fault, c.load*100)
}

// domain returns the failure domain of the i-th target.
func (s requestSize) domain(i int) int {
	return i % len(s.balancers)
}

// domainName returns the name of the i-th failure domain.
func domainName(i int) string {
	return fmt.Sprintf("d%d", i+1)
}

// members returns the balancers, sorted by domain.
func (s requestSize) members() []request.Member {
	var members []request.Member
	for d, n := range s.balancers {
		for i := range n {
			p := request.Peer{Name: fmt.Sprintf("%s-b%02d", domainName(d), i), Life: 1}
			members = append(members, request.Member{Peer: p, Domain: domainName(d)})
		}
	}
	return members
}

// holderSet returns the set of claim holders with a number. It contains all live
// balancers if these are no more than maxHolders, otherwise the first ones of each
// domain: maxHolders divided by the number of domains, but at least one.
func (s requestSize) holderSet(number uint64, live, previous []request.Member) request.ClaimHolderSet {
	set := request.ClaimHolderSet{Number: number, Previous: previous}
	perDomain := make(map[string]int)
	for _, m := range live {
		if perDomain[m.Domain] < max(1, s.maxHolders/len(s.balancers)) || len(live) <= s.maxHolders {
			perDomain[m.Domain]++
			set.Members = append(set.Members, m)
		}
	}
	return set
}

// config returns the two services with their targets in all domains.
func (s requestSize) config() service.Config {
	desk := service.Service{Name: deskService}
	for i := range s.targets {
		desk = desk.WithTarget(newTarget(deskService, i, s.domain(i)))
	}
	intake := service.Service{Name: floodService}
	for i := range 4 {
		intake = intake.WithTarget(newTarget(floodService, i, s.domain(i)))
	}
	return service.Config{}.WithNumber(1).WithServices([]service.Service{desk, intake})
}

// newTarget returns the i-th target of a service.
func newTarget(name string, i, domain int) service.Target {
	return service.Target{
		Name:   fmt.Sprintf("%s-%03d", name, i),
		Domain: domainName(domain),
		Weight: 1,
		Slots:  requestSlots,
	}
}

// simRequest is one request of a run with its outcome.
type simRequest struct {
	key request.Key
	// arrivedAt is the time at which the caller sends the first datagram, serviceTime
	// the service time at a target.
	arrivedAt   time.Duration
	serviceTime time.Duration
	// notRepeatable reports whether the request must not run twice.
	notRepeatable bool
	// duplicated reports whether the fabric is to deliver the first datagram twice.
	duplicated bool
	service    string

	// runs counts the executions at targets, outcomes the replies to the caller.
	runs     int
	outcomes int
	// answeredAt is the time of the first response, or 0.
	answeredAt time.Duration
	// notRun, unknown and busy report whether the caller received this outcome.
	notRun  bool
	unknown bool
	busy    bool
	// misrouted reports whether a response belongs to another request.
	misrouted bool
}

// requests returns the requests of a case, the same ones for each strategy.
func (c requestCase) requests(seed uint64) []*simRequest {
	r := rand.New(rand.NewPCG(seed, 2))
	rate := c.load * float64(c.size.targets*requestSlots) / meanRequestServiceTime.Seconds()
	requests := arrivals(r, c, deskService, rate, 0)
	if c.fault == faultServiceFlood {
		flood := 10 * 4 * requestSlots / meanRequestServiceTime.Seconds()
		requests = append(requests, arrivals(r, c, floodService, flood, len(requests))...)
		slices.SortFunc(requests, func(a, b *simRequest) int { return cmp.Compare(a.arrivedAt, b.arrivedAt) })
	}
	return requests
}

// arrivals returns requests to a service with random intervals, at a mean of
// ratePerSecond. first is the number of the first key.
func arrivals(r *rand.Rand, c requestCase, name string, ratePerSecond float64, first int) []*simRequest {
	var requests []*simRequest
	at := time.Duration(0)
	for {
		at += time.Duration(r.ExpFloat64() / ratePerSecond * float64(time.Second))
		if at >= c.duration {
			return requests
		}
		n := first + len(requests)
		requests = append(requests, &simRequest{
			key:           requestKey(n),
			arrivedAt:     at,
			serviceTime:   time.Duration(r.ExpFloat64() * float64(meanRequestServiceTime)),
			notRepeatable: r.IntN(2) == 0,
			duplicated:    r.Float64() < duplicateRatio,
			service:       name,
		})
	}
}

// deskRequests returns the requests to the service that is measured.
func deskRequests(requests []*simRequest) []*simRequest {
	var desk []*simRequest
	for _, req := range requests {
		if req.service == deskService {
			desk = append(desk, req)
		}
	}
	return desk
}

// scheduleRequests calls f for each request at its time of arrival.
func (t *Timeline) scheduleRequests(requests []*simRequest, f func(*simRequest)) {
	if len(requests) == 0 {
		return
	}
	t.After(requests[0].arrivedAt-t.Now(), func() {
		f(requests[0])
		t.scheduleRequests(requests[1:], f)
	})
}

// requestKey returns the key of the n-th request.
func requestKey(n int) request.Key {
	ip := netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)})
	return request.Key{
		Caller:    netip.AddrPortFrom(ip, uint16(1024+n>>16)),
		Address:   netip.MustParseAddrPort("127.0.1.1:5683"),
		Token:     string([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}),
		MessageID: uint16(n),
	}
}
