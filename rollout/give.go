package rollout

import (
	"time"

	"wisteriaweir/member"
)

// pulled answers a Pull with the changes since the release that it names, or
// with the whole if that release is not known here.
func (c *Core) pulled(to member.Member, m Pull) {
	if c.release.Number <= m.Number {
		return
	}
	if d, ok := c.since(m); ok {
		c.emit(Send{To: to, Message: DeltaReply{Delta: d}})
		return
	}
	w, err := c.release.Snapshot()
	if err != nil {
		c.emit(Rejected{Number: c.release.Number, From: c.cfg.Self.Name, Err: err})
		return
	}
	c.emit(Send{To: to, Message: SnapshotReply{Snapshot: w}})
}

// since returns the changes since the release that a Pull names.
func (c *Core) since(m Pull) (Delta, bool) {
	for _, r := range c.former {
		if r.Number == m.Number && r.Digest == m.Digest {
			return c.release.DeltaFrom(r)
		}
	}
	return Delta{}, false
}

// given takes a whole release if it is newer.
func (c *Core) given(now time.Duration, from member.Member, w Snapshot) bool {
	if w.Number <= c.release.Number {
		return false
	}
	r, err := w.Decode()
	if err != nil {
		c.emit(Rejected{Number: w.Number, From: from.Name, Err: err})
		return false
	}
	return c.adopt(now, r)
}

// givenDelta takes what changed. If it was made from another release than the
// own one, which has changed since the Pull, it is asked for again; if it makes
// another state than it should, the whole is.
func (c *Core) givenDelta(now time.Duration, from member.Member, d Delta) {
	if d.Number <= c.release.Number || c.apply(now, from, d) {
		return
	}
	c.pulling = false
	c.heard(now, from, d.Number, d.Digest)
}

// apply takes what changed if it was made from the own release. A delta that
// does not fit its own digest is made up for by a whole.
func (c *Core) apply(now time.Duration, from member.Member, d Delta) bool {
	if d.Number <= c.release.Number || d.Base != c.release.Number || d.BaseDigest != c.release.Digest {
		return false
	}
	r, err := c.release.ApplyDelta(d)
	if err != nil {
		c.emit(Rejected{Number: d.Number, From: from.Name, Err: err})
		c.pull(now, from, "")
		return true
	}
	return c.adopt(now, r)
}
