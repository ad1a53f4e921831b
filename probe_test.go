package main

import (
	"net"
	"net/netip"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/entry"
)

// respondingServices opens a new flow on the flow address of group through each
// balancer, and returns the services whose targets received one.
func (s *system) respondingServices(group int) map[string]bool {
	out := make(map[string]bool)
	for _, p := range s.balancers {
		if name := s.probeService(p, group); name != "" {
			out[name] = true
		}
	}
	return out
}

// respondingService returns the service that receives new flows on the flow address
// of group; if there are several, their names separated by spaces.
func (s *system) respondingService(group int) string {
	var names []string
	for name := range s.respondingServices(group) {
		names = append(names, name)
	}
	return strings.Join(names, " ")
}

// probeService sends a datagram that opens a new flow directly to balancer p and
// returns the service whose target received it, or "" if none did within 20 ms.
func (s *system) probeService(p *process, group int) string {
	s.probeCount++
	h := entry.Header{
		Source:      netip.AddrPortFrom(s.addr(50, 0, 0).Addr(), uint16(1024+s.probeCount)),
		Destination: s.addr(group, 0, 5684),
	}
	before := s.probesReceived()
	conn, err := net.Dial("udp", p.ip+":7000")
	s.c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = conn.Write(append(entry.AppendHeader(nil, h), `{"kind":"open","service":"probe"}`...))
	s.c.Assert(err, qt.IsNil)
	for range 10 {
		time.Sleep(2 * time.Millisecond)
		for name, n := range s.probesReceived() {
			if n > before[name] {
				return name
			}
		}
	}
	return ""
}

// probesReceived returns the number of probes that the targets of each service
// received. Targets count them as misrouted, since they name the service "probe".
func (s *system) probesReceived() map[string]int {
	out := make(map[string]int)
	for _, t := range s.targets {
		st := t.State()
		out[st.Service] += st.Misrouted
	}
	return out
}
