package peer

import (
	"bytes"
	"errors"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/member"
)

var (
	oldKey = bytes.Repeat([]byte{1}, MinHopKeySize)
	newKey = bytes.Repeat([]byte{2}, MinHopKeySize)
)

// newTestKeyring returns the keyring of k for an address that is not loopback.
func newTestKeyring(c *qt.C, k HopKeys) *hopKeyring {
	r, err := newHopKeyring(k, netip.MustParseAddrPort("192.0.2.1:1"))
	c.Assert(err, qt.IsNil)
	return r
}

// TestHopRotationAcceptsEachStep checks that balancers one step of a key replacement
// apart accept each other's packets, and that a replaced key is refused in the end.
func TestHopRotationAcceptsEachStep(t *testing.T) {
	c := qt.New(t)
	steps := []HopKeys{
		{Sign: oldKey},
		{Sign: oldKey, Accept: newKey},
		{Sign: newKey, Accept: oldKey},
		{Sign: newKey},
	}
	for i := range steps[1:] {
		for _, pair := range [][2]HopKeys{{steps[i], steps[i+1]}, {steps[i+1], steps[i]}} {
			b := newTestKeyring(c, pair[0]).seal(nil, "b", 3, 1, []byte("datagram"))
			p, err := newTestKeyring(c, pair[1]).open(b, "b")
			c.Assert(err, qt.IsNil)
			c.Assert(p.Kind, qt.Equals, HopKind(3))
			c.Assert(p.HopCount, qt.Equals, uint8(1))
			c.Assert(string(p.Datagram), qt.Equals, "datagram")
		}
	}
	b := newTestKeyring(c, steps[0]).seal(nil, "b", 3, 1, nil)
	_, err := newTestKeyring(c, steps[3]).open(b, "b")
	c.Assert(err, qt.Equals, errHopMAC)
}

// TestHopRefusesEachChangedByte checks that a packet is refused if any of its bytes was
// changed, or if it is for another balancer.
func TestHopRefusesEachChangedByte(t *testing.T) {
	c := qt.New(t)
	r := newTestKeyring(c, HopKeys{Sign: oldKey})
	b := r.seal(nil, "b", 3, 1, []byte("datagram"))
	for i := range b {
		changed := bytes.Clone(b)
		changed[i] ^= 1
		_, err := r.open(changed, "b")
		c.Assert(err, qt.IsNotNil, qt.Commentf("byte %d", i))
	}
	_, err := r.open(b, "a")
	c.Assert(err, qt.Equals, errHopReceiver)
}

// TestHopKeysAreNeededAndLong checks that a hop without keys is refused on an address
// that is not loopback, and that a key that is too short is refused on any address.
func TestHopKeysAreNeededAndLong(t *testing.T) {
	c := qt.New(t)
	var insecure *InsecureError
	_, err := NewHop(HopConfig{ListenAddress: netip.MustParseAddrPort("0.0.0.0:0")})
	c.Assert(errors.As(err, &insecure), qt.IsTrue)
	var short *HopKeyError
	_, err = NewHop(HopConfig{ListenAddress: netip.MustParseAddrPort("127.0.0.1:0"), Keys: HopKeys{Sign: oldKey[1:]}})
	c.Assert(errors.As(err, &short), qt.IsTrue)
}

