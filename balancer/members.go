package balancer

import (
	"maps"
	"slices"
	"time"

	"wisteriaweir/fleet"
	"wisteriaweir/member"
	"wisteriaweir/member/memberpb"
	"wisteriaweir/platform"
	"wisteriaweir/request"
	"wisteriaweir/rollout"
)

const (
	// kindMember is the kind of envelopes that carry a heartbeat of package
	// member.
	kindMember = "member"
	// seedContactInterval is the interval of heartbeats to the seeds while no
	// other balancer is known.
	seedContactInterval = time.Second
)

// members passes events to the core of the membership and executes its effects.
// It belongs to the control goroutine.
type members struct {
	c    *control
	core *member.Core
	view member.View
	// serving holds the members of the fleet that accept new work, as last
	// passed to the core of requests.
	serving []request.Member
	// leaving holds the reachable members of the fleet that accept no new work,
	// as last passed to the core of requests.
	leaving []request.Member
	// unreachable holds the names of the unreachable members of the fleet.
	unreachable       map[string]bool
	nextSeedContactAt time.Duration
}

func newMembers(c *control) *members {
	return &members{
		c: c,
		core: member.NewCore(member.Config{
			Self:              c.b.self,
			Seed:              c.b.self.Life,
			HeartbeatInterval: c.b.cfg.Setting.Times.Heartbeat,
		}),
	}
}

func (s *members) handle(e member.Event) {
	for _, effect := range s.core.Handle(s.c.b.now(), e) {
		s.execute(effect)
	}
}

func (s *members) execute(effect member.Effect) {
	switch e := effect.(type) {
	case member.Send:
		payload, err := memberpb.Marshal(e.Heartbeat)
		if err != nil {
			s.c.b.log.WithError(err).Error("heartbeat cannot be encoded")
			return
		}
		// A heartbeat is sent without an instance, so that any instance
		// receives it: a restarted balancer answers a heartbeat meant for its
		// earlier instance and thereby becomes known again. The next heartbeat
		// replaces one that is lost.
		to := e.To
		to.Life = 0
		s.c.b.sendEnvelope(to, kindMember, payload)
	case member.Publish:
		s.view = e.View
		s.publish()
		s.c.rolloutRunner.handle(rollout.ViewChanged{View: e.View})
	case member.PeerConfigReceived:
		s.c.rolloutRunner.handle(rollout.PeerReleaseReceived{From: e.From, Number: e.Number, Digest: e.Digest})
	case member.Superseded:
		s.c.b.log.WithField("life", e.Life).Error("a later life of this balancer exists")
	}
}

// othersAcceptWork reports whether another balancer of the local failure domain
// accepts new work.
func (s *members) othersAcceptWork() bool {
	for _, m := range s.view.Serving(s.c.b.self.Domain) {
		if m.Name != s.c.b.self.Name {
			return true
		}
	}
	return false
}

// domainReachability returns, for each failure domain with balancers, whether
// at least one of them is reachable.
func (s *members) domainReachability() map[string]bool {
	out := make(map[string]bool)
	for _, e := range s.view.Entries {
		out[e.Domain] = out[e.Domain] || e.State != member.StateUnreachable
	}
	return out
}

// applyHostList passes the platform's host list to the core. Entries with
// invalid addresses are skipped.
func (s *members) applyHostList(list []platform.Host) {
	var hosts []member.Host
	for _, h := range list {
		m, ok := hostMember(h)
		if ok {
			hosts = append(hosts, member.Host{Member: m, Leaving: h.State == platform.StateLeaving})
		}
	}
	s.handle(member.HostList{Hosts: hosts})
}

// isReachable reports whether an instance of a balancer is live or suspect, or
// leaving. An instance that the membership does not know yet counts as reachable.
func (s *members) isReachable(name string, life uint64) bool {
	if name == s.c.b.self.Name {
		return life == s.c.b.self.Life
	}
	e, ok := s.view.Entry(name)
	if !ok || e.Life < life {
		return true // The fleet can contain an instance before the membership knows it.
	}
	return e.Life == life && e.State != member.StateUnreachable
}

// acceptsWork reports whether an instance of a balancer accepts new work. An
// instance that the membership does not know yet counts as accepting work.
func (s *members) acceptsWork(name string, life uint64) bool {
	e, ok := s.view.Entry(name)
	if !ok || e.Life < life {
		return true
	}
	return e.Life == life && e.AcceptsWork()
}

// publish passes the serving and leaving members to the core of requests and
// the unreachable ones to the epoch manager, if they have changed, and updates
// the members in the snapshot.
func (s *members) publish() {
	var serving, leaving []request.Member
	unreachable := make(map[string]bool)
	for _, m := range s.c.fleet.Members {
		requestMember := request.Member{Peer: request.Peer{Name: m.Name, Life: m.Life}, Domain: m.Domain}
		switch {
		case !s.isReachable(m.Name, m.Life):
			unreachable[m.Name] = true
		case m.State != fleet.StateLeaving && s.acceptsWork(m.Name, m.Life):
			serving = append(serving, requestMember)
		default:
			leaving = append(leaving, requestMember)
		}
	}
	if !slices.Equal(serving, s.serving) || !slices.Equal(leaving, s.leaving) {
		s.serving, s.leaving = serving, leaving
		s.c.b.requests.enqueue(request.ViewChanged{Members: serving, Leaving: leaving})
	}
	if !maps.Equal(unreachable, s.unreachable) {
		s.unreachable = unreachable
		s.c.updateReachability()
	}
	s.c.b.publishMembers(s.view, s.c.fleet)
}

// tick passes a Tick to the core, and contacts the seeds while no other
// balancer is known.
func (s *members) tick() {
	s.handle(member.Tick{})
	if now := s.c.b.now(); len(s.view.Entries) <= 1 && now >= s.nextSeedContactAt {
		s.nextSeedContactAt = now + seedContactInterval
		s.contactSeeds()
	}
}

// contactSeeds sends a heartbeat to the seeds. Without the platform, a starting
// balancer has no other way to find members.
func (s *members) contactSeeds() {
	payload, err := memberpb.Marshal(member.Heartbeat{From: member.Record{Member: s.c.b.self, Health: member.HealthLive}})
	if err != nil {
		s.c.b.log.WithError(err).Error("heartbeat cannot be encoded")
		return
	}
	for _, seed := range s.c.b.cfg.Setting.Seeds {
		if seed != s.c.b.self.Control {
			s.c.b.sendEnvelope(member.Member{Control: seed}, kindMember, payload)
		}
	}
}

// publishMembers publishes a snapshot with the balancers of the fleet and of
// the membership view. A later instance in the view replaces the one in the
// fleet.
func (b *Balancer) publishMembers(v member.View, f fleet.Fleet) {
	known := transportMembers(f)
	for _, e := range v.Entries {
		if m, ok := f.Member(e.Name); !ok || m.Life < e.Life {
			known = append(known, e.Member)
		}
	}
	b.current.Store(b.snapshot().withMembers(known))
}

// hostsPollInterval is the interval at which every balancer reads the
// platform's host list.
const hostsPollInterval = 5 * time.Minute
