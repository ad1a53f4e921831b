package measure

import (
	"fmt"
	"time"

	"wisteriaweir/placement"
	"wisteriaweir/route"
)

const (
	// overloadRunDuration is the virtual length of one run.
	overloadRunDuration = 12 * time.Second
	// overloadBurstAt is when the burst of a pattern begins.
	overloadBurstAt = 4 * time.Second
	// overloadBurstEnd is when the burst of a pattern ends.
	overloadBurstEnd = 7 * time.Second
	// overloadAftermath is the time after a burst within which the queues should be gone.
	overloadAftermath = 500 * time.Millisecond
	// overloadHostsPerDomain is the number of hosts in each failure domain of patterns that
	// name none.
	overloadHostsPerDomain = 2
	// overloadTargets is the number of targets of patterns that name none.
	overloadTargets = 14
	// defaultCalmLoad is the offered load outside of bursts of patterns that name none, as a
	// fraction of the capacity.
	defaultCalmLoad = 0.3
)

// overloadPattern is the load of a run and what happens to the targets and hosts.
type overloadPattern struct {
	name string
	// burstLoad is the offered load during the burst, as a fraction of the capacity.
	burstLoad float64
	// calmLoad is the offered load outside of the burst, defaultCalmLoad if it is 0.
	calmLoad float64
	// crashed is the number of targets that are silent during the burst.
	crashed int
	// slowed is the number of targets whose work takes slowedFactor as long during the
	// burst.
	slowed int
	// restarts reports whether all hosts are dark for overloadOutage before the burst.
	restarts bool
	// speeds are the speeds of the targets in turn, all 1 if it is nil.
	speeds []float64
	// targetSpeed is placement.Config.TargetSpeed.
	targetSpeed bool
	// hasLateReports reports whether the interval of load reports grows with the number of
	// hosts, instead of being overloadReportInterval.
	hasLateReports bool
	// flowEnd is the probability with which a flow ends after a response.
	flowEnd float64
	// domainWeights are the relative loads of the failure domains.
	domainWeights [overloadDomains]float64
	// isCalmEven reports whether domainWeights apply only during the burst, and the failure
	// domains have equal loads otherwise.
	isCalmEven bool
	// hostsPerDomain is the number of hosts in each failure domain.
	hostsPerDomain int
	// targets is the number of targets, spread over the failure domains.
	targets int
	// classes are the kinds of requests.
	classes []overloadClass
}

// withDefaults returns a copy of p with the sizes and classes that it does not name.
func (p overloadPattern) withDefaults() overloadPattern {
	if p.hostsPerDomain == 0 {
		p.hostsPerDomain = overloadHostsPerDomain
	}
	if p.targets == 0 {
		p.targets = overloadTargets
	}
	if p.classes == nil {
		p.classes = overloadClasses()
	}
	return p
}

// overloadClass is a kind of request.
type overloadClass struct {
	name      string
	port      uint16
	kind      route.Kind
	priority  int
	objective time.Duration
	timeout   time.Duration
	// meanWork is the mean time for which a request occupies a slot.
	meanWork time.Duration
	// fraction is the fraction of the requests.
	fraction float64
	// keepsFlows reports whether callers send several requests on one flow.
	keepsFlows bool
}

// overloadClasses returns the kinds of requests of most patterns: a feed on long-lived
// flows, and bookings of a better priority on flows of their own.
func overloadClasses() []overloadClass {
	return []overloadClass{
		{
			name: "feed", port: 80, kind: route.Safe, priority: 1, objective: 150 * time.Millisecond, timeout: 2 * time.Second,
			meanWork: 22 * time.Millisecond, fraction: 0.75, keepsFlows: true,
		},
		{
			name: "booking", port: 81, kind: route.Unsafe, priority: 0, objective: 200 * time.Millisecond, timeout: 2500 * time.Millisecond,
			meanWork: 29 * time.Millisecond, fraction: 0.25,
		},
	}
}

// surgeClasses returns the kinds of requests of the patterns in which a surge hits many
// hosts: urgent ones, which need a ninth of the capacity at a load of 1.5 times the capacity, and
// two worse priorities. The worst one keeps its flows.
func surgeClasses() []overloadClass {
	return []overloadClass{
		{
			name: "alarm", port: 81, kind: route.Unsafe, priority: 0, objective: 200 * time.Millisecond, timeout: 2500 * time.Millisecond,
			meanWork: 24 * time.Millisecond, fraction: 0.074,
		},
		{
			name: "search", port: 82, kind: route.Safe, priority: 1, objective: 200 * time.Millisecond, timeout: 2 * time.Second,
			meanWork: 24 * time.Millisecond, fraction: 0.526,
		},
		{
			name: "feed", port: 80, kind: route.Safe, priority: 2, objective: 150 * time.Millisecond, timeout: 2 * time.Second,
			meanWork: 24 * time.Millisecond, fraction: 0.4, keepsFlows: true,
		},
	}
}

// overloadPatterns returns all patterns.
func overloadPatterns() []overloadPattern {
	return append(smallPatterns(), largePatterns()...)
}

