package measure

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"wisteriaweir/service"
	"wisteriaweir/target"
)

const (
	// agreedTargets is the number of targets.
	agreedTargets = 14
	// agreedBalancersPerDomain is the number of balancers in each failure domain.
	agreedBalancersPerDomain = 3
	// agreedAttemptInterval is the time between two attempts of a balancer at each
	// target.
	agreedAttemptInterval = 100 * time.Millisecond
	// opinionInterval is the time between two reports of a balancer's opinions.
	opinionInterval = time.Second
	// maxHealthDelay is the longest time until agreed health reaches a balancer.
	maxHealthDelay = 2 * time.Second
)

// agreedScenario specifies which attempts of balancers at targets fail.
type agreedScenario struct {
	name string
	// failureRatio is the fraction of attempts that fail at random.
	failureRatio float64
	// fails reports whether an attempt of a balancer at a target fails.
	fails func(r *agreedRun, b *agreedBalancer, t service.Target) bool
	// affected is the name of the target or of the domain that is to be excluded from
	// the tables, if any.
	affected string
}

// agreedScenarios returns all scenarios. Most faults last from targetFaultAt to
// targetFaultEnd.
func agreedScenarios() []agreedScenario {
	during := func(r *agreedRun) bool {
		return r.tl.Now() >= targetFaultAt && r.tl.Now() < targetFaultEnd
	}
	return []agreedScenario{
		{name: "nothing fails", fails: func(*agreedRun, *agreedBalancer, service.Target) bool { return false }},
		{name: "5 % of attempts fail", failureRatio: 0.05, fails: func(*agreedRun, *agreedBalancer, service.Target) bool { return false }},
		{
			name: "one target silent", affected: "levy-00",
			fails: func(r *agreedRun, _ *agreedBalancer, t service.Target) bool { return during(r) && t.Name == "levy-00" },
		},
		{
			name: "one target silent for 5 s of each 10 s", affected: "levy-00",
			fails: func(r *agreedRun, _ *agreedBalancer, t service.Target) bool {
				return t.Name == "levy-00" && r.tl.Now()/(5*time.Second)%2 == 1
			},
		},
		{
			name: "one balancer sees all fail",
			fails: func(r *agreedRun, b *agreedBalancer, _ service.Target) bool {
				return during(r) && b == r.balancers[0]
			},
		},
		{
			name: "one domain cut off", affected: "kel-0",
			fails: func(r *agreedRun, b *agreedBalancer, t service.Target) bool {
				return during(r) && (b.domain == "kel-0") != (t.Domain == "kel-0")
			},
		},
		{
			name:  "every attempt fails",
			fails: func(r *agreedRun, _ *agreedBalancer, _ service.Target) bool { return during(r) },
		},
	}
}

// agreedBalancer is one balancer with two tables.
type agreedBalancer struct {
	domain string
	pool   *target.Pool
	// agreed logs the table by agreed health, own the one by the balancer's own view.
	agreed, own tableLog
}

// tableLog is a table of one balancer with figures about its changes.
type tableLog struct {
	current target.Shares
	// changes counts the tables after the first.
	changes int
	// minEligible is the lowest number of eligible targets so far.
	minEligible int
	// excludedAfter is the time from the fault until the affected targets were
	// excluded, or 0.
	excludedAfter time.Duration
}

// record stores a new table and updates the figures.
func (l *tableLog) record(r *agreedRun, s target.Shares) {
	if l.current.Len() == 0 {
		l.minEligible = s.Len()
	} else {
		l.changes++
	}
	l.current = s
	l.minEligible = min(l.minEligible, len(s.Eligible()))
	if l.excludedAfter == 0 && r.tl.Now() >= targetFaultAt && r.excludesAffected(s) {
		l.excludedAfter = r.tl.Now() - targetFaultAt
	}
}

// agreedRun is the run of one scenario with twelve balancers in four failure domains.
type agreedRun struct {
	scenario  agreedScenario
	tl        Timeline
	rng       *rand.Rand
	service   service.Service
	balancers []*agreedBalancer
	// aggregators holds the health aggregator of each domain's lease holder.
	aggregators map[string]*target.HealthAggregator
	// agreedDifferSeconds and ownDifferSeconds are the seconds in which not all
	// balancers have the same table, by agreed health and by own view.
	agreedDifferSeconds, ownDifferSeconds int
}

