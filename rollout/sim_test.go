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

// heartbeatInterval is the time between two heartbeats of a node.
const heartbeatInterval = 500 * time.Millisecond

// sim runs cores in virtual time over a network with faults. A heartbeat carries
// only the number and the digest of a release. All nodes have the same view.
type sim struct {
	measure.Timeline
	rnd   *rand.Rand
	nodes []*node
	// lossRatio is the fraction of heartbeats and messages that are lost.
	lossRatio float64
	// mixedRatio is the fraction of deltas that arrive with the body of another one.
	mixedRatio float64
	// accepted is the newest number of the platform.
	accepted uint64
	// outage reports whether the calls of the platform fail.
	outage bool
	// stale reports whether the platform may return numbers that are up to 2 lower.
	stale bool
	// writtenStatuses are all statuses that the nodes have written, the oldest first.
	writtenStatuses []ticket.Status
	// snapshots counts the snapshots whose sender and receiver were in the same
	// partition.
	snapshots int
	// statusNumbers holds the highest number in a status of each domain.
	statusNumbers map[string]uint64
	// failure describes the last violation that was found, empty for none.
	failure string
}

// node is a simulated balancer.
type node struct {
	member.Member
	core *rollout.Core
	// appliedNumber is the number of the newest release that the core has accepted, 0
	// for none.
	appliedNumber uint64
	// activeNumber is the number of the release that the traffic follows, 0 for none.
	activeNumber uint64
	// digest is the digest of the release appliedNumber.
	digest string
	// partition is the number of the network partition that contains the node.
	// Messages between different partitions are lost.
	partition int
	dead      bool
	paused    bool
	// isUnreachable reports whether the others consider this node unreachable.
	isUnreachable bool
	// wasUnreachable reports whether the node was ever unreachable or dead.
	wasUnreachable bool
	// lacksDeltas reports whether the node runs a version without deltas.
	lacksDeltas bool
	// inbox holds the events that arrived during a pause.
	inbox []rollout.Event
	// fetchID identifies the last Fetch. It replaces earlier ones, which are not
	// answered.
	fetchID uint64
}

// state returns the state with number n. Which sections change from one state to the
// next depends on n.
func state(n uint64) rollout.State {
	cfg := service.Config{}.WithNumber(n/2 + 1).WithDigest(fmt.Sprint("d", n/2))
	f := fleet.Fleet{Number: n, Head: ticket.Head{Number: cfg.Number, Digest: cfg.Digest, Services: make(map[string]ticket.Entry)}}
	for i := range 3 + n%2 {
		f.Members = append(f.Members, fleet.Member{Name: fmt.Sprint("m", i), Life: (n + i) / 3})
	}
	for i := range 2 + n/2%3 {
		s := service.Service{Name: fmt.Sprint("s", i)}
		for t := range 2 + 68*uint64(1-min(i, 1)) {
			s.Pool = append(s.Pool, service.Target{Name: fmt.Sprint("t", t), Draining: t == n%200})
		}
		f.Head.Services[s.Name] = ticket.Entry{Number: n / 3}
		cfg = cfg.WithService(s)
	}
	if n%5 == 0 {
		f = f.WithHealth(target.Health{Domain: "west", Fence: n, Number: 1})
	}
	return rollout.State{Fleet: f, Config: cfg}
}

// releases caches the releases that release has returned, by number.
var releases = make(map[uint64]rollout.Release)

// release returns release n, from a cache after the first call.
func release(n uint64) rollout.Release {
	if _, ok := releases[n]; !ok {
		releases[n] = pack(state(n))
	}
	return releases[n]
}

// pack returns the release of a state, and panics on an error.
func pack(s rollout.State) rollout.Release {
	r, err := rollout.NewRelease(s)
	if err != nil {
		panic(err)
	}
	return r
}

// snapshot returns the snapshot of a release, and panics on an error.
func snapshot(r rollout.Release) rollout.Snapshot {
	snap, err := r.Snapshot()
	if err != nil {
		panic(err)
	}
	return snap
}

// newSim returns a simulation of domains with perDomain nodes each, which know
// each other and have no release.
func newSim(seed uint64, domains, perDomain int) *sim {
	s := &sim{rnd: rand.New(rand.NewPCG(seed, 1)), statusNumbers: make(map[string]uint64)}
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
		s.heartbeat(n)
	}
	s.publishView()
	return s
}

