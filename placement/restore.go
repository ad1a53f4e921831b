package placement

import (
	"time"

	"wisteriaweir/catalog"
)

// restoredTrustDelay is the time after the store has come back from an older copy for
// which an entry in it that contradicts what was known before is not trusted. A target that
// runs writes its entry again sooner, and other entries expire within it.
const restoredTrustDelay = 4 * time.Second

// handleRestore compares what is known of the targets with a new catalog, if the store has
// come back from an older copy since the catalog in use. Entries that the copy lacks may be
// those of running targets. Entries of targets that were removed, or draining, before are
// not trusted until they are written again. It must be called before the new catalog is
// applied.
func (c *Core) handleRestore(now time.Duration, cat catalog.Catalog) {
	before := c.catalog.TargetsPosition()
	if !before.IsKnown() || cat.TargetsPosition().Era <= before.Era {
		return
	}
	c.RecordOutage(now)
	for id, t := range c.targets {
		if ct, ok := cat.Target(id); ok && t.contradicts(ct) {
			t.untrustedUntil, t.untrustedEntry = now+restoredTrustDelay, ct.Position
		}
	}
}

// contradicts reports whether an entry of the same process says that the target runs or
// accepts new flows, although it was known to have left or to drain.
func (t *Target) contradicts(entry catalog.Target) bool {
	if entry.StartedUnixMilli != t.StartedUnixMilli {
		return false
	}
	return t.removed && !t.mayHaveExpired || t.Draining && !entry.Draining
}

// isUntrusted reports whether the target's entry comes from an older copy of the store and
// contradicts what was known before.
func (t *Target) isUntrusted(now time.Duration) bool {
	return now < t.untrustedUntil
}
