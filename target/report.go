package target

import (
	"time"

	"wisteriaweir/service"
)

const (
	// fullReportInterval is the age of the base from which on a balancer sends a full
	// report again.
	fullReportInterval = 30 * time.Second
	// maxChanges limits the changes of one report. If there are more, a full report
	// is sent.
	maxChanges = 512
	// maxRetainedReports limits the full reports that each end retains as possible
	// bases of later reports.
	maxRetainedReports = 8
)

// noOpinion is the byte in a list of levels for a target without an opinion. For a
// target with an opinion the byte is the level plus one.
const noOpinion = 0

// OpinionReport carries the opinions of one balancer about all targets to the holder
// of its failure domain's lease. It is either a full report or has the changes since
// a full report that the holder has acknowledged.
type OpinionReport struct {
	// Number grows by one with each report of the balancer.
	Number uint64
	// Base is the number of the full report to which Changes apply, or 0 if this is a
	// full report.
	Base uint64
	// ConfigNumber is the number of the configuration that lists the targets.
	ConfigNumber uint64
	// Levels has a byte for each target of the configuration, in its order: the level
	// plus one, or 0 for no opinion. It is set in a full report only.
	Levels []byte
	// Changes are the levels that differ from the base, by ascending index.
	Changes []LevelChange
}

// LevelChange is a byte of OpinionReport.Levels that differs from the base.
type LevelChange struct {
	Index uint32
	Level byte
}

// levelsOf returns the levels of opinions in the order of the configuration's targets.
func levelsOf(opinions []Opinion, cfg service.Config) []byte {
	levelByTarget := make(map[targetKey]Level, len(opinions))
	for _, o := range opinions {
		levelByTarget[targetKey{o.Service, o.Target}] = o.Level
	}
	var levels []byte
	for _, s := range cfg.Services {
		for _, t := range s.Pool {
			b := byte(noOpinion)
			if level, ok := levelByTarget[targetKey{s.Name, t.Name}]; ok {
				b = byte(level) + 1
			}
			levels = append(levels, b)
		}
	}
	return levels
}

// opinionsOf returns the opinions that levels encode, and false if the levels do not
// fit the configuration.
func opinionsOf(levels []byte, cfg service.Config) ([]Opinion, bool) {
	var opinions []Opinion
	for _, s := range cfg.Services {
		if len(levels) < len(s.Pool) {
			return nil, false
		}
		for i, t := range s.Pool {
			switch b := levels[i]; {
			case b > byte(LevelFull)+1:
				return nil, false
			case b != noOpinion:
				opinions = append(opinions, Opinion{Service: s.Name, Target: t.Name, Level: Level(b) - 1})
			}
		}
		levels = levels[len(s.Pool):]
	}
	return opinions, len(levels) == 0
}

// fullReport is a full report that was sent or received.
type fullReport struct {
	number       uint64
	configNumber uint64
	levels       []byte
	// sentAt is the time at which the report was sent. It is 0 at the receiver.
	sentAt time.Duration
}

// storeFullReport appends r, and removes the oldest report if there are
// maxRetainedReports.
func storeFullReport(reports []fullReport, r fullReport) []fullReport {
	if len(reports) == maxRetainedReports {
		reports = reports[1:]
	}
	return append(reports, r)
}

// findFullReport returns the full report with the given number, and whether reports has
// one.
func findFullReport(reports []fullReport, number uint64) (fullReport, bool) {
	for _, r := range reports {
		if r.number == number {
			return r, true
		}
	}
	return fullReport{}, false
}