// start starts a node with a new core, which has no release.
func (s *sim) start(n *node) {
	n.core = rollout.NewCore(rollout.Config{Self: n.Member, Seed: s.rnd.Uint64()})
	n.appliedNumber, n.activeNumber, n.digest, n.fetchID, n.inbox = 0, 0, "", 0, nil
	n.dead = false
}

// restart starts a new process instance of a node.
func (s *sim) restart(n *node) {
	n.Life++
	s.start(n)
	s.publishView()
}

// publishView passes a view of all members to each node.
func (s *sim) publishView() {
	var entries []member.Entry
	for _, n := range s.nodes {
		state := member.StateLive
		if n.dead || n.isUnreachable {
			state = member.StateUnreachable
			n.wasUnreachable = true
		}
		entries = append(entries, member.Entry{Member: n.Member, State: state})
	}
	for _, n := range s.nodes {
		s.handle(n, rollout.ViewChanged{View: member.NewView(1, entries)})
	}
}

// tick passes a Tick to a node and schedules the next one.
func (s *sim) tick(n *node) {
	s.handle(n, rollout.Tick{})
	s.After(rollout.TickInterval, func() { s.tick(n) })
}

// heartbeat sends the number of a node to up to two random other nodes.
func (s *sim) heartbeat(n *node) {
	for range 2 {
		to := s.nodes[s.rnd.IntN(len(s.nodes))]
		config := rollout.PeerReleaseReceived{From: n.Member, Number: n.appliedNumber, Digest: n.digest}
		if to != n && !n.dead && !n.paused {
			s.deliver(n, to, config)
		}
	}
	s.After(heartbeatInterval, func() { s.heartbeat(n) })
}

