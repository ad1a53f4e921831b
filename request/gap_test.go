package request_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/request"
	"wisteriaweir/service"
)

// gapWork is how long the targets of these tests work on a request.
const gapWork = 40 * time.Millisecond

// keepBusy offers a pool twice what it can do for ten seconds and returns how
// many requests each target got.
func keepBusy(targets []service.Target, gaps map[request.TargetKey]time.Duration) map[string]int {
	self := request.Member{Peer: request.Peer{Name: "b1", Life: 1}, Domain: "d1"}
	core := request.New(request.Config{Self: self, Limits: request.Limits{MaxQueued: 1 << 20, MaxPerCaller: 1 << 20, MaxRecords: 1 << 20, MaxClaims: 1 << 20}})
	desk := service.Service{Name: "levy-desk", Pool: targets}
	core.Handle(0, request.ConfigChanged{
		Config:        service.Config{}.WithNumber(1).WithService(desk),
		SlotIdleTimes: gaps,
	})
	core.Handle(0, request.ViewChanged{Members: []request.Member{self}})
	ran, running := map[string]int{}, map[time.Duration][]request.Forward{}
	n := 0
	for now := time.Millisecond; now < 10*time.Second; now += time.Millisecond {
		var effects []request.Effect
		for _, f := range running[now] {
			effects = append(effects, core.Handle(now, request.Answered{Token: f.Token, Target: f.Target.Name, Code: 69})...)
		}
		if now%(10*time.Millisecond) == time.Millisecond {
			n++
			effects = append(effects, core.Handle(now, request.Received{Request: request.Request{
				Key:     request.Key{Caller: netip.MustParseAddrPort("127.0.0.9:9000"), Token: fmt.Sprint(n)},
				Service: "levy-desk", Repeatable: true, Remaining: time.Second,
			}})...)
		}
		effects = append(effects, core.Handle(now, request.Tick{})...)
		for _, e := range effects {
			if f, ok := e.(request.Forward); ok {
				ran[f.Target.Name]++
				running[now+gapWork] = append(running[now+gapWork], f)
			}
		}
	}
	return ran
}

func gapOf(name string) map[request.TargetKey]time.Duration {
	return map[request.TargetKey]time.Duration{{Service: "levy-desk", Target: name}: 3 * gapWork}
}

// TestSlotStaysIdleForItsGap keeps two targets busy, of which one gets an eighth
// of its two slots: one slot, idle for three times the work.
func TestSlotStaysIdleForItsGap(t *testing.T) {
	c := qt.New(t)
	ran := keepBusy([]service.Target{
		{Name: "cold", Domain: "d1", Slots: 1}, {Name: "warm", Domain: "d1", Slots: 2},
	}, gapOf("cold"))
	share := float64(ran["cold"]) / float64(ran["warm"])
	c.Check(share > 0.11 && share < 0.14, qt.IsTrue, qt.Commentf("%v: the cold target got %.3f of what the warm one got", ran, share))
}

// TestNoSlotStaysIdleWhereNobodyElseCan keeps a target busy that gets an eighth,
// while no other target takes what it leaves.
func TestNoSlotStaysIdleWhereNobodyElseCan(t *testing.T) {
	c := qt.New(t)
	ran := keepBusy([]service.Target{
		{Name: "cold", Domain: "d1", Slots: 1}, {Name: "warm", Domain: "d1", Slots: 2, Drain: true},
	}, gapOf("cold"))
	most := int(10 * time.Second / gapWork)
	c.Check(ran["cold"] > most*95/100, qt.IsTrue, qt.Commentf("%v of at most %d", ran, most))
	c.Check(ran["warm"], qt.Equals, 0)
}
