package balancer

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/panjf2000/ants/v2"

	"wisteriaweir/fake"
	"wisteriaweir/flow"
	"wisteriaweir/service"
	"wisteriaweir/target"
)

// TestSlowUnansweredFlowsEjectTheirTarget guards against an unresponsive target
// that is not ejected because its flows are slow. Two unanswered datagrams per
// evaluationInterval are fewer than minUnansweredDatagrams, so the counts of
// several intervals must be summed up.
func TestSlowUnansweredFlowsEjectTheirTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pool, err := ants.NewPool(1)
		c.Assert(err, qt.IsNil)
		defer pool.Release()
		ctl := newTestControl(fake.NewPlatform(fake.PlatformConfig{}).Transport())
		queue := newSerialQueue(pool, 1)
		release := make(chan struct{})
		queue.pushAlways(func() { <-release })
		synctest.Wait()
		defer func() {
			queue.drain() // The queued events must not run: the queue has no core.
			close(release)
		}()
		ctl.b.requests = &requests{queue: queue}
		s := service.Service{Name: "levy-desk", Pool: []service.Target{
			{Name: "mute", Domain: "west-a", Weight: 1, Slots: 2},
			{Name: "sound", Domain: "west-a", Weight: 1, Slots: 2},
		}}
		targetPool := target.NewPool(target.Config{Domain: "west-a"})
		ctl.targets.pools[s.Name] = targetPool
		ctl.targets.handle(s.Name, target.ServiceConfigured{Number: 1, Service: s})
		unresponsive := flow.NewTargetID(s.Name, "mute")
		ctl.targets.names[unresponsive] = targetName{service: s.Name, target: "mute"}
		for range 20 {
			time.Sleep(evaluationInterval)
			ctl.targets.addDatagramCounts(unresponsive, datagramCounts{forwarded: 2})
			ctl.targets.handle(s.Name, target.Answered{Target: "sound", IsFlow: true, Count: 1})
			ctl.targets.evaluateFlows(ctl.b.now())
			ctl.targets.handle(s.Name, target.Tick{})
		}
		share, ok := targetPool.Shares().Find("mute")
		c.Assert(ok, qt.IsTrue)
		c.Check(share.IsEligible(), qt.IsFalse, qt.Commentf("%+v", share))
	})
}
