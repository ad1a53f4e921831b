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
	targetDomains = 4
	// insideDelay is the one-way delay inside a failure domain.
	insideDelay = 300 * time.Microsecond
)

// targetRun is one scenario with one way.
type targetRun struct {
	site     targetSite
	scenario targetScenario
	way      targetWay
	tl       Timeline
	rng      *rand.Rand
	service  service.Service
	number   uint64
	servers  []*targetServer
	keepers  []*targetKeeper
	// struck are the servers that the scenario is about.
	struck []*targetServer

	requests  int
	lost      int
	failed    int
	latencies []time.Duration
}

func newTargetRun(site targetSite, s targetScenario, w targetWay, seed uint64) *targetRun {
	r := &targetRun{site: site, scenario: s, way: w, rng: rand.New(rand.NewPCG(seed, 0))}
	r.service.Name = "levy-desk"
	for i := range site.targets {
		r.addServer(i)
	}
	for i := range targetDomains {
		domain := fmt.Sprintf("kel-%d", i)
		r.keepers = append(r.keepers, &targetKeeper{
			run: r, domain: domain, view: newTargetView(w, domain), busy: make(map[string]int), used: make(map[string]int),
		})
	}
	r.configure()
	return r
}

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

func (r *targetRun) configure() {
	r.number++
	r.tell(func(*targetKeeper) target.Event {
		return target.ServiceConfigured{Number: r.number, Service: r.service}
	})
}

// tell gives each keeper's view an event.
func (r *targetRun) tell(event func(k *targetKeeper) target.Event) {
	for _, k := range r.keepers {
		k.view.handle(r.tl.Now(), event(k))
	}
}

func (r *targetRun) server(name string) *targetServer {
	i := slices.IndexFunc(r.servers, func(s *targetServer) bool { return s.name == name })
	return r.servers[i]
}

// deliver carries a datagram, unless it is lost.
func (r *targetRun) deliver(from, to string, f func()) {
	if r.scenario.loss > 0 && r.rng.Float64() < r.scenario.loss {
		return
	}
	delay := insideDelay
	if from != to {
		delay = r.site.across
	}
	r.tl.After(delay, f)
}

// run plays the scenario to its end.
func (r *targetRun) run() {
	r.arrive()
	r.second()
	r.tick()
	r.tl.After(targetFaultAt, func() { r.scenario.begin(r); r.noteStruck() })
	r.tl.After(targetFaultEnd, func() { r.scenario.end(r) })
	r.tl.RunUntil(targetRunTime)
}

// arrive lets requests come in at random times, at each domain in proportion to
// its targets.
func (r *targetRun) arrive() {
	rate := r.scenario.load * float64(r.site.targets*targetSlots) / targetWork.Seconds()
	gap := time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
	r.tl.After(gap, func() {
		r.requests++
		k := r.keepers[r.rng.IntN(r.site.targets)%targetDomains]
		k.accept(&targetRequest{at: r.tl.Now()})
		r.arrive()
	})
}

// second reads the reports of all targets each second.
func (r *targetRun) second() {
	for _, s := range r.servers {
		s.note()
		report, ok := s.report(r.scenario.lag)
		if !ok {
			continue
		}
		r.tell(func(*targetKeeper) target.Event { return target.Reported{Target: s.name, Report: report} })
	}
	r.tl.After(time.Second, r.second)
}

func (r *targetRun) tick() {
	r.tell(func(*targetKeeper) target.Event { return target.Tick{} })
	r.tl.After(target.MaxTickInterval, r.tick)
}