// TestHopCarriesPacketsAndCountsRubbish checks that malformed packets are counted and do
// not prevent the delivery of valid ones, also after the keys were replaced.
func TestHopCarriesPacketsAndCountsRubbish(t *testing.T) {
	c := qt.New(t)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	got := make(chan HopPacket, 1)
	b, err := NewHop(HopConfig{
		Self: member.Member{Name: "b"}, ListenAddress: loopback, Keys: HopKeys{Sign: oldKey},
		Handler: func(p HopPacket) {
			p.Datagram = bytes.Clone(p.Datagram)
			got <- p
		},
	})
	c.Assert(err, qt.IsNil)
	defer b.Close()
	a, err := NewHop(HopConfig{Self: member.Member{Name: "a"}, ListenAddress: loopback, Keys: HopKeys{Sign: oldKey}})
	c.Assert(err, qt.IsNil)
	defer a.Close()
	to := member.Member{Name: "b", Hop: b.Addr()}

	conn, err := net.Dial("udp", b.Addr().String())
	c.Assert(err, qt.IsNil)
	conn.Write(bytes.Repeat([]byte{1}, 100))
	conn.Write(nil)
	c.Assert(a.Send(to, 5, 1, []byte("datagram")), qt.IsNil)
	p := <-got
	c.Assert(p.Datagram, qt.DeepEquals, []byte("datagram"))
	c.Assert(p.From, qt.Equals, a.Addr())
	c.Assert(b.refusedPackets.Get() > 0, qt.IsTrue)

	var size *SizeError
	c.Assert(errors.As(a.Send(to, 5, 1, make([]byte, maxDatagramBytes)), &size), qt.IsTrue)
	c.Assert(a.SetKeys(HopKeys{Sign: newKey, Accept: oldKey}), qt.IsNil)
	c.Assert(b.SetKeys(HopKeys{Sign: oldKey, Accept: newKey}), qt.IsNil)
	c.Assert(a.Send(to, 5, 1, []byte("next")), qt.IsNil)
	c.Assert(string((<-got).Datagram), qt.Equals, "next")
}

// TestHopKeyFileIsReadAgain checks that a key file with a short key is refused, and that
// a running hop accepts a new key after the file was replaced.
func TestHopKeyFileIsReadAgain(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "hop-key")
	write := func(text string) { c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil) }
	former, next := strings.Repeat("a", MinHopKeySize), strings.Repeat("b", MinHopKeySize)
	cfg := HopConfig{Self: member.Member{Name: "b"}, ListenAddress: netip.MustParseAddrPort("127.0.0.1:0"), KeyFile: path, ReloadInterval: time.Millisecond}
	write("short\n")
	var key *KeyError
	_, err := NewHop(cfg)
	c.Assert(errors.As(err, &key), qt.IsTrue)
	write(former + "\n")
	h, err := NewHop(cfg)
	c.Assert(err, qt.IsNil)
	defer h.Close()
	packet := newTestKeyring(c, HopKeys{Sign: []byte(next)}).seal(nil, "b", 3, 1, nil)
	_, err = h.keyring.Load().open(packet, "b")
	c.Assert(err, qt.Equals, errHopMAC)
	write(next + "\n" + former + "\n")
	for range 1000 {
		if _, err = h.keyring.Load().open(packet, "b"); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatal("the new key was not accepted within 10 s")
}

func FuzzHopOpen(f *testing.F) {
	c := qt.New(f)
	r := newTestKeyring(c, HopKeys{Sign: oldKey, Accept: newKey})
	f.Add(r.seal(nil, "b", 3, 1, []byte("datagram")))
	f.Add([]byte{hopVersion})
	f.Add([]byte(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := r.open(b, "b")
		if err != nil {
			return
		}
		again := r.seal(nil, "b", p.Kind, p.HopCount, p.Datagram)
		if !bytes.Equal(again, b) && !r.accept.isValidMAC(b[hopPrefixSize:hopHeaderSize], b[:hopPrefixSize], p.Datagram) {
			t.Fatalf("accepted %x, which is not signed with any of the keys", b)
		}
	})
}

func BenchmarkHopSealOpen(b *testing.B) {
	c := qt.New(b)
	r := newTestKeyring(c, HopKeys{Sign: oldKey})
	datagram := make([]byte, 200)
	buf := make([]byte, 0, 300)
	b.ReportAllocs()
	for b.Loop() {
		buf = r.seal(buf[:0], "b", 3, 1, datagram)
		if _, err := r.open(buf, "b"); err != nil {
			b.Fatal(err)
		}
	}
}
