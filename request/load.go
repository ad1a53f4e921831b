package request

import "time"

// reportEvery is the longest time between two reports to another keeper.
const reportEvery = 500 * time.Millisecond

func (c *Core) loadReceived(from Peer, m LoadReport) {
	c.learnStamp(from, m.Stamp)
	p := c.pool(m.Service)
	if p == nil {
		return
	}
	expected := false
	for _, r := range p.remotes {
		if r.keeper != from {
			continue
		}
		expected = true
		if !r.known || int32(m.Number-r.load.Number) >= 0 {
			r.load, r.at, r.known = m, c.now, true
			p.dispatch()
		}
	}
	if !expected && p.keeping && c.now-p.introduced >= c.cfg.MinLoadInterval {
		p.introduce(from)
	}
}

// introduce reports to a balancer that takes itself for the keeper of its
// failure domain while the own view names another one.
func (p *pool) introduce(to Peer) {
	p.introduced = p.core.now
	m := p.load(to)
	m.Stamp = p.core.stamp()
	p.core.emit(Send{To: to, Message: m})
}

// load returns the report for the keeper to.
func (p *pool) load(to Peer) LoadReport {
	return LoadReport{
		Service: p.service.Name,
		Free:    uint32(max(0, p.free()-len(p.queue))),
		Slots:   uint32(p.slots()),
		Queued:  uint32(max(0, len(p.queue)-p.free())),
		Number:  p.received[to],
	}
}

// report tells the other keepers how busy the pools are that have changed.
func (c *Core) report() {
	for _, name := range c.names {
		if p := c.pools[name]; p.keeping {
			p.report()
		}
	}
}

func (p *pool) report() {
	c := p.core
	if len(p.remotes) == 0 {
		return
	}
	m := p.load(Peer{})
	for _, r := range p.remotes {
		m.Number = p.received[r.keeper]
		due := c.now - r.toldAt
		if r.silent || m == r.told && due < reportEvery {
			continue
		}
		if due < c.cfg.MinLoadInterval && r.toldAt > 0 {
			p.reportLater(r, c.cfg.MinLoadInterval-due)
			continue
		}
		r.told, r.toldAt = m, c.now
		stamped := m
		stamped.Stamp = c.stamp()
		c.emit(Send{To: r.keeper, Message: stamped})
	}
}

// reportLater makes the core look at r's report again after d.
func (p *pool) reportLater(r *remote, d time.Duration) {
	r.silent = true
	p.core.after(d, func() { r.silent = false })
}
