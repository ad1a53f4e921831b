package member

import (
	"slices"
	"time"
)

const (
	// indirectProbeThreshold is the number of consecutive missed replies from which on an
	// indirect probe is requested at each heartbeat interval.
	indirectProbeThreshold = 2
	// indirectProbeTimeout is the age of a request from which on its requester no longer
	// receives a report that the member was reached.
	indirectProbeTimeout = 2 * time.Second
	// maxRequesters limits the number of requesters of indirect probes of one member.
	maxRequesters = 8
)

// requester is a member that has requested an indirect probe of another one.
type requester struct {
	name        string
	requestedAt time.Duration
}

// requestIndirectProbe asks another member to probe e. It prefers a member of another
// domain, whose network path to e may work while that of this balancer does not. The
// heartbeat that carries the request needs no reply.
func (c *Core) requestIndirectProbe(e *entry) {
	proxy := c.chooseProxy(e)
	if proxy == nil {
		return
	}
	h := c.newHeartbeat(proxy, true)
	h.ProbeRequest = e.Name
	c.emit(Send{To: proxy.Member, Heartbeat: h})
}

// chooseProxy returns a random reachable member for an indirect probe of e, or nil.
func (c *Core) chooseProxy(e *entry) *entry {
	if domains := c.otherDomains(); len(domains) > 0 {
		domain := domains[c.rnd.IntN(len(domains))]
		if proxy := c.randomEntry(c.rings[domain], isReachable); proxy != nil && !c.partitioned[domain] {
			return proxy
		}
	}
	return c.randomEntry(c.rings[c.self.Domain], func(o *entry) bool { return o != e && isReachable(o) })
}

// handleProbes processes the probe fields of a heartbeat from e. It also sends a report
// that e was reached to the members that have requested an indirect probe of e.
func (c *Core) handleProbes(now time.Duration, e *entry, h Heartbeat) {
	if to := c.find(h.ProbeRequest); to != nil && to != c.self {
		c.probeOnBehalf(now, to, e)
	}
	if reached := c.find(h.ProbeReached); reached != nil {
		reached.awaitingReply, reached.missedReplies = false, 0
	}
	requesters := e.requesters
	e.requesters = nil
	for _, r := range requesters {
		c.reportReached(now, r, e)
	}
}

// probeOnBehalf sends a heartbeat to the member to, as the indirect probe that e has
// requested, unless to has maxRequesters requesters already.
func (c *Core) probeOnBehalf(now time.Duration, to, e *entry) {
	to.requesters = slices.DeleteFunc(to.requesters, func(r requester) bool {
		return r.name == e.Name || now-r.requestedAt > indirectProbeTimeout
	})
	if len(to.requesters) >= maxRequesters {
		return
	}
	to.requesters = append(to.requesters, requester{name: e.Name, requestedAt: now})
	c.sendHeartbeat(to, false)
}

// reportReached sends a requester the report that e was reached, unless its request is
// older than indirectProbeTimeout.
func (c *Core) reportReached(now time.Duration, r requester, e *entry) {
	to := c.find(r.name)
	if to == nil || now-r.requestedAt > indirectProbeTimeout {
		return
	}
	h := c.newHeartbeat(to, true)
	h.ProbeReached = e.Name
	c.emit(Send{To: to.Member, Heartbeat: h})
}
