package balancer

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/fake"
	"wisteriaweir/service"
)

// TestFirstConfigurationStartsNoTarget guards against treating all targets as
// new ones, with a reduced level, when a balancer acquires the lease before it
// has a configuration: the targets of its first configuration are not new.
func TestFirstConfigurationStartsNoTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctl := newTestControl(fake.NewPlatform(fake.PlatformConfig{}).Transport())
		acquire(c, ctl)
		ctl.targets.runAggregator(ctl.b.now())
		ctl.config = service.Config{}.WithNumber(1).WithService(service.Service{
			Name: "levy-desk",
			Pool: []service.Target{{Name: "levy-desk-1", Domain: "west-a", Weight: 1, Slots: 2}},
		})
		for range 4 {
			time.Sleep(500 * time.Millisecond)
			ctl.targets.runAggregator(ctl.b.now())
		}
		c.Check(ctl.targets.agreedHealth.Records, qt.HasLen, 0)
	})
}
