package request

import (
	"slices"
	"time"
)

const (
	// freshLoad is how old a keeper's report may be.
	freshLoad = 2 * time.Second
	// spreadMargin is how much earlier a queued request has to be served
	// elsewhere to be pushed there.
	spreadMargin = 10 * time.Millisecond
	// maxPushed bounds the pushes remembered, per service.
	maxPushed = 65536
	// maxBackoff bounds how often the time until a push is repeated doubles.
	maxBackoff = 4
)

// remote is what a keeper knows about the service in another failure domain.
type remote struct {
	domain string
	keeper Peer
	load   LoadReport
	at     time.Duration
	known  bool
	// pushed is the number of the newest push to the keeper.
	pushed uint32
	told   LoadReport
	toldAt time.Duration
	silent bool
}

// push is a request in the hands of another keeper.
type push struct {
	token  uint64
	number uint32
	pool   *pool
	rec    *record
	to     Peer
	taken  bool
	tries  int
}

type seenPush struct {
	token uint64
	at    time.Duration
}

// viewChanged finds the keepers of the other failure domains, and ends or
// repeats what was left to a peer that is gone.
func (p *pool) viewChanged() {
	c := p.core
	old := p.remotes
	p.remotes = nil
	for _, domain := range c.domains() {
		k, _ := keeper(c.view, domain, p.service.Name)
		r := &remote{domain: domain, keeper: k.Peer}
		i := slices.IndexFunc(old, func(o *remote) bool { return o.keeper == k.Peer })
		if i >= 0 {
			r = old[i]
		}
		p.remotes = append(p.remotes, r)
	}
	p.checkKeeping()
	p.checkPeers()
	if c.stopping {
		p.handOver()
	}
	p.dispatch()
}

// checkKeeping notes whether the balancer is the keeper by now.
func (p *pool) checkKeeping() {
	c := p.core
	was := p.keeping
	p.keeping = !c.stopping && c.keeperOf(p.service.Name).Peer == c.cfg.Self.Peer
	if p.keeping && !was {
		p.began = c.now
		c.after(firstLoad+1, p.refuseHopeless)
	}
}

