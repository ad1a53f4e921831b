package balancer

import (
	"encoding/json"
	"time"

	"wisteriaweir/fleet"
	"wisteriaweir/peer"
	"wisteriaweir/target"
	"wisteriaweir/target/targetpb"
)

// kindStatusReport is the kind of envelopes that carry a status report.
const kindStatusReport = "duty"

// statusReport is what a balancer periodically sends to the lease holder of its
// failure domain, and a claim holder also to the other claim holders.
type statusReport struct {
	// Ready indicates that the sender holds the pins of the other members or,
	// when it is leaving, that it has handed over its own.
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving,omitempty"`
	// FleetNumber is the number of the fleet state that Ready refers to.
	FleetNumber uint64 `json:"fleet,omitempty"`
	// NewestClaimSet is the number of the newest set of claim holders whose
	// claims the sender holds completely.
	NewestClaimSet uint64 `json:"claims,omitempty"`
	// EncodedReport is an encoded target.OpinionReport of the sender's own
	// observations of targets.
	EncodedReport []byte `json:"seen,omitempty"`
	// Opinions holds the same information from a sender of an older program
	// version, which sends no EncodedReport.
	Opinions []target.Opinion `json:"opinions,omitempty"`

	// opinionReport is the decoded EncodedReport.
	opinionReport target.OpinionReport
}

// decodeStatusReport decodes a status report and the opinion report in it.
func decodeStatusReport(payload []byte) (statusReport, error) {
	var report statusReport
	if err := json.Unmarshal(payload, &report); err != nil || len(report.EncodedReport) == 0 {
		return report, err
	}
	var err error
	report.opinionReport, err = targetpb.UnmarshalReport(report.EncodedReport)
	return report, err
}

// receivedReport is the last status report of one instance of a balancer.
type receivedReport struct {
	life       uint64
	report     statusReport
	receivedAt time.Duration
}

// joinStart identifies the join of a balancer: its instance, and the number of
// the first fleet state in which it is joining.
type joinStart struct {
	life        uint64
	fleetNumber uint64
}

// statusReports sends status reports and stores the received ones. It belongs
// to the control goroutine.
type statusReports struct {
	c          *control
	nextSendAt time.Duration
	received   map[string]receivedReport
	// joining holds the members that are joining, by name.
	joining      map[string]joinStart
	observations *observations
}

func newStatusReports(c *control) *statusReports {
	return &statusReports{c: c, received: make(map[string]receivedReport), joining: make(map[string]joinStart), observations: newObservations(c)}
}

// local returns this balancer's own report.
func (s *statusReports) local() statusReport {
	c := s.c
	ready := c.epochs.Status().Ready
	if c.isLeaving {
		ready = c.hasHandedOver()
	}
	return statusReport{
		Ready:          ready,
		FleetNumber:    c.epochs.Status().Newest,
		Leaving:        c.isLeaving,
		NewestClaimSet: c.b.requests.newestClaimSet.Load(),
	}
}

// tick sends the report once per heartbeat interval: to the lease holder and,
// if this balancer is a claim holder, to the other claim holders.
func (s *statusReports) tick() {
	now := s.c.b.now()
	if now < s.nextSendAt {
		return
	}
	s.nextSendAt = now + s.c.b.cfg.Setting.Times.Heartbeat
	report := s.local()
	leaseHolder := s.c.leaseRunner.leaseHolder()
	s.send(leaseHolder, s.observations.withOpinionReport(report, leaseHolder))
	if !s.isClaimHolder(s.c.b.self.Name) {
		return
	}
	for _, h := range s.c.fleet.ClaimHolders.Members {
		if h.Name != leaseHolder {
			s.send(h.Name, report)
		}
	}
}

// isClaimHolder reports whether the balancer called name is a claim holder.
func (s *statusReports) isClaimHolder(name string) bool {
	for _, h := range s.c.fleet.ClaimHolders.Members {
		if h.Name == name {
			return true
		}
	}
	return false
}

// send sends a report to the balancer called name, unless that is this one or
// is not a known member.
func (s *statusReports) send(name string, report statusReport) {
	to, ok := s.c.b.snapshot().members[name]
	if !ok || name == s.c.b.self.Name {
		return
	}
	payload, err := json.Marshal(report)
	if err != nil {
		s.c.b.log.WithError(err).Error("status report cannot be encoded")
		return
	}
	// The next report replaces one that is lost.
	s.c.b.sendEnvelope(to, kindStatusReport, payload)
}

// handle stores the report of another balancer, unless a later instance of that
// balancer has sent a report already.
func (s *statusReports) handle(from peer.Sender, report statusReport) {
	if from.Life < s.received[from.Name].life {
		return
	}
	s.received[from.Name] = receivedReport{life: from.Life, report: report, receivedAt: s.c.b.now()}
	if from.Domain == s.c.b.self.Domain {
		s.observations.handleReport(from, report)
	}
}

// latest returns the last report of an instance of a balancer, and false if
// there is none.
func (s *statusReports) latest(name string, life uint64) (statusReport, bool) {
	if name == s.c.b.self.Name {
		return s.local(), true
	}
	received, ok := s.received[name]
	return received.report, ok && received.life == life
}

// isReady reports whether a member is ready according to its last report. For a
// joining member, the report must refer to a fleet state in which it is
// joining: an earlier one refers to its previous role.
func (s *statusReports) isReady(m fleet.Member) bool {
	report, ok := s.latest(m.Name, m.Life)
	since := s.joining[m.Name]
	return ok && report.Ready && (m.State != fleet.StateJoining || report.FleetNumber >= since.fleetNumber)
}

// applyFleet applies a newer state of the fleet and removes the reports of
// balancers that are no longer in it.
func (s *statusReports) applyFleet() {
	s.observations.applyConfig()
	s.recordJoining()
	for name := range s.received {
		if _, ok := s.c.fleet.Member(name); !ok {
			delete(s.received, name)
			s.observations.remove(name)
		}
	}
}

// recordJoining records the fleet state since which each joining member has
// been joining.
func (s *statusReports) recordJoining() {
	joining := make(map[string]joinStart)
	for _, m := range s.c.fleet.Members {
		if m.State != fleet.StateJoining {
			continue
		}
		since := joinStart{life: m.Life, fleetNumber: s.c.fleet.Number}
		if old, ok := s.joining[m.Name]; ok && old.life == m.Life {
			since = old
		}
		joining[m.Name] = since
	}
	s.joining = joining
}
