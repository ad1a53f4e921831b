package rollout

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaweir/ticket"
)

// maxReportedLaggards is the largest number of laggards in a Report.
const maxReportedLaggards = 4

// statusState holds what the lease holder needs to write the status of the domain.
type statusState struct {
	// minActiveNumber is the lowest number that is active on a member of the domain, 0
	// if unknown. It never decreases while this balancer holds the lease.
	minActiveNumber uint64
	// lastWritten is the status that was written last.
	lastWritten ticket.Status
}

// sendReport sends the aggregated report to the parent if it is due. The lease
// holder, which is the root of the tree, writes the status instead.
func (c *Core) sendReport(now time.Duration) {
	if c.isLeaseHolder {
		c.writeStatus(now)
		return
	}
	if !c.tree.hasParent {
		return
	}
	r := c.aggregateReports()
	changed := !r.equal(c.sentReport)
	if changed {
		c.remainingRepeats = maxReportRepeats
	}
	if !c.isReportDue(now, changed) {
		return
	}
	if !changed && c.remainingRepeats > 0 {
		c.remainingRepeats--
	}
	c.sentReport, c.reportSentAt = r, now
	c.emit(Send{To: c.tree.parent, Message: r})
}

// isReportDue reports whether a report has to be sent now. A changed report is
// sent once minReportInterval has passed since the last one. It is repeated
// maxReportRepeats times, every reportRepeatInterval, in case it is lost, and then
// sent every reportInterval.
func (c *Core) isReportDue(now time.Duration, changed bool) bool {
	switch since := now - c.reportSentAt; {
	case changed:
		return since >= minReportInterval
	case c.remainingRepeats > 0:
		return since >= reportRepeatInterval
	default:
		return since >= reportInterval
	}
}

// aggregateReports returns the report about this balancer and all members below it,
// from the last report of each child. A report of an earlier process instance of a
// child is ignored. A report of the current one may be outdated, but then its numbers
// can only be too low, as active numbers never decrease.
func (c *Core) aggregateReports() Report {
	r := Report{
		MinActiveNumber: c.activeNumber,
		MaxActiveNumber: c.activeNumber,
		MaxActiveCount:  1,
		Count:           1,
		NameHashSum:     xxhash.Sum64String(c.cfg.Self.Name),
	}
	for _, m := range c.tree.children {
		if child, ok := c.childReports[m.Name]; ok && child.life == m.Life {
			r = r.add(child.report, m.Name)
		}
	}
	if c.activeNumber < r.MaxActiveNumber && len(r.Laggards) < maxReportedLaggards {
		r.Laggards = append(r.Laggards, ticket.Laggard{Name: c.cfg.Self.Name, Number: c.activeNumber})
	}
	return r
}

// add returns the report about the members of r and of o, where o is the report of the
// named child.
func (r Report) add(o Report, name string) Report {
	laggards := slices.Concat(r.Laggards, o.Laggards)
	if o.MaxActiveNumber > r.MaxActiveNumber {
		r.MaxActiveNumber, r.MaxActiveCount = o.MaxActiveNumber, 0
	}
	if o.MaxActiveNumber == r.MaxActiveNumber {
		r.MaxActiveCount += o.MaxActiveCount
	} else if len(o.Laggards) < maxReportedLaggards {
		laggards = append(laggards, ticket.Laggard{Name: name, Number: o.MaxActiveNumber})
	}
	r.MinActiveNumber = min(r.MinActiveNumber, o.MinActiveNumber)
	r.Count += o.Count
	r.NameHashSum += o.NameHashSum
	r.Laggards = laggards[:min(len(laggards), maxReportedLaggards)]
	return r
}

func (r Report) equal(o Report) bool {
	return r.MinActiveNumber == o.MinActiveNumber && r.MaxActiveNumber == o.MaxActiveNumber && r.MaxActiveCount == o.MaxActiveCount && r.Count == o.Count &&
		r.NameHashSum == o.NameHashSum && slices.Equal(r.Laggards, o.Laggards)
}

// writeStatus emits the status of the domain: a changed one at most every
// minStatusWriteInterval, an unchanged one every maxStatusWriteInterval. The lowest
// active number is raised only when the reports cover every reachable member of the
// domain, including members that have no active release yet. As long as it is 0, no
// status is written. All members count as behind until the current release is active
// on one of them.
func (c *Core) writeStatus(now time.Duration) {
	r := c.aggregateReports()
	if r.NameHashSum == c.tree.nameHashSum && r.Count == c.tree.memberCount {
		c.status.minActiveNumber = max(c.status.minActiveNumber, r.MinActiveNumber)
	}
	if c.status.minActiveNumber == 0 {
		return
	}
	s := ticket.Status{
		Domain:   c.cfg.Self.Domain,
		Number:   c.status.minActiveNumber,
		Members:  c.tree.memberCount,
		Behind:   c.tree.memberCount,
		Laggards: r.Laggards,
		Holder:   c.cfg.Self.Name,
		Fence:    c.fence,
	}
	if r.MaxActiveNumber >= c.release.Number {
		s.Behind = max(c.tree.memberCount-r.MaxActiveCount, 0)
	}
	isUnchanged := sameStatus(s, c.status.lastWritten)
	since := now - c.statusWrittenAt
	if c.statusWrittenAt > 0 && (since < minStatusWriteInterval || isUnchanged && since < maxStatusWriteInterval) {
		return
	}
	c.statusWrittenAt = now
	c.status.lastWritten = s
	c.emit(WriteStatus{Status: s})
}

// sameStatus reports whether two statuses of this balancer's domain are equal, apart
// from the lease holder and its fencing number.
func sameStatus(a, b ticket.Status) bool {
	return a.Number == b.Number && a.Members == b.Members && a.Behind == b.Behind && slices.Equal(a.Laggards, b.Laggards)
}