// smallPatterns returns the patterns with 8 hosts.
func smallPatterns() []overloadPattern {
	even := [overloadDomains]float64{1, 1, 1, 1}
	patterns := []overloadPattern{
		{name: "steady at 0.8", burstLoad: 0.8, domainWeights: even},
		{name: "burst of 1.2", burstLoad: 1.2, domainWeights: even},
		{name: "burst of 2", burstLoad: 2, domainWeights: even},
		{name: "burst of 2, uneven domains", burstLoad: 2, domainWeights: [overloadDomains]float64{4, 2, 1, 1}},
		{name: "burst of 1, 3 of 14 targets crashed", burstLoad: 1, crashed: 3, domainWeights: even},
		{name: "burst of 0.6, 3 of 14 targets slow", burstLoad: 0.6, slowed: 3, domainWeights: even},
		{name: "return of all hosts", burstLoad: 0.5, restarts: true, domainWeights: even},
	}
	for i := range patterns {
		patterns[i] = patterns[i].withDefaults()
	}
	return patterns
}

// largePatterns returns the patterns with 32 and 104 hosts, of which none sees more than a
// small part of the load.
func largePatterns() []overloadPattern {
	even, surge := [overloadDomains]float64{1, 1, 1, 1}, [overloadDomains]float64{9, 1, 1, 1}
	patterns := []overloadPattern{
		{name: "32 hosts, steady at 0.8", burstLoad: 0.8, domainWeights: even},
		{name: "32 hosts, surge of 9 times in one domain", burstLoad: 1.5, calmLoad: 0.5, domainWeights: surge, isCalmEven: true},
		{name: "32 hosts, surge of 6 times, 16 of 40 targets crashed", burstLoad: 1.8, crashed: 16, domainWeights: even},
	}
	for i := range patterns {
		patterns[i].hostsPerDomain, patterns[i].targets, patterns[i].classes = 8, 40, surgeClasses()
	}
	fleet := patterns[1]
	fleet.name, fleet.hostsPerDomain = "104 hosts, surge of 9 times in one domain", 26
	return append(patterns, fleet)
}

// overloadStrategy decides which requests wait, are rejected and are sent where.
type overloadStrategy int

// The strategies that are compared.
const (
	// strategyPlacement is the decisions of package placement.
	strategyPlacement overloadStrategy = iota
	// strategyShared is the decisions of package placement with shared admission.
	strategyShared
	// strategyNoWait sends each request at once.
	strategyNoWait
	// strategyFirstCome queues requests for a target and sends them in the order of
	// arrival.
	strategyFirstCome
)

// String returns the name that the tables print.
func (s overloadStrategy) String() string {
	return [...]string{"placement", "shared admission", "no waiting", "first come first served"}[s]
}

// sharedAdmission returns the value of placement.Config.SharedAdmission of the strategy.
func (s overloadStrategy) sharedAdmission() placement.SharedAdmission {
	if s == strategyShared {
		return placement.FullAdmission
	}
	return placement.NoSharedAdmission
}

// usesPlacement reports whether package placement decides.
func (s overloadStrategy) usesPlacement() bool {
	return s == strategyPlacement || s == strategyShared
}

// Overload compares the handling of loads above what the targets can serve with that
// of an ideal schedule and of two simple strategies. Figures count the requests that
// arrive during the burst, and for "after it" those that arrive within
// overloadAftermath after it. The ideal schedule knows in advance how long each request
// takes, which no host can; the capacity is what is possible with the means alone.
func Overload(seed uint64) ([]*Table, error) {
	t := NewTable(
		fmt.Sprintf("overload: 8 hosts in 4 domains and 14 targets of 2 slots, or 32 or 104 hosts and 40 targets, seed %d", seed),
		"pattern", "way", "requests", "in time", "of best priority", "late", "failed", "rejected tries", "refused by targets", "wasted work", "share of ideal", "share of capacity", "in time after it",
	)
	for _, p := range overloadPatterns() {
		for _, s := range []overloadStrategy{strategyPlacement, strategyShared, strategyNoWait, strategyFirstCome} {
			r := newOverloadRun(p, s, seed)
			r.run()
			r.result().addTo(t, p.name, s.String())
		}
	}
	return []*Table{t}, nil
}

// overloadResult is the outcome of a run.
type overloadResult struct {
	requests, inTime, late, failed int
	// urgent are the requests of the best priority, urgentInTime those of them in time.
	urgent, urgentInTime int
	// rejected is the number of tries that a host rejected during the burst.
	rejected int
	// refused is the fraction of the requests at targets that these refused during the
	// burst.
	refused float64
	// wasted is the fraction of the work of targets during the burst that was spent on
	// requests that were not answered in time.
	wasted float64
	// ideal is the number of requests that a central queue answers in time that knows the
	// work time of each request.
	ideal int
	// capacity is the number of requests that the slots can serve during the burst if
	// each takes the mean work time of its class, those of the best priority first.
	capacity int
	// inTimeAfter is the fraction of the requests after the burst answered in time.
	inTimeAfter float64
}

// shareOfIdeal returns the fraction of the answers in time that were reached of those of
// a central queue that knows each work time.
func (r overloadResult) shareOfIdeal() float64 {
	return float64(r.inTime) / float64(r.ideal)
}

// shareOfCapacity returns the answers in time as a fraction of capacity.
func (r overloadResult) shareOfCapacity() float64 {
	return float64(r.inTime) / float64(r.capacity)
}

func (r overloadResult) addTo(t *Table, pattern, strategy string) {
	t.Add(pattern, strategy, r.requests, r.inTime, float64(r.urgentInTime)/float64(r.urgent), r.late, r.failed, r.rejected, r.refused, r.wasted, r.shareOfIdeal(), r.shareOfCapacity(), r.inTimeAfter)
}
