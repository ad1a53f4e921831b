package balancer

import (
	"wisteriaweir/peer"
	"wisteriaweir/service"
	"wisteriaweir/target"
	"wisteriaweir/target/targetpb"
)

const (
	// kindAck is the kind of envelopes that carry a target.Ack: the number of an
	// acknowledged full opinion report, or 0 to request a full one.
	kindAck = "ack"
	// maxRetainedConfigs is the number of newest configurations to which an
	// opinion report may refer.
	maxRetainedConfigs = 4
)

// observations creates and handles opinion reports, which contain what a
// balancer has observed of targets. It belongs to the control goroutine.
type observations struct {
	c        *control
	reporter target.Reporter
	received map[string]*memberObservations
	// configs holds the newest configurations, the active one last.
	configs []service.Config
}

// memberObservations is what one instance of a balancer has observed.
type memberObservations struct {
	life      uint64
	assembler target.ReportAssembler
}

func newObservations(c *control) *observations {
	return &observations{c: c, received: make(map[string]*memberObservations)}
}

// applyConfig retains the active configuration, for opinion reports that refer
// to it.
func (s *observations) applyConfig() {
	cfg := s.c.config
	if n := len(s.configs); n > 0 && s.configs[n-1].Number == cfg.Number {
		return
	}
	s.configs = append(s.configs, cfg)
	if len(s.configs) > maxRetainedConfigs {
		s.configs = s.configs[1:]
	}
}

// withOpinionReport returns a status report that also contains the next opinion
// report for the balancer called to. It returns the status report unchanged if
// that balancer is this one or is not a known member.
func (s *observations) withOpinionReport(report statusReport, to string) statusReport {
	m, ok := s.c.b.snapshot().members[to]
	if !ok || to == s.c.b.self.Name {
		return report
	}
	r := target.ReportDestination{Name: m.Name, Life: m.Life}
	b, err := targetpb.MarshalReport(s.reporter.NextReport(s.c.b.now(), r, s.c.config, s.c.targets.opinions()))
	if err != nil {
		s.c.b.log.WithError(err).Error("opinion report cannot be encoded")
		return report
	}
	report.EncodedReport = b
	return report
}

// handleAck handles the response to an opinion report of this balancer: the
// acknowledgement of a full one, or the request of a full one.
func (s *observations) handleAck(from peer.Sender, a target.Ack) {
	s.reporter.HandleAck(target.ReportDestination{Name: from.Name, Life: from.Life}, a.Number)
}

// handleReport handles the status report of another balancer of the local
// domain. A status report without EncodedReport comes from an older program
// version, or was sent to this balancer as a claim holder. Its opinions are used
// only if the sending instance has never sent an EncodedReport.
func (s *observations) handleReport(from peer.Sender, report statusReport) {
	h, ok := s.received[from.Name]
	ok = ok && h.life == from.Life
	if len(report.EncodedReport) == 0 {
		if !ok {
			s.c.targets.applyOpinions(from.Name, report.Opinions)
		}
		return
	}
	if !ok {
		h = &memberObservations{life: from.Life}
		s.received[from.Name] = h
	}
	used, ack := h.assembler.Apply(report.opinionReport)
	if ack != nil {
		s.sendAck(from, *ack)
	}
	if used {
		s.aggregate(from.Name, h)
	}
}

// aggregate passes the observations of a balancer to the aggregator of the
// domain. It skips observations that refer to a configuration that this balancer
// does not know yet: a report after the arrival of the configuration contains
// them, too.
func (s *observations) aggregate(name string, h *memberObservations) {
	for _, cfg := range s.configs {
		if cfg.Number == h.assembler.ConfigNumber() {
			s.c.targets.applyReport(name, h, cfg)
			return
		}
	}
}

// sendAck sends an acknowledgement, or the request of a full opinion report, to
// the sender of an opinion report.
func (s *observations) sendAck(from peer.Sender, a target.Ack) {
	to, ok := s.c.b.snapshot().members[from.Name]
	if !ok {
		return
	}
	b, err := targetpb.MarshalAck(a)
	if err != nil {
		s.c.b.log.WithError(err).Error("acknowledgement cannot be encoded")
		return
	}
	// The acknowledgement of the next full report repairs the loss of one.
	s.c.b.sendEnvelope(to, kindAck, b)
}

// remove removes the stored observations of a balancer.
func (s *observations) remove(name string) {
	delete(s.received, name)
}
