package host

import (
	"time"

	"wisteriaweir/placement"
)

const (
	// baseLoadInterval is the time between two load reports without domain peers.
	baseLoadInterval = 15 * time.Millisecond
	// loadIntervalPerPeer is added to that time for each domain peer.
	loadIntervalPerPeer = 10 * time.Millisecond
	// loadBytesPerSecond is the limit for load reports to all domain peers together.
	// To stay within it, fitBudget first makes reports less frequent, then leaves out
	// the targets with the least load, and then makes reports still less frequent.
	loadBytesPerSecond = 5000.0
	// stretchedLoadInterval is the interval up to which reports become less frequent
	// before targets are left out. Leaving out a target comes second because the total
	// load on a target is known only if all hosts report their part of it.
	stretchedLoadInterval = 120 * time.Millisecond
	// maxLoadCutoff is the number of busy and queued requests from which a target is
	// never left out.
	maxLoadCutoff = 4
	// maxLoadInterval is the longest time between two load reports.
	maxLoadInterval = 500 * time.Millisecond
	// urgentLoadInterval is the minimum time between two load reports if the second one is
	// urgent; see placement.Core.HasUrgentReport.
	urgentLoadInterval = 10 * time.Millisecond
	// loadFrameBytes is the approximate size of a load report without targets.
	loadFrameBytes = 60
	// loadEntryBytes is the approximate size of one target in a load report.
	loadEntryBytes = 7
	// serviceEntryBytes is the approximate size of one service in a load report, without the
	// names of the service and the failure domain.
	serviceEntryBytes = 16
)

// reportLoad sends the load report of this host's flows to the control goroutine, if
// it is due. It does not repeat an empty report.
func (f *forwarder) reportLoad() {
	peers := min(int(f.h.domainPeerCount.Load()), maxLoadReportHosts)
	now := f.h.now()
	interval := f.loadInterval
	if f.core.HasUrgentReport() {
		interval = min(interval, urgentLoadInterval)
	}
	if now-f.loadSentAt < interval {
		return
	}
	l, next := fitBudget(f.core.LoadReport(now), peers)
	isEmpty := len(l.Targets) == 0 && len(l.Dead) == 0 && len(l.Failures) == 0 && len(l.Services) == 0 &&
		len(l.Stalled) == 0 && len(l.Responded) == 0
	if isEmpty && f.sentEmptyLoad {
		f.loadSentAt = now
		return
	}
	select {
	case f.h.outgoingLoads <- l:
		f.loadSentAt, f.sentEmptyLoad, f.loadInterval = now, isEmpty, next
	default:
		f.h.counters.droppedMessages.Inc()
	}
}

// fitBudget leaves out the targets with the least load until a report to all peers
// fits the budget of loadBytesPerSecond, and returns the report and the time until the
// next one. If the report is still too large without all targets that may be left out,
// this time grows up to maxLoadInterval.
func fitBudget(l placement.LoadReport, peers int) (placement.LoadReport, time.Duration) {
	interval := max(baseLoadInterval+time.Duration(peers)*loadIntervalPerPeer, min(intervalWithinBudget(l, peers), stretchedLoadInterval))
	for minRequests := 1; minRequests <= maxLoadCutoff; minRequests++ {
		l = l.WithMinRequests(minRequests)
		if reportBytes(l, peers) <= loadBytesPerSecond*interval.Seconds() {
			return l, interval
		}
	}
	return l, min(intervalWithinBudget(l, peers), maxLoadInterval)
}

// intervalWithinBudget returns the time between two reports of the size of l that
// uses the budget of loadBytesPerSecond exactly.
func intervalWithinBudget(l placement.LoadReport, peers int) time.Duration {
	return time.Duration(reportBytes(l, peers) / loadBytesPerSecond * float64(time.Second))
}

// reportBytes returns the approximate number of bytes of a report to all peers.
func reportBytes(l placement.LoadReport, peers int) float64 {
	size := loadFrameBytes + loadEntryBytes*(len(l.Targets)+len(l.Stalled)+len(l.Responded))
	for service, s := range l.Services {
		size += serviceEntryBytes + len(service) + len(s.Domain)
	}
	return float64(peers * size)
}
