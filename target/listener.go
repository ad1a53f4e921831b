package target

import (
	"bytes"

	"wisteriaweir/service"
)

// ReportAssembler puts the reports of one life of a balancer together again.
type ReportAssembler struct {
	// number is that of the newest report taken.
	number uint64
	wholes []whole
	config uint64
	levels []byte
}

// Ack is what a ReportAssembler wants its balancer to be told.
type Ack struct {
	// Number is that of a whole report, or 0 if the base of a report is missing.
	Number uint64
}

// Apply takes a report. It returns whether the report is the newest and could be
// used, and an Ack if one is to be sent.
func (l *ReportAssembler) Apply(r OpinionReport) (bool, *Ack) {
	if r.Number <= l.number {
		return false, nil
	}
	if r.Base == 0 {
		l.number = r.Number
		l.wholes = keep(l.wholes, whole{number: r.Number, config: r.Config, levels: r.Levels})
		l.config, l.levels = r.Config, r.Levels
		return true, &Ack{Number: r.Number}
	}
	b, ok := find(l.wholes, r.Base)
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
	l.number = r.Number
	l.config, l.levels = r.Config, levels
	return true, nil
}

// ConfigNumber returns the number of the configuration that the levels are about.
func (l *ReportAssembler) ConfigNumber() uint64 { return l.config }

// DeliveredOpinions is what an agreement has been told of one life of a balancer.
type DeliveredOpinions struct {
	config uint64
	levels []byte
}

// NextEvent returns what to tell an agreement of the balancer called member, given the
// configuration that the levels are about and what the agreement was told before.
// It returns false if the levels do not fit the configuration.
func (l *ReportAssembler) NextEvent(member string, cfg service.Config, before DeliveredOpinions) (HealthAggregatorEvent, DeliveredOpinions, bool) {
	now := DeliveredOpinions{config: l.config, levels: l.levels}
	switch {
	case cfg.Number != l.config:
		return nil, before, false
	case before.levels == nil || before.config != l.config || len(before.levels) != len(l.levels):
		opinions, ok := opinionsOf(l.levels, cfg)
		return OpinionsReplaced{Member: member, Opinions: opinions}, now, ok
	case bytes.Equal(before.levels, l.levels):
		return OpinionsUnchanged{Member: member}, now, true
	}
	changed, old := differing(l.levels, before.levels), differing(before.levels, l.levels)
	opinions, ok := opinionsOf(changed, cfg)
	withdrawn, fits := opinionsOf(old, cfg)
	return OpinionsChanged{Member: member, Opinions: opinions, Withdrawn: withdrawn}, now, ok && fits
}

// differing returns levels without those that are alike in other.
func differing(levels, other []byte) []byte {
	out := make([]byte, len(levels))
	for i, b := range levels {
		if b != other[i] {
			out[i] = b
		}
	}
	return out
}
