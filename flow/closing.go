package flow

import "time"

// drainGrace is the time for which owners may still open flows on a draining target
// by an older table. It starts when the epoch that drains the target is received.
const drainGrace = 2 * time.Second

// drainTimes maps each target with a share of 0 in the newest epoch, which gets no
// new flows, to the time at which its share became 0. It is immutable.
type drainTimes map[TargetID]time.Duration

// withEpoch returns the drain times of epoch e, which was received at now.
func (d drainTimes) withEpoch(e *Epoch, now time.Duration) drainTimes {
	out := make(drainTimes)
	for _, s := range e.services {
		for _, share := range s.shares {
			if share.Current > 0 {
				continue
			}
			since, ok := d[share.Target]
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
func (d drainTimes) isPastGrace(now time.Duration, target TargetID) bool {
	since, ok := d[target]
	return ok && now-since > drainGrace
}
