package measure

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"wisteriaweir/service"
	"wisteriaweir/target"
)

const (
	// targetDomains is the number of failure domains.
	targetDomains = 4
	// targetIntraDomainDelay is the one-way delay within a failure domain.
	targetIntraDomainDelay = 300 * time.Microsecond
)

// targetRun is the run of one scenario with one strategy.
type targetRun struct {
	pool     targetPool
	scenario targetScenario
	strategy targetStrategy
	tl       Timeline
	rng      *rand.Rand
	service  service.Service
	// configNumber is the number of the newest configuration.
	configNumber uint64
	servers      []*targetServer
	coordinators []*targetCoordinator
	// affected holds the servers that the fault, the drain or the addition of the
	// scenario concerns.
	affected []*targetServer

	// requests counts the requests of callers, lostRequests those that found a full
	// queue or were still queued at attemptDeadline, and failedAttempts the attempts
	// that failed or timed out.
	requests       int
	lostRequests   int
	failedAttempts int
	// latencies holds the times from the arrival of a request to its answer.
	latencies []time.Duration
}

// newTargetRun returns a run with one coordinator for each failure domain.
func newTargetRun(pool targetPool, s targetScenario, strategy targetStrategy, seed uint64) *targetRun {
	r := &targetRun{pool: pool, scenario: s, strategy: strategy, rng: rand.New(rand.NewPCG(seed, 0))}
	r.service.Name = "levy-desk"
	for i := range pool.targets {
		r.addServer(i)
	}
	for i := range targetDomains {
		domain := fmt.Sprintf("kel-%d", i)
		r.coordinators = append(r.coordinators, &targetCoordinator{
			run: r, domain: domain, view: newTargetView(strategy, domain), busySlots: make(map[string]int), lastUsed: make(map[string]int),
		})
	}
	r.configure()
	return r
}

// addServer adds the i-th target to the pool; configure must be called afterwards.
func (r *targetRun) addServer(i int) *targetServer {
	s := &targetServer{
		tl: &r.tl, rng: r.rng, coldSince: -1,
		name: fmt.Sprintf("levy-%02d", i), domain: fmt.Sprintf("kel-%d", i%targetDomains),
	}
	r.servers = append(r.servers, s)
	r.service = r.service.WithTarget(service.Target{
		Name: s.name, Domain: s.domain, Weight: 1, Slots: targetSlots,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 9000),
	})
	return s
}

// configure sends the current service under the next configuration number to all
// views.
func (r *targetRun) configure() {
	r.configNumber++
	r.sendToViews(func(*targetCoordinator) target.Event {
		return target.ServiceConfigured{Number: r.configNumber, Service: r.service}
	})
}

// sendToViews passes an event to the view of each coordinator.
func (r *targetRun) sendToViews(event func(k *targetCoordinator) target.Event) {
	for _, k := range r.coordinators {
		k.view.handle(r.tl.Now(), event(k))
	}
}

func (r *targetRun) server(name string) *targetServer {
	i := slices.IndexFunc(r.servers, func(s *targetServer) bool { return s.name == name })
	return r.servers[i]
}

// deliver calls f after the one-way delay between two domains, unless the datagram is
// lost.
func (r *targetRun) deliver(from, to string, f func()) {
	if r.scenario.lossRatio > 0 && r.rng.Float64() < r.scenario.lossRatio {
		return
	}
	delay := targetIntraDomainDelay
	if from != to {
		delay = r.pool.interDomainDelay
	}
	r.tl.After(delay, f)
}

// run runs the scenario to its end.
func (r *targetRun) run() {
	r.scheduleArrival()
	r.readReports()
	r.tick()
	r.tl.After(targetFaultAt, func() { r.scenario.begin(r); r.recordAffected() })
	r.tl.After(targetFaultEnd, func() { r.scenario.end(r) })
	r.tl.RunUntil(targetRunDuration)
}

// scheduleArrival schedules the next request after a random interval. Each domain
// receives requests in proportion to its targets.
func (r *targetRun) scheduleArrival() {
	rate := r.scenario.load * float64(r.pool.targets*targetSlots) / meanTargetServiceTime.Seconds()
	interval := time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
	r.tl.After(interval, func() {
		r.requests++
		k := r.coordinators[r.rng.IntN(r.pool.targets)%targetDomains]
		k.enqueue(&targetRequest{arrivedAt: r.tl.Now()})
		r.scheduleArrival()
	})
}

// readReports reads the reports of all targets each second.
func (r *targetRun) readReports() {
	for _, s := range r.servers {
		s.recordReport()
		report, ok := s.agedReport(r.scenario.reportAge)
		if !ok {
			continue
		}
		r.sendToViews(func(*targetCoordinator) target.Event { return target.ReportReceived{Target: s.name, Report: report} })
	}
	r.tl.After(time.Second, r.readReports)
}

// tick sends a tick to all views each target.MaxTickInterval.
func (r *targetRun) tick() {
	r.sendToViews(func(*targetCoordinator) target.Event { return target.Tick{} })
	r.tl.After(target.MaxTickInterval, r.tick)
}
