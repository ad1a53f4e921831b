package balancer

import (
	"wisteriaweir/peer"
	"wisteriaweir/service"
	"wisteriaweir/target"
	"wisteriaweir/target/targetpb"
)

const (
	// kindAck marks envelopes that acknowledge a whole report about targets.
	kindAck = "ack"
	// keptConfigs is the number of configurations whose reports can be read.
	keptConfigs = 4
)

// sightings sends and takes reports of what balancers have seen of targets. It
// belongs to the control goroutine.
type sightings struct {
	c        *control
	reporter target.Reporter
	heard    map[string]*sighting
	// configs are the newest configurations, the one in force last.
	configs []service.Config
}

// sighting is what one life of a balancer has seen.
type sighting struct {
	life     uint64
	listener target.ReportAssembler
}

func newSightings(c *control) *sightings {
	return &sightings{c: c, heard: make(map[string]*sighting)}
}

// adopted keeps the configuration in force, for reports that are about it.
func (s *sightings) adopted() {
	cfg := s.c.config
	if n := len(s.configs); n > 0 && s.configs[n-1].Number == cfg.Number {
		return
	}
	s.configs = append(s.configs, cfg)
	if len(s.configs) > keptConfigs {
		s.configs = s.configs[1:]
	}
}

// with returns a duty with the report that is next for the balancer called to.
func (s *sightings) with(d duty, to string) duty {
	m, ok := s.c.b.snapshot().members[to]
	if !ok || to == s.c.b.self.Name {
		return d
	}
	r := target.ReportDestination{Name: m.Name, Life: m.Life}
	b, err := targetpb.MarshalReport(s.reporter.Report(s.c.b.now(), r, s.c.config, s.c.targets.opinions()))
	if err != nil {
		s.c.b.log.WithError(err).Error("report about targets cannot be encoded")
		return d
	}
	d.Seen = b
	return d
}

// acknowledged takes the answer to a report.
func (s *sightings) acknowledged(from peer.Sender, a target.Ack) {
	s.reporter.Acknowledged(target.ReportDestination{Name: from.Name, Life: from.Life}, a.Number)
}

// take takes the report of another balancer of the own domain. One without Seen
// comes from an older program, or was meant for a holder of claims.
func (s *sightings) take(from peer.Sender, d duty) {
	h, ok := s.heard[from.Name]
	ok = ok && h.life == from.Life
	if len(d.Seen) == 0 {
		if !ok {
			s.c.targets.opined(from.Name, d.Opinions)
		}
		return
	}
	if !ok {
		h = &sighting{life: from.Life}
		s.heard[from.Name] = h
	}
	used, ack := h.listener.Apply(d.report)
	if ack != nil {
		s.answer(from, *ack)
	}
	if used {
		s.voice(from.Name, h)
	}
}

// voice hands what a balancer has seen to the agreement. What is about a
// configuration that is not known here waits for it.
func (s *sightings) voice(name string, h *sighting) {
	for _, cfg := range s.configs {
		if cfg.Number == h.listener.ConfigNumber() {
			s.c.targets.reported(name, h, cfg)
			return
		}
	}
}

func (s *sightings) answer(from peer.Sender, a target.Ack) {
	to, ok := s.c.b.snapshot().members[from.Name]
	if !ok {
		return
	}
	b, err := targetpb.MarshalAck(a)
	if err != nil {
		s.c.b.log.WithError(err).Error("acknowledgement cannot be encoded")
		return
	}
	// The next whole report makes up for one that is lost.
	s.c.b.tell(to, kindAck, b)
}

// forget forgets what a balancer has seen.
func (s *sightings) forget(name string) {
	delete(s.heard, name)
}
