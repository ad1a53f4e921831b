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
	// agreedBalancers is the number of balancers in each failure domain.
	agreedBalancers = 3
	// agreedStep is the time between two outcomes of each target at each balancer.
	agreedStep = 100 * time.Millisecond
	// opinionTime is the time between two opinions of a balancer.
	opinionTime = time.Second
	// spreadMost is the longest time in which agreed health reaches a balancer.
	spreadMost = 2 * time.Second
)

// agreedScenario is what balancers see of targets.
type agreedScenario struct {
	name string
	// loss is the part of attempts that fails at random.
	loss float64
	// fails reports whether an attempt of a balancer at a target fails.
	fails func(r *agreedRun, b *agreedBalancer, t service.Target) bool
	// struck is the target or the domain that is to leave the tables, if any.
	struck string
}

func agreedScenarios() []agreedScenario {
	during := func(r *agreedRun) bool {
		return r.tl.Now() >= targetFaultAt && r.tl.Now() < targetFaultEnd
	}
	return []agreedScenario{
		{name: "nothing fails", fails: func(*agreedRun, *agreedBalancer, service.Target) bool { return false }},
		{name: "5 % of attempts fail", loss: 0.05, fails: func(*agreedRun, *agreedBalancer, service.Target) bool { return false }},
		{
			name: "one target silent", struck: "levy-00",
			fails: func(r *agreedRun, _ *agreedBalancer, t service.Target) bool { return during(r) && t.Name == "levy-00" },
		},
		{
			name: "one target silent for 5 s of each 10 s", struck: "levy-00",
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
			name: "one domain cut off", struck: "kel-0",
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

// agreedBalancer is one balancer with both kinds of table.
type agreedBalancer struct {
	domain string
	pool   *target.Pool
	// agreed is the table by shared state, own the one by the own view alone.
	agreed, own tableLog
}

// tableLog is a table of one balancer and what became of it during a run.
type tableLog struct {
	now target.Shares
	// changes counts tables after the first.
	changes int
	// least is the least number of eligible targets.
	least int
	// outAt is the time from the fault until what is struck was left out.
	outAt time.Duration
}

// replace notes a new table.
func (l *tableLog) replace(r *agreedRun, s target.Shares) {
	if l.now.Len() == 0 {
		l.least = s.Len()
	} else {
		l.changes++
	}
	l.now = s
	l.least = min(l.least, len(s.Eligible()))
	if l.outAt == 0 && r.tl.Now() >= targetFaultAt && r.leavesOut(s) {
		l.outAt = r.tl.Now() - targetFaultAt
	}
}

// agreedRun is one scenario of twelve balancers over four failure domains.
type agreedRun struct {
	scenario  agreedScenario
	tl        Timeline
	rng       *rand.Rand
	service   service.Service
	balancers []*agreedBalancer
	holders   map[string]*target.HealthAggregator
	// agreedApart and ownApart are the seconds in which tables differ.
	agreedApart, ownApart int
}

// agreedTable compares tables by agreed health with tables by each own view.
func agreedTable(seed uint64) *Table {
	t := NewTable(
		fmt.Sprintf("targets: tables for flows, 12 balancers, %s, seed %d", targetRunTime, seed),
		"scenario", "table by", "changes", "least eligible", "last out after s", "tables differ s",
	)
	for _, s := range agreedScenarios() {
		r := newAgreedRun(s, seed)
		r.run()
		r.addTo(t)
	}
	return t
}

func newAgreedRun(s agreedScenario, seed uint64) *agreedRun {
	r := &agreedRun{scenario: s, rng: rand.New(rand.NewPCG(seed, 1)), holders: make(map[string]*target.HealthAggregator)}
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
		holder := target.NewHealthAggregator(target.HealthAggregatorConfig{Domain: domain, Fence: 1})
		holder.Handle(0, target.ConfigChanged{Config: cfg})
		r.holders[domain] = holder
		for range agreedBalancers {
			b := &agreedBalancer{domain: domain, pool: target.NewPool(target.Config{Domain: domain})}
			r.balancers = append(r.balancers, b)
			r.handle(b, target.ServiceConfigured{Number: 1, Service: r.service})
		}
	}
	return r
}

func (r *agreedRun) run() {
	r.attempts()
	r.opinions()
	r.ticks()
	r.compare()
	r.tl.RunUntil(targetRunTime)
}

// handle gives a balancer an event and counts new tables.
func (r *agreedRun) handle(b *agreedBalancer, e target.Event) {
	for _, f := range b.pool.Handle(r.tl.Now(), e) {
		switch f := f.(type) {
		case target.PublishTable:
			b.agreed.replace(r, f.Shares)
		case target.PublishShares:
			b.own.replace(r, f.Shares)
		}
	}
}

// leavesOut reports whether a table leaves out all that is struck.
func (r *agreedRun) leavesOut(s target.Shares) bool {
	for i := range s.Len() {
		t := s.At(i).Target
		if s.At(i).Eligible() && (t.Name == r.scenario.struck || t.Domain == r.scenario.struck) {
			return false
		}
	}
	return r.scenario.struck != ""
}

// attempts lets each balancer try each eligible target of the agreed table.
func (r *agreedRun) attempts() {
	for _, b := range r.balancers {
		for _, t := range r.service.Pool {
			share, _ := b.agreed.now.Find(t.Name)
			own, _ := b.own.now.Find(t.Name)
			if share.Eligible() || own.Eligible() {
				r.attempt(b, t)
			}
		}
	}
	r.tl.After(agreedStep, r.attempts)
}

func (r *agreedRun) attempt(b *agreedBalancer, t service.Target) {
	if r.scenario.fails(r, b, t) || r.rng.Float64() < r.scenario.loss {
		r.handle(b, target.Failed{Target: t.Name})
		return
	}
	r.handle(b, target.Answered{Target: t.Name, Latency: targetWork})
}

// opinions sends each balancer's opinions to its domain's lease holder.
func (r *agreedRun) opinions() {
	for i, b := range r.balancers {
		r.holders[b.domain].Handle(r.tl.Now(), target.OpinionsReplaced{
			Member: fmt.Sprint(i), Opinions: b.pool.Opinions(r.tl.Now()),
		})
	}
	r.tl.After(opinionTime, r.opinions)
}

// ticks lets time pass everywhere and spreads what the holders publish.
func (r *agreedRun) ticks() {
	for _, b := range r.balancers {
		r.handle(b, target.Tick{})
	}
	for i := range targetDomains {
		for _, f := range r.holders[fmt.Sprintf("kel-%d", i)].Handle(r.tl.Now(), target.Tick{}) {
			if p, ok := f.(target.PublishHealth); ok {
				r.spread(p.Health)
			}
		}
	}
	r.tl.After(target.MaxTickInterval, r.ticks)
}

// spread brings agreed health to each balancer at a time of its own. What is
// cut off from its domain does not get it.
func (r *agreedRun) spread(h target.Health) {
	for _, b := range r.balancers {
		delay := time.Duration(r.rng.Int64N(int64(spreadMost)))
		if r.reaches(h.Domain, b.domain) {
			r.tl.After(delay, func() { r.handle(b, target.HealthUpdated{Health: h}) })
		}
	}
}

// reaches reports whether two domains are connected.
func (r *agreedRun) reaches(from, to string) bool {
	cut := r.scenario.struck
	if r.tl.Now() < targetFaultAt || r.tl.Now() >= targetFaultEnd {
		return true
	}
	return (from == cut) == (to == cut)
}

// compare counts the seconds in which balancers have different tables.
func (r *agreedRun) compare() {
	agreed, own := false, false
	for _, b := range r.balancers {
		agreed = agreed || !sameLevels(b.agreed.now, r.balancers[0].agreed.now)
		own = own || !sameLevels(b.own.now, r.balancers[0].own.now)
	}
	if agreed {
		r.agreedApart++
	}
	if own {
		r.ownApart++
	}
	r.tl.After(time.Second, r.compare)
}

func sameLevels(a, b target.Shares) bool {
	for i := range a.Len() {
		if a.At(i).Level != b.At(i).Level {
			return false
		}
	}
	return true
}

// addTo adds the figures of the run to a table.
func (r *agreedRun) addTo(t *Table) {
	agreed := func(b *agreedBalancer) tableLog { return b.agreed }
	own := func(b *agreedBalancer) tableLog { return b.own }
	r.addRow(t, "agreed health", agreed, r.agreedApart)
	r.addRow(t, "each own view", own, r.ownApart)
}

// addRow adds the mean number of changes, and the worst of the other figures,
// over all balancers outside a domain that is cut off.
func (r *agreedRun) addRow(t *Table, way string, log func(b *agreedBalancer) tableLog, apart int) {
	changes, n, least, out := 0, 0, agreedTargets, time.Duration(0)
	never := r.scenario.struck == ""
	for _, b := range r.balancers {
		if b.domain == r.scenario.struck {
			continue
		}
		l := log(b)
		n++
		changes += l.changes
		least = min(least, l.least)
		out = max(out, l.outAt)
		never = never || l.outAt == 0
	}
	last := cell(out.Seconds())
	if never {
		last = "-"
	}
	t.Add(r.scenario.name, way, float64(changes)/float64(n), least, last, apart)
}
