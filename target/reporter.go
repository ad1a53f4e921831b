package target

import (
	"bytes"
	"time"

	"wisteriaweir/service"
)

// ReportDestination is the life of a balancer that reports go to.
type ReportDestination struct {
	Name string
	Life uint64
}

// Reporter turns what one balancer has seen into reports to the holder of its
// failure domain's lease.
type Reporter struct {
	to     ReportDestination
	number uint64
	// sent are whole reports that are not acknowledged yet, base is the newest
	// that is.
	sent []whole
	base whole
}

// Report returns the next report to a receiver, at the time now.
func (r *Reporter) Report(now time.Duration, to ReportDestination, cfg service.Config, opinions []Opinion) OpinionReport {
	if to != r.to {
		r.to, r.sent, r.base = to, nil, whole{}
	}
	r.number++
	levels := levelsOf(opinions, cfg)
	report := OpinionReport{Number: r.number, Config: cfg.Number}
	if changes, ok := r.changes(now, cfg.Number, levels); ok {
		report.Base, report.Changes = r.base.number, changes
		return report
	}
	report.Levels = levels
	r.sent = keep(r.sent, whole{number: r.number, config: cfg.Number, levels: bytes.Clone(levels), at: now})
	return report
}

// changes returns what changed since the base, and false if it is time for a
// whole report.
func (r *Reporter) changes(now time.Duration, config uint64, levels []byte) ([]LevelChange, bool) {
	b := r.base
	if b.number == 0 || b.config != config || len(b.levels) != len(levels) || now-b.at >= wholeInterval {
		return nil, false
	}
	var changes []LevelChange
	for i, level := range levels {
		if level == b.levels[i] {
			continue
		}
		if len(changes) == maxChanges {
			return nil, false
		}
		changes = append(changes, LevelChange{Index: uint32(i), Level: level})
	}
	return changes, true
}

// Acknowledged notes that a receiver holds the whole report with a number. 0
// says that it lacks the base of what it got.
func (r *Reporter) Acknowledged(from ReportDestination, number uint64) {
	if from != r.to {
		return
	}
	if number == 0 {
		r.base = whole{}
		return
	}
	if w, ok := find(r.sent, number); ok && number > r.base.number {
		r.base = w
	}
}