// agreedTable compares tables by agreed health with tables by the own view of each
// balancer.
func agreedTable(seed uint64) *Table {
	t := NewTable(
		fmt.Sprintf("targets: tables for flows, 12 balancers, %s, seed %d", targetRunDuration, seed),
		"scenario", "table by", "changes", "least eligible", "last out after s", "tables differ s",
	)
	for _, s := range agreedScenarios() {
		r := newAgreedRun(s, seed)
		r.run()
		r.addTo(t)
	}
	return t
}

// newAgreedRun returns a run in which all balancers and aggregators have the
// configuration.
func newAgreedRun(s agreedScenario, seed uint64) *agreedRun {
	r := &agreedRun{scenario: s, rng: rand.New(rand.NewPCG(seed, 1)), aggregators: make(map[string]*target.HealthAggregator)}
	r.service.Name = "levy-desk"
	for i := range agreedTargets {
		r.service = r.service.WithTarget(service.Target{
			Name: fmt.Sprintf("levy-%02d", i), Domain: fmt.Sprintf("kel-%d", i%targetDomains), Weight: 1, Slots: targetSlots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 9000),
		})
	}
	cfg := service.Config{}.WithNumber(1).WithService(r.service)
	for i := range targetDomains {
		domain := fmt.Sprintf("kel-%d", i)
		aggregator := target.NewHealthAggregator(target.HealthAggregatorConfig{Domain: domain, Fence: 1})
		aggregator.Handle(0, target.ConfigChanged{Config: cfg})
		r.aggregators[domain] = aggregator
		for range agreedBalancersPerDomain {
			b := &agreedBalancer{domain: domain, pool: target.NewPool(target.Config{Domain: domain})}
			r.balancers = append(r.balancers, b)
			r.handle(b, target.ServiceConfigured{Number: 1, Service: r.service})
		}
	}
	return r
}

// run runs the scenario for targetRunDuration.
func (r *agreedRun) run() {
	r.runAttempts()
	r.sendOpinions()
	r.tick()
	r.compareTables()
	r.tl.RunUntil(targetRunDuration)
}

// handle passes an event to the pool of a balancer and records new tables.
func (r *agreedRun) handle(b *agreedBalancer, e target.Event) {
	for _, f := range b.pool.Handle(r.tl.Now(), e) {
		switch f := f.(type) {
		case target.PublishTable:
			b.agreed.record(r, f.Shares)
		case target.PublishShares:
			b.own.record(r, f.Shares)
		}
	}
}

// excludesAffected reports whether no affected target is eligible in a table. It is
// false in scenarios without affected targets.
func (r *agreedRun) excludesAffected(s target.Shares) bool {
	for i := range s.Len() {
		t := s.At(i).Target
		if s.At(i).IsEligible() && (t.Name == r.scenario.affected || t.Domain == r.scenario.affected) {
			return false
		}
	}
	return r.scenario.affected != ""
}

// runAttempts makes each balancer attempt each target that is eligible in its table by
// agreed health or in the one by its own view.
func (r *agreedRun) runAttempts() {
	for _, b := range r.balancers {
		for _, t := range r.service.Pool {
			share, _ := b.agreed.current.Find(t.Name)
			own, _ := b.own.current.Find(t.Name)
			if share.IsEligible() || own.IsEligible() {
				r.runAttempt(b, t)
			}
		}
	}
	r.tl.After(agreedAttemptInterval, r.runAttempts)
}

// runAttempt passes the outcome of one attempt to the balancer.
func (r *agreedRun) runAttempt(b *agreedBalancer, t service.Target) {
	if r.scenario.fails(r, b, t) || r.rng.Float64() < r.scenario.failureRatio {
		r.handle(b, target.Failed{Target: t.Name})
		return
	}
	r.handle(b, target.Answered{Target: t.Name, Latency: meanTargetServiceTime})
}

