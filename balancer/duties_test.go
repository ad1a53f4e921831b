package balancer

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/fake"
	"wisteriaweir/fleet"
	"wisteriaweir/peer"
)

// TestReadyReportFromBeforeAJoinIsIgnored guards against activating a member
// because of an outdated report. A balancer joins again as the same instance. A
// status report in which it is ready, but which refers to a fleet state before
// the join, must not count.
func TestReadyReportFromBeforeAJoinIsIgnored(t *testing.T) {
	c := qt.New(t)
	ctl := newTestControl(fake.NewPlatform(fake.PlatformConfig{}).Transport())
	b2 := fleet.Member{Name: "b2", Domain: "west-a", Life: 3, State: fleet.StateActive}
	from := peer.Sender{Name: "b2", Domain: "west-a", Life: 3}
	ready := func(number uint64, state fleet.State) bool {
		ctl.fleet = fleet.Fleet{Number: number}.WithMember(b2.WithState(state))
		ctl.statusReports.applyFleet()
		for _, r := range ctl.proposer.reports() {
			if r.Member.Name == "b2" {
				return r.Ready
			}
		}
		return false
	}
	ctl.statusReports.handle(from, statusReport{Ready: true, FleetNumber: 5})
	c.Check(ready(5, fleet.StateActive), qt.IsTrue)
	c.Check(ready(7, fleet.StateJoining), qt.IsFalse)
	ctl.statusReports.handle(from, statusReport{Ready: true, FleetNumber: 6})
	c.Check(ready(8, fleet.StateJoining), qt.IsFalse)
	ctl.statusReports.handle(from, statusReport{Ready: true, FleetNumber: 7})
	c.Check(ready(8, fleet.StateJoining), qt.IsTrue)
}
