package balancer

import (
	"wisteriaweir/peer"
	"wisteriaweir/service"
	"wisteriaweir/target"
	"wisteriaweir/target/targetpb"
)

const (
	// kindAck is the kind of envelopes that acknowledge a full report about
	// targets.
	kindAck = "ack"
	// maxRetainedConfigs is the number of configurations for which reports can
	// be applied.
	maxRetainedConfigs = 4
)

// observations sends and receives reports of what balancers have observed of
// targets. It belongs to the control goroutine.
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

// applyConfig retains the active configuration, for reports that refer to it.
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

// addReport returns a status report to which the next report about targets for
// the balancer called to is added. It adds nothing if that balancer is this one
// or is not a known member.
func (s *observations) addReport(report statusReport, to string) statusReport {
	m, ok := s.c.b.snapshot().members[to]
	if !ok || to == s.c.b.self.Name {
		return report
	}
	r := target.ReportDestination{Name: m.Name, Life: m.Life}
	b, err := targetpb.MarshalReport(s.reporter.Report(s.c.b.now(), r, s.c.config, s.c.targets.opinions()))
	if err != nil {
		s.c.b.log.WithError(err).Error("report about targets cannot be encoded")
		return report
	}
	report.EncodedReport = b
	return report
}

// handleAck handles the acknowledgement of a report.
func (s *observations) handleAck(from peer.Sender, a target.Ack) {
	s.reporter.Acknowledged(target.ReportDestination{Name: from.Name, Life: from.Life}, a.Number)
}

// handleReport handles the status report of another balancer of the local
// domain. A status report without EncodedReport is from an older program
// version, or was meant for a claim holder: its opinions are used only if this
// instance has never sent an EncodedReport.
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
// domain, unless they refer to a configuration that is not known here. Then a
// later report passes them on, once the configuration is known.
func (s *observations) aggregate(name string, h *memberObservations) {
	for _, cfg := range s.configs {
		if cfg.Number == h.assembler.ConfigNumber() {
			s.c.targets.applyReport(name, h, cfg)
			return
		}
	}
}

// sendAck acknowledges a full report to its sender.
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
	// The next full report repairs the loss of an acknowledgement.
	s.c.b.sendEnvelope(to, kindAck, b)
}

// remove removes what a balancer has observed.
func (s *observations) remove(name string) {
	delete(s.received, name)
}
