package balancer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"wisteriaweir/entry"
	"wisteriaweir/monitor"
	"wisteriaweir/peer"
	"wisteriaweir/rollout"
	"wisteriaweir/service"
)

// TestStaleBalancerForwardsNothing guards against forwarding by an outdated
// configuration after a pause of the process. Datagrams that arrive before the
// control goroutine has run again must be dropped and counted.
func TestStaleBalancerForwardsNothing(t *testing.T) {
	c := qt.New(t)
	caller, address := netip.MustParseAddrPort("127.0.0.9:4000"), netip.MustParseAddrPort("127.0.1.1:5683")
	cfg := service.Config{}.WithService(service.Service{
		Name: "levy-desk", Addresses: []service.Address{{AddrPort: address, Mode: service.ModeFlow}},
	})
	b := &Balancer{
		started:  time.Now().Add(-time.Hour),
		counters: monitor.NewCounters(metrics.NewSet()),
	}
	b.cfg.Setting.Limits.Datagram = 1500
	b.current.Store((&snapshot{}).withConfig(cfg))
	b.freshUntil.Store(int64(b.now() - time.Millisecond))
	d := append(entry.AppendHeader(nil, entry.Header{Source: caller, Destination: address}), "tally"...)
	b.handleDatagram(d, caller)
	b.handleHop(peer.HopPacket{Datagram: d})
	c.Assert(b.counters.DroppedStale.Get(), qt.Equals, uint64(2))
	b.freshUntil.Store(int64(b.now() + rollout.MaxPause))
	c.Assert(b.isFresh(), qt.IsTrue)
}
