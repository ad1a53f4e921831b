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

// sighters are three balancers that see targets fail, and the holder of their
// lease.
type sighters struct {
	c      *qt.C
	holder *control
	others []*control
	cfg    service.Config
}

func newSighters(c *qt.C) *sighters {
	s := service.Service{Name: "levy-desk"}
	for i := range 4 {
		s.Pool = append(s.Pool, service.Target{Name: fmt.Sprintf("t%d", i), Domain: "west-a", Weight: 1, Slots: 1})
	}
	x := &sighters{c: c, cfg: service.Config{}.WithNumber(1).WithService(s)}
	var known []member.Member
	for i := range 4 {
		ctl := newTestControl(fake.NewPlatform(fake.PlatformConfig{}).Transport())
		ctl.b.self.Name, ctl.b.self.Life = fmt.Sprintf("b%d", i+1), uint64(i+1)
		ctl.b.cfg.IsPartitioned = func(_, _ string) bool { return true }
		ctl.b.requests = &requests{}
		ctl.config = x.cfg
		ctl.duties.adopted()
		ctl.targets.pools["levy-desk"] = target.NewPool(target.Config{Domain: "west-a"})
		ctl.targets.pools["levy-desk"].Handle(ctl.b.now(), target.ServiceConfigured{Number: 1, Service: s})
		known = append(known, ctl.b.self)
		x.others = append(x.others, ctl)
	}
	for _, ctl := range x.others {
		ctl.b.current.Store((&snapshot{}).withMembers(known))
	}
	x.holder, x.others = x.others[0], x.others[1:]
	x.holder.targets.agreement = target.NewHealthAggregator(target.HealthAggregatorConfig{Domain: "west-a", Fence: 1})
	x.holder.targets.voiced = make(map[string]voiced)
	x.holder.targets.agreement.Handle(0, target.ConfigChanged{Config: x.cfg})
	return x
}

// report carries the report of one balancer to the holder, and the holder's
// acknowledgement back if it is not lost. It returns the size of the report.
func (x *sighters) report(ctl *control, acknowledged bool) int {
	payload, err := json.Marshal(ctl.duties.seen.with(ctl.duties.own(), "b1"))
	x.c.Assert(err, qt.IsNil)
	d, err := decodeDuty(payload)
	x.c.Assert(err, qt.IsNil)
	from := peer.Sender{Name: ctl.b.self.Name, Domain: "west-a", Life: ctl.b.self.Life}
	x.holder.duties.take(from, d)
	if acknowledged && d.report.Base == 0 {
		ctl.duties.seen.acknowledged(peer.Sender{Name: "b1", Life: 1}, target.Ack{Number: d.report.Number})
	}
	return len(payload)
}

// TestSightingsReachTheAgreement lets two of three balancers see a target fail,
// and sends copies without sightings in between.
func TestSightingsReachTheAgreement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		x := newSighters(c)
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
					x.holder.duties.take(from, duty{Ready: true})
				}
				for _, e := range x.holder.targets.agreement.Handle(x.holder.b.now(), target.Tick{}) {
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

// TestUsableGapsFollowTheShares gives a new target the least level: the core of
// requests is told of its gap, and of none for a target with its whole share.
func TestUsableGapsFollowTheShares(t *testing.T) {
	c := qt.New(t)
	x := newSighters(c)
	ctl := x.holder
	more := x.cfg.Services[0].WithTarget(service.Target{Name: "t9", Domain: "west-a", Weight: 1, Slots: 2})
	ctl.served = x.cfg.WithNumber(2).WithService(more)
	ctl.targets.pools["levy-desk"].Handle(ctl.b.now(), target.ServiceConfigured{Number: 2, Service: more})
	e := ctl.targets.usable()
	cold := request.TargetKey{Service: "levy-desk", Target: "t9"}
	c.Check(e.SlotIdleTimes[cold] > 0, qt.IsTrue)
	c.Check(e.SlotIdleTimes, qt.HasLen, 1)
	s, _ := e.Config.Service("levy-desk")
	i := len(s.Pool) - 1
	c.Check(s.Pool[i].Name, qt.Equals, "t9")
	c.Check(s.Pool[i].Slots, qt.Equals, 1)
}

// TestListsOfAnOlderProgramAreUnderstood lets three balancers send lists of
// opinions as JSON, as programs without reports do.
func TestListsOfAnOlderProgramAreUnderstood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		x := newSighters(c)
		agreed := target.Health{}
		for range 10 {
			for _, ctl := range x.others {
				d, err := decodeDuty([]byte(`{"ready":true,"opinions":[{"Service":"levy-desk","Target":"t1","Level":0},` +
					`{"Service":"levy-desk","Target":"t2","Level":8}]}`))
				c.Assert(err, qt.IsNil)
				x.holder.duties.take(peer.Sender{Name: ctl.b.self.Name, Domain: "west-a", Life: ctl.b.self.Life}, d)
			}
			for _, e := range x.holder.targets.agreement.Handle(x.holder.b.now(), target.Tick{}) {
				agreed = e.(target.PublishHealth).Health
			}
			time.Sleep(500 * time.Millisecond)
		}
		c.Check(agreed.Level("levy-desk", "t1"), qt.Equals, target.LevelNone)
		c.Check(agreed.Level("levy-desk", "t2"), qt.Equals, target.LevelFull)
	})
}
