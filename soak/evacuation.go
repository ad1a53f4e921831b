package soak

import "time"

const (
	// evacuationBound is the time after a request was acknowledged by the store from which
	// evacuated targets must not receive new flows.
	evacuationBound = 5 * time.Second
	// resumeTime is the time within which a host that was paused learns what it has missed:
	// a heartbeat interval (500 ms), the time between two requests for updates, and a reserve.
	resumeTime = 1500 * time.Millisecond
	// writeRetryDelay is the delay before a write of the operator that the store has refused
	// is made again.
	writeRetryDelay = 100 * time.Millisecond
)

// injectEvacuation evacuates a failure domain, checks its targets at the end of the
// duration and withdraws the request. It does nothing if the failure domain is
// evacuated, or if the store refuses the request.
func (r *run) injectEvacuation(s Step) {
	domain := domains[s.Selector%len(domains)]
	if !r.setEvacuated(domain, true) {
		return
	}
	defer r.withdraw(domain)
	if r.env.Evacuate(r.ctx, domain) == nil {
		acknowledgedAt, downTime := time.Now(), r.totalStoreDownTime()
		r.sleep(s.Duration)
		r.checkEvacuated(domain, acknowledgedAt, r.totalStoreDownTime()-downTime)
	}
}

// withdraw withdraws the evacuation of a failure domain. A request that returned an error
// may have taken effect, so it is withdrawn, too.
func (r *run) withdraw(domain string) {
	r.evacuationWrites.Lock()
	defer r.evacuationWrites.Unlock()
	r.retryWrite(func() error { return r.env.Withdraw(r.ctx, domain) })
	r.setEvacuated(domain, false)
}

// setEvacuated records whether a failure domain is evacuated, and reports whether that
// has changed.
func (r *run) setEvacuated(domain string, evacuated bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evacuated[domain] == evacuated {
		return false
	}
	r.evacuated[domain] = evacuated
	return true
}

// totalStoreDownTime returns the sum of the durations of the StoreDown faults that have
// ended.
func (r *run) totalStoreDownTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storeDownTime
}

// checkEvacuated checks that the targets of an evacuated failure domain have received no
// new flows later than evacuationBound after the request was acknowledged, plus the time
// for which the store was down for all hosts since. A host that was paused may use its old
// catalog for resumeTime, and so may a host that started while the store had lost the
// request, from the time when the operator has requested it again. Other faults do not
// extend the time.
func (r *run) checkEvacuated(domain string, acknowledgedAt time.Time, downTime time.Duration) {
	if r.ctx.Err() != nil || r.store.Faults().Outage {
		return
	}
	until := acknowledgedAt.Add(evacuationBound + downTime)
	r.mu.Lock()
	until = later(until, r.uninformedUntil)
	r.mu.Unlock()
	for _, h := range r.hosts {
		h.mu.Lock()
		resumedAt := h.lastResumedAt
		h.mu.Unlock()
		until = later(until, resumedAt.Add(resumeTime))
	}
	for id, t := range r.env.Targets() {
		if at := t.Stats().LastAcceptedAt; t.Domain() == domain && at.After(until) {
			r.recordViolation("target %s received a new flow %v after the request to evacuate %s", id, at.Sub(acknowledgedAt), domain)
		}
	}
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
