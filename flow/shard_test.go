package flow_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/flow"
	"wisteriaweir/service"
)

var (
	levyAddr   = netip.MustParseAddrPort("10.0.0.1:5000")
	ledgerAddr = netip.MustParseAddrPort("10.0.0.2:5000")
)

// pool returns a service with n targets of weight 1 in up to four failure domains.
func pool(name string, n int) service.Service {
	s := service.Service{Name: name}
	for i := range n {
		s = s.WithTarget(service.Target{
			Name: fmt.Sprintf("%s%d", name, i), Weight: 1, Domain: fmt.Sprintf("d%d", i%4),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(len(name)), byte(i >> 8), byte(i)}), 9000),
		})
	}
	return s
}

func levy(n int) service.Service {
	s := pool("levy", n)
	s.Addresses = []service.Address{{AddrPort: levyAddr, Mode: service.ModeFlow}}
	return s
}

func ledger(n int) service.Service {
	s := pool("ledger", n)
	s.Addresses = []service.Address{{AddrPort: ledgerAddr, Mode: service.ModeFlow}}
	return s
}

func config(services ...service.Service) service.Config {
	return service.Config{}.WithServices(services)
}

func callerAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{20, byte(i >> 16), byte(i >> 8), byte(i)}), 4000)
}

func levyKey(i int) flow.Key {
	return flow.Key{Caller: callerAt(i), Address: levyAddr}
}

// standaloneShard returns a shard of a fleet of one member, with n targets in the
// table of the service levy.
func standaloneShard(cfg flow.ShardConfig, n int) *flow.Shard {
	s := flow.NewShard(cfg)
	e := flow.NewEpoch(flow.EpochConfig{
		Number: 1, Config: config(levy(n), ledger(4)), Members: []flow.Member{{Name: "b1"}},
	}, nil)
	s.Apply(flow.NewStandaloneSnapshot(e, "b1"))
	return s
}

// TestShardKeepsFlowsApart checks that a flow keeps its target, and that a datagram to
// the address of another service, or of none, does not reach that target.
func TestShardKeepsFlowsApart(t *testing.T) {
	c := qt.New(t)
	s := standaloneShard(flow.ShardConfig{}, 14)
	first := s.Route(0, levyKey(1))
	c.Assert(first.Action, qt.Equals, flow.Forward)
	c.Assert(first.Opened, qt.IsTrue)
	again := s.Route(time.Second, levyKey(1))
	c.Assert(again.Address, qt.Equals, first.Address)
	c.Assert(again.Opened, qt.IsFalse)
	none := s.Route(0, flow.Key{Caller: callerAt(1), Address: callerAt(2)})
	c.Assert(none.Reason, qt.Equals, flow.ReasonNoService)
	other := s.Route(0, flow.Key{Caller: callerAt(1), Address: ledgerAddr})
	c.Assert(other.Address.Addr().As4()[1], qt.Equals, byte(len("ledger")))
}

// TestShardLimits checks that new flows beyond the limits of a caller and of the shard
// are refused, and that a flow that has expired or was removed makes room again.
func TestShardLimits(t *testing.T) {
	c := qt.New(t)
	s := standaloneShard(flow.ShardConfig{MaxFlows: 10, MaxCallerFlows: 3, IdleTimeout: time.Minute}, 14)
	for port := range uint16(4) {
		k := levyKey(1)
		k.Caller = netip.AddrPortFrom(k.Caller.Addr(), port+1)
		v := s.Route(0, k)
		want := flow.ReasonNone
		if port == 3 {
			want = flow.ReasonCallerLimit
		}
		c.Assert(v.Reason, qt.Equals, want)
	}
	for i := range 7 {
		c.Assert(s.Route(0, levyKey(10+i)).Reason, qt.Equals, flow.ReasonNone)
	}
	c.Assert(s.Route(0, levyKey(99)).Reason, qt.Equals, flow.ReasonShardFull)
	s.Expire(2*time.Minute, 100)
	c.Assert(s.Stats().Open, qt.Equals, 0)
	c.Assert(s.Route(2*time.Minute, levyKey(99)).Reason, qt.Equals, flow.ReasonNone)
	s.Remove(levyKey(99).Hash())
	c.Assert(s.Stats().Open, qt.Equals, 0)
}

// TestShardEndsSilentFlow checks that a flow is ended within 20 s when its target
// replies to another flow but no longer to this one.
func TestShardEndsSilentFlow(t *testing.T) {
	c := qt.New(t)
	s := standaloneShard(flow.ShardConfig{}, 1)
	s.Route(0, levyKey(1))
	s.Route(0, levyKey(2))
	s.RecordReply(0, levyKey(1))
	for i := range 30 {
		now := time.Duration(i) * time.Second
		s.Route(now, levyKey(2))
		s.RecordReply(now, levyKey(2))
		v := s.Route(now, levyKey(1))
		if v.Action == flow.Reset {
			c.Assert(v.Reason, qt.Equals, flow.ReasonSilent)
			c.Assert(i < 20, qt.IsTrue)
			return
		}
	}
	c.Fatal("the unanswered flow was not ended within 30 s")
}

func BenchmarkRouteKnown(b *testing.B) {
	const flows = 500_000
	s := standaloneShard(flow.ShardConfig{MaxFlows: flows}, 14)
	for i := range flows {
		s.Route(0, levyKey(i))
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i = (i + 7919) % flows
		if s.Route(time.Second, levyKey(i)).Action != flow.Forward {
			b.Fatal("not forwarded")
		}
	}
	b.ReportMetric(float64(s.Size())/flows, "B/flow")
}
