package rollout

import (
	"time"

	"wisteriaweir/member"
)

// handlePull answers a Pull with a Delta from the release that the Pull names, or
// with a Snapshot if there is no such Delta. It does not answer if the current
// release is not newer than that release.
func (c *Core) handlePull(to member.Member, m Pull) {
	if c.release.Number <= m.Number {
		return
	}
	if d, ok := c.deltaSince(m); ok {
		c.emit(Send{To: to, Message: DeltaReply{Delta: d}})
		return
	}
	snapshot, err := c.release.Snapshot()
	if err != nil {
		c.emit(Rejected{Number: c.release.Number, From: c.cfg.Self.Name, Err: err})
		return
	}
	c.emit(Send{To: to, Message: SnapshotReply{Snapshot: snapshot}})
}

// deltaSince returns the delta from the release that a Pull names to the current one.
// It returns false if that release is not retained or there is no delta from it.
func (c *Core) deltaSince(m Pull) (Delta, bool) {
	for _, r := range c.formerReleases {
		if r.Number == m.Number && r.Digest == m.Digest {
			return c.release.DeltaFrom(r)
		}
	}
	return Delta{}, false
}

// applySnapshot makes a complete release the current one if it is newer and valid. It
// reports whether it did. An invalid release is reported by a Rejected effect.
func (c *Core) applySnapshot(now time.Duration, from member.Member, snapshot Snapshot) bool {
	if snapshot.Number <= c.release.Number {
		return false
	}
	r, err := snapshot.Decode()
	if err != nil {
		c.emit(Rejected{Number: snapshot.Number, From: from.Name, Err: err})
		return false
	}
	return c.applyIfNewer(now, r)
}

// handleDeltaReply applies the delta that answers a Pull. If the current release
// has changed since the Pull, the delta has another base, and a new Pull is sent.
// If the delta results in another state than it names, a Snapshot is requested.
func (c *Core) handleDeltaReply(now time.Duration, from member.Member, d Delta) {
	if d.Number <= c.release.Number || c.applyDelta(now, from, d) {
		return
	}
	c.hasPendingPull = false
	c.handlePeerRelease(now, from, d.Number, d.Digest)
}

// applyDelta applies a delta whose base is the current release. If the delta is
// invalid, or its result does not match its digest, applyDelta emits a Rejected and
// requests a Snapshot. It returns false, and does nothing, if the delta is not newer
// or has another base.
func (c *Core) applyDelta(now time.Duration, from member.Member, d Delta) bool {
	if d.Number <= c.release.Number || d.BaseNumber != c.release.Number || d.BaseDigest != c.release.Digest {
		return false
	}
	r, err := c.release.ApplyDelta(d)
	if err != nil {
		c.emit(Rejected{Number: d.Number, From: from.Name, Err: err})
		c.sendPull(now, from, "")
		return true
	}
	return c.applyIfNewer(now, r)
}
