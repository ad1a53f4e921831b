package host

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/placement"
	"wisteriaweir/platform"
)

// TestOutageAge holds that the store counts as away before entries can lapse, three
// heartbeats after their last.
func TestOutageAge(t *testing.T) {
	for beat, want := range map[time.Duration]time.Duration{
		0:                       2500 * time.Millisecond,
		800 * time.Millisecond:  1600 * time.Millisecond,
		1200 * time.Millisecond: 2400 * time.Millisecond,
		3 * time.Second:         2500 * time.Millisecond,
	} {
		h := &Host{cfg: Config{Settings: platform.HostSettings{HeartbeatInterval: beat}}}
		qt.Check(t, h.outageAge(), qt.Equals, want, qt.Commentf("%v", beat))
	}
}

// TestLoadWithinBudget holds that words on the load keep to their bytes a second
// whatever the number of targets and neighbours, and leave the fullest in.
func TestLoadWithinBudget(t *testing.T) {
	for _, peers := range []int{0, 1, 3, 19, loadHosts} {
		for _, targets := range []int{0, 5, 150, 2000} {
			l := placement.Load{Targets: map[uint32]placement.TargetLoad{}}
			for i := range targets {
				l.Targets[uint32(i)] = placement.TargetLoad{Busy: 1 + i%7}
			}
			told, wait := withinBudget(l, peers)
			qt.Check(t, wait > 0 && wait <= loadMost, qt.IsTrue)
			if wait < loadMost {
				qt.Check(t, cost(told, peers) <= loadBudget*wait.Seconds()*1.001, qt.IsTrue, qt.Commentf("%d peers, %d targets", peers, targets))
			}
			if targets > 6 {
				_, full := told.Targets[6]
				qt.Check(t, full, qt.IsTrue, qt.Commentf("%d peers, %d targets", peers, targets))
			}
		}
	}
}
