package request

import (
	"cmp"
	"slices"
	"time"
)

// maxForwarded is the maximum number of unfinished requests that one balancer has
// forwarded to coordinators and resends. A request beyond it is forwarded once,
// and again only when its caller repeats it.
const maxForwarded = 8192

// maxUnansweredHops is the number of unanswered hops after which another
// coordinator is selected.
const maxUnansweredHops = 2

// forwardedRequest is a request that was received from its caller and forwarded
// to a coordinator.
type forwardedRequest struct {
	request Request
	// seq orders the requests by arrival.
	seq         uint64
	deadline    time.Duration
	coordinator Peer
	// accepted reports whether the coordinator has acknowledged the last hop.
	accepted bool
	// hops is the number of Hop messages sent.
	hops int
	// unansweredHops is the number of hops that were not acknowledged within
	// ResendInterval. It is reset by an acknowledgment and when it reaches
	// maxUnansweredHops.
	unansweredHops int
}

// handleReceived handles a caller's request: it forwards the request to the
// coordinator of the service, or accepts it if that is this balancer.
func (c *Core) handleReceived(r Request) {
	if _, ok := c.serviceConfig.Service(r.Service); !ok {
		return
	}
	r.Remaining = min(r.Remaining, c.cfg.MaxDeadline)
	if !r.Repeatable && c.now-c.pauseEndedAt <= c.cfg.MaxPause {
		c.emit(Reply{Key: r.Key, Service: r.Service, Outcome: OutcomeUnknown, Cause: CausePause})
		return
	}
	if f := c.forwarded[r.Key]; f != nil {
		c.forwardToCoordinator(f)
		return
	}
	coordinator := c.coordinatorOf(r.Service)
	if coordinator.Peer == c.cfg.Self.Peer {
		c.acceptRequest(r, Peer{})
		return
	}
	c.lastSeq++
	f := &forwardedRequest{request: r, seq: c.lastSeq, deadline: c.now + r.Remaining, coordinator: coordinator.Peer}
	if len(c.forwarded) < maxForwarded {
		c.forwarded[r.Key] = f
		c.after(r.Remaining-c.cfg.ReplyMargin/2, func() { c.failForwarded(f, CauseCoordinator) })
	}
	c.forwardToCoordinator(f)
}

// forwardToCoordinator sends the request of f to its coordinator, or accepts it
// if this balancer has become the coordinator. It sends the request again until
// the coordinator acknowledges it.
func (c *Core) forwardToCoordinator(f *forwardedRequest) {
	f.hops++
	f.accepted = false
	r := f.request
	r.Remaining = f.deadline - c.now
	if f.coordinator == c.cfg.Self.Peer {
		delete(c.forwarded, r.Key)
		c.acceptRequest(r, Peer{})
		return
	}
	c.emit(Send{To: f.coordinator, Message: Hop{Request: r, Stamp: c.stamps[f.coordinator]}})
	hops := f.hops
	c.after(c.cfg.ResendInterval, func() { c.retryHop(f, hops) })
}

// retryHop sends a hop again that was not acknowledged within ResendInterval.
// After maxUnansweredHops it excludes the coordinator and selects another one.
func (c *Core) retryHop(f *forwardedRequest, hops int) {
	if f.accepted || f.hops != hops || c.forwarded[f.request.Key] != f {
		return
	}
	f.unansweredHops++
	if f.unansweredHops >= maxUnansweredHops {
		f.unansweredHops = 0
		c.excludeCoordinator(f.coordinator)
		f.coordinator = c.coordinatorOf(f.request.Service).Peer
	}
	c.forwardToCoordinator(f)
}

// excludeCoordinator excludes an unresponsive coordinator from the selection
// until it sends a message or the view changes.
func (c *Core) excludeCoordinator(p Peer) {
	c.excluded[p] = true
	c.refreshCoordinators()
}

// endExclusion ends the exclusion of p, which has sent a message.
func (c *Core) endExclusion(p Peer) {
	if c.excluded[p] {
		delete(c.excluded, p)
		c.refreshCoordinators()
	}
}

// refreshCoordinators clears the cached coordinators and updates for each service
// whether this balancer is its coordinator.
func (c *Core) refreshCoordinators() {
	clear(c.coordinators)
	for _, name := range c.serviceNames {
		c.pools[name].updateCoordinator()
	}
}

// coordinatorOf returns the coordinator of a service in the local failure domain,
// by the local view. It is this balancer if there is no other.
func (c *Core) coordinatorOf(service string) Member {
	coordinator, ok := c.coordinators[service]
	if !ok {
		coordinator = c.findCoordinator(service)
		c.coordinators[service] = coordinator
	}
	return coordinator
}

// findCoordinator selects the coordinator of a service. It skips excluded
// balancers and, if this balancer is stopping, this one.
func (c *Core) findCoordinator(service string) Member {
	members := slices.DeleteFunc(slices.Clone(c.view), func(m Member) bool {
		return c.excluded[m.Peer] || c.stopping && m == c.cfg.Self
	})
	if !c.stopping && !slices.Contains(members, c.cfg.Self) {
		members = append(members, c.cfg.Self)
	}
	coordinator, ok := selectCoordinator(members, c.cfg.Self.Domain, service)
	if !ok {
		return c.cfg.Self
	}
	return coordinator
}

