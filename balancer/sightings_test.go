package balancer

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/fake"
	"wisteriaweir/member"
	"wisteriaweir/peer"
	"wisteriaweir/request"
	"wisteriaweir/service"
	"wisteriaweir/target"
)

// observers are the lease holder of a domain and three other balancers of the
// domain, which send it what they observe of targets.
type observers struct {
	c           *qt.C
	leaseHolder *control
	others      []*control
	cfg         service.Config
}

// newObservers returns four balancers that know one service with four targets.
func newObservers(c *qt.C) *observers {
	s := service.Service{Name: "levy-desk"}
	for i := range 4 {
		s.Pool = append(s.Pool, service.Target{Name: fmt.Sprintf("t%d", i), Domain: "west-a", Weight: 1, Slots: 1})
	}
	x := &observers{c: c, cfg: service.Config{}.WithNumber(1).WithService(s)}
	var known []member.Member
	for i := range 4 {
		ctl := newTestControl(fake.NewPlatform(fake.PlatformConfig{}).Transport())
		ctl.b.self.Name, ctl.b.self.Life = fmt.Sprintf("b%d", i+1), uint64(i+1)
		ctl.b.cfg.IsPartitioned = func(_, _ string) bool { return true }
		ctl.b.requests = &requests{}
		ctl.config = x.cfg
		ctl.statusReports.applyFleet()
		ctl.targets.pools["levy-desk"] = target.NewPool(target.Config{Domain: "west-a"})
		ctl.targets.pools["levy-desk"].Handle(ctl.b.now(), target.ServiceConfigured{Number: 1, Service: s})
		known = append(known, ctl.b.self)
		x.others = append(x.others, ctl)
	}
	for _, ctl := range x.others {
		ctl.b.current.Store((&snapshot{}).withMembers(known))
	}
	x.leaseHolder, x.others = x.others[0], x.others[1:]
	x.leaseHolder.targets.aggregator = target.NewHealthAggregator(target.HealthAggregatorConfig{Domain: "west-a", Fence: 1})
	x.leaseHolder.targets.aggregated = make(map[string]aggregatedReport)
	x.leaseHolder.targets.aggregator.Handle(0, target.ConfigChanged{Config: x.cfg})
	return x
}

// report passes the status report of one balancer to the lease holder. If
// acknowledged is true and the opinion report in it is a full one, report also
// passes its acknowledgement back. It returns the size of the status report in
// bytes.
func (x *observers) report(ctl *control, acknowledged bool) int {
	payload, err := json.Marshal(ctl.statusReports.observations.withOpinionReport(ctl.statusReports.local(), "b1"))
	x.c.Assert(err, qt.IsNil)
	d, err := decodeStatusReport(payload)
	x.c.Assert(err, qt.IsNil)
	from := peer.Sender{Name: ctl.b.self.Name, Domain: "west-a", Life: ctl.b.self.Life}
	x.leaseHolder.statusReports.handle(from, d)
	if acknowledged && d.opinionReport.Base == 0 {
		ctl.statusReports.observations.handleAck(peer.Sender{Name: "b1", Life: 1}, target.Ack{Number: d.opinionReport.Number})
	}
	return len(payload)
}

// TestObservationsReachTheAggregator guards against observations that do not
// reach the agreed health, or that are discarded when a status report without
// observations arrives. Two of three balancers observe that a target fails; all
// of them also send status reports without observations in between.
func TestObservationsReachTheAggregator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		x := newObservers(c)
		agreed := target.Health{}
		run := func(seconds int, fail string) {
			for range seconds * 2 {
				for _, ctl := range x.others {
					for i := range 4 {
						name := fmt.Sprintf("t%d", i)
						if name == fail && ctl != x.others[2] {
							ctl.targets.pools["levy-desk"].Handle(ctl.b.now(), target.Failed{Target: name, IsFlow: true})
						} else {
							ctl.targets.pools["levy-desk"].Handle(ctl.b.now(), target.Answered{Target: name, IsFlow: true, Count: 1})
						}
					}
					ctl.targets.pools["levy-desk"].Handle(ctl.b.now(), target.Tick{})
					x.report(ctl, true)
					from := peer.Sender{Name: ctl.b.self.Name, Domain: "west-a", Life: ctl.b.self.Life}
					x.leaseHolder.statusReports.handle(from, statusReport{Ready: true})
				}
				for _, e := range x.leaseHolder.targets.aggregator.Handle(x.leaseHolder.b.now(), target.Tick{}) {
					agreed = e.(target.PublishHealth).Health
				}
				time.Sleep(500 * time.Millisecond)
			}
		}
		run(40, "")
		c.Check(agreed.Level("levy-desk", "t1"), qt.Equals, target.LevelFull)
		run(20, "t1")
		c.Check(agreed.Level("levy-desk", "t1"), qt.Equals, target.LevelNone)
		c.Check(agreed.Level("levy-desk", "t2"), qt.Equals, target.LevelFull)
		run(60, "")
		c.Check(agreed.Level("levy-desk", "t1"), qt.Equals, target.LevelFull)
	})
}

// TestSlotIdleTimesFollowTheShares guards against a new target that gets whole
// slots although it starts at the lowest level: the core of requests must
// receive a slot idle time for it, and none for targets with their full share.
func TestSlotIdleTimesFollowTheShares(t *testing.T) {
	c := qt.New(t)
	x := newObservers(c)
	ctl := x.leaseHolder
	more := x.cfg.Services[0].WithTarget(service.Target{Name: "t9", Domain: "west-a", Weight: 1, Slots: 2})
	ctl.effectiveConfig = x.cfg.WithNumber(2).WithService(more)
	ctl.targets.pools["levy-desk"].Handle(ctl.b.now(), target.ServiceConfigured{Number: 2, Service: more})
	e := ctl.targets.usableConfig()
	newTarget := request.TargetKey{Service: "levy-desk", Target: "t9"}
	c.Check(e.SlotIdleTimes[newTarget] > 0, qt.IsTrue)
	c.Check(e.SlotIdleTimes, qt.HasLen, 1)
	s, _ := e.Config.Service("levy-desk")
	i := len(s.Pool) - 1
	c.Check(s.Pool[i].Name, qt.Equals, "t9")
	c.Check(s.Pool[i].Slots, qt.Equals, 1)
}

// TestListsOfAnOlderProgramAreUnderstood guards against ignoring the opinions of
// balancers of an older program version, which send them as a JSON list instead
// of an encoded opinion report.
func TestListsOfAnOlderProgramAreUnderstood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		x := newObservers(c)
		agreed := target.Health{}
		for range 10 {
			for _, ctl := range x.others {
				d, err := decodeStatusReport([]byte(`{"ready":true,"opinions":[{"Service":"levy-desk","Target":"t1","Level":0},` +
					`{"Service":"levy-desk","Target":"t2","Level":8}]}`))
				c.Assert(err, qt.IsNil)
				x.leaseHolder.statusReports.handle(peer.Sender{Name: ctl.b.self.Name, Domain: "west-a", Life: ctl.b.self.Life}, d)
			}
			for _, e := range x.leaseHolder.targets.aggregator.Handle(x.leaseHolder.b.now(), target.Tick{}) {
				agreed = e.(target.PublishHealth).Health
			}
			time.Sleep(500 * time.Millisecond)
		}
		c.Check(agreed.Level("levy-desk", "t1"), qt.Equals, target.LevelNone)
		c.Check(agreed.Level("levy-desk", "t2"), qt.Equals, target.LevelFull)
	})
}
