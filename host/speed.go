package host

import (
	"math"
	"time"
)

// speedCountInterval is the time between two reads of the speeds of targets.
const speedCountInterval = 250 * time.Millisecond

// countSpeeds updates the lowest and the highest speed of a target for the metrics, if that
// is due.
func (f *forwarder) countSpeeds() {
	now := f.h.now()
	if !f.h.cfg.TargetSpeed || now-f.speedsCountedAt < speedCountInterval {
		return
	}
	f.speedsCountedAt = now
	slowest, fastest := f.core.SpeedRange()
	f.h.slowestTarget.Store(math.Float64bits(slowest))
	f.h.fastestTarget.Store(math.Float64bits(fastest))
}
