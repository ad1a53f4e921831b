package request

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxLoadAge is the maximum age of a load report that is used.
	maxLoadAge = 2 * time.Second
	// minPushGain is how much earlier a queued request has to get a slot in another
	// failure domain to be pushed there.
	minPushGain = 10 * time.Millisecond
	// maxRememberedPushes is the maximum number of received pushes that are stored
	// to recognize duplicates, per service.
	maxRememberedPushes = 65536
	// maxResendDoublings is the maximum number of times that the interval between
	// two sends of a push doubles.
	maxResendDoublings = 4
)

// remote is a coordinator's state of the service in another failure domain.
type remote struct {
	domain string
	// coordinator is that of the service in domain, by the local view.
	coordinator Peer
	// load is the last load report of coordinator.
	load           LoadReport
	loadReceivedAt time.Duration
	// loadValid reports whether load has been received, and not been invalidated by
	// a refused push.
	loadValid bool
	// sentPushNumber is the number of the newest push to coordinator.
	sentPushNumber uint32
	// pending has the numbers of the open pushes to coordinator that load does not
	// include, in ascending order.
	pending []uint32
	// sentLoad is the last load report to coordinator, without its stamp.
	sentLoad   LoadReport
	loadSentAt time.Duration
	// reportDelayed reports whether the next load report waits for a timer.
	reportDelayed bool
}

// push is a request that was pushed to another coordinator.
type push struct {
	token  uint64
	number uint32
	pool   *pool
	record *record
	to     Peer
	// remote is nil if the push is to the next coordinator of the local domain.
	remote *remote
	// accepted reports whether the receiver has acknowledged the last send.
	accepted bool
	// sends is the number of Push messages sent.
	sends int
}

// receivedPush is the time at which the push with a token was received.
type receivedPush struct {
	token      uint64
	receivedAt time.Duration
}

// updateRemotes selects the coordinators of the other failure domains, and handles
// the requests whose claim owner or push receiver is no longer reachable. If this
// balancer is stopping, it also hands the queue over.
func (p *pool) updateRemotes() {
	c := p.core
	old := p.remotes
	p.remotes = nil
	for _, domain := range c.otherDomains() {
		coordinator, _ := selectCoordinator(c.view, domain, p.service.Name)
		r := &remote{domain: domain, coordinator: coordinator.Peer}
		i := slices.IndexFunc(old, func(o *remote) bool { return o.coordinator == coordinator.Peer })
		if i >= 0 {
			r = old[i]
		}
		p.remotes = append(p.remotes, r)
	}
	maps.DeleteFunc(p.receivedPushNumbers, func(from Peer, _ uint32) bool { return !c.isReachable(from) })
	p.updateCoordinator()
	p.handleLostPeers()
	if c.stopping {
		p.handOverQueue()
	}
	p.scheduleServe()
}

// updateCoordinator updates whether this balancer is the coordinator.
func (p *pool) updateCoordinator() {
	c := p.core
	wasCoordinator := p.isCoordinator
	p.isCoordinator = !c.stopping && c.coordinatorOf(p.service.Name).Peer == c.cfg.Self.Peer
	if p.isCoordinator && !wasCoordinator {
		p.coordinatorSince = c.now
		c.after(firstLoadTimeout+1, p.refuseUnservable)
	}
}