// rerouteForwarded forwards requests to a new coordinator if the previous one is
// no longer reachable.
func (c *Core) rerouteForwarded() {
	var orphaned []*forwardedRequest
	for _, f := range c.forwarded {
		if !c.isReachable(f.coordinator) {
			orphaned = append(orphaned, f)
		}
	}
	slices.SortFunc(orphaned, func(a, b *forwardedRequest) int { return cmp.Compare(a.seq, b.seq) })
	for _, f := range orphaned {
		f.coordinator = c.coordinatorOf(f.request.Service).Peer
		c.forwardToCoordinator(f)
	}
}

// failForwarded replies with OutcomeUnknown and cause to the caller of a forwarded
// request, unless a coordinator has reported the end of the request.
func (c *Core) failForwarded(f *forwardedRequest, cause Cause) {
	if c.forwarded[f.request.Key] != f {
		return
	}
	delete(c.forwarded, f.request.Key)
	c.emit(Reply{Key: f.request.Key, Service: f.request.Service, Outcome: OutcomeUnknown, Cause: cause})
}

// failUnrepeatable ends the requests that were forwarded before a pause and are
// not repeatable.
func (c *Core) failUnrepeatable() {
	var unrepeatable []*forwardedRequest
	for _, f := range c.forwarded {
		if !f.request.Repeatable {
			unrepeatable = append(unrepeatable, f)
		}
	}
	slices.SortFunc(unrepeatable, func(a, b *forwardedRequest) int { return cmp.Compare(a.seq, b.seq) })
	for _, f := range unrepeatable {
		c.failForwarded(f, CausePause)
	}
}

// stamp returns a freshness stamp: the local time in ms plus 1, so that it is
// never 0. Other balancers return it in their messages.
func (c *Core) stamp() uint64 {
	return uint64(c.now/time.Millisecond) + 1
}

// checkStamp reports whether a message with r and stamp may be processed. A
// request that is not repeatable needs a stamp of at most MaxPause ago, because
// an older message could run a request whose claims have already expired. For an
// older one checkStamp sends a new stamp to the sender, which sends the message
// again with that stamp.
func (c *Core) checkStamp(r Request, stamp uint64, from Peer) bool {
	oldest := c.stamp() - min(c.stamp(), uint64(c.cfg.MaxPause/time.Millisecond))
	if r.Repeatable || stamp > 0 && stamp >= oldest {
		return true
	}
	c.send(from, StaleStamp{Key: r.Key, Stamp: c.stamp()})
	return false
}

// recordStamp stores a freshness stamp of another balancer. It ignores a stamp of
// 0 and one older than the stored one.
func (c *Core) recordStamp(from Peer, stamp uint64) {
	if stamp > 0 {
		c.stamps[from] = max(c.stamps[from], stamp)
	}
}

// handleHop accepts a request that another balancer has received from its caller.
func (c *Core) handleHop(from Peer, m Hop) {
	if !c.checkStamp(m.Request, m.Stamp, from) {
		return
	}
	c.send(from, Taken{Key: m.Request.Key, Stamp: c.stamp()})
	c.acceptRequest(m.Request, from)
}

// handleStaleStamp sends the rejected pushes and hops again, with the new stamp.
func (c *Core) handleStaleStamp(m StaleStamp, from Peer) {
	c.recordStamp(from, m.Stamp)
	c.resendStalePush(m.Key, from)
	if f := c.forwarded[m.Key]; f != nil && f.coordinator == from && !f.accepted {
		c.forwardToCoordinator(f)
	}
}

// handleTaken records the acknowledgment of a Hop, Push, Repeat or Yield. A hop is
// sent again if its request has not ended after half of the remaining time.
func (c *Core) handleTaken(m Taken, from Peer) {
	c.recordStamp(from, m.Stamp)
	k := m.Key
	f := c.forwarded[k]
	if f != nil && f.coordinator == from {
		f.accepted = true
		f.unansweredHops = 0
		hops := f.hops
		c.after((f.deadline-c.now)/2, func() { c.resendHop(f, hops) })
	}
	c.recordPushAccepted(k, from)
	c.recordOwnerAck(k, from)
}

// resendHop sends a hop again whose coordinator has acknowledged it but has not
// reported the end of the request, because the report may have been lost.
func (c *Core) resendHop(f *forwardedRequest, hops int) {
	if c.forwarded[f.request.Key] != f || f.hops != hops {
		return
	}
	c.forwardToCoordinator(f)
}

// handleDone ends the forwarded request, or the record of a request that from is
// expected to answer, after from has reported that the caller was answered.
func (c *Core) handleDone(k Key, from Peer) {
	if f := c.forwarded[k]; f != nil && f.coordinator == from {
		delete(c.forwarded, k)
	}
	c.finishOwnedElsewhere(k, from)
}

// handleCancelled sends a caller's cancellation to the coordinator.
func (c *Core) handleCancelled(e Cancelled) {
	c.send(c.coordinatorOf(e.Service).Peer, Cancel(e))
}

// handleCancel cancels a request that this balancer has a record of.
func (c *Core) handleCancel(m Cancel) {
	p := c.pools[m.Service]
	if p == nil {
		return
	}
	if rec := p.records[m.Key]; rec != nil {
		p.cancelRecord(rec)
	}
}
