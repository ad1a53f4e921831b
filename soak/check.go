package soak

import (
	"context"
	"net/netip"
	"time"

	"wisteriaweir/fake"
	"wisteriaweir/platform"
)

const (
	// faultFreeTime is how long a part has to have been calm to be held to a bound.
	faultFreeTime = 3500 * time.Millisecond
	// recoveryTime is the time after the last fault in which all has to be well again.
	recoveryTime = 4 * time.Second
	// probeTimeout is the time for the answer to an opening packet.
	probeTimeout = time.Second
	// maxDrainLatency is the time after which a target that leaves gets no new flow: that
	// of the promise, the way through the store and the target's own beat.
	maxDrainLatency = 3*time.Second + 400*time.Millisecond
	// drainObservation is how long the last target that leaves is watched after the bound.
	drainObservation = 1500 * time.Millisecond
	// minSuccessFraction is the part of the requests of the calm end that have to be
	// answered.
	minSuccessFraction = 0.99
)

// waitForRecovery waits until all has to be well again and returns what callers saw until
// then.
func (r *run) waitForRecovery(ctx context.Context) fake.FlowResult {
	_ = platform.Sleep(ctx, recoveryTime)
	before := r.env.Callers.Result()
	r.checkRoutes()
	if t, ok := r.pickTarget(0); ok {
		r.addReplacement(t)
		r.env.Drain(t.ID())
		_ = platform.Sleep(ctx, maxDrainLatency+drainObservation)
	}
	return before
}

// checkRoutes holds that every host follows the newest configuration.
func (r *run) checkRoutes() {
	added, removed := r.env.NewestRoute()
	for i, h := range r.hosts {
		at := netip.AddrPortFrom(r.ip(3, i+1), portPackets)
		r.checkRoute(h.name, at, added, fake.ProbeAccepted)
		if removed != 0 {
			r.checkRoute(h.name, at, removed, fake.ProbeReset)
		}
	}
}

func (r *run) checkRoute(name string, at netip.AddrPort, port uint16, want fake.ProbeResult) {
	got, err := r.env.ProbeRoute(at, port, probeTimeout)
	if err != nil || got != want {
		r.recordViolation("%s: a flow to port %d is %s, not %s (%v)", name, port, got, want, err)
	}
}

// checkInvariants holds the run to the promises.
func (r *run) checkInvariants(before fake.FlowResult) {
	v := r.env.Summary()
	if v.Doubled > 0 {
		r.recordViolation("%d requests ran more than once, or ran though told not to have", v.Doubled)
	}
	if v.Misrouted > 0 || v.Forged > 0 || v.ForgedAtTargets > 0 {
		r.recordViolation("crossed=%d forged=%d forged at targets=%d", v.Misrouted, v.Forged, v.ForgedAtTargets)
	}
	r.checkResets(v)
	r.checkDrains()
	r.checkRecovery(before, v.FlowResult)
	for _, h := range r.hosts {
		h.mu.Lock()
		exits := h.unexpectedExits
		h.mu.Unlock()
		for _, e := range exits {
			r.recordViolation("%s", e)
		}
	}
}

// checkResets holds that no host resets an open flow whose target is alive, as
// long as both were calm.
func (r *run) checkResets(v fake.Summary) {
	targets := r.env.Targets()
	for _, reset := range v.Resets {
		t, ok := targets[reset.Target]
		if !ok || !t.StoppedAt.IsZero() && reset.At.After(t.StoppedAt) {
			continue
		}
		if r.targetHadFaults(t, reset.At) || r.hostHadFaults(reset.From, reset.At) {
			continue
		}
		r.recordViolation("%v reset a flow of %s, which is alive, %v before the end", reset.From, reset.Target, time.Since(reset.At))
	}
}

// targetHadFaults reports whether what lies before a target was in trouble in
// the time up to at, or later.
func (r *run) targetHadFaults(t fake.ManagedTarget, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.targetProxies[t.Address()].hadFaultsSince(at.Add(-faultFreeTime))
}

func (r *run) hostHadFaults(from netip.AddrPort, at time.Time) bool {
	for i, h := range r.hosts {
		if r.ip(3, i+1) == from.Addr() {
			return h.hadFaultsSince(at.Add(-faultFreeTime)) || r.storeProxies[i].hadFaultsSince(at.Add(-faultFreeTime))
		}
	}
	return true
}

// checkDrains holds that a target that leaves gets no new flow after the bound,
// as long as store and hosts were calm.
func (r *run) checkDrains() {
	r.mu.Lock()
	storeCalmAt := r.storeClearedAt
	r.mu.Unlock()
	for id, t := range r.env.Targets() {
		latency := t.Stats().Accepted.Sub(t.DrainedAt)
		if t.DrainedAt.IsZero() || latency <= maxDrainLatency || storeCalmAt.After(t.DrainedAt.Add(-faultFreeTime)) {
			continue
		}
		hadFaults := false
		for i, h := range r.hosts {
			since := t.DrainedAt.Add(-faultFreeTime)
			hadFaults = hadFaults || h.hadFaultsSince(since) || r.storeProxies[i].hadFaultsSince(since)
		}
		if !hadFaults {
			r.recordViolation("%s was sent a new flow %v after it said that it leaves", id, latency)
		}
	}
}

// checkRecovery holds that once all trouble is over nearly all requests are served.
func (r *run) checkRecovery(before, after fake.FlowResult) {
	// Requests that were under way at the first look are counted in neither.
	requests := after.Requests - before.Requests
	failed := after.Failed + after.Refused - before.Failed - before.Refused
	if requests == 0 || float64(failed) > (1-minSuccessFraction)*float64(requests) {
		r.recordViolation("%d of %d requests failed after all trouble was over", failed, requests)
	}
}
