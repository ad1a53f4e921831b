package peer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"wisteriaweir/member"
	"wisteriaweir/peer"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// testNode is a transport that records the envelopes that it receives.
type testNode struct {
	*peer.Transport
	metrics *metrics.Set

	mu sync.Mutex
	// got has a line for each received envelope.
	got []string
}

// startNode starts a transport with a Life of 7.
func startNode(c *qt.C, name string, listen netip.AddrPort, files peer.TLS) *testNode {
	n := &testNode{metrics: metrics.NewSet()}
	t, err := peer.New(peer.Config{
		Self:           member.Member{Name: name, Domain: "west", Life: 7},
		ListenAddress:  listen,
		TLS:            files,
		ReloadInterval: 10 * time.Millisecond,
		Metrics:        n.metrics,
		Dump:           func() ([]byte, error) { return []byte(`{"name":"` + name + `"}`), nil },
		Handler: func(from peer.Sender, kind peer.Kind, payload []byte) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.got = append(n.got, fmt.Sprintf("%s/%s/%d %s %d", from.Domain, from.Name, from.Life, kind, len(payload)))
		},
	})
	c.Assert(err, qt.IsNil)
	n.Transport = t
	c.Cleanup(t.Close)
	return n
}

// member returns a member called name with the control address of n.
func (n *testNode) member(name string) member.Member {
	return member.Member{Name: name, Control: n.Addr()}
}

func (n *testNode) received() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.got...)
}

// hasMetric reports whether the metrics of n contain line.
func (n *testNode) hasMetric(line string) bool {
	var b bytes.Buffer
	n.metrics.WritePrometheus(&b)
	return strings.Contains(b.String(), line)
}

// eventually repeats f until it returns true, for 10 s at most.
func eventually(c *qt.C, f func() bool) {
	c.Helper()
	for range 1000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatal("the condition was not met within 10 s")
}

// TestEnvelopesArriveInOrder checks that envelopes arrive in the order in which they
// were sent, with the sender's identity, and that both ends count their bytes.
func TestEnvelopesArriveInOrder(t *testing.T) {
	c := qt.New(t)
	a, b := startNode(c, "a", loopback, peer.TLS{}), startNode(c, "b", loopback, peer.TLS{})
	for i := range 100 {
		c.Assert(a.Send(b.member("b"), "pin", make([]byte, i)), qt.IsNil)
	}
	eventually(c, func() bool { return len(b.received()) == 100 })
	for i, got := range b.received() {
		c.Assert(got, qt.Equals, fmt.Sprintf("west/a/7 pin %d", i))
	}
	c.Assert(a.hasMetric(`wisteriaweir_peer_sent_bytes_total{kind="pin"} 4950`), qt.IsTrue)
	c.Assert(b.hasMetric(`wisteriaweir_peer_received_bytes_total{kind="pin"} 4950`), qt.IsTrue)
}

// TestCloseSendsWhatIsQueued checks that envelopes that are queued on an open stream
// still arrive when the transport is closed, and that a later Send fails.
func TestCloseSendsWhatIsQueued(t *testing.T) {
	c := qt.New(t)
	a, b := startNode(c, "a", loopback, peer.TLS{}), startNode(c, "b", loopback, peer.TLS{})
	c.Assert(a.Send(b.member("b"), "pin", nil), qt.IsNil)
	eventually(c, func() bool { return len(b.received()) == 1 })
	for range 200 {
		c.Assert(a.Send(b.member("b"), "pin", make([]byte, 1000)), qt.IsNil)
	}
	a.Close()
	c.Assert(b.received(), qt.HasLen, 201)
	var closed *peer.ClosedError
	c.Assert(errors.As(a.Send(b.member("b"), "pin", nil), &closed), qt.IsTrue)
}

// TestEnvelopeForAFormerOwnerOfTheAddressIsRefused sends to a balancer whose address
// another balancer now uses. The other balancer must not process the envelope.
func TestEnvelopeForAFormerOwnerOfTheAddressIsRefused(t *testing.T) {
	c := qt.New(t)
	a, b := startNode(c, "a", loopback, peer.TLS{}), startNode(c, "b", loopback, peer.TLS{})
	c.Assert(a.Send(b.member("former"), "pin", nil), qt.IsNil)
	eventually(c, func() bool { return b.hasMetric("wisteriaweir_peer_refused_total 1") })
	c.Assert(b.received(), qt.HasLen, 0)
}

// TestEnvelopeForAFormerLifeIsRefused sends to an earlier process instance with the
// same name and address. An envelope that is queued while a process restarts must not
// reach the new instance, which does not have the state of the earlier one.
func TestEnvelopeForAFormerLifeIsRefused(t *testing.T) {
	c := qt.New(t)
	a, b := startNode(c, "a", loopback, peer.TLS{}), startNode(c, "b", loopback, peer.TLS{})
	earlier := b.member("b")
	earlier.Life = 6
	c.Assert(a.Send(earlier, "push", nil), qt.IsNil)
	eventually(c, func() bool { return b.hasMetric("wisteriaweir_peer_refused_total 1") })
	c.Assert(b.received(), qt.HasLen, 0)
	current := earlier
	current.Life = 7
	c.Assert(a.Send(current, "push", nil), qt.IsNil)
	eventually(c, func() bool { return len(b.received()) == 1 })
}

