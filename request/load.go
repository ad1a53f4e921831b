package request

import (
	"slices"
	"time"
)

// maxReportInterval is the maximum time between two LoadReport messages to one
// coordinator, also if the load is unchanged.
const maxReportInterval = 500 * time.Millisecond

// handleLoadReport stores a load report, unless a fresh one that is stored includes a
// later push. Once the stored one is older than maxLoadAge, a report may have a lower
// number, because the sender may have removed its state of the service or of this balancer
// meanwhile. If the sender is not a coordinator in the local view, it is sent a report,
// because it may be one in its own view and need the load from here.
func (c *Core) handleLoadReport(from Peer, m LoadReport) {
	c.recordStamp(from, m.Stamp)
	p := c.poolOf(m.Service)
	if p == nil {
		return
	}
	expected := false
	for _, r := range p.remotes {
		if r.coordinator != from {
			continue
		}
		expected = true
		if !p.isLoadFresh(r) || int32(m.NewestPushNumber-r.load.NewestPushNumber) >= 0 {
			r.load, r.loadReceivedAt, r.loadValid = m, c.now, true
			r.adoptPushNumber()
			p.scheduleServe()
		}
	}
	if !expected && p.isCoordinator && c.now-p.unexpectedLoadSentAt >= c.cfg.MinLoadInterval {
		p.sendLoadTo(from)
	}
}

// adoptPushNumber removes the pushes that the load report includes from the pending ones.
// If the report has a later number than was sent, the coordinator has counted pushes
// from before it was last selected; the numbers then continue after the reported one.
func (r *remote) adoptPushNumber() {
	newest := r.load.NewestPushNumber
	r.pending = slices.DeleteFunc(r.pending, func(n uint32) bool { return int32(n-newest) <= 0 })
	if int32(newest-r.sentPushNumber) > 0 {
		r.sentPushNumber = newest
	}
}

// sendLoadTo sends a load report to a balancer that acts as the coordinator of
// its failure domain while the local view selects another one.
func (p *pool) sendLoadTo(to Peer) {
	p.unexpectedLoadSentAt = p.core.now
	m := p.loadReport(to)
	m.Stamp = p.core.stamp()
	p.core.emit(Send{To: to, Message: m})
}

// loadReport returns the load report for the coordinator to, without a stamp.
func (p *pool) loadReport(to Peer) LoadReport {
	return LoadReport{
		Service:          p.service.Name,
		Free:             uint32(max(0, p.freeSlots()-len(p.queue))),
		Slots:            uint32(p.slotLimit()),
		Queued:           uint32(max(0, len(p.queue)-p.freeSlots())),
		NewestPushNumber: p.receivedPushNumbers[to],
	}
}

// reportLoads sends load reports to the coordinators of the other failure domains,
// for each service that this balancer coordinates.
func (c *Core) reportLoads() {
	for _, name := range c.serviceNames {
		if p := c.pools[name]; p.isCoordinator {
			p.reportLoad()
		}
	}
}

// reportLoad sends a report to each coordinator in another domain if the load
// has changed since the last one or maxReportInterval has passed. Reports to one
// coordinator are at least MinLoadInterval apart.
func (p *pool) reportLoad() {
	c := p.core
	if len(p.remotes) == 0 {
		return
	}
	m := p.loadReport(Peer{})
	for _, r := range p.remotes {
		m.NewestPushNumber = p.receivedPushNumbers[r.coordinator]
		sinceSent := c.now - r.loadSentAt
		if r.reportDelayed || m == r.sentLoad && sinceSent < maxReportInterval {
			continue
		}
		if sinceSent < c.cfg.MinLoadInterval && r.loadSentAt > 0 {
			p.delayReport(r, c.cfg.MinLoadInterval-sinceSent)
			continue
		}
		r.sentLoad, r.loadSentAt = m, c.now
		stamped := m
		stamped.Stamp = c.stamp()
		c.emit(Send{To: r.coordinator, Message: stamped})
	}
}

// delayReport delays the next load report to r until d has passed.
func (p *pool) delayReport(r *remote, d time.Duration) {
	r.reportDelayed = true
	p.core.after(d, func() { r.reportDelayed = false })
}
