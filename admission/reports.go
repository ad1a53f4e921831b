package admission

import (
	"slices"
	"time"
)

const (
	// reportTTL is the age above which the level reported by another host is ignored. It is
	// longer than the interval of load reports, 15 to 250 ms, and their delay. It is no longer,
	// because a host that is cut off as a surge begins follows levels of 0 until they expire.
	reportTTL = 400 * time.Millisecond
	// minVotes is the number of levels, that of this host included, from which the median
	// is followed. Of two levels, none could outvote a false one.
	minVotes = 3
	// startWindow is the time after its start in which a host follows a single report.
	startWindow = time.Second
	// followWeight is the fraction of the way to the median that the level moves in one
	// step: two thirds of a difference are gone after 5 steps, which is about feedbackDelay.
	followWeight = 0.2
)

// report is the level that another host reported.
type report struct {
	level      float64
	receivedAt time.Duration
}

// reports holds the newest level of each other host, by name.
type reports map[string]report

// fresh returns the levels that are not older than reportTTL, and deletes the others.
func (r reports) fresh(now time.Duration) []float64 {
	var levels []float64
	for host, rep := range r {
		if now-rep.receivedAt > reportTTL {
			delete(r, host)
			continue
		}
		levels = append(levels, rep.level)
	}
	return levels
}

// follow moves the level towards the median of the hosts, this one included: one false
// report moves the median by at most one rank. A host without a measurement of its own
// takes the median of the others at once. A single report is followed only by a host that
// has just started, and only until it has measured.
func (c *Controller) follow(now time.Duration) {
	levels := c.reports.fresh(now)
	p, known := c.load.value(now)
	switch isNew := now-c.startedAt < startWindow; {
	case known && len(levels)+1 >= minVotes:
		m := median(append(levels, c.level))
		if m < c.level && p > riseLimit {
			return // The reports may be from before the surge.
		}
		c.level += followWeight * (m - c.level)
	case !known && (len(levels) >= minVotes-1 || isNew && len(levels) > 0):
		c.level = median(levels)
	}
}

// median returns the median of levels, the lower one of the two in the middle if their
// number is even. It sorts levels, which must not be empty.
func median(levels []float64) float64 {
	slices.Sort(levels)
	return levels[(len(levels)-1)/2]
}
