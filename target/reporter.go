package target

import (
	"bytes"
	"time"

	"wisteriaweir/service"
)

// ReportDestination is the process instance of a balancer to which reports are sent.
type ReportDestination struct {
	Name string
	// Life identifies the process instance among those of the same name.
	Life uint64
}

// Reporter encodes the opinions of one balancer as reports to the holder of its
// failure domain's lease. The zero value is ready to use.
type Reporter struct {
	destination ReportDestination
	// number is the number of the last report.
	number uint64
	// sentReports are the last full reports that were sent to the destination.
	sentReports []fullReport
	// base is the newest full report that was acknowledged; its number is 0 if there is
	// none.
	base fullReport
}

// NextReport returns the next report to a destination, at the time now. The first report to
// another destination than before is a full one.
func (r *Reporter) NextReport(now time.Duration, to ReportDestination, cfg service.Config, opinions []Opinion) OpinionReport {
	if to != r.destination {
		r.destination, r.sentReports, r.base = to, nil, fullReport{}
	}
	r.number++
	levels := levelsOf(opinions, cfg)
	report := OpinionReport{Number: r.number, ConfigNumber: cfg.Number}
	if changes, ok := r.changes(now, cfg.Number, levels); ok {
		report.Base, report.Changes = r.base.number, changes
		return report
	}
	report.Levels = levels
	r.sentReports = storeFullReport(r.sentReports, fullReport{number: r.number, configNumber: cfg.Number, levels: bytes.Clone(levels), sentAt: now})
	return report
}

// changes returns the changes since the base. It returns false if a full report has to be
// sent: there is no base, the base is for another configuration or older than
// fullReportInterval, or there are more than maxChanges changes.
func (r *Reporter) changes(now time.Duration, configNumber uint64, levels []byte) ([]LevelChange, bool) {
	b := r.base
	if b.number == 0 || b.configNumber != configNumber || len(b.levels) != len(levels) || now-b.sentAt >= fullReportInterval {
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

// HandleAck processes an acknowledgement: the destination has the full report with
// the given number. The number 0 means that it lacks the base of the last report, so
// that the next report is a full one.
func (r *Reporter) HandleAck(from ReportDestination, number uint64) {
	if from != r.destination {
		return
	}
	if number == 0 {
		r.base = fullReport{}
		return
	}
	if acknowledged, ok := findFullReport(r.sentReports, number); ok && number > r.base.number {
		r.base = acknowledged
	}
}
