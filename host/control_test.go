package host

import (
	"fmt"
	"net"
	"net/netip"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"wisteriaweir/catalog"
	"wisteriaweir/platform"
	"wisteriaweir/reader"
)

// TestOutboxHoldsOneAnswer lets a host ask again and again for all targets, as
// after a big change: what waits for it is one answer, and the pace is kept.
func TestOutboxHoldsOneAnswer(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	self := reader.Member{Name: "one", Domain: "west-a", At: netip.MustParseAddrPort("127.0.0.1:7410")}
	h := &Host{count: newCounters(metrics.NewSet()), cfg: Config{Boot: platform.Boot{Link: 50}}}
	c := &control{h: h, encoder: reader.NewEncoder(self, 1), conn: conn}
	var targets []catalog.Target
	for i := range 150 {
		targets = append(targets, catalog.Target{
			ID: fmt.Sprintf("i-%010x", i), Number: uint64(i + 1), Service: "desk", Domain: "west-a", Slots: 2,
			At: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	other := reader.Member{Name: "two", At: conn.LocalAddr().(*net.UDPAddr).AddrPort()}
	var once int
	for i := range 20 {
		c.tell(reader.Tell{To: other, Note: reader.Content{Revision: uint64(i + 1), Full: true, Targets: targets}})
		if i == 0 {
			once = len(c.outbox)
		}
	}
	qt.Assert(t, once > 1, qt.IsTrue)
	qt.Assert(t, len(c.outbox), qt.Equals, once)
	c.drain()
	sent := once - len(c.outbox)
	most := 50e6 / 8 * linkShare * paceEvery.Seconds()
	qt.Assert(t, sent > 0 && float64(sent-1)*1100 <= most, qt.IsTrue, qt.Commentf("%d datagrams at once", sent))
}
