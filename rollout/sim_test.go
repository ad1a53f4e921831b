package rollout_test

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"wisteriaweir/fleet"
	"wisteriaweir/measure"
	"wisteriaweir/member"
	"wisteriaweir/rollout"
	"wisteriaweir/service"
	"wisteriaweir/target"
	"wisteriaweir/ticket"
)

const beat = 500 * time.Millisecond

// sim runs cores in virtual time over a network with faults. Heartbeats are
// reduced to the comparison of numbers, and the view never changes.
type sim struct {
	measure.Timeline
	rnd   *rand.Rand
	nodes []*node
	loss  float64
	// mixed is the share of deltas that arrive with the changes of another one.
	mixed float64
	// accepted is the platform's number; outage and stale are its faults.
	accepted uint64
	outage   bool
	stale    bool
	writes   []ticket.Status
	// wholes counts the whole releases that were given.
	wholes int
	// stated is the greatest number in a status, by domain.
	stated map[string]uint64
	failed string
}

type node struct {
	member.Member
	core    *rollout.Core
	applied uint64
	inForce uint64
	digest  string
	group   int
	dead    bool
	paused  bool
	// missed is a balancer that the others take for unreachable.
	missed bool
	// excluded says that it was missed once.
	excluded bool
	// old is a balancer that knows no deltas.
	old   bool
	inbox []rollout.Event
	fetch uint64
}

// state is number n of a fleet in which each change touches something else.
func state(n uint64) rollout.State {
	cfg := service.Config{}.WithNumber(n/2 + 1).WithDigest(fmt.Sprint("d", n/2))
	f := fleet.Fleet{Number: n, Head: ticket.Head{Number: cfg.Number, Digest: cfg.Digest, Services: make(map[string]ticket.Entry)}}
	for i := range 3 + n%2 {
		f.Members = append(f.Members, fleet.Member{Name: fmt.Sprint("m", i), Life: (n + i) / 3})
	}
	for i := range 2 + n/2%3 {
		s := service.Service{Name: fmt.Sprint("s", i)}
		for t := range 2 + 68*uint64(1-min(i, 1)) {
			s.Pool = append(s.Pool, service.Target{Name: fmt.Sprint("t", t), Drain: t == n%200})
		}
		f.Head.Services[s.Name] = ticket.Entry{Number: n / 3}
		cfg = cfg.WithService(s)
	}
	if n%5 == 0 {
		f = f.WithHealth(target.Health{Domain: "west", Fence: n, Number: 1})
	}
	return rollout.State{Fleet: f, Config: cfg}
}

var packed = make(map[uint64]rollout.Release)

func release(n uint64) rollout.Release {
	if _, ok := packed[n]; !ok {
		packed[n] = pack(state(n))
	}
	return packed[n]
}

func pack(s rollout.State) rollout.Release {
	r, err := rollout.Pack(s)
	if err != nil {
		panic(err)
	}
	return r
}

func whole(r rollout.Release) rollout.Snapshot {
	w, err := r.Snapshot()
	if err != nil {
		panic(err)
	}
	return w
}

func newSim(seed uint64, domains, perDomain int) *sim {
	s := &sim{rnd: rand.New(rand.NewPCG(seed, 1)), stated: make(map[string]uint64)}
	for d := range domains {
		for i := range perDomain {
			s.nodes = append(s.nodes, &node{Member: member.Member{
				Name:   fmt.Sprintf("%c%d", 'a'+d, i),
				Domain: fmt.Sprintf("zone-%c", 'a'+d),
				Life:   1,
			}})
		}
	}
	for _, n := range s.nodes {
		s.start(n)
		s.tick(n)
		s.beat(n)
	}
	s.show()
	return s
}

func (s *sim) start(n *node) {
	n.core = rollout.NewCore(rollout.Config{Self: n.Member, Seed: s.rnd.Uint64()})
	n.applied, n.inForce, n.digest, n.fetch, n.inbox = 0, 0, "", 0, nil
	n.dead = false
}

func (s *sim) restart(n *node) {
	n.Life++
	s.start(n)
	s.show()
}

// show gives everybody the view of all members.
func (s *sim) show() {
	var entries []member.Entry
	for _, n := range s.nodes {
		state := member.StateLive
		if n.dead || n.missed {
			state = member.StateUnreachable
			n.excluded = true
		}
		entries = append(entries, member.Entry{Member: n.Member, State: state})
	}
	for _, n := range s.nodes {
		s.handle(n, rollout.ViewChanged{View: member.NewView(1, entries)})
	}
}

func (s *sim) tick(n *node) {
	s.handle(n, rollout.Tick{})
	s.After(rollout.TickInterval, func() { s.tick(n) })
}

// beat compares numbers with two random others.
func (s *sim) beat(n *node) {
	for range 2 {
		to := s.nodes[s.rnd.IntN(len(s.nodes))]
		heard := rollout.PeerConfigReceived{From: n.Member, Number: n.applied, Digest: n.digest}
		if to != n && !n.dead && !n.paused {
			s.deliver(n, to, heard)
		}
	}
	s.After(beat, func() { s.beat(n) })
}

func (s *sim) deliver(from, to *node, e rollout.Event) {
	copies := 1 + s.rnd.IntN(8)/7
	for range copies {
		if s.rnd.Float64() < s.loss || from.group != to.group {
			continue
		}
		life := to.Life
		s.After(time.Duration(1+s.rnd.IntN(80))*time.Millisecond, func() {
			if to.Life == life {
				s.handle(to, e)
			}
		})
	}
}