// deliver passes an event to a node after a random delay of 1 to 80 ms. Every eighth
// event, on average, is sent twice. Each copy may be lost, and is lost between
// partitions or if the receiver restarts meanwhile.
func (s *sim) deliver(from, to *node, e rollout.Event) {
	deliveries := 1 + s.rnd.IntN(8)/7
	for range deliveries {
		if s.rnd.Float64() < s.lossRatio || from.partition != to.partition {
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

// handle passes an event to a node. A dead node ignores it; a paused node queues
// it, except for ticks.
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
		s.perform(n, e)
	}
	s.checkActiveNumber(n)
}

// checkActiveNumber records a failure if the traffic of a node follows a lower
// number than a status of its domain has reported. It does not check nodes that were
// restarted, are not in partition 0 or are stale after a pause.
func (s *sim) checkActiveNumber(n *node) {
	if n.Life == 1 && n.partition == 0 && n.activeNumber > 0 && n.activeNumber < s.statusNumbers[n.Domain] && n.core.IsFresh() {
		s.failure = fmt.Sprintf("%s serves %d, status says %d", n.Name, n.activeNumber, s.statusNumbers[n.Domain])
	}
}

// perform performs an effect of a node's core.
func (s *sim) perform(n *node, e rollout.Effect) {
	switch e := e.(type) {
	case rollout.Send:
		for _, to := range s.nodes {
			if to.Name != e.To.Name {
				continue
			}
			if m, ok := s.transmit(n, to, e.Message); ok {
				s.deliver(n, to, rollout.MessageReceived{From: n.Name, Message: m})
			}
		}
	case rollout.Apply:
		s.apply(n, e.Release)
	case rollout.Fetch:
		n.fetchID++
		s.answerFetch(n, e.After, n.fetchID, 20)
	case rollout.WriteStatus:
		s.checkStatus(e.Status)
		s.statusNumbers[n.Domain] = max(s.statusNumbers[n.Domain], e.Status.Number)
		s.writtenStatuses = append(s.writtenStatuses, e.Status)
	}
}

// digestOf computes the digest of a state without package rollout.
func digestOf(s rollout.State) string {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf("%x", sha256.Sum256(b))
}

// transmit returns a message as the receiver decodes it, and false if the receiver
// cannot decode it. A node that lacks deltas sends and reads only snapshots.
func (s *sim) transmit(from, to *node, m rollout.Message) (rollout.Message, bool) {
	switch m := m.(type) {
	case rollout.LeaderUpdate:
		if from.lacksDeltas && m.Delta.Number > 0 {
			m.Body = snapshot(release(m.Number)).Body
		}
		if from.lacksDeltas || to.lacksDeltas {
			m.Delta = rollout.Delta{}
		}
		m.Delta = s.mixDelta(m.Delta)
		return m, true
	case rollout.Pull:
		if from.lacksDeltas || to.lacksDeltas {
			m.Digest = ""
		}
		return m, true
	case rollout.SnapshotReply:
		if to.partition == from.partition {
			s.snapshots++
		}
		return m, true
	case rollout.DeltaReply:
		m.Delta = s.mixDelta(m.Delta)
		return m, !to.lacksDeltas
	default:
		return m, true
	}
}

// mixDelta replaces the body of some deltas by that of another one.
func (s *sim) mixDelta(d rollout.Delta) rollout.Delta {
	if d.Number > 0 && s.rnd.Float64() < s.mixedRatio {
		o, _ := release(d.Number + 2).DeltaFrom(release(d.BaseNumber + 1))
		d.Body = o.Body
	}
	return d
}

// apply records that a node accepted a release, which becomes active after 10 ms. It
// records a failure if the number goes back or the release does not change, or if the
// digest or the state is not that of the release.
func (s *sim) apply(n *node, r rollout.Release) {
	if r.Number < n.appliedNumber || r.Number == n.appliedNumber && r.Digest == n.digest || r.Digest != release(r.Number).Digest {
		s.failure = fmt.Sprintf("%s went from %d %s to %d %s", n.Name, n.appliedNumber, n.digest, r.Number, r.Digest)
	}
	if digestOf(r.State()) != r.Digest {
		s.failure = fmt.Sprintf("%s holds another state under number %d", n.Name, r.Number)
	}
	n.appliedNumber, n.digest = r.Number, r.Digest
	life := n.Life
	s.After(10*time.Millisecond, func() {
		if n.Life == life {
			n.activeNumber = max(n.activeNumber, r.Number)
			s.handle(n, rollout.ReleaseActive{Number: r.Number})
		}
	})
}

// checkStatus records a failure if a status reports a higher number than is active
// on a node that may serve traffic and was never restarted. A node without an
// active release receives no traffic.
func (s *sim) checkStatus(st ticket.Status) {
	for _, n := range s.nodes {
		mayServe := !n.wasUnreachable || !n.paused && n.core.IsFresh()
		if n.Domain == st.Domain && n.Life == 1 && !n.dead && mayServe && n.activeNumber < st.Number && n.activeNumber > 0 {
			s.failure = fmt.Sprintf("status says %d, %s has %d", st.Number, n.Name, n.activeNumber)
		}
	}
}

// status returns the last status of a domain.
func (s *sim) status(domain string) ticket.Status {
	var last ticket.Status
	for _, st := range s.writtenStatuses {
		if st.Domain == domain {
			last = st
		}
	}
	return last
}

// answerFetch simulates the platform's watch. It polls every 50 ms until the number
// is above after, and reports a failure during an outage or after remainingPolls
// further polls.
func (s *sim) answerFetch(n *node, after, id uint64, remainingPolls int) {
	life := n.Life
	s.After(50*time.Millisecond, func() {
		if n.Life != life || n.fetchID != id {
			return
		}
		number := s.accepted
		if s.stale && number > 0 {
			number -= min(number, uint64(s.rnd.IntN(3)))
		}
		switch {
		case s.outage || remainingPolls == 0:
			s.handle(n, rollout.FetchFailed{})
		case number > after || s.stale && number > 0:
			s.handle(n, rollout.Fetched{Release: release(number)})
		default:
			s.answerFetch(n, after, id, remainingPolls-1)
		}
	})
}

// resume ends the pause of a node, which then handles the queued events.
func (s *sim) resume(n *node) {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, e := range inbox {
		s.handle(n, e)
	}
}

// run advances the virtual time by d.
func (s *sim) run(d time.Duration) {
	s.RunUntil(s.Now() + d)
}

// requireNoFailure fails the test if a failure was recorded.
func (s *sim) requireNoFailure(t *rapid.T) {
	if s.failure != "" {
		t.Fatal(s.failure)
	}
}
