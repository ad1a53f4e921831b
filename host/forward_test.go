package host

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/placement"
	"wisteriaweir/platform"
)

// TestOutageAge guards against an outage of the store that is recognized only after
// entries can expire, which they do three heartbeat intervals after their last
// heartbeat.
func TestOutageAge(t *testing.T) {
	for heartbeatInterval, want := range map[time.Duration]time.Duration{
		0:                       2500 * time.Millisecond,
		800 * time.Millisecond:  1600 * time.Millisecond,
		1200 * time.Millisecond: 2400 * time.Millisecond,
		3 * time.Second:         2500 * time.Millisecond,
	} {
		h := &Host{cfg: Config{Settings: platform.HostSettings{HeartbeatInterval: heartbeatInterval}}}
		qt.Check(t, h.outageAge(), qt.Equals, want, qt.Commentf("%v", heartbeatInterval))
	}
}

// TestLoadWithinBudget guards against load reports that exceed their limit of bytes
// per second with many targets or peers, and against reports that leave out the
// targets with the most load.
func TestLoadWithinBudget(t *testing.T) {
	for _, peers := range []int{0, 1, 3, 19, maxLoadReportHosts} {
		for _, targets := range []int{0, 5, 150, 2000} {
			l := placement.LoadReport{Targets: map[uint32]placement.TargetLoad{}}
			for i := range targets {
				l.Targets[uint32(i)] = placement.TargetLoad{Busy: 1 + i%7}
			}
			fitted, interval := fitBudget(l, peers)
			qt.Check(t, interval > 0 && interval <= maxLoadInterval, qt.IsTrue)
			if interval < maxLoadInterval {
				qt.Check(t, reportBytes(fitted, peers) <= loadBytesPerSecond*interval.Seconds()*1.001, qt.IsTrue, qt.Commentf("%d peers, %d targets", peers, targets))
			}
			if targets > 6 {
				_, hasFullest := fitted.Targets[6]
				qt.Check(t, hasFullest, qt.IsTrue, qt.Commentf("%d peers, %d targets", peers, targets))
			}
		}
	}
}

// TestSwitchesReachPlacement guards against a setting of the host without any effect.
func TestSwitchesReachPlacement(t *testing.T) {
	f := &forwarder{h: &Host{cfg: Config{
		HostsPerTarget: 4, TargetSpeed: true, SharedAdmission: placement.ShortFlowAdmission,
		Settings: platform.HostSettings{Name: "one", Domain: "west-a", WarmupOvershoot: 1.5, WarmupSlack: 5, LinkMbps: 2},
	}}}
	cfg := f.placementConfig()
	qt.Check(t, cfg.Host, qt.Equals, "one")
	qt.Check(t, cfg.LinkMbps, qt.Equals, 2.0)
	qt.Check(t, cfg.Domain, qt.Equals, "west-a")
	qt.Check(t, cfg.HostsPerTarget, qt.Equals, 4)
	qt.Check(t, cfg.TargetSpeed, qt.IsTrue)
	qt.Check(t, cfg.SharedAdmission, qt.Equals, placement.ShortFlowAdmission)
	qt.Check(t, cfg.Warmup, qt.Equals, placement.WarmupConfig{Overshoot: 1.5, Slack: 5})
}
