package main

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/entry"
)

// oversizePayloadBytes is the number of bytes that * stands for in
// testdata/datagrams.txt.
const oversizePayloadBytes = 2000

// TestBadDatagramsAreCounted sends the datagrams of testdata/datagrams.txt, and
// malformed payloads to a request address: each must be counted by its reason, and
// the balancer must continue to serve requests and flows.
func TestBadDatagramsAreCounted(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 1, 2)
	p := s.balancers[0]
	conn, err := net.Dial("udp", p.ip+":7000")
	s.c.Assert(err, qt.IsNil)
	defer conn.Close()
	data, err := os.ReadFile("testdata/datagrams.txt")
	s.c.Assert(err, qt.IsNil)
	want := make(map[string]int)
	send := func(reason string, datagram []byte) {
		want[reason]++
		_, err := conn.Write(datagram)
		s.c.Assert(err, qt.IsNil)
	}
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		reason, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		digits, isOversize := strings.CutSuffix(digits, "*")
		datagram, err := hex.DecodeString(digits)
		s.c.Assert(err, qt.IsNil)
		if isOversize {
			datagram = append(datagram, bytes.Repeat([]byte{'x'}, oversizePayloadBytes)...)
		}
		send(reason, datagram)
	}
	h := entry.Header{Source: netip.MustParseAddrPort("127.0.0.1:9"), Destination: s.addr(1, 0, 5683)}
	for _, payload := range []string{"", "@", "not CoAP at all", "\x40\x45\x00\x01"} {
		send("malformed", append(entry.AppendHeader(nil, h), payload...))
	}
	end := time.Now().Add(10 * time.Second)
	for reason, n := range want {
		for s.droppedDatagrams(p, reason) < n && time.Now().Before(end) {
			time.Sleep(50 * time.Millisecond)
		}
		s.c.Check(s.droppedDatagrams(p, reason), qt.Equals, n, qt.Commentf("%s", reason))
	}
	r := s.runLoad(3*time.Second, func() {})
	checkInvariants(s.c, r)
	s.c.Check(r.Broken, qt.Equals, 0)
}

// droppedDatagrams returns the number of datagrams that p has dropped for a reason.
func (s *system) droppedDatagrams(p *process, reason string) int {
	return s.metric(p, fmt.Sprintf("wisteriaweir_datagrams_dropped_total{reason=%q}", reason))
}
