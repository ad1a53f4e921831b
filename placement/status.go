package placement

import "time"

// TargetStatus is the load and the state of a target as this host sees them.
type TargetStatus struct {
	// OpenFlows is the number of flows of this host on the target.
	OpenFlows int `json:"open"`
	// OpeningFlows is the number of those flows that have no response yet.
	OpeningFlows int `json:"opening"`
	// BusyRequests is the number of requests of this host in progress.
	BusyRequests int `json:"busy"`
	// QueuedRequests is the number of requests that this host has queued for the target.
	QueuedRequests int `json:"waiting"`
	// Window is the number of requests that this host may have in progress on the
	// target.
	Window float64 `json:"window"`
	// Speed is the estimated speed of the target relative to its pool, 0 if it is not
	// estimated; see Config.TargetSpeed.
	Speed float64 `json:"speed,omitempty"`
	// PeerLoad is the load that domain peers add.
	PeerLoad TargetLoad `json:"others"`
	// State is ready, draining, evacuated, gone (removed from the catalog), invalid (another
	// program has written the entry), suspect, failing, dead, collides or untrusted (the entry
	// comes from an older copy of the store and contradicts what was known before).
	State string `json:"state"`
	// Warmup is the time until the end of the target's warm-up, such as 1.5s. It is empty
	// if the target is not warming up.
	Warmup string `json:"warmup,omitempty"`
	// Permits is the number of opening packets that this host may send to the target within
	// 1.1 s while it is warming up, as of the last choice in which the target was a
	// candidate. See package warmup for the reason of the 1.1 s.
	Permits int `json:"permits,omitempty"`
	// PermitsUsed is the number of opening packets that this host has sent to the target
	// within the last 1.1 s.
	PermitsUsed int `json:"permits_used,omitempty"`
}

// StatusAt returns the load and the state of the target.
func (t *Target) StatusAt(now time.Duration) TargetStatus {
	s := TargetStatus{OpenFlows: t.openFlows, OpeningFlows: t.openingFlows, BusyRequests: t.busy, QueuedRequests: t.queue.size(), Window: t.window.scaledSize(), Speed: t.window.speed, PeerLoad: t.peerLoad, State: "ready"}
	if now < t.warmUntil {
		s.Warmup = (t.warmUntil - now).Round(time.Millisecond).String()
		s.Permits, s.PermitsUsed = t.openings.LastPart(), t.openings.Used(now)
	}
	switch {
	case t.collides:
		s.State = "collides"
	case t.dead:
		s.State = "dead"
	case t.hasInvalidEntry:
		s.State = "invalid"
	case t.removed:
		s.State = "gone"
	case t.evacuated:
		s.State = "evacuated"
	case t.isSuspect(now) || t.isReportedDead(now):
		s.State = "suspect"
	case t.isFailing(now):
		s.State = "failing"
	case t.Draining:
		s.State = "draining"
	case t.isUntrusted(now):
		s.State = "untrusted"
	}
	return s
}

// Targets returns the targets that the core knows, sorted by start time. The slice
// must not be changed.
func (c *Core) Targets() []*Target {
	return c.targetsInStartOrder
}

// FlowCount returns the number of flows in the table.
func (c *Core) FlowCount() int {
	return len(c.flows)
}
