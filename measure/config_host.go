package measure

import (
	"time"

	"wisteriaweir/lease"
	"wisteriaweir/member"
	"wisteriaweir/rollout"
	"wisteriaweir/ticket"
)

// isRunningOrDefers reports whether the process is neither dead nor paused. If it is
// paused, isRunningOrDefers defers retry to the end of the pause.
func (h *configHost) isRunningOrDefers(retry func()) bool {
	if h.paused && !h.dead {
		h.deferred = append(h.deferred, retry)
	}
	return !h.dead && !h.paused
}

// resume ends a pause and handles the events deferred meanwhile, in their order.
func (h *configHost) resume() {
	h.paused = false
	deferred := h.deferred
	h.deferred = nil
	for _, retry := range deferred {
		retry()
	}
}

// tick sends a tick to the member and rollout cores each member.TickInterval, except
// during a pause.
func (h *configHost) tick() {
	if h.dead {
		return
	}
	if !h.paused {
		h.handleMember(member.Tick{})
		h.handleRollout(rollout.Tick{})
	}
	h.sim.After(member.TickInterval, h.tick)
}

// handleMember passes an event to the member core and carries out its effects.
func (h *configHost) handleMember(e member.Event) {
	if !h.isRunningOrDefers(func() { h.handleMember(e) }) {
		return
	}
	for _, e := range h.memberCore.Handle(h.sim.Now(), e) {
		switch e := e.(type) {
		case member.Send:
			h.sendHeartbeat(e.To, e.Heartbeat)
		case member.Publish:
			h.applyView(e.View)
		case member.PeerConfigReceived:
			h.handleRollout(rollout.PeerReleaseReceived{From: e.From, Number: e.Number, Digest: e.Digest})
		}
	}
}

// applyView passes a new member view to the rollout core and starts or stops
// contending for the lease of the domain.
func (h *configHost) applyView(v member.View) {
	h.view = v
	h.handleRollout(rollout.ViewChanged{View: v})
	if rollout.IsLeaseCandidate(v, h.Domain, h.Name) {
		h.handleLease(lease.Contend{})
	} else {
		h.handleLease(lease.Withdraw{})
	}
}

// handleRollout passes an event to the rollout core and carries out its effects.
func (h *configHost) handleRollout(e rollout.Event) {
	if !h.isRunningOrDefers(func() { h.handleRollout(e) }) {
		return
	}
	for _, e := range h.rolloutCore.Handle(h.sim.Now(), e) {
		switch e := e.(type) {
		case rollout.Send:
			h.sendMessage(e.To, e.Message)
		case rollout.Apply:
			h.applyRelease(e.Release)
		case rollout.Fetch:
			h.fetchRelease(e.After)
		case rollout.WriteStatus:
			h.writeStatus(e.Status)
		}
	}
}

// applyRelease applies a release, which becomes active after activationDelay.
func (h *configHost) applyRelease(r rollout.Release) {
	if r.Number <= h.appliedNumber {
		h.sim.reversals++
	}
	h.appliedNumber = r.Number
	h.handleMember(member.ConfigApplied{Number: r.Number, Digest: r.Digest})
	h.sim.After(activationDelay, func() {
		h.sim.activated[r.Number].record(h.sim.Now())
		h.handleRollout(rollout.ReleaseActive{Number: r.Number})
	})
}

// fetchRelease waits until the accepted number is higher than after, then reads that
// release.
func (h *configHost) fetchRelease(after uint64) {
	p := h.sim.platform
	p.watch("head", &p.watchers, func() bool { return p.headNumber > after }, func(ok bool) {
		if !ok {
			h.handleRollout(rollout.FetchFailed{})
			return
		}
		n := p.headNumber
		p.reads["ticket"]++
		h.sim.After(2*platformDelay, func() {
			h.handleRollout(rollout.Fetched{Release: h.sim.releases[n]})
		})
	})
}

// writeStatus records a status that the lease holder writes at the platform, and
// counts the balancers of the domain that have not yet applied its number, as defined
// at earlyStatuses.
func (h *configHost) writeStatus(s ticket.Status) {
	h.sim.platform.writes["status"]++
	for _, o := range h.sim.hosts {
		if o.Domain == s.Domain && !o.dead && !o.paused && o.rolloutCore.IsFresh() && o.appliedNumber < s.Number {
			h.sim.earlyStatuses++
		}
	}
	for n := h.reportedNumber + 1; n <= s.Number; n++ {
		h.sim.reported[n].record(h.sim.Now())
	}
	h.reportedNumber = max(h.reportedNumber, s.Number)
}

// handleLease passes an event to the lease core and carries out its effects.
func (h *configHost) handleLease(e lease.Event) {
	if !h.isRunningOrDefers(func() { h.handleLease(e) }) {
		return
	}
	p := h.sim.platform
	o := p.lease(h.Domain)
	for _, e := range h.leaseCore.Handle(h.sim.Now(), e) {
		switch e := e.(type) {
		case lease.Read:
			p.call(p.reads, "lease", o.read, h.handleLease)
		case lease.Watch:
			h.watchLease(o, e.After)
		case lease.Write:
			p.call(p.writes, "lease", func() lease.Event { return o.write(e) }, h.handleLease)
		case lease.Acquired:
			h.handleLeaseAcquired(e.Fence)
		case lease.Released:
			h.holdsLease = false
			h.handleRollout(rollout.LeaseReleased{})
		case lease.Wake:
			h.scheduleLeaseTick(e.At)
		}
	}
}

// handleLeaseAcquired records that the balancer holds the lease and informs the
// rollout core.
func (h *configHost) handleLeaseAcquired(fence uint64) {
	h.holdsLease = true
	if h.sim.onLeaseAcquired != nil {
		h.sim.onLeaseAcquired(h)
	}
	h.handleRollout(rollout.LeaseAcquired{Fence: fence})
}

// watchLease waits until the lease object is newer than version after, or until the
// watch times out.
func (h *configHost) watchLease(o *leaseObject, after uint64) {
	p := h.sim.platform
	p.watch("lease", &o.watchers, func() bool { return o.version > after }, func(ok bool) {
		if ok {
			h.handleLease(o.read())
		} else {
			h.handleLease(lease.Unchanged{})
		}
	})
}

// scheduleLeaseTick sends a tick to the lease core at the time at, unless a later call
// replaces it.
func (h *configHost) scheduleLeaseTick(at time.Duration) {
	h.nextLeaseTick = at
	h.sim.After(at-h.sim.Now(), func() {
		if h.nextLeaseTick == at {
			h.handleLease(lease.Tick{})
		}
	})
}

// pollHostsAsHolder reads the host list each holderPollInterval while the balancer
// holds a lease.
func (h *configHost) pollHostsAsHolder() {
	if h.dead {
		return
	}
	if h.holdsLease {
		h.readHosts()
	}
	h.sim.After(holderPollInterval, h.pollHostsAsHolder)
}

// pollHosts reads the host list each memberPollInterval.
func (h *configHost) pollHosts() {
	if h.dead {
		return
	}
	h.readHosts()
	h.sim.After(memberPollInterval, h.pollHosts)
}

// readHosts reads the host list once, unless the process is paused.
func (h *configHost) readHosts() {
	if h.paused {
		return
	}
	h.sim.platform.reads["hosts"]++
	hosts := h.sim.liveHosts()
	h.sim.After(2*platformDelay, func() { h.handleMember(member.HostList{Hosts: hosts}) })
}
