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
	"wisteriaweir/warmup"
)

// TestSendQueueHoldsOneSnapshot guards against a send queue that grows with each
// request when a host repeatedly requests all targets, as after a large change: it must
// hold the datagrams of one snapshot. It also guards against a send that exceeds the
// rate limit.
func TestSendQueueHoldsOneSnapshot(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	self := reader.Member{Name: "one", Domain: "west-a", Address: netip.MustParseAddrPort("127.0.0.1:7410")}
	h := &Host{counters: newCounters(metrics.NewSet()), cfg: Config{Settings: platform.HostSettings{LinkMbps: 50}}}
	c := &control{h: h, encoder: reader.NewEncoder(self, 1), conn: conn}
	var targets []catalog.Target
	for i := range 150 {
		targets = append(targets, catalog.Target{
			ID: fmt.Sprintf("i-%010x", i), InstanceNumber: uint64(i + 1), Service: "desk", Domain: "west-a", Slots: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	other := reader.Member{Name: "two", Address: conn.LocalAddr().(*net.UDPAddr).AddrPort()}
	var fragments int
	for i := range 20 {
		c.sendMessage(reader.Send{To: other, Message: reader.Update{Position: catalog.Position{Revision: uint64(i + 1)}, HasAllTargets: true, Targets: targets}})
		if i == 0 {
			fragments = len(c.sendQueue)
		}
	}
	qt.Assert(t, fragments > 1, qt.IsTrue)
	qt.Assert(t, len(c.sendQueue), qt.Equals, fragments)
	c.sendPaced()
	sent := fragments - len(c.sendQueue)
	maxBytes := 50e6 / 8 * linkFraction * paceInterval.Seconds()
	qt.Assert(t, sent > 0 && float64(sent-1)*1100 <= maxBytes, qt.IsTrue, qt.Commentf("%d datagrams sent at once", sent))
}

// TestSendQueueDrainsUnderMessageLoad guards against queued updates that are never sent
// because messages arrive more often than the queue's timer fires.
func TestSendQueueDrainsUnderMessageLoad(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	addr := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	self := reader.Member{Name: "one", Domain: "west-a", Address: addr}
	other := reader.Member{Name: "two", Domain: "west-a", Address: addr}
	h := &Host{
		counters: newCounters(metrics.NewSet()), cfg: Config{Settings: platform.HostSettings{LinkMbps: 50}}, startedAt: time.Now(),
		log: &log.Logger{Handler: discard.New(), Level: log.InfoLevel}, storeUpdates: make(chan reader.Update),
	}
	c := &control{h: h, core: reader.New(reader.Config{Self: self}), encoder: reader.NewEncoder(self, 1), conn: conn}
	h.currentCatalog.Store(&catalog.Catalog{})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	messages := make(chan receivedMessage)
	go func() { _ = c.run(ctx, messages, nil) }()
	var targets []catalog.Target
	for i := range 300 {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80)
		targets = append(targets, catalog.Target{ID: fmt.Sprintf("i-%010x", i), InstanceNumber: 1, Service: "s", Domain: "d", Slots: 1, Address: addr})
	}
	h.storeUpdates <- reader.Update{Position: catalog.Position{Revision: 5}, HasAllTargets: true, Targets: targets}
	messages <- receivedMessage{from: other, message: reader.UpdateRequest{}}
	received := make(chan struct{})
	go func() {
		d := reader.NewDecoder()
		b := make([]byte, reader.MaxDatagramSize)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			if _, message, err := d.Decode(b[:n]); err == nil {
				if update, ok := message.(reader.Update); ok && update.HasAllTargets {
					close(received)
					return
				}
			}
		}
	}()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		select {
		case <-received:
			return
		case messages <- receivedMessage{from: other, message: reader.Heartbeat{}}:
		}
	}
	t.Fatal("the update was not received within 3 s")
}

// TestHostsArePublishedOnceListed guards against a packet goroutine that takes part in the
// limits on targets that are warming up with hosts known from messages only, before the
// store has listed all of them.
func TestHostsArePublishedOnceListed(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	addr := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	self := reader.Member{Name: "one", Domain: "west-a", Address: addr}
	other := reader.Member{Name: "two", Domain: "west-b", Address: addr}
	h := &Host{
		counters: newCounters(metrics.NewSet()), startedAt: time.Now(), inspectMembers: make(chan func()),
		log: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
	}
	c := &control{h: h, core: reader.New(reader.Config{Self: self}), encoder: reader.NewEncoder(self, 1), conn: conn}
	h.currentCatalog.Store(&catalog.Catalog{})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	messages, members := make(chan receivedMessage), make(chan []reader.Member)
	go func() { _ = c.run(ctx, messages, members) }()
	messages <- receivedMessage{from: other, message: reader.Hello{}}
	time.Sleep(2 * controlTickInterval)
	qt.Assert(t, h.knownHosts.Load(), qt.IsNil)
	members <- []reader.Member{self, other}
	h.inspect(ctx, h.inspectMembers, func() {}) // The list has been handled.
	published := h.knownHosts.Load()
	qt.Assert(t, *published, qt.DeepEquals, []warmup.Host{{Name: "one", Domain: "west-a"}, {Name: "two", Domain: "west-b"}})
	messages <- receivedMessage{from: other, message: reader.Heartbeat{}}
	h.inspect(ctx, h.inspectMembers, c.publishHosts)
	qt.Assert(t, h.knownHosts.Load(), qt.Equals, published)
}