// sendOpinions sends each balancer's opinions to the lease holder of its domain.
func (r *agreedRun) sendOpinions() {
	for i, b := range r.balancers {
		r.aggregators[b.domain].Handle(r.tl.Now(), target.OpinionsReplaced{
			Member: fmt.Sprint(i), Opinions: b.pool.LocalOpinions(r.tl.Now()),
		})
	}
	r.tl.After(opinionInterval, r.sendOpinions)
}

// tick sends a tick to all balancers and aggregators, and distributes the health that
// the aggregators publish.
func (r *agreedRun) tick() {
	for _, b := range r.balancers {
		r.handle(b, target.Tick{})
	}
	for i := range targetDomains {
		for _, f := range r.aggregators[fmt.Sprintf("kel-%d", i)].Handle(r.tl.Now(), target.Tick{}) {
			if p, ok := f.(target.PublishHealth); ok {
				r.distribute(p.Health)
			}
		}
	}
	r.tl.After(target.MaxTickInterval, r.tick)
}

// distribute delivers agreed health to each balancer after a random delay. A balancer
// that is cut off from the domain does not receive it.
func (r *agreedRun) distribute(h target.Health) {
	for _, b := range r.balancers {
		delay := time.Duration(r.rng.Int64N(int64(maxHealthDelay)))
		if r.isConnected(h.Domain, b.domain) {
			r.tl.After(delay, func() { r.handle(b, target.HealthUpdated{Health: h}) })
		}
	}
}

// isConnected reports whether two domains are connected. They are not while exactly
// one of them is the affected domain, from targetFaultAt to targetFaultEnd.
func (r *agreedRun) isConnected(from, to string) bool {
	partitioned := r.scenario.affected
	if r.tl.Now() < targetFaultAt || r.tl.Now() >= targetFaultEnd {
		return true
	}
	return (from == partitioned) == (to == partitioned)
}

// compareTables runs each second and counts the seconds in which balancers have
// different tables.
func (r *agreedRun) compareTables() {
	agreedDiffers, ownDiffers := false, false
	for _, b := range r.balancers {
		agreedDiffers = agreedDiffers || !sameLevels(b.agreed.current, r.balancers[0].agreed.current)
		ownDiffers = ownDiffers || !sameLevels(b.own.current, r.balancers[0].own.current)
	}
	if agreedDiffers {
		r.agreedDifferSeconds++
	}
	if ownDiffers {
		r.ownDifferSeconds++
	}
	r.tl.After(time.Second, r.compareTables)
}

// sameLevels reports whether each target has the same level in two tables.
func sameLevels(a, b target.Shares) bool {
	for i := range a.Len() {
		if a.At(i).Level != b.At(i).Level {
			return false
		}
	}
	return true
}

// addTo adds the figures of the run to a table: one row for agreed health and one for
// the own views.
func (r *agreedRun) addTo(t *Table) {
	agreed := func(b *agreedBalancer) tableLog { return b.agreed }
	own := func(b *agreedBalancer) tableLog { return b.own }
	r.addRow(t, "agreed health", agreed, r.agreedDifferSeconds)
	r.addRow(t, "each own view", own, r.ownDifferSeconds)
}

// addRow adds the mean number of changes, and the worst of the other figures, over all
// balancers outside an affected domain.
func (r *agreedRun) addRow(t *Table, label string, log func(b *agreedBalancer) tableLog, differSeconds int) {
	changes, n, minEligible, excludedAfter := 0, 0, agreedTargets, time.Duration(0)
	never := r.scenario.affected == ""
	for _, b := range r.balancers {
		if b.domain == r.scenario.affected {
			continue
		}
		l := log(b)
		n++
		changes += l.changes
		minEligible = min(minEligible, l.minEligible)
		excludedAfter = max(excludedAfter, l.excludedAfter)
		never = never || l.excludedAfter == 0
	}
	last := cell(excludedAfter.Seconds())
	if never {
		last = "-"
	}
	t.Add(r.scenario.name, label, float64(changes)/float64(n), minEligible, last, differSeconds)
}
