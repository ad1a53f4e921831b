package balancer

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/fake"
	"wisteriaweir/service"
)

// TestFirstConfigurationStartsNoTarget guards against an aggregator that treats
// all targets as new and reduces their levels. This happens if a balancer that
// acquires the lease before it has a configuration creates the aggregator
// without one: the targets of the first configuration then seem to be added.
func TestFirstConfigurationStartsNoTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctl := newTestControl(fake.NewPlatform(fake.PlatformConfig{}).Transport())
		acquireLease(c, ctl)
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