// otherDomains returns the other failure domains of the view, sorted.
func (c *Core) otherDomains() []string {
	var domains []string
	for _, m := range c.view {
		if m.Domain != c.cfg.Self.Domain && !slices.Contains(domains, m.Domain) {
			domains = append(domains, m.Domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// adjustedLoad returns the free slots and the queued requests of r, including the
// open pushes that its last load report does not include. A push that has ended without
// ever arriving there must not count: the coordinator would never report its number.
func (r *remote) adjustedLoad() (free, queued int) {
	free = int(r.load.Free) - len(r.pending)
	return max(free, 0), int(r.load.Queued) + max(-free, 0)
}

// isLoadFresh reports whether the load of r is valid and at most maxLoadAge old.
func (p *pool) isLoadFresh(r *remote) bool {
	return r.loadValid && p.core.now-r.loadReceivedAt <= maxLoadAge
}

// remoteWait returns the time until the n-th request that is pushed to r now gets
// a slot there, or unavailableWait if its load is not known.
func (p *pool) remoteWait(r *remote, n int) time.Duration {
	if !p.isLoadFresh(r) {
		return unavailableWait
	}
	free, queued := r.adjustedLoad()
	return p.core.cfg.InterDomainDelay + queueWait(queued+n, free, int(r.load.Slots), p.serviceTime)
}

// pushToOtherDomains pushes queued requests, the newest first, to failure domains
// in which they get a slot earlier. It skips requests that were pushed to here or
// have attempts.
func (p *pool) pushToOtherDomains() {
	if len(p.remotes) == 0 {
		return
	}
	for i := len(p.queue) - 1; i >= 0; i-- {
		rec := p.queue[i]
		if len(rec.origins) > 0 || len(rec.attempts) > 0 {
			continue
		}
		r, wait := p.shortestRemoteWait()
		if r == nil || wait+minPushGain > p.localWait(i+1) {
			return
		}
		p.pushToRemote(rec, r)
	}
}

// shortestRemoteWait returns the failure domain in which a pushed request gets a
// slot earliest, nil if there is none, and the wait there.
func (p *pool) shortestRemoteWait() (*remote, time.Duration) {
	var best *remote
	shortest := unavailableWait
	for _, r := range p.remotes {
		if w := p.remoteWait(r, 1); w < shortest {
			best, shortest = r, w
		}
	}
	return best, shortest
}

// pushToRemote pushes rec to the coordinator of r.
func (p *pool) pushToRemote(rec *record, r *remote) {
	r.sentPushNumber++
	r.pending = append(r.pending, r.sentPushNumber)
	p.startPush(rec, r.coordinator, r)
}

// startPush removes rec from the queue and pushes it to a coordinator: with the newest
// number of r, or with number 0 if r is nil.
func (p *pool) startPush(rec *record, to Peer, r *remote) {
	c := p.core
	p.dequeue(rec)
	rec.state = statePushed
	rec.push = &push{token: c.uniqueNumber(), pool: p, record: rec, to: to, remote: r}
	if r != nil {
		rec.push.number = r.sentPushNumber
	}
	c.pushes[rec.push.token] = rec.push
	p.sendPush(rec.push)
}

// endPush ends the push of rec.
func (p *pool) endPush(rec *record) {
	s := rec.push
	rec.push = nil
	delete(p.core.pushes, s.token)
	if s.remote != nil {
		s.remote.pending = slices.DeleteFunc(s.remote.pending, func(n uint32) bool { return n == s.number })
	}
}

// sendPush sends a push, and sends it again until the receiver acknowledges it.
// The interval doubles up to maxResendDoublings times.
func (p *pool) sendPush(s *push) {
	c := p.core
	s.sends++
	s.accepted = false
	r := s.record.request
	r.Remaining = s.record.deadline - c.now
	c.send(s.to, Push{Token: s.token, Number: s.number, Request: r, Stamp: c.stamps[s.to]})
	sends := s.sends
	interval := c.cfg.ResendInterval << min(sends-1, maxResendDoublings)
	c.after(interval, func() {
		if c.pushes[s.token] == s && s.sends == sends && !s.accepted {
			p.sendPush(s)
		}
	})
}

// resendStalePush sends a push again that was rejected because of its stamp.
func (c *Core) resendStalePush(k Key, from Peer) {
	for _, name := range c.serviceNames {
		rec := c.pools[name].records[k]
		if rec != nil && rec.push != nil && rec.push.to == from && !rec.push.accepted {
			c.pools[name].sendPush(rec.push)
		}
	}
}

// recordPushAccepted records that a push was acknowledged. The message that
// reports its end may be lost, so the push is sent again after half of the
// remaining time.
func (c *Core) recordPushAccepted(k Key, from Peer) {
	for _, name := range c.serviceNames {
		p := c.pools[name]
		rec := p.records[k]
		if rec == nil || rec.push == nil || rec.push.to != from {
			continue
		}
		s := rec.push
		s.accepted = true
		sends := s.sends
		c.after((rec.deadline-c.now)/2, func() {
			if c.pushes[s.token] == s && s.sends == sends {
				p.sendPush(s)
			}
		})
	}
}

// handlePushReply ends a push. If the push was refused, the request is queued
// again if retry allows it, and otherwise refused.
func (c *Core) handlePushReply(from Peer, m PushReply) {
	s := c.pushes[m.Token]
	if s == nil || s.to != from {
		return
	}
	p, rec := s.pool, s.record
	p.endPush(rec)
	if !m.Refused {
		p.finishElsewhere(rec, from)
		return
	}
	p.invalidateLoad(from)
	rec.state = stateQueued
	if !p.retry(rec) {
		p.refuse(rec)
	}
}

// invalidateLoad ignores the load of a coordinator until its next load report.
func (p *pool) invalidateLoad(from Peer) {
	for _, r := range p.remotes {
		if r.coordinator == from {
			r.loadValid = false
		}
	}
}
