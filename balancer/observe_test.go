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

// TestSlowFlowsShowThatTheirTargetIsMute forwards two datagrams in each
// interval to a target that never replies: fewer than what counts in one
// interval have to add up.
func TestSlowFlowsShowThatTheirTargetIsMute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pool, err := ants.NewPool(1)
		c.Assert(err, qt.IsNil)
		defer pool.Release()
		ctl := newTestControl(fake.NewPlatform(fake.PlatformConfig{}).Transport())
		lane := newLane(pool, 1)
		release := make(chan struct{})
		lane.pushAlways(func() { <-release })
		synctest.Wait()
		defer func() {
			lane.take() // Nothing that was asked may run: the lane has no core.
			close(release)
		}()
		ctl.b.requests = &requests{lane: lane}
		s := service.Service{Name: "levy-desk", Pool: []service.Target{
			{Name: "mute", Domain: "west-a", Weight: 1, Slots: 2},
			{Name: "sound", Domain: "west-a", Weight: 1, Slots: 2},
		}}
		desk := target.NewPool(target.Config{Domain: "west-a"})
		ctl.targets.pools[s.Name] = desk
		ctl.targets.handle(s.Name, target.ServiceConfigured{Number: 1, Service: s})
		mute := flow.NewTargetID(s.Name, "mute")
		ctl.targets.names[mute] = targetName{service: s.Name, target: "mute"}
		for range 20 {
			time.Sleep(judgeInterval)
			ctl.targets.sum(mute, flowTally{forwarded: 2})
			ctl.targets.handle(s.Name, target.Answered{Target: "sound", IsFlow: true, Count: 1})
			ctl.targets.judgeFlows(ctl.b.now())
			ctl.targets.handle(s.Name, target.Tick{})
		}
		share, ok := desk.Shares().Find("mute")
		c.Assert(ok, qt.IsTrue)
		c.Check(share.Eligible(), qt.IsFalse, qt.Commentf("%+v", share))
	})
}
