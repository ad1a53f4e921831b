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
	// kindMember marks envelopes that carry a heartbeat of package member.
	kindMember = "member"
	// introduceInterval is the time between two introductions to the seeds.
	introduceInterval = time.Second
)

// members feeds the core of membership and performs its effects. It belongs to
// the control goroutine.
type members struct {
	c    *control
	core *member.Core
	view member.View
	// serving, leaving and unreachable are what was published last.
	serving     []request.Member
	leaving     []request.Member
	unreachable map[string]bool
	introduceAt time.Duration
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
		s.perform(effect)
	}
}

func (s *members) perform(effect member.Effect) {
	switch e := effect.(type) {
	case member.Send:
		payload, err := memberpb.Marshal(e.Heartbeat)
		if err != nil {
			s.c.b.log.WithError(err).Error("heartbeat cannot be encoded")
			return
		}
		// A heartbeat goes to any life: a restarted balancer answers one that was
		// meant for its former life, and is known again. The next heartbeat makes
		// up for one that is lost.
		to := e.To
		to.Life = 0
		s.c.b.tell(to, kindMember, payload)
	case member.Publish:
		s.view = e.View
		s.publish()
		s.c.rollout.handle(rollout.ViewChanged{View: e.View})
	case member.PeerConfigReceived:
		s.c.rollout.handle(rollout.PeerConfigReceived{From: e.From, Number: e.Number, Digest: e.Digest})
	case member.Superseded:
		s.c.b.log.WithField("life", e.Life).Error("a later life of this balancer exists")
	}
}

// othersServe says whether another balancer of the own failure domain takes new
// work.
func (s *members) othersServe() bool {
	for _, m := range s.view.Serving(s.c.b.self.Domain) {
		if m.Name != s.c.b.self.Name {
			return true
		}
	}
	return false
}

// reachedDomains says, for each failure domain that has balancers, whether one
// of them can be reached.
func (s *members) reachedDomains() map[string]bool {
	out := make(map[string]bool)
	for _, e := range s.view.Entries {
		out[e.Domain] = out[e.Domain] || e.State != member.StateUnreachable
	}
	return out
}

// hosts takes the platform's list.
func (s *members) hosts(list []platform.Host) {
	var hosts []member.Host
	for _, h := range list {
		m, ok := hostMember(h)
		if ok {
			hosts = append(hosts, member.Host{Member: m, Leaving: h.State == platform.StateLeaving})
		}
	}
	s.handle(member.HostList{Hosts: hosts})
}

// alive says whether a life of a balancer can be reached, as far as is known.
func (s *members) alive(name string, life uint64) bool {
	if name == s.c.b.self.Name {
		return life == s.c.b.self.Life
	}
	e, ok := s.view.Entry(name)
	if !ok || e.Life < life {
		return true // The fleet knows it before news of it came here.
	}
	return e.Life == life && e.State != member.StateUnreachable
}

// serves says whether a life of a balancer takes new work.
func (s *members) serves(name string, life uint64) bool {
	e, ok := s.view.Entry(name)
	if !ok || e.Life < life {
		return true
	}
	return e.Life == life && e.AcceptsWork()
}

// publish tells the core of requests who serves and the generations who cannot
// be reached, after a change.
func (s *members) publish() {
	var serving, leaving []request.Member
	unreachable := make(map[string]bool)
	for _, m := range s.c.fleet.Members {
		member := request.Member{Peer: request.Peer{Name: m.Name, Life: m.Life}, Domain: m.Domain}
		switch {
		case !s.alive(m.Name, m.Life):
			unreachable[m.Name] = true
		case m.State != fleet.StateLeaving && s.serves(m.Name, m.Life):
			serving = append(serving, member)
		default:
			leaving = append(leaving, member)
		}
	}
	if !slices.Equal(serving, s.serving) || !slices.Equal(leaving, s.leaving) {
		s.serving, s.leaving = serving, leaving
		s.c.b.requests.must(request.ViewChanged{Members: serving, Leaving: leaving})
	}
	if !maps.Equal(unreachable, s.unreachable) {
		s.unreachable = unreachable
		s.c.reach()
	}
	s.c.b.publishMembers(s.view, s.c.fleet)
}

// tick lets time pass.
func (s *members) tick() {
	s.handle(member.Tick{})
	if now := s.c.b.now(); len(s.view.Entries) <= 1 && now >= s.introduceAt {
		s.introduceAt = now + introduceInterval
		s.introduce()
	}
}

// introduce makes this balancer known to the seeds, while it knows nobody. A
// start without the platform has no other way in.
func (s *members) introduce() {
	payload, err := memberpb.Marshal(member.Heartbeat{From: member.Record{Member: s.c.b.self, Health: member.HealthLive}})
	if err != nil {
		s.c.b.log.WithError(err).Error("heartbeat cannot be encoded")
		return
	}
	for _, seed := range s.c.b.cfg.Setting.Seeds {
		if seed != s.c.b.self.Control {
			s.c.b.tell(member.Member{Control: seed}, kindMember, payload)
		}
	}
}

// publishMembers makes the balancers of the view and of the fleet known to the
// traffic lanes.
func (b *Balancer) publishMembers(v member.View, f fleet.Fleet) {
	known := peers(f)
	for _, e := range v.Entries {
		if m, ok := f.Member(e.Name); !ok || m.Life < e.Life {
			known = append(known, e.Member)
		}
	}
	b.current.Store(b.snapshot().withMembers(known))
}

// hostsInterval is the time between two looks at the platform's list by a
// balancer that does not hold the lease.
const hostsInterval = 5 * time.Minute
