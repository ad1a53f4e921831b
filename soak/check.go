package soak

import (
	"context"
	"net/netip"
	"time"

	"wisteriaweir/fake"
	"wisteriaweir/platform"
)

const (
	// calmFor is how long a part has to have been calm to be held to a bound.
	calmFor = 3500 * time.Millisecond
	// settleFor is the time after the last fault in which all has to be well again.
	settleFor = 4 * time.Second
	// probeWait is the time for the answer to an opening packet.
	probeWait = time.Second
	// drainBound is the time after which a target that leaves gets no new flow: that
	// of the promise, the way through the store and the target's own beat.
	drainBound = 3*time.Second + 400*time.Millisecond
	// drainWatch is how long the last target that leaves is watched after the bound.
	drainWatch = 1500 * time.Millisecond
	// calmShare is the part of the requests of the calm end that have to be
	// answered.
	calmShare = 0.99
)

// atCalm waits until all has to be well again and returns what callers saw until
// then.
func (r *run) atCalm(ctx context.Context) fake.FlowResult {
	_ = platform.Sleep(ctx, settleFor)
	before := r.world.Callers.Result()
	r.checkRoutes()
	if t, ok := r.victim(0); ok {
		r.replace(t)
		r.world.Drain(t.ID())
		_ = platform.Sleep(ctx, drainBound+drainWatch)
	}
	return before
}

// checkRoutes holds that every host follows the newest configuration.
func (r *run) checkRoutes() {
	added, removed := r.world.NewestRoute()
	for i, h := range r.hosts {
		at := netip.AddrPortFrom(r.ip(3, i+1), portPackets)
		r.checkRoute(h.name, at, added, fake.ProbeAccepted)
		if removed != 0 {
			r.checkRoute(h.name, at, removed, fake.ProbeReset)
		}
	}
}

func (r *run) checkRoute(name string, at netip.AddrPort, port uint16, want fake.ProbeResult) {
	got, err := r.world.ProbeRoute(at, port, probeWait)
	if err != nil || got != want {
		r.complain("%s: a flow to port %d is %s, not %s (%v)", name, port, got, want, err)
	}
}

// check holds the run to the promises.
func (r *run) check(before fake.FlowResult) {
	v := r.world.Summary()
	if v.Doubled > 0 {
		r.complain("%d requests ran more than once, or ran though told not to have", v.Doubled)
	}
	if v.Misrouted > 0 || v.Forged > 0 || v.ForgedAtTargets > 0 {
		r.complain("crossed=%d forged=%d forged at targets=%d", v.Misrouted, v.Forged, v.ForgedAtTargets)
	}
	r.checkResets(v)
	r.checkDrains()
	r.checkCalm(before, v.FlowResult)
	for _, h := range r.hosts {
		h.mu.Lock()
		ends := h.ends
		h.mu.Unlock()
		for _, e := range ends {
			r.complain("%s", e)
		}
	}
}

// checkResets holds that no host resets an open flow whose target is alive, as
// long as both were calm.
func (r *run) checkResets(v fake.Summary) {
	targets := r.world.Targets()
	for _, reset := range v.Resets {
		t, ok := targets[reset.Target]
		if !ok || !t.StoppedAt.IsZero() && reset.At.After(t.StoppedAt) {
			continue
		}
		if r.targetDisturbed(t, reset.At) || r.hostDisturbed(reset.From, reset.At) {
			continue
		}
		r.complain("%v reset a flow of %s, which is alive, %v before the end", reset.From, reset.Target, time.Since(reset.At))
	}
}

// targetDisturbed reports whether what lies before a target was in trouble in
// the time up to at, or later.
func (r *run) targetDisturbed(t fake.ManagedTarget, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fronts[t.Address()].disturbed(at.Add(-calmFor))
}

func (r *run) hostDisturbed(from netip.AddrPort, at time.Time) bool {
	for i, h := range r.hosts {
		if r.ip(3, i+1) == from.Addr() {
			return h.disturbed(at.Add(-calmFor)) || r.proxies[i].disturbed(at.Add(-calmFor))
		}
	}
	return true
}

// checkDrains holds that a target that leaves gets no new flow after the bound,
// as long as store and hosts were calm.
func (r *run) checkDrains() {
	r.mu.Lock()
	storeCalmAt := r.storeCalmAt
	r.mu.Unlock()
	for id, t := range r.world.Targets() {
		late := t.Stats().Accepted.Sub(t.DrainedAt)
		if t.DrainedAt.IsZero() || late <= drainBound || storeCalmAt.After(t.DrainedAt.Add(-calmFor)) {
			continue
		}
		disturbed := false
		for i, h := range r.hosts {
			since := t.DrainedAt.Add(-calmFor)
			disturbed = disturbed || h.disturbed(since) || r.proxies[i].disturbed(since)
		}
		if !disturbed {
			r.complain("%s was sent a new flow %v after it said that it leaves", id, late)
		}
	}
}

// checkCalm holds that once all trouble is over nearly all requests are served.
func (r *run) checkCalm(before, after fake.FlowResult) {
	// Requests that were under way at the first look are counted in neither.
	requests := after.Requests - before.Requests
	failed := after.Failed + after.Refused - before.Failed - before.Refused
	if requests == 0 || float64(failed) > (1-calmShare)*float64(requests) {
		r.complain("%d of %d requests failed after all trouble was over", failed, requests)
	}
}
