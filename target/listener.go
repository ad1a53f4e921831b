package target

import (
	"bytes"

	"wisteriaweir/service"
)

// ReportAssembler rebuilds the levels from the reports of one process instance of a
// balancer.
type ReportAssembler struct {
	// newestNumber is the number of the newest report that was applied.
	newestNumber uint64
	// fullReports are the last full reports, the possible bases of later reports.
	fullReports []fullReport
	// configNumber is the number of the configuration to which levels refers.
	configNumber uint64
	// levels are the levels after the newest report, encoded as in OpinionReport.Levels.
	levels []byte
}

// Ack is the acknowledgement that is sent to the balancer in response to a report.
type Ack struct {
	// Number is the number of the full report that was received, or 0 if the base of
	// a report is missing.
	Number uint64
}

// Apply applies a report. It returns whether the report was applied: it must be newer
// than all applied before, and the base of a report of changes must be known and fit it.
// Apply also returns the Ack to send to the balancer, or nil if none is to be sent.
func (l *ReportAssembler) Apply(r OpinionReport) (bool, *Ack) {
	if r.Number <= l.newestNumber {
		return false, nil
	}
	if r.Base == 0 {
		l.newestNumber = r.Number
		l.fullReports = storeFullReport(l.fullReports, fullReport{number: r.Number, configNumber: r.ConfigNumber, levels: r.Levels})
		l.configNumber, l.levels = r.ConfigNumber, r.Levels
		return true, &Ack{Number: r.Number}
	}
	b, ok := findFullReport(l.fullReports, r.Base)
	if !ok || b.configNumber != r.ConfigNumber {
		return false, &Ack{}
	}
	levels := bytes.Clone(b.levels)
	for _, c := range r.Changes {
		if int(c.Index) >= len(levels) {
			return false, &Ack{}
		}
		levels[c.Index] = c.Level
	}
	l.newestNumber = r.Number
	l.configNumber, l.levels = r.ConfigNumber, levels
	return true, nil
}

// ConfigNumber returns the number of the configuration to which the levels refer.
func (l *ReportAssembler) ConfigNumber() uint64 { return l.configNumber }

// DeliveredOpinions are the levels of one process instance of a balancer that were
// last delivered to a HealthAggregator.
type DeliveredOpinions struct {
	configNumber uint64
	levels       []byte
}

// NextEvent returns the event to deliver to a HealthAggregator for the balancer
// called member, and the DeliveredOpinions after it. cfg is the configuration with
// ConfigNumber. delivered is the DeliveredOpinions that the last call returned, or the
// zero value if the aggregator has no opinions of the balancer. It returns false if the
// levels do not fit the configuration.
func (l *ReportAssembler) NextEvent(member string, cfg service.Config, delivered DeliveredOpinions) (HealthAggregatorEvent, DeliveredOpinions, bool) {
	current := DeliveredOpinions{configNumber: l.configNumber, levels: l.levels}
	switch {
	case cfg.Number != l.configNumber:
		return nil, delivered, false
	case delivered.levels == nil || delivered.configNumber != l.configNumber || len(delivered.levels) != len(l.levels):
		opinions, ok := opinionsOf(l.levels, cfg)
		return OpinionsReplaced{Member: member, Opinions: opinions}, current, ok
	case bytes.Equal(delivered.levels, l.levels):
		return OpinionsUnchanged{Member: member}, current, true
	}
	changed, old := changedLevels(l.levels, delivered.levels), changedLevels(delivered.levels, l.levels)
	opinions, ok := opinionsOf(changed, cfg)
	withdrawn, oldOK := opinionsOf(old, cfg)
	return OpinionsChanged{Member: member, Opinions: opinions, Withdrawn: withdrawn}, current, ok && oldOK
}

// changedLevels returns a copy of levels with noOpinion wherever other is the same.
func changedLevels(levels, other []byte) []byte {
	changed := make([]byte, len(levels))
	for i, b := range levels {
		if b != other[i] {
			changed[i] = b
		}
	}
	return changed
}
