package flow

import "time"

// drainGrace is the time after the epoch that drains a target during which owners
// may still open flows on it by an older table.
const drainGrace = 2 * time.Second

// drainTimes maps each target with a share of 0 in the newest epoch, which gets no
// new flows, to the time at which its share became 0. It is immutable.
type drainTimes map[TargetID]time.Duration

// withEpoch returns the drain times of epoch e, which was received at now.
func (c drainTimes) withEpoch(e *Epoch, now time.Duration) drainTimes {
	out := make(drainTimes)
	for _, s := range e.services {
		for _, share := range s.shares {
			if share.Share > 0 {
				continue
			}
			since, ok := c[share.Target]
			if !ok {
				since = now
			}
			out[share.Target] = since
		}
	}
	return out
}

// isPastGrace reports whether a target has had a share of 0 for longer than
// drainGrace, so that no flow may be opened on it.
func (c drainTimes) isPastGrace(now time.Duration, target TargetID) bool {
	since, ok := c[target]
	return ok && now-since > drainGrace
}
