package member_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"wisteriaweir/measure"
	"wisteriaweir/member"
)

// sim simulates cores in virtual time on a network with faults.
type sim struct {
	measure.Timeline
	rnd   *rand.Rand
	nodes []*node
	// lossRate is the fraction of messages that are lost, from 0 to 1.
	lossRate float64
	// duplicateRate is the fraction of messages that are sent twice, from 0 to 1.
	duplicateRate float64
	// isPartitioned reports whether the messages between two nodes are dropped.
	isPartitioned func(from, to *node) bool
	// sent counts the messages sent.
	sent int
	// onPublish is called with each published view.
	onPublish func(n *node, v member.View)
}

// node is one simulated member.
type node struct {
	member.Member
	core *member.Core
	// view is the last published view.
	view member.View
	// group is the side of a simulated partition on which the node is.
	group  int
	dead   bool
	paused bool
	// inbox has the events that arrive during a pause.
	inbox []member.Event
	// hosts is the last host list that was announced.
	hosts []member.Host
}

func newSim(seed uint64, domains, perDomain int) *sim {
	s := &sim{rnd: rand.New(rand.NewPCG(seed, 1))}
	for d := range domains {
		for i := range perDomain {
			port := uint16(1000 + len(s.nodes))
			s.nodes = append(s.nodes, &node{Member: member.Member{
				Name:    fmt.Sprintf("%c%d", 'a'+d, i),
				Domain:  fmt.Sprintf("zone-%c", 'a'+d),
				Life:    1,
				Control: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port),
			}})
		}
	}
	for _, n := range s.nodes {
		s.start(n)
		s.tick(n)
	}
	s.announceHosts(s.nodes)
	return s
}

// start starts n with a new core that knows no other member.
func (s *sim) start(n *node) {
	n.core = member.NewCore(member.Config{Self: n.Member, Seed: s.rnd.Uint64()})
	n.view = member.View{}
	n.dead = false
}

// restart starts a later process instance of n, which receives the last host list.
func (s *sim) restart(n *node) {
	n.Life++
	s.start(n)
	s.handle(n, member.HostList{Hosts: n.hosts})
}

// announceHosts sends a host list with the given nodes to all nodes.
func (s *sim) announceHosts(nodes []*node) {
	var hosts []member.Host
	for _, n := range nodes {
		hosts = append(hosts, member.Host{Member: n.Member})
	}
	for _, n := range s.nodes {
		n.hosts = hosts
		s.handle(n, member.HostList{Hosts: hosts})
	}
}

func (s *sim) tick(n *node) {
	s.handle(n, member.Tick{})
	s.After(member.TickInterval, func() { s.tick(n) })
}

func (s *sim) handle(n *node, e member.Event) {
	if n.dead {
		return
	}
	if n.paused {
		if _, ok := e.(member.Tick); !ok && len(n.inbox) < 100 {
			n.inbox = append(n.inbox, e)
		}
		return
	}
	for _, e := range n.core.Handle(s.Now(), e) {
		switch e := e.(type) {
		case member.Send:
			s.send(n, e)
		case member.Publish:
			n.view = e.View
			if s.onPublish != nil {
				s.onPublish(n, e.View)
			}
		}
	}
}

// resume ends a pause. The node processes the events that have arrived during it, as a
// process does with the messages in its socket buffer.
func (s *sim) resume(n *node) {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, e := range inbox {
		s.handle(n, e)
	}
}

func (s *sim) send(from *node, e member.Send) {
	s.sent++
	sends := 1
	if s.rnd.Float64() < s.duplicateRate {
		sends = 2
	}
	for range sends {
		to := s.nodeAt(e.To.Control)
		if s.rnd.Float64() < s.lossRate || s.isPartitioned != nil && s.isPartitioned(from, to) {
			continue
		}
		delay := time.Duration(1+s.rnd.IntN(20)) * time.Millisecond
		s.After(delay, func() { s.handle(to, member.HeartbeatReceived{Heartbeat: e.Heartbeat}) })
	}
}

func (s *sim) nodeAt(addr netip.AddrPort) *node {
	return s.nodes[int(addr.Port())-1000]
}

func (s *sim) run(d time.Duration) {
	s.RunUntil(s.Now() + d)
}

// states returns the state and the Life of each member in the view of n.
func (n *node) states() map[string]string {
	got := make(map[string]string)
	for _, e := range n.view.Entries {
		got[e.Name] = fmt.Sprintf("%s/%d", e.State, e.Life)
	}
	return got
}

// wantStates returns the states that all nodes must have once all faults have ended.
func (s *sim) wantStates() map[string]string {
	want := make(map[string]string)
	for _, n := range s.nodes {
		state := member.StateLive
		if n.dead {
			state = member.StateUnreachable
		}
		want[n.Name] = fmt.Sprintf("%s/%d", state, n.Life)
	}
	return want
}
