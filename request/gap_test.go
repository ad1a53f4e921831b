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

// workDuration is the service time of the targets in these tests.
const workDuration = 40 * time.Millisecond

// runOverloaded sends 100 requests per second to a pool for 10 s, more than its
// targets can run, and returns how many requests each target got.
func runOverloaded(targets []service.Target, slotIdleTimes map[request.TargetKey]time.Duration) map[string]int {
	self := request.Member{Peer: request.Peer{Name: "b1", Life: 1}, Domain: "d1"}
	core := request.New(request.Config{Self: self, Limits: request.Limits{MaxQueued: 1 << 20, MaxPerCaller: 1 << 20, MaxRecords: 1 << 20, MaxClaims: 1 << 20}})
	desk := service.Service{Name: "levy-desk", Pool: targets}
	core.Handle(0, request.ConfigChanged{
		Config:        service.Config{}.WithNumber(1).WithService(desk),
		SlotIdleTimes: slotIdleTimes,
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
				running[now+workDuration] = append(running[now+workDuration], f)
			}
		}
	}
	return ran
}

// idleTimesOf returns a slot idle time of three service times for one target.
func idleTimesOf(name string) map[request.TargetKey]time.Duration {
	return map[request.TargetKey]time.Duration{{Service: "levy-desk", Target: name}: 3 * workDuration}
}

// TestSlotStaysIdleForItsGap guards against a target that gets more or less than
// the share that its slot idle time results in. The warm target has two slots. The
// cold target has one, which stays idle for three service times after each attempt,
// so that the cold target must get an eighth of what the warm one gets.
func TestSlotStaysIdleForItsGap(t *testing.T) {
	c := qt.New(t)
	ran := runOverloaded([]service.Target{
		{Name: "cold", Domain: "d1", Slots: 1}, {Name: "warm", Domain: "d1", Slots: 2},
	}, idleTimesOf("cold"))
	ratio := float64(ran["cold"]) / float64(ran["warm"])
	c.Check(ratio > 0.11 && ratio < 0.14, qt.IsTrue, qt.Commentf("%v: the cold target got %.3f of what the warm one got", ran, ratio))
}

// TestNoSlotStaysIdleWithoutOtherCapacity guards against a slot that stays idle
// after an attempt although no other target can run the queued requests, because
// the only other one is draining.
func TestNoSlotStaysIdleWithoutOtherCapacity(t *testing.T) {
	c := qt.New(t)
	ran := runOverloaded([]service.Target{
		{Name: "cold", Domain: "d1", Slots: 1}, {Name: "warm", Domain: "d1", Slots: 2, Draining: true},
	}, idleTimesOf("cold"))
	maxRuns := int(10 * time.Second / workDuration)
	c.Check(ran["cold"] > maxRuns*95/100, qt.IsTrue, qt.Commentf("%v of at most %d", ran, maxRuns))
	c.Check(ran["warm"], qt.Equals, 0)
}
