package placement

import "time"

const (
	// minSilentTargets is the number of targets of other failure domains that must be
	// suspect at the same time before an isolated host counts as cut off from the others.
	// A single crashed target must not be enough.
	minSilentTargets = 2
	// silenceWindow is the time for which no target of another failure domain may have
	// responded. It equals suspectDuration, after which new flows show again whether
	// these targets respond.
	silenceWindow = suspectDuration
)

// SetIsolated sets whether the host is isolated: for some time, neither the store nor a
// reader has confirmed the catalog. Either the failure domain of the host is cut off from
// the others, or only the store is down. If the flows show that the domain is cut off, and
// it is evacuated, its own targets are the only ones within reach and get new flows again.
func (c *Core) SetIsolated(isolated bool) {
	c.isolated = isolated
}

// isCutOff reports whether the host is isolated and the flows show that it does not reach
// the targets of other failure domains. It is always false if the host's own failure
// domain is not evacuated.
func (c *Core) isCutOff(now time.Duration) bool {
	if !c.isolated || !c.catalog.Evacuations().Has(c.cfg.Domain) {
		return false
	}
	silent := 0
	for _, t := range c.targetsInStartOrder {
		if t.Domain == c.cfg.Domain {
			continue
		}
		if t.lastProgressAt > 0 && now-t.lastProgressAt < silenceWindow {
			return false
		}
		if t.isSuspect(now) {
			silent++
		}
	}
	return silent >= minSilentTargets
}