// domains returns the other failure domains of the view, sorted.
func (c *Core) domains() []string {
	var domains []string
	for _, m := range c.view {
		if m.Domain != c.cfg.Self.Domain && !slices.Contains(domains, m.Domain) {
			domains = append(domains, m.Domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// usable returns the free slots and the waiting requests of r after what was
// pushed there since its report.
func (r *remote) usable() (free, queued int) {
	pending := int(r.pushed - r.load.Number)
	free = int(r.load.Free) - pending
	return max(free, 0), int(r.load.Queued) + max(-free, 0)
}

func (p *pool) fresh(r *remote) bool {
	return r.known && p.core.now-r.at <= freshLoad
}

// remoteWait returns the time until the n-th request pushed to r now gets a
// slot there.
func (p *pool) remoteWait(r *remote, n int) time.Duration {
	if !p.fresh(r) {
		return noWay
	}
	free, queued := r.usable()
	return p.core.cfg.InterDomainDelay + waitFor(queued+n, free, int(r.load.Slots), p.work)
}

// spread pushes waiting requests to failure domains that serve them earlier.
func (p *pool) spread() {
	if len(p.remotes) == 0 {
		return
	}
	for i := len(p.queue) - 1; i >= 0; i-- {
		rec := p.queue[i]
		if len(rec.origins) > 0 || len(rec.attempts) > 0 {
			continue
		}
		r, wait := p.nearest()
		if r == nil || wait+spreadMargin > p.localWait(i+1) {
			return
		}
		p.pushTo(rec, r)
	}
}

func (p *pool) nearest() (*remote, time.Duration) {
	var best *remote
	least := noWay
	for _, r := range p.remotes {
		if w := p.remoteWait(r, 1); w < least {
			best, least = r, w
		}
	}
	return best, least
}

func (p *pool) pushTo(rec *record, r *remote) {
	r.pushed++
	p.startPush(rec, r.keeper, r.pushed)
}

func (p *pool) startPush(rec *record, to Peer, number uint32) {
	c := p.core
	p.unqueue(rec)
	rec.state = statePushed
	rec.push = &push{token: c.unique(), number: number, pool: p, rec: rec, to: to}
	c.pushes[rec.push.token] = rec.push
	p.sendPush(rec.push)
}

// sendPush sends a push and asks again while the receiver is silent.
func (p *pool) sendPush(s *push) {
	c := p.core
	s.tries++
	s.taken = false
	r := s.rec.request
	r.Remaining = s.rec.deadline - c.now
	c.send(s.to, Push{Token: s.token, Number: s.number, Request: r, Stamp: c.stamps[s.to]})
	tries := s.tries
	gap := c.cfg.ResendInterval << min(tries-1, maxBackoff)
	c.after(gap, func() {
		if c.pushes[s.token] == s && s.tries == tries && !s.taken {
			p.sendPush(s)
		}
	})
}

// pushStale sends a push again that was taken for an old one.
func (c *Core) pushStale(k Key, from Peer) {
	for _, name := range c.names {
		rec := c.pools[name].records[k]
		if rec != nil && rec.push != nil && rec.push.to == from && !rec.push.taken {
			c.pools[name].sendPush(rec.push)
		}
	}
}

// pushTaken notes that a push has arrived; its end may still get lost, so it is
// asked for later.
func (c *Core) pushTaken(k Key, from Peer) {
	for _, name := range c.names {
		p := c.pools[name]
		rec := p.records[k]
		if rec == nil || rec.push == nil || rec.push.to != from {
			continue
		}
		s := rec.push
		s.taken = true
		tries := s.tries
		c.after((rec.deadline-c.now)/2, func() {
			if c.pushes[s.token] == s && s.tries == tries {
				p.sendPush(s)
			}
		})
	}
}

// pushAnswered takes the end of a push.
func (c *Core) pushAnswered(from Peer, m PushReply) {
	s := c.pushes[m.Token]
	if s == nil || s.to != from {
		return
	}
	p, rec := s.pool, s.rec
	delete(c.pushes, m.Token)
	rec.push = nil
	if !m.Refused {
		p.finishElsewhere(rec, from)
		return
	}
	p.distrust(from)
	rec.state = stateWaiting
	if !p.retry(rec) {
		p.refuse(rec)
	}
}

// distrust sets a keeper aside until its next report.
func (p *pool) distrust(from Peer) {
	for _, r := range p.remotes {
		if r.keeper == from {
			r.known = false
		}
	}
}

// pushReceived takes a request from another keeper.
func (c *Core) pushReceived(from Peer, m Push) {
	if !c.fresh(m.Request, m.Stamp, from) {
		return
	}
	p := c.pool(m.Request.Service)
	if p == nil {
		c.send(from, PushReply{Token: m.Token, Refused: true})
		return
	}
	p.received[from] = max(p.received[from], m.Number)
	rec := p.records[m.Request.Key]
	o := origin{from: from, token: m.Token}
	if refused, ok := p.seen[m.Token]; ok {
		p.pushRepeated(rec, o, refused)
		return
	}
	if len(p.seen) >= maxPushed {
		p.pushUnnoted(from, m)
		return
	}
	// What is pushed on from here may have come from the sender, or get back to it.
	circle := rec != nil && rec.state == statePushed
	refused := circle || rec == nil && !p.fits(m.Request)
	p.seen[m.Token] = refused
	p.seenAge = append(p.seenAge, seenPush{token: m.Token, at: c.now})
	if refused {
		c.send(from, PushReply{Token: m.Token, Refused: true})
		return
	}
	p.pushNew(rec, o, m.Request)
}

// pushUnnoted refuses a push that there is no room to remember. A copy of it
// could be taken later, so the sender of a request that may not be repeated is
// told nothing.
func (p *pool) pushUnnoted(from Peer, m Push) {
	if m.Request.Repeatable {
		p.core.send(from, PushReply{Token: m.Token, Refused: true})
	}
}

// pushRepeated answers a push that came before.
func (p *pool) pushRepeated(rec *record, o origin, refused bool) {
	if rec != nil && slices.Contains(rec.origins, o) && rec.state != stateFinished {
		p.core.send(o.from, Taken{Key: rec.request.Key, Stamp: p.core.stamp()})
		return
	}
	p.core.send(o.from, PushReply{Token: o.token, Refused: refused})
}

// pushNew takes a push that came for the first time. An own claim of the
// request that is still open is bound to fail: the sender has it.
func (p *pool) pushNew(rec *record, o origin, r Request) {
	c := p.core
	if rec == nil {
		rec = p.newRecord(r)
		p.add(rec)
	}
	if rec.state == stateFinished {
		refused := !rec.ran && rec.owner == (Peer{})
		p.seen[o.token] = refused
		c.send(o.from, PushReply{Token: o.token, Refused: refused})
		return
	}
	rec.origins = append(rec.origins, o)
	c.send(o.from, Taken{Key: r.Key, Stamp: c.stamp()})
	if rec.state == stateClaiming || rec.state == stateForeign {
		p.admit(rec)
	}
}

// checkPeers ends or repeats what was left to peers that are gone.
func (p *pool) checkPeers() {
	c := p.core
	for _, rec := range p.unfinished() {
		switch {
		case rec.state == statePushed && !c.alive(rec.push.to):
			p.pushLost(rec)
		case rec.state == stateForeign && !c.alive(rec.owner):
			p.finish(rec, p.unknown(rec, CauseOwner))
		}
	}
}

func (p *pool) pushLost(rec *record) {
	delete(p.core.pushes, rec.push.token)
	rec.push = nil
	if !rec.request.Repeatable {
		p.finish(rec, p.unknown(rec, CausePush))
		return
	}
	rec.state = stateWaiting
	if !p.retry(rec) {
		p.refuse(rec)
	}
}

// unfinished returns the open records in the order of arrival.
func (p *pool) unfinished() []*record {
	var open []*record
	for _, rec := range p.records {
		if rec.state != stateFinished {
			open = append(open, rec)
		}
	}
	slices.SortFunc(open, byOrder)
	return open
}

// handOver gives the queue to the next keeper of the failure domain.
func (p *pool) handOver() {
	next := p.core.keeperOf(p.service.Name)
	if next.Peer == p.core.cfg.Self.Peer {
		return
	}
	for _, rec := range slices.Clone(p.queue) {
		if len(rec.attempts) == 0 {
			p.startPush(rec, next.Peer, 0)
		}
	}
}
