package host

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
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
	self := reader.Member{Name: "one", Domain: "west-a", Address: netip.MustParseAddrPort("127.0.0.1:7410")}
	h := &Host{count: newCounters(metrics.NewSet()), cfg: Config{Settings: platform.HostSettings{LinkMbps: 50}}}
	c := &control{h: h, encoder: reader.NewEncoder(self, 1), conn: conn}
	var targets []catalog.Target
	for i := range 150 {
		targets = append(targets, catalog.Target{
			ID: fmt.Sprintf("i-%010x", i), InstanceNumber: uint64(i + 1), Service: "desk", Domain: "west-a", Slots: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	other := reader.Member{Name: "two", Address: conn.LocalAddr().(*net.UDPAddr).AddrPort()}
	var once int
	for i := range 20 {
		c.tell(reader.Send{To: other, Message: reader.Update{Revision: uint64(i + 1), HasAllTargets: true, Targets: targets}})
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

// TestOutboxDrainsBesideNotes holds that contents go out also while notes come
// faster than the pace.
func TestOutboxDrainsBesideNotes(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	here := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	self := reader.Member{Name: "one", Domain: "west-a", Address: here}
	other := reader.Member{Name: "two", Domain: "west-a", Address: here}
	h := &Host{
		count: newCounters(metrics.NewSet()), cfg: Config{Settings: platform.HostSettings{LinkMbps: 50}}, started: time.Now(),
		log: &log.Logger{Handler: discard.New(), Level: log.InfoLevel}, findings: make(chan reader.Update),
	}
	c := &control{h: h, core: reader.New(reader.Config{Self: self}), encoder: reader.NewEncoder(self, 1), conn: conn}
	h.current.Store(&catalog.Catalog{})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	notes := make(chan heard)
	go func() { _ = c.run(ctx, notes, nil) }()
	var targets []catalog.Target
	for i := range 300 {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80)
		targets = append(targets, catalog.Target{ID: fmt.Sprintf("i-%010x", i), InstanceNumber: 1, Service: "s", Domain: "d", Slots: 1, Address: at})
	}
	h.findings <- reader.Update{Revision: 5, HasAllTargets: true, Targets: targets}
	notes <- heard{from: other, note: reader.UpdateRequest{}}
	got := make(chan struct{})
	go func() {
		d := reader.NewDecoder()
		b := make([]byte, reader.MaxDatagramSize)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			if _, note, err := d.Decode(b[:n]); err == nil {
				if content, ok := note.(reader.Update); ok && content.HasAllTargets {
					close(got)
					return
				}
			}
		}
	}()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		select {
		case <-got:
			return
		case notes <- heard{from: other, note: reader.Heartbeat{}}:
		}
	}
	t.Fatal("the content is still waiting after 3 s")
}