// TestOversizeAndFullQueueAreDropped checks that an envelope is dropped and counted if it
// is too large, or if the queue for its receiver, which does not respond, is full.
func TestOversizeAndFullQueueAreDropped(t *testing.T) {
	c := qt.New(t)
	a := startNode(c, "a", loopback, peer.TLS{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	unresponsive := member.Member{Name: "silent", Control: ln.Addr().(*net.TCPAddr).AddrPort()}
	var size *peer.SizeError
	c.Assert(errors.As(a.Send(unresponsive, "pin", make([]byte, peer.MaxPayload+1)), &size), qt.IsTrue)
	var full *peer.QueueFullError
	eventually(c, func() bool { return errors.As(a.Send(unresponsive, "pin", make([]byte, 1<<20)), &full) })
	c.Assert(a.hasMetric(`wisteriaweir_peer_dropped_envelopes_total{kind="pin"} 2`), qt.IsTrue)
}

// TestPeerDownAndUp checks that a link connects again after the peer has restarted.
func TestPeerDownAndUp(t *testing.T) {
	c := qt.New(t)
	a, b := startNode(c, "a", loopback, peer.TLS{}), startNode(c, "b", loopback, peer.TLS{})
	to := b.member("b")
	c.Assert(a.Send(to, "pin", nil), qt.IsNil)
	eventually(c, func() bool { return len(b.received()) == 1 })
	b.Close()
	c.Assert(a.Send(to, "pin", nil), qt.IsNil)
	restarted := startNode(c, "b", to.Control, peer.TLS{})
	eventually(c, func() bool {
		a.Send(to, "pin", nil)
		return len(restarted.received()) > 0
	})
}

// TestRubbishOnThePort checks that connections that do not speak the protocol are
// counted as refused and do not prevent those of other balancers.
func TestRubbishOnThePort(t *testing.T) {
	c := qt.New(t)
	keys := newAuthority(c).issue(c, peer.ServerName)
	for _, files := range []peer.TLS{{}, keys} {
		b := startNode(c, "b", loopback, files)
		for i, input := range []string{"GET / HTTP/1.1\r\nHost: b\r\n\r\n0123456789", strings.Repeat("\xff", 5000)} {
			conn, err := net.Dial("tcp", b.Addr().String())
			c.Assert(err, qt.IsNil)
			conn.Write([]byte(input))
			eventually(c, func() bool { return b.hasMetric(fmt.Sprintf("wisteriaweir_peer_refused_total %d", i+1)) })
			conn.Close()
		}
		a := startNode(c, "a", loopback, files)
		c.Assert(a.Send(b.member("b"), "pin", nil), qt.IsNil)
		eventually(c, func() bool { return len(b.received()) == 1 })
	}
}

// TestNoKeysOnlyOnLoopback checks that a transport without TLS files neither listens on
// nor sends to an address that is not loopback.
func TestNoKeysOnlyOnLoopback(t *testing.T) {
	c := qt.New(t)
	var insecure *peer.InsecureError
	_, err := peer.New(peer.Config{ListenAddress: netip.MustParseAddrPort("0.0.0.0:0")})
	c.Assert(errors.As(err, &insecure), qt.IsTrue)
	a := startNode(c, "a", loopback, peer.TLS{})
	err = a.Send(member.Member{Name: "b", Control: netip.MustParseAddrPort("192.0.2.1:9")}, "pin", nil)
	c.Assert(errors.As(err, &insecure), qt.IsTrue)
}

// TestDump checks that an operator's certificate permits a dump but no envelopes, and
// that a certificate of another authority does not permit a dump.
func TestDump(t *testing.T) {
	c := qt.New(t)
	authority := newAuthority(c)
	a := startNode(c, "a", loopback, authority.issue(c, peer.ServerName))
	operator := authority.issue(c, "operator")
	got, err := peer.Dump(context.Background(), a.Addr(), operator)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, `{"name":"a"}`)

	o := startNode(c, "o", loopback, operator)
	c.Assert(o.Send(a.member("a"), "pin", nil), qt.IsNil)
	eventually(c, func() bool { return a.hasMetric("wisteriaweir_peer_refused_total 1") })
	c.Assert(a.received(), qt.HasLen, 0)

	_, err = peer.Dump(context.Background(), a.Addr(), newAuthority(c).issue(c, "operator"))
	var dump *peer.DumpError
	c.Assert(errors.As(err, &dump), qt.IsTrue)
}
