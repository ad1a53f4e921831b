package main

import (
	"net"
	"net/netip"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/entry"
)

// owners opens a new flow on the flow address of group through each balancer,
// and returns the services whose targets answered.
func (s *system) owners(group int) map[string]bool {
	out := make(map[string]bool)
	for _, p := range s.balancers {
		if name := s.answerThrough(p, group); name != "" {
			out[name] = true
		}
	}
	return out
}

// ownerOf returns the one service that answers on the flow address of group.
func (s *system) ownerOf(group int) string {
	var names []string
	for name := range s.owners(group) {
		names = append(names, name)
	}
	return strings.Join(names, " ")
}

// answerThrough sends a probe of a new flow straight to balancer p and returns
// the service whose target took it, empty if none did.
func (s *system) answerThrough(p *process, group int) string {
	s.probes++
	h := entry.Header{
		Source:      netip.AddrPortFrom(s.addr(50, 0, 0).Addr(), uint16(1024+s.probes)),
		Destination: s.addr(group, 0, 5684),
	}
	before := s.probesTaken()
	conn, err := net.Dial("udp", p.ip+":7000")
	s.c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = conn.Write(append(entry.AppendHeader(nil, h), `{"kind":"open","service":"probe"}`...))
	s.c.Assert(err, qt.IsNil)
	for range 10 {
		time.Sleep(2 * time.Millisecond)
		for name, n := range s.probesTaken() {
			if n > before[name] {
				return name
			}
		}
	}
	return ""
}

// probesTaken returns, by service, the probes that targets took: they count as
// crossed, since they name a service of their own.
func (s *system) probesTaken() map[string]int {
	out := make(map[string]int)
	for _, t := range s.targets {
		st := t.State()
		out[st.Service] += st.Misrouted
	}
	return out
}
