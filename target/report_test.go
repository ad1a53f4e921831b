package target_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wisteriaweir/service"
	"wisteriaweir/target"
	"wisteriaweir/target/targetpb"
)

// sentReport is a report in transit, with the opinions that it encodes.
type sentReport struct {
	member   string
	number   uint64
	report   []byte
	opinions []target.Opinion
}

// comparison has an aggregator that receives reports, and one that receives the full lists
// of opinions at the same times.
type comparison struct {
	t           *rapid.T
	cfg         service.Config
	fromLists   *target.HealthAggregator
	fromReports *target.HealthAggregator
	assemblers  map[string]*target.ReportAssembler
	delivered   map[string]target.DeliveredOpinions
	// newest has the number of the last report of each balancer that was applied.
	newest map[string]uint64
	// unusable counts the newest reports that could not be applied.
	unusable int
}

// deliver passes one report to both aggregators. It returns the acknowledgement, or nil.
func (r *comparison) deliver(now time.Duration, m sentReport) *target.Ack {
	report, err := targetpb.UnmarshalReport(m.report)
	if err != nil {
		r.t.Fatal(err)
	}
	l := r.assemblers[m.member]
	used, ack := l.Apply(report)
	if m.number <= r.newest[m.member] {
		if used {
			r.t.Fatalf("report %d of %s was used after %d", m.number, m.member, r.newest[m.member])
		}
		return ack
	}
	if !used {
		r.unusable++
		return ack
	}
	r.newest[m.member] = m.number
	r.fromLists.Handle(now, target.OpinionsReplaced{Member: m.member, Opinions: m.opinions})
	full, _, ok := l.NextEvent(m.member, r.cfg, target.DeliveredOpinions{})
	if opinions := full.(target.OpinionsReplaced).Opinions; !ok || !reflect.DeepEqual(opinions, m.opinions) {
		r.t.Fatalf("report %d of %s decodes to %v, want %v", m.number, m.member, opinions, m.opinions)
	}
	if !r.fromReports.HasOpinions(m.member) {
		r.delivered[m.member] = target.DeliveredOpinions{}
	}
	event, delivered, ok := l.NextEvent(m.member, r.cfg, r.delivered[m.member])
	if !ok {
		r.t.Fatalf("report %d of %s does not fit the configuration", m.number, m.member)
	}
	r.fromReports.Handle(now, event)
	r.delivered[m.member] = delivered
	return ack
}

// TestReportsGiveTheSameHealthAsFullLists sends reports to one aggregator over a
// network that loses, delays and reorders them and loses their acknowledgements, and the
// full lists of opinions to another one. Both must publish the same health at the same
// times.
func TestReportsGiveTheSameHealthAsFullLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "targets")
		s := service.Service{Name: "levy-desk"}
		for i := range n {
			s = s.WithTarget(newTarget(name(i), "d0", false))
		}
		cfg := service.Config{}.WithNumber(1).WithService(s)
		r := &comparison{
			t: t, cfg: cfg, fromLists: newAggregator(n), fromReports: newAggregator(n),
			assemblers: map[string]*target.ReportAssembler{}, delivered: map[string]target.DeliveredOpinions{}, newest: map[string]uint64{},
		}
		happens := func(label string, percent int) bool { return rapid.IntRange(0, 99).Draw(t, label) < percent }
		lossPercent := rapid.SampledFrom([]int{0, 10, 40}).Draw(t, "loss")
		to := target.ReportDestination{Name: "holder", Life: 1}
		reporters, levels := map[string]*target.Reporter{}, map[string][]int{}
		var inFlight []sentReport
		for i := range 4 {
			m := fmt.Sprintf("m%d", i)
			reporters[m], r.assemblers[m], levels[m] = &target.Reporter{}, &target.ReportAssembler{}, make([]int, n)
		}
		for now := time.Duration(0); now < time.Minute; now += 500 * time.Millisecond {
			for i := range 4 {
				m := fmt.Sprintf("m%d", i)
				if happens("change", 30) {
					levels[m][rapid.IntRange(0, n-1).Draw(t, "target")] = rapid.SampledFrom([]int{-1, 0, 0, 1, 8}).Draw(t, "level")
				}
				var opinions []target.Opinion
				for j, level := range levels[m] {
					if level >= 0 {
						opinions = append(opinions, target.Opinion{Service: "levy-desk", Target: name(j), Level: target.Level(level)})
					}
				}
				report := reporters[m].NextReport(now, to, cfg, opinions)
				b, err := targetpb.MarshalReport(report)
				if err != nil {
					t.Fatal(err)
				}
				inFlight = append(inFlight, sentReport{member: m, number: report.Number, report: b, opinions: opinions})
			}
			var delayed []sentReport
			for _, m := range inFlight {
				if happens("late", lossPercent/2) {
					delayed = append(delayed, m)
					continue
				}
				if happens("lost", lossPercent) {
					continue
				}
				if ack := r.deliver(now, m); ack != nil && !happens("ack lost", lossPercent) {
					reporters[m.member].HandleAck(to, ack.Number)
				}
			}
			inFlight = delayed
			a, b := r.fromLists.Handle(now, target.Tick{}), r.fromReports.Handle(now, target.Tick{})
			if !reflect.DeepEqual(a, b) {
				t.Fatalf("%v: full lists give %v, reports give %v", now, a, b)
			}
		}
		if r.unusable > 0 {
			t.Fatalf("%d reports could not be used although their base had been acknowledged", r.unusable)
		}
	})
}

// TestNewLeaseHolderGetsAFullReport replaces the ReportAssembler, as a restart of the
// lease holder does. The next report lacks its base there, and the one after it must be a
// full report. A new process instance or a new configuration gets a full report at once.
func TestNewLeaseHolderGetsAFullReport(t *testing.T) {
	cfg := service.Config{}.WithNumber(1).WithService(service.Service{Name: "levy-desk", Pool: []service.Target{newTarget("a", "d0", false)}})
	opinions := []target.Opinion{{Service: "levy-desk", Target: "a", Level: target.LevelFull}}
	to, r, l := target.ReportDestination{Name: "holder", Life: 1}, &target.Reporter{}, &target.ReportAssembler{}
	_, ack := l.Apply(r.NextReport(0, to, cfg, opinions))
	r.HandleAck(to, ack.Number)
	if report := r.NextReport(1, to, cfg, opinions); report.Base == 0 || len(report.Changes) > 0 {
		t.Fatalf("%+v is not a report of changes", report)
	}
	l = &target.ReportAssembler{}
	used, ack := l.Apply(r.NextReport(2, to, cfg, opinions))
	if used || ack == nil || ack.Number != 0 {
		t.Fatalf("a report without its base was used: %v, %v", used, ack)
	}
	r.HandleAck(to, ack.Number)
	if used, _ := l.Apply(r.NextReport(3, to, cfg, opinions)); !used {
		t.Fatal("no full report after the acknowledgement")
	}
	if report := r.NextReport(4, target.ReportDestination{Name: "holder", Life: 2}, cfg, opinions); report.Base != 0 {
		t.Fatalf("a new lease holder got %+v", report)
	}
	other := cfg.WithNumber(2)
	if report := r.NextReport(5, to, other, opinions); report.Base != 0 || report.ConfigNumber != 2 {
		t.Fatalf("a new configuration is reported as %+v", report)
	}
}
