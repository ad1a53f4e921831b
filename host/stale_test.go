package host_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/fake"
	"wisteriaweir/host"
	"wisteriaweir/platform"
)

// drainingState is the state of a draining target in a dump.
const drainingState = "draining"

// TestStalePagesHideNoDrain starts a host while a target drains. The first page of its list is
// current, the second one is from before the drain. It guards against a host that counts the
// targets as known up to the revision of the first page, so that it, and the hosts that take
// over its targets, send new flows to the draining target.
func TestStalePagesHideNoDrain(t *testing.T) {
	const pageLag = 3 * time.Second
	store := fake.NewPlatform(fake.PlatformConfig{PageObjects: 3, PageLag: func(kind, after string) time.Duration {
		if kind == platform.KindTargets && after != "" {
			return pageLag
		}
		return 0
	}})
	s := newSystemOf(t, systemConfig{
		lastByte: 161, platform: store, hostDomains: []string{"west-a", "west-b", "west-b"}, targetDomains: []string{"west-a", "west-b"}, targets: 4,
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	qt.Assert(t, s.environment.AddTargets(ctx), qt.IsNil)
	qt.Assert(t, s.environment.Configure(ctx), qt.IsNil)
	for i, settings := range s.settings[:2] {
		start(t, host.Config{Settings: settings, Seed: uint64(i), MonitorAddr: s.monitorAddr(i)})
		await(t, "ready", func() bool { return status(t, settings) == http.StatusOK })
	}
	time.Sleep(pageLag)

	drained := s.lastTarget()
	s.environment.Drain(drained)
	await(t, "drain", func() bool {
		return s.targetState(t, 0, drained) == drainingState && s.targetState(t, 1, drained) == drainingState
	})
	qt.Assert(t, s.environment.Configure(ctx), qt.IsNil) // The store's revision rises.
	start(t, host.Config{Settings: s.settings[2], Seed: 2, MonitorAddr: s.monitorAddr(2)})
	await(t, "ready", func() bool { return status(t, s.settings[2]) == http.StatusOK })
	time.Sleep(time.Second)
	for end := time.Now().Add(maxApplyDelay); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i := range s.settings {
			qt.Assert(t, s.targetState(t, i, drained), qt.Equals, drainingState, qt.Commentf("host %d", i))
		}
	}
}

// lastTarget returns the ID of the target that comes last in a list.
func (s *system) lastTarget() string {
	last := ""
	for id := range s.environment.Targets() {
		last = max(last, id)
	}
	return last
}

// targetState returns the state of a target in the dump of a host.
func (s *system) targetState(t *testing.T, i int, id string) string {
	for _, target := range s.dump(t, i).Targets {
		if target.ID == id {
			return target.Load.State
		}
	}
	return "unknown"
}
