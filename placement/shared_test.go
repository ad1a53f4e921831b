package placement_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/catalog"
	"wisteriaweir/packet"
	"wisteriaweir/placement"
	"wisteriaweir/route"
)

// Ports of the routes of an urgent priority and of a worse one to the same service.
const (
	urgentPort = 81
	worsePort  = 80
)

// newSharedCore returns a core with two targets and a route of each priority.
func newSharedCore(mode placement.SharedAdmission) *placement.Core {
	var routes []route.Route
	for priority, port := range []uint16{urgentPort, worsePort} {
		routes = append(routes, route.Route{
			Name: string(rune('a' + priority)), Address: route.Address{IP: serviceIP, Port: port}, Kind: route.Safe, Priority: priority,
			WeightedServices: []route.WeightedService{{Service: "desk", Weight: 1}},
		})
	}
	var targets []catalog.Target
	for i := range 2 {
		targets = append(targets, catalog.Target{
			ID: string(rune('a' + i)), Service: "desk", Slots: 2, Domain: "west-a", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	c := placement.New(placement.Config{Domain: "west-a", Seed: 1, MaxFlows: 1000, SharedAdmission: mode})
	c.SetCatalog(0, catalog.Catalog{}.WithRoutes(route.NewTable(1, time.Minute, routes), at(1)).WithTargets(targets, at(1)))
	return c
}

// open opens a flow and returns the decision.
func open(c *placement.Core, now time.Duration, port, callerPort uint16) placement.Decision {
	key := packet.FlowKey{CallerIP: 0x64400001, CallerPort: callerPort, ServiceIP: serviceIP, ServicePort: port}
	return c.Handle(now, packet.Packet{Flow: key, Flags: packet.Syn, Seq: 1}, nil)
}

// reportLevel lets two domain peers report a level of the service.
func reportLevel(c *placement.Core, now time.Duration, level float64) {
	for _, name := range []string{"x", "y"} {
		c.SetPeerLoad(now, name, placement.LoadReport{Services: map[string]placement.ServiceLoad{"desk": {Domain: "west-a", Level: level}}})
	}
}

// TestReportedLevelRejectsWorsePriorities guards, for a host that starts amid a surge, against
// worse priorities that are admitted there, urgent ones that are rejected, a level that is not
// passed on, and one that outlasts the reports.
func TestReportedLevelRejectsWorsePriorities(t *testing.T) {
	c := newSharedCore(placement.FullAdmission)
	reportLevel(c, time.Second, 1)
	now := 1050 * time.Millisecond
	rejected := 0
	for i := range uint16(10) {
		if d := open(c, now, worsePort, i); d == (placement.Reject{Reason: placement.NotAdmitted}) {
			rejected++
		}
	}
	qt.Assert(t, rejected >= 7, qt.IsTrue, qt.Commentf("%d rejected", rejected))
	_, ok := open(c, now, urgentPort, 1).(placement.Forward)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, c.LoadReport(now).Services["desk"].Level > 0.5, qt.IsTrue)
	qt.Assert(t, c.Levels(4*time.Second), qt.HasLen, 0)
	qt.Assert(t, c.LoadReport(4*time.Second).Services, qt.HasLen, 0)
}

// TestWithoutSharedAdmissionLevelsAreIgnored guards against decisions that depend on the
// levels of other hosts although the part is off.
func TestWithoutSharedAdmissionLevelsAreIgnored(t *testing.T) {
	c := newSharedCore(placement.NoSharedAdmission)
	reportLevel(c, time.Second, 1)
	_, ok := open(c, 1050*time.Millisecond, worsePort, 1).(placement.Forward)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, c.LoadReport(2*time.Second).Services, qt.HasLen, 0)
}

// TestLevelOfLongFlowsIsIgnored guards against new flows that are rejected by a level although
// only services with short flows have one, and no flow of the service is known to be short.
func TestLevelOfLongFlowsIsIgnored(t *testing.T) {
	c := newSharedCore(placement.ShortFlowAdmission)
	reportLevel(c, time.Second, 1)
	_, ok := open(c, 1050*time.Millisecond, worsePort, 1).(placement.Forward)
	qt.Assert(t, ok, qt.IsTrue)
}

// slowResponses lets four flows at a time get responses after 300 ms, at low load, and
// returns the highest level.
func slowResponses(c *placement.Core, drained bool) float64 {
	now, highest := time.Second, 0.0
	for round := range uint16(5) {
		for i := range uint16(4) {
			key := packet.FlowKey{CallerIP: 0x64400001, CallerPort: 100*round + i, ServiceIP: serviceIP, ServicePort: urgentPort}
			c.Handle(now, packet.Packet{Flow: key, Flags: packet.Syn, Seq: 1}, nil)
			stamp := placement.StampOf(string(rune('a' + i%2)))
			c.Handle(now+10*time.Millisecond, packet.Packet{Flow: key, Flags: packet.Ack, Stamp: stamp, Seq: 2, AckSeq: 1, Size: 100}, nil)
			if drained {
				c.RecordSocketDrained(now + 310*time.Millisecond)
			}
			c.Handle(now+310*time.Millisecond, packet.Packet{Flow: key, Flags: packet.Ack, Stamp: stamp, Seq: 102, AckSeq: 2001}, nil)
		}
		now += 400 * time.Millisecond
		highest = max(highest, c.Levels(now)["desk"])
	}
	return highest
}

// TestLateHostDoesNotRaiseTheLevel guards, at low load, against a host that is slow itself and
// takes its targets for overloaded.
func TestLateHostDoesNotRaiseTheLevel(t *testing.T) {
	qt.Assert(t, slowResponses(newSharedCore(placement.FullAdmission), true) > 0, qt.IsTrue)
	qt.Assert(t, slowResponses(newSharedCore(placement.FullAdmission), false), qt.Equals, 0.0)
}
