package member

import (
	"slices"
	"time"
)

// Limits of probes for others.
const (
	askLimit   = 2
	askTimeout = 2 * time.Second
	maxAskers  = 8
)

// asker waits for news of a member that it can't reach itself.
type asker struct {
	name string
	at   time.Duration
}

// ask has a random member probe e, one of another domain if there is any: the
// path from there may be whole while the own one is not.
func (c *Core) ask(e *entry) {
	helper := c.helper(e)
	if helper == nil {
		return
	}
	h := c.heartbeat(helper, true)
	h.ProbeRequest = e.Name
	c.emit(Send{To: helper.Member, Heartbeat: h})
}

func (c *Core) helper(e *entry) *entry {
	if domains := c.otherDomains(); len(domains) > 0 {
		domain := domains[c.rnd.IntN(len(domains))]
		if helper := c.random(c.rings[domain], reachable); helper != nil && !c.cut[domain] {
			return helper
		}
	}
	return c.random(c.rings[c.self.Domain], func(o *entry) bool { return o != e && reachable(o) })
}

// relay handles what a heartbeat from e says about probes for others.
func (c *Core) relay(now time.Duration, e *entry, h Heartbeat) {
	if to := c.find(h.ProbeRequest); to != nil && to != c.self {
		c.probeFor(now, to, e)
	}
	if found := c.find(h.ProbeReached); found != nil {
		found.awaiting, found.misses = false, 0
	}
	askers := e.askers
	e.askers = nil
	for _, a := range askers {
		c.answer(now, a, e)
	}
}

// probeFor probes to in the name of e.
func (c *Core) probeFor(now time.Duration, to, e *entry) {
	to.askers = slices.DeleteFunc(to.askers, func(a asker) bool {
		return a.name == e.Name || now-a.at > askTimeout
	})
	if len(to.askers) >= maxAskers {
		return
	}
	to.askers = append(to.askers, asker{name: e.Name, at: now})
	c.send(to, false)
}

// answer tells an asker that e was reached.
func (c *Core) answer(now time.Duration, a asker, e *entry) {
	to := c.find(a.name)
	if to == nil || now-a.at > askTimeout {
		return
	}
	h := c.heartbeat(to, true)
	h.ProbeReached = e.Name
	c.emit(Send{To: to.Member, Heartbeat: h})
}
