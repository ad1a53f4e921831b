package measure

import (
	"time"

	"wisteriaweir/lease"
	"wisteriaweir/member"
	"wisteriaweir/rollout"
	"wisteriaweir/ticket"
)

// active reports whether the process runs. If it is paused, again is called at
// the end of the pause.
func (h *configHost) active(again func()) bool {
	if h.paused && !h.dead {
		h.held = append(h.held, again)
	}
	return !h.dead && !h.paused
}

// resume ends a pause.
func (h *configHost) resume() {
	h.paused = false
	held := h.held
	h.held = nil
	for _, again := range held {
		again()
	}
}

func (h *configHost) tick() {
	if h.dead {
		return
	}
	if !h.paused {
		h.member(member.Tick{})
		h.roll(rollout.Tick{})
	}
	h.fleet.After(member.TickInterval, h.tick)
}

func (h *configHost) member(e member.Event) {
	if !h.active(func() { h.member(e) }) {
		return
	}
	for _, e := range h.members.Handle(h.fleet.Now(), e) {
		switch e := e.(type) {
		case member.Send:
			h.sendHeartbeat(e.To, e.Heartbeat)
		case member.Publish:
			h.see(e.View)
		case member.PeerConfigReceived:
			h.roll(rollout.PeerConfigReceived{From: e.From, Number: e.Number, Digest: e.Digest})
		}
	}
}

func (h *configHost) see(v member.View) {
	h.view = v
	h.roll(rollout.ViewChanged{View: v})
	if rollout.IsLeaseCandidate(v, h.Domain, h.Name) {
		h.contend(lease.Contend{})
	} else {
		h.contend(lease.Withdraw{})
	}
}

func (h *configHost) roll(e rollout.Event) {
	if !h.active(func() { h.roll(e) }) {
		return
	}
	for _, e := range h.rollout.Handle(h.fleet.Now(), e) {
		switch e := e.(type) {
		case rollout.Send:
			h.sendMessage(e.To, e.Message)
		case rollout.Apply:
			h.apply(e.Release)
		case rollout.Fetch:
			h.fetch(e.After)
		case rollout.WriteStatus:
			h.write(e.Status)
		}
	}
}

func (h *configHost) apply(r rollout.Release) {
	if r.Number <= h.applied {
		h.fleet.reversals++
	}
	h.applied = r.Number
	h.member(member.ConfigApplied{Number: r.Number, Digest: r.Digest})
	h.fleet.After(inForceDelay, func() {
		h.fleet.inForce[r.Number].step(h.fleet.Now())
		h.roll(rollout.ReleaseActive{Number: r.Number})
	})
}

// fetch watches the head and reads the ticket that it names.
func (h *configHost) fetch(after uint64) {
	p := h.fleet.platform
	p.watch("head", &p.watchers, func() bool { return p.head > after }, func(ok bool) {
		if !ok {
			h.roll(rollout.FetchFailed{})
			return
		}
		n := p.head
		p.reads["ticket"]++
		h.fleet.After(2*platformDelay, func() {
			h.roll(rollout.Fetched{Release: h.fleet.releases[n]})
		})
	})
}

func (h *configHost) write(s ticket.Status) {
	h.fleet.platform.writes["status"]++
	for _, o := range h.fleet.hosts {
		if o.Domain == s.Domain && !o.dead && !o.paused && o.rollout.IsFresh() && o.applied < s.Number {
			h.fleet.claims++
		}
	}
	for n := h.stated + 1; n <= s.Number; n++ {
		h.fleet.stated[n].step(h.fleet.Now())
	}
	h.stated = max(h.stated, s.Number)
}

func (h *configHost) contend(e lease.Event) {
	if !h.active(func() { h.contend(e) }) {
		return
	}
	p := h.fleet.platform
	o := p.lease(h.Domain)
	for _, e := range h.lease.Handle(h.fleet.Now(), e) {
		switch e := e.(type) {
		case lease.Read:
			p.call(p.reads, "lease", o.seen, h.contend)
		case lease.Watch:
			h.watchLease(o, e.After)
		case lease.Write:
			p.call(p.writes, "lease", func() lease.Event { return o.write(e) }, h.contend)
		case lease.Acquired:
			h.acquire(e.Fence)
		case lease.Released:
			h.holding = false
			h.roll(rollout.Released{})
		case lease.Wake:
			h.wake(e.At)
		}
	}
}

func (h *configHost) acquire(fence uint64) {
	h.holding = true
	if h.fleet.acquired != nil {
		h.fleet.acquired(h)
	}
	h.roll(rollout.Acquired{Fence: fence})
}

func (h *configHost) watchLease(o *leaseObject, after uint64) {
	p := h.fleet.platform
	p.watch("lease", &o.watchers, func() bool { return o.version > after }, func(ok bool) {
		if ok {
			h.contend(o.seen())
		} else {
			h.contend(lease.Unchanged{})
		}
	})
}

// wake ticks the lease once at the time given, unless a later call replaces it.
func (h *configHost) wake(at time.Duration) {
	h.wakeAt = at
	h.fleet.After(at-h.fleet.Now(), func() {
		if h.wakeAt == at {
			h.contend(lease.Tick{})
		}
	})
}

// listHolder reads the list of hosts often where the lease is held.
func (h *configHost) listHolder() {
	if h.dead {
		return
	}
	if h.holding {
		h.readList()
	}
	h.fleet.After(holderListTime, h.listHolder)
}

// listMember reads the list of hosts seldom everywhere.
func (h *configHost) listMember() {
	if h.dead {
		return
	}
	h.readList()
	h.fleet.After(memberListTime, h.listMember)
}

func (h *configHost) readList() {
	if h.paused {
		return
	}
	h.fleet.platform.reads["hosts"]++
	hosts := h.fleet.list()
	h.fleet.After(2*platformDelay, func() { h.member(member.HostList{Hosts: hosts}) })
}
