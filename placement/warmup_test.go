package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wisteriaweir/catalog"
	"wisteriaweir/evacuation"
	"wisteriaweir/packet"
	"wisteriaweir/placement"
	"wisteriaweir/route"
	"wisteriaweir/warmup"
)

// TestReturnedTargetStaysWarmingUp guards against an entry that arrives after the withdrawal
// of an evacuation, still from before the restart of its target, and that ends the warm-up.
func TestReturnedTargetStaysWarmingUp(t *testing.T) {
	target := catalog.Target{ID: "a", Service: "desk", Domain: "west-a", Slots: 2, Position: at(1)}
	table := route.NewTable(1, time.Minute, nil).WithWarmups(map[string]route.Warmup{"desk": {Duration: 2 * time.Second}})
	cat := catalog.Catalog{}.WithRoutes(table, at(1)).WithTargets([]catalog.Target{target}, at(1))
	c := placement.New(placement.Config{Domain: "west-a", MaxFlows: 10})
	warmupLeft := func(now time.Duration) string { return c.Targets()[0].StatusAt(now).Warmup }

	c.SetCatalog(time.Second, cat.WithEvacuations(evacuation.NewSet("west-a"), at(2)))
	qt.Assert(t, warmupLeft(time.Second), qt.Equals, "")
	cat = cat.WithEvacuations(evacuation.NewSet(), at(3))
	c.SetCatalog(10*time.Second, cat)
	qt.Assert(t, warmupLeft(10*time.Second), qt.Equals, "2s")
	target.Position = at(4)
	cat = cat.WithChanges([]catalog.Change{{Target: target}}, at(4))
	c.SetCatalog(11*time.Second, cat)
	qt.Assert(t, warmupLeft(11*time.Second), qt.Equals, "1s")
	target.Position, target.Warmup = at(5), 3*time.Second
	c.SetCatalog(11*time.Second, cat.WithChanges([]catalog.Change{{Target: target}}, at(5)))
	qt.Assert(t, warmupLeft(11*time.Second), qt.Equals, "3s")
}

// TestEachOpeningPacketNeedsPermit guards against opening packets to a target that is
// warming up which are not counted: placed flows, retransmissions and hedges of several
// hosts together must stay within the limit in any sliding second.
func TestEachOpeningPacketNeedsPermit(t *testing.T) {
	const limit, coldTime = 8, 20 * time.Second // 2 x 1.5 + 5
	table := route.NewTable(1, time.Minute, []route.Route{{
		Address: route.Address{IP: serviceIP, Port: servicePort}, Kind: route.Safe, WeightedServices: []route.WeightedService{{Service: "desk", Weight: 1}},
	}}).WithWarmups(map[string]route.Warmup{"desk": {Duration: coldTime, Rate: 2}})
	rapid.Check(t, func(t *rapid.T) {
		targets := []catalog.Target{{ID: "cold", Service: "desk", Domain: "west-a", Slots: 2, Warmup: coldTime}}
		for i := range rapid.IntRange(0, 2).Draw(t, "warm targets") {
			targets = append(targets, catalog.Target{ID: fmt.Sprint("warm-", i), Service: "desk", Domain: "west-b", Slots: 2})
		}
		cat := catalog.Catalog{}.WithRoutes(table, at(1)).WithTargets(targets, at(1))
		var hosts []warmup.Host
		for i := range rapid.IntRange(1, 4).Draw(t, "hosts") {
			hosts = append(hosts, warmup.Host{Name: fmt.Sprint("host-", i), Domain: "west-a"})
		}
		var cores []*placement.Core
		for _, h := range hosts {
			c := placement.New(placement.Config{Host: h.Name, Domain: h.Domain, Warmup: placement.WarmupConfig{Overshoot: 1.5, Slack: 5}, MaxFlows: 100})
			c.SetCatalog(0, cat)
			c.SetHosts(0, hosts)
			cores = append(cores, c)
		}
		now, sentAt := time.Duration(0), []time.Duration(nil)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond
			c := cores[rapid.IntRange(0, len(cores)-1).Draw(t, "host")]
			p := packet.Packet{Flow: packet.FlowKey{CallerIP: 0x64400001, ServiceIP: serviceIP, CallerPort: uint16(rapid.IntRange(1, 6).Draw(t, "caller")), ServicePort: servicePort}, Flags: packet.Syn, Retransmits: rapid.Uint32Range(0, 1).Draw(t, "retransmits")}
			if d, ok := c.Handle(now, p, []byte("opening")).(placement.Forward); ok && d.To.ID == "cold" {
				sentAt = append(sentAt, now)
			}
			c.Tick(now)
			for _, e := range c.Effects() {
				if r, ok := e.(placement.Resend); ok && r.IsOpening && r.To.ID == "cold" {
					sentAt = append(sentAt, now)
				}
			}
		}
		for i := limit; i < len(sentAt); i++ {
			if sentAt[i] >= coldTime {
				break
			}
			if gap := sentAt[i] - sentAt[i-limit]; gap < time.Second {
				t.Fatalf("%d opening packets to the target within %v", limit+1, gap)
			}
		}
	})
}
