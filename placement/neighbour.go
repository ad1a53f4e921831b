package placement

import "time"

const (
	// peerLoadTTL is the age above which the load report of a domain peer, another
	// host of the same failure domain, is ignored.
	peerLoadTTL = 600 * time.Millisecond
	// remoteDeadTTL is the age from which another host's report that a target is dead
	// is ignored.
	remoteDeadTTL = 1500 * time.Millisecond
)

// LoadReport is the state of the targets as the flows of one host show it. Hosts send it to
// each other.
type LoadReport struct {
	// Targets holds the load of each target that has any, by its stamp.
	Targets map[uint32]TargetLoad
	// Dead holds the stamps of the targets that are considered dead.
	Dead []uint32
	// Failures holds the outcomes of targets that fail more requests than the rest of
	// their pool, by stamp.
	Failures map[uint32]OutcomeWeights
	// Services holds the load of whole services, by name.
	Services map[string]ServiceLoad
	// Stalled holds, by the stamps of targets on which flows have stalled, the time since the
	// data without a response was sent.
	Stalled map[uint32]time.Duration
	// Responded holds, by the stamps of targets that other hosts suspect, the time since the
	// last response that this host knows of.
	Responded map[uint32]time.Duration
}

// ServiceLoad is the load of the targets of a service in one failure domain, as a host
// of that domain knows it.
type ServiceLoad struct {
	// Domain is the failure domain.
	Domain string
	// Level is the admission level of the host for the service, 0 if it admits every flow.
	Level float64
}

// WithMinRequests returns a copy of l without the targets that have fewer than n requests
// busy and queued in total.
func (l LoadReport) WithMinRequests(n int) LoadReport {
	targets := make(map[uint32]TargetLoad, len(l.Targets))
	for stamp, tl := range l.Targets {
		if tl.Busy+tl.Queued >= n {
			targets[stamp] = tl
		}
	}
	l.Targets = targets
	return l
}

// TargetLoad is the load of one host on a target, in requests.
type TargetLoad struct {
	// Busy is the number of requests in progress.
	Busy int
	// Queued is the number of requests that are expected next: one for each flow that
	// is opening, plus the requests that are queued for the target and not overdue.
	Queued int
}

// domainPeer is the newest load report of another host of the same failure domain.
type domainPeer struct {
	load       LoadReport
	receivedAt time.Duration
}

// LoadReport returns the load and health report of this host at now.
func (c *Core) LoadReport(now time.Duration) LoadReport {
	l := LoadReport{Targets: map[uint32]TargetLoad{}, Failures: c.localFailures(now)}
	for _, t := range c.targetsInStartOrder {
		if tl := (TargetLoad{Busy: t.busy, Queued: t.openingFlows + t.queue.currentSize()}); tl != (TargetLoad{}) {
			l.Targets[t.Stamp] = tl
		}
		if t.isKnownDead(now) {
			l.Dead = append(l.Dead, t.Stamp)
		}
	}
	c.addStallReports(now, &l)
	c.addLevels(now, &l)
	return l
}

// SetPeerLoad processes the load and health report of the host with the given name
// in the same failure domain. It then sends the queued requests for which the targets
// have room.
func (c *Core) SetPeerLoad(now time.Duration, name string, l LoadReport) {
	c.domainPeers[name] = domainPeer{load: l, receivedAt: now}
	c.SetHealthReport(now, name, l)
	c.setStallReports(now, name, l)
	c.setReportedLevels(now, name, l)
	c.sumPeerLoad(now)
	for _, t := range c.targetsInStartOrder {
		if t.queue.size() > 0 {
			c.dispatch(now, t)
		}
	}
}

// SetHealthReport processes the health report of the host with the given name in any
// failure domain: the targets that it considers dead, and the outcomes of those that
// fail. l.Targets is ignored.
func (c *Core) SetHealthReport(now time.Duration, name string, l LoadReport) {
	c.setFailureReport(now, name, l.Failures)
	for _, stamp := range l.Dead {
		if t := c.targetsByStamp[stamp]; t != nil {
			t.reportedDeadUntil = now + remoteDeadTTL
		}
	}
}

// isReportedDead reports whether another host has reported the target dead within
// remoteDeadTTL.
func (t *Target) isReportedDead(now time.Duration) bool {
	return now < t.reportedDeadUntil
}

// sumPeerLoad recomputes the load that domain peers add to each target, and deletes
// reports older than peerLoadTTL.
func (c *Core) sumPeerLoad(now time.Duration) {
	for _, t := range c.targetsInStartOrder {
		t.peerLoad = TargetLoad{}
	}
	for name, peer := range c.domainPeers {
		if now-peer.receivedAt > peerLoadTTL {
			delete(c.domainPeers, name)
			continue
		}
		for stamp, tl := range peer.load.Targets {
			if t := c.targetsByStamp[stamp]; t != nil {
				t.peerLoad.Busy += tl.Busy
				t.peerLoad.Queued += tl.Queued
			}
		}
	}
}
