package soak

import (
	"context"
	"net/netip"
	"time"

	"wisteriaweir/fake"
	"wisteriaweir/platform"
)

const (
	// faultFreeTime is how long a component must have been without faults for a
	// violation of its invariants to count.
	faultFreeTime = 3500 * time.Millisecond
	// recoveryTime is the time after the last fault within which the system has to
	// recover.
	recoveryTime = 4 * time.Second
	// probeTimeout is the time limit for the response to an opening packet.
	probeTimeout = time.Second
	// maxDrainLatency is the time after the start of its drain after which a target
	// must not receive new flows. It covers the limit of the invariant, the
	// propagation through the store and the target's heartbeat interval of 400 ms.
	maxDrainLatency = 3*time.Second + 400*time.Millisecond
	// drainObservation is how long the target that waitForRecovery drains is observed
	// after maxDrainLatency.
	drainObservation = 1500 * time.Millisecond
	// minSuccessFraction is the minimum fraction of requests that must neither fail nor
	// be refused after recovery.
	minSuccessFraction = 0.99
)

// waitForRecovery waits for recoveryTime, then checks the routes of the hosts, drains
// one target and waits until that target has been observed for drainObservation. It
// returns the callers' result at the end of recoveryTime.
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

// checkRoutes checks that every host uses the newest configuration: it routes flows
// to the newest route and resets flows to the route that was removed.
func (r *run) checkRoutes() {
	added, removed := r.env.NewestRoute()
	for i, h := range r.hosts {
		at := netip.AddrPortFrom(r.ip(3, i+1), packetPort)
		r.checkRoute(h.name, at, added, fake.ProbeAccepted)
		if removed != 0 {
			r.checkRoute(h.name, at, removed, fake.ProbeReset)
		}
	}
}

// checkRoute checks that the response of one host to an opening packet for a port is
// the wanted one.
func (r *run) checkRoute(name string, at netip.AddrPort, port uint16, want fake.ProbeResult) {
	got, err := r.env.ProbeRoute(at, port, probeTimeout)
	if err != nil || got != want {
		r.recordViolation("%s: an opening packet to port %d was %s, expected %s (error: %v)", name, port, got, want, err)
	}
}

// checkInvariants checks all invariants of the run. before is the result that
// waitForRecovery returned.
func (r *run) checkInvariants(before fake.FlowResult) {
	v := r.env.Summary()
	if v.Doubled > 0 {
		r.recordViolation("%d requests ran more than once, or ran although they were reported as not run", v.Doubled)
	}
	if v.Misrouted > 0 || v.Forged > 0 || v.ForgedAtTargets > 0 {
		r.recordViolation("responses were misrouted or packets forged: crossed=%d forged=%d forged at targets=%d", v.Misrouted, v.Forged, v.ForgedAtTargets)
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

// checkResets checks that no host reset an open flow of a live target. It ignores a
// reset if the host or the target had faults within faultFreeTime before the reset, or
// later.
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
		r.recordViolation("host %v reset an open flow of live target %s, %v before the end of the run", reset.From, reset.Target, time.Since(reset.At))
	}
}

// targetHadFaults reports whether the proxy in front of a target had faults within
// faultFreeTime before the given time, or later.
func (r *run) targetHadFaults(t fake.ManagedTarget, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.targetProxies[t.Address()].hadFaultsSince(at.Add(-faultFreeTime))
}

// hostHadFaults reports whether the host with the address from, or its proxy to the
// store, had faults within faultFreeTime before the given time, or later. It is true
// for an unknown address.
func (r *run) hostHadFaults(from netip.AddrPort, at time.Time) bool {
	for i, h := range r.hosts {
		if r.ip(3, i+1) == from.Addr() {
			return h.hadFaultsSince(at.Add(-faultFreeTime)) || r.storeProxies[i].hadFaultsSince(at.Add(-faultFreeTime))
		}
	}
	return true
}

// checkDrains checks that no draining target received a new flow later than
// maxDrainLatency after its drain began. It ignores a target if the store or a
// host had faults within faultFreeTime before the drain, or later.
func (r *run) checkDrains() {
	r.mu.Lock()
	storeFaultEndedAt := r.storeFaultEndedAt
	r.mu.Unlock()
	for id, t := range r.env.Targets() {
		latency := t.Stats().LastAcceptedAt.Sub(t.DrainedAt)
		if t.DrainedAt.IsZero() || latency <= maxDrainLatency || storeFaultEndedAt.After(t.DrainedAt.Add(-faultFreeTime)) {
			continue
		}
		hadFaults := false
		for i, h := range r.hosts {
			since := t.DrainedAt.Add(-faultFreeTime)
			hadFaults = hadFaults || h.hadFaultsSince(since) || r.storeProxies[i].hadFaultsSince(since)
		}
		if !hadFaults {
			r.recordViolation("target %s received a new flow %v after it began to drain", id, latency)
		}
	}
}

// checkRecovery checks that no more than 1-minSuccessFraction of the requests between
// the two results failed or were refused, and that there were requests. Both results
// are from after the recovery.
func (r *run) checkRecovery(before, after fake.FlowResult) {
	// A request that was in progress at the time of before does not count in requests,
	// because Requests counts it at its start, but counts in failed if it fails.
	requests := after.Requests - before.Requests
	failed := after.Failed + after.Refused - before.Failed - before.Refused
	if requests == 0 || float64(failed) > (1-minSuccessFraction)*float64(requests) {
		r.recordViolation("%d of %d requests failed after all faults had ended", failed, requests)
	}
}
