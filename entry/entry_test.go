package entry_test

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pires/go-proxyproto"
	"pgregory.net/rapid"

	"wisteriaweir/entry"
)

// addrPort draws an address of the given family, which is not an IPv4-mapped one.
func addrPort(t *rapid.T, v6 bool, label string) netip.AddrPort {
	port := rapid.Uint16().Draw(t, label+" port")
	if v6 {
		raw := rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, label)
		raw[0] = 0x20
		return netip.AddrPortFrom(netip.AddrFrom16([16]byte(raw)), port)
	}
	raw := rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, label)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw)), port)
}

// TestHeaderAgreesWithLibrary checks that a PROXY protocol library decodes the headers
// that this package encodes, and the other way round.
func TestHeaderAgreesWithLibrary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v6 := rapid.Bool().Draw(t, "v6")
		h := entry.Header{Source: addrPort(t, v6, "source"), Destination: addrPort(t, v6, "destination")}
		payload := rapid.SliceOf(rapid.Byte()).Draw(t, "payload")
		encoded := append(entry.AppendHeader(nil, h), payload...)

		r := bufio.NewReader(bytes.NewReader(encoded))
		decoded, err := proxyproto.Read(r)
		if err != nil {
			t.Fatalf("the library does not decode the header: %v", err)
		}
		src, dst, ok := decoded.UDPAddrs()
		if !ok || src.AddrPort() != h.Source || dst.AddrPort() != h.Destination {
			t.Fatalf("the library decoded %v %v, want %v", src, dst, h)
		}

		formatted, err := proxyproto.HeaderProxyFromAddrs(2, net.UDPAddrFromAddrPort(h.Source), net.UDPAddrFromAddrPort(h.Destination)).Format()
		if err != nil {
			t.Fatal(err)
		}
		got, rest, err := entry.ParseHeader(append(formatted, payload...))
		if err != nil || got != h || !bytes.Equal(rest, payload) {
			t.Fatalf("got %v %v %v from the library's header, want %v", got, rest, err, h)
		}
	})
}

// TestMessageRoundTrip checks that a message keeps its fields when it is encoded and
// decoded, and that MaxAge is rounded up to whole seconds.
func TestMessageRoundTrip(t *testing.T) {
	c := qt.New(t)
	m := entry.Message{
		Type:    entry.TypeConfirmable,
		Code:    entry.CodePost,
		ID:      7,
		Token:   []byte{1, 2, 3},
		Timeout: 1500 * time.Millisecond,
		Payload: []byte("tonnage"),
	}
	b, err := m.Encode()
	c.Assert(err, qt.IsNil)
	got, err := entry.ParseMessage(b)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Token, qt.DeepEquals, m.Token)
	c.Assert(got.Timeout, qt.Equals, m.Timeout)
	c.Assert(got.Code, qt.Equals, m.Code)
	c.Assert(string(got.Payload), qt.Equals, "tonnage")

	refusal := got.Reply(entry.CodeServiceUnavailable)
	refusal.MaxAge = 1200 * time.Millisecond
	b, err = refusal.Encode()
	c.Assert(err, qt.IsNil)
	got, err = entry.ParseMessage(b)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Type, qt.Equals, entry.TypeAcknowledgement)
	c.Assert(got.MaxAge, qt.Equals, 2*time.Second)
}

func FuzzParseHeader(f *testing.F) {
	f.Add(entry.AppendHeader(nil, entry.Header{
		Source:      netip.MustParseAddrPort("127.0.0.1:1"),
		Destination: netip.MustParseAddrPort("127.0.0.2:2"),
	}))
	f.Add([]byte("\r\n\r\n\x00\r\nQUIT\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, _, err := entry.ParseHeader(b)
		if err != nil {
			var want *entry.HeaderError
			if !errors.As(err, &want) {
				t.Fatalf("error %T, want *HeaderError", err)
			}
			return
		}
		again, _, err := entry.ParseHeader(entry.AppendHeader(nil, h))
		if err != nil || again != h {
			t.Fatalf("%v became %v after encoding and decoding, error %v", h, again, err)
		}
	})
}

func FuzzParseMessage(f *testing.F) {
	b, err := entry.Message{Code: entry.CodeGet, Token: []byte{9}, Timeout: time.Second}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0x40})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := entry.ParseMessage(b)
		if err != nil {
			return
		}
		if _, err := m.Encode(); err != nil {
			t.Fatalf("parsed message does not encode: %v", err)
		}
	})
}

func BenchmarkParseHeader(b *testing.B) {
	d := entry.AppendHeader(nil, entry.Header{
		Source:      netip.MustParseAddrPort("127.0.0.1:1"),
		Destination: netip.MustParseAddrPort("127.0.0.2:2"),
	})
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := entry.ParseHeader(d); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkParseHeaderLibrary(b *testing.B) {
	d := entry.AppendHeader(nil, entry.Header{
		Source:      netip.MustParseAddrPort("127.0.0.1:1"),
		Destination: netip.MustParseAddrPort("127.0.0.2:2"),
	})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := proxyproto.Read(bufio.NewReader(bytes.NewReader(d))); err != nil {
			b.Fatal(err)
		}
	}
}