func (s *sim) handle(n *node, e rollout.Event) {
	if n.dead {
		return
	}
	if n.paused {
		if _, ok := e.(rollout.Tick); !ok {
			n.inbox = append(n.inbox, e)
		}
		return
	}
	for _, e := range n.core.Handle(s.Now(), e) {
		s.carry(n, e)
	}
	s.checkServed(n)
}

// checkServed wants traffic that follows nothing older than what the status of
// the domain states.
func (s *sim) checkServed(n *node) {
	if n.Life == 1 && n.group == 0 && n.inForce > 0 && n.inForce < s.stated[n.Domain] && n.core.IsFresh() {
		s.failed = fmt.Sprintf("%s serves %d, status says %d", n.Name, n.inForce, s.stated[n.Domain])
	}
}

func (s *sim) carry(n *node, e rollout.Effect) {
	switch e := e.(type) {
	case rollout.Send:
		for _, to := range s.nodes {
			if to.Name != e.To.Name {
				continue
			}
			if m, ok := s.wire(n, to, e.Message); ok {
				s.deliver(n, to, rollout.Received{From: n.Name, Message: m})
			}
		}
	case rollout.Apply:
		s.apply(n, e.Release)
	case rollout.Fetch:
		n.fetch++
		s.answer(n, e.After, n.fetch, 20)
	case rollout.WriteStatus:
		s.check(e.Status)
		s.stated[n.Domain] = max(s.stated[n.Domain], e.Status.Number)
		s.writes = append(s.writes, e.Status)
	}
}

// digestOf returns the digest of a state, as another program would compute it.
func digestOf(s rollout.State) string {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf("%x", sha256.Sum256(b))
}

// wire returns a message as it arrives, and false for one that the receiver
// cannot read. A balancer that knows no deltas sends wholes and reads no others.
func (s *sim) wire(from, to *node, m rollout.Message) (rollout.Message, bool) {
	switch m := m.(type) {
	case rollout.LeaderUpdate:
		if from.old && m.Delta.Number > 0 {
			m.Body = whole(release(m.Number)).Body
		}
		if from.old || to.old {
			m.Delta = rollout.Delta{}
		}
		m.Delta = s.mix(m.Delta)
		return m, true
	case rollout.Pull:
		if from.old || to.old {
			m.Digest = ""
		}
		return m, true
	case rollout.SnapshotReply:
		if to.group == from.group {
			s.wholes++
		}
		return m, true
	case rollout.DeltaReply:
		m.Delta = s.mix(m.Delta)
		return m, !to.old
	default:
		return m, true
	}
}

// mix gives some deltas the changes of another one.
func (s *sim) mix(d rollout.Delta) rollout.Delta {
	if d.Number > 0 && s.rnd.Float64() < s.mixed {
		o, _ := release(d.Number + 2).DeltaFrom(release(d.Base + 1))
		d.Body = o.Body
	}
	return d
}

func (s *sim) apply(n *node, r rollout.Release) {
	if r.Number < n.applied || r.Number == n.applied && r.Digest == n.digest || r.Digest != release(r.Number).Digest {
		s.failed = fmt.Sprintf("%s went from %d %s to %d %s", n.Name, n.applied, n.digest, r.Number, r.Digest)
	}
	if digestOf(r.State()) != r.Digest {
		s.failed = fmt.Sprintf("%s holds another state under number %d", n.Name, r.Number)
	}
	n.applied, n.digest = r.Number, r.Digest
	life := n.Life
	s.After(10*time.Millisecond, func() {
		if n.Life == life {
			n.inForce = max(n.inForce, r.Number)
			s.handle(n, rollout.ReleaseActive{Number: r.Number})
		}
	})
}

// check wants a status to claim no more than is true of those that never
// started again. Who has nothing in force yet takes no traffic.
func (s *sim) check(st ticket.Status) {
	for _, n := range s.nodes {
		serves := !n.excluded || !n.paused && n.core.IsFresh()
		if n.Domain == st.Domain && n.Life == 1 && !n.dead && serves && n.inForce < st.Number && n.inForce > 0 {
			s.failed = fmt.Sprintf("status says %d, %s has %d", st.Number, n.Name, n.inForce)
		}
	}
}

// status returns the last status of a domain.
func (s *sim) status(domain string) ticket.Status {
	var last ticket.Status
	for _, st := range s.writes {
		if st.Domain == domain {
			last = st
		}
	}
	return last
}

// answer is the platform's long poll, with a bounded number of looks.
func (s *sim) answer(n *node, after, id uint64, looks int) {
	life := n.Life
	s.After(50*time.Millisecond, func() {
		if n.Life != life || n.fetch != id {
			return
		}
		number := s.accepted
		if s.stale && number > 0 {
			number -= min(number, uint64(s.rnd.IntN(3)))
		}
		switch {
		case s.outage || looks == 0:
			s.handle(n, rollout.FetchFailed{})
		case number > after || s.stale && number > 0:
			s.handle(n, rollout.Fetched{Release: release(number)})
		default:
			s.answer(n, after, id, looks-1)
		}
	})
}

func (s *sim) resume(n *node) {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, e := range inbox {
		s.handle(n, e)
	}
}

func (s *sim) run(d time.Duration) {
	s.RunUntil(s.Now() + d)
}

func (s *sim) wantNoReversal(t *rapid.T) {
	if s.failed != "" {
		t.Fatal(s.failed)
	}
}
