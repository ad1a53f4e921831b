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
	fullReports  []fullReport
	config       uint64
	levels       []byte
}

// Ack is the response that a ReportAssembler wants sent to the balancer.
type Ack struct {
	// Number is the number of the full report that was received, or 0 if the base of
	// a report is missing.
	Number uint64
}

// Apply applies a report. It returns whether the report is the newest and could be
// applied, and an Ack if one has to be sent.
func (l *ReportAssembler) Apply(r OpinionReport) (bool, *Ack) {
	if r.Number <= l.newestNumber {
		return false, nil
	}
	if r.Base == 0 {
		l.newestNumber = r.Number
		l.fullReports = storeFullReport(l.fullReports, fullReport{number: r.Number, config: r.Config, levels: r.Levels})
		l.config, l.levels = r.Config, r.Levels
		return true, &Ack{Number: r.Number}
	}
	b, ok := findFullReport(l.fullReports, r.Base)
	if !ok || b.config != r.Config {
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
	l.config, l.levels = r.Config, levels
	return true, nil
}

// ConfigNumber returns the number of the configuration to which the levels refer.
func (l *ReportAssembler) ConfigNumber() uint64 { return l.config }

// DeliveredOpinions are the levels of one process instance of a balancer that were
// last delivered to a HealthAggregator.
type DeliveredOpinions struct {
	config uint64
	levels []byte
}

// NextEvent returns the event to deliver to a HealthAggregator for the balancer
// called member, and the DeliveredOpinions after it. cfg is the configuration with
// ConfigNumber, delivered is the result of the last call. It returns false if the
// levels do not fit the configuration.
func (l *ReportAssembler) NextEvent(member string, cfg service.Config, delivered DeliveredOpinions) (HealthAggregatorEvent, DeliveredOpinions, bool) {
	current := DeliveredOpinions{config: l.config, levels: l.levels}
	switch {
	case cfg.Number != l.config:
		return nil, delivered, false
	case delivered.levels == nil || delivered.config != l.config || len(delivered.levels) != len(l.levels):
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
