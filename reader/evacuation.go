package reader

import (
	"time"

	"wisteriaweir/evacuation"
)

// lostEvacuationTTL is the time for which an evacuation stays in force that the store has
// lost by coming back from an older copy. The operator writes again what was lost; until
// then, no new flows may go there.
const lostEvacuationTTL = 10 * time.Second

// ownEvacuations returns a snapshot of the evacuated failure domains in the catalog.
func (c *Core) ownEvacuations() EvacuationUpdate {
	return EvacuationUpdate{Position: c.catalog.EvacuationsPosition(), Set: c.catalog.Evacuations()}
}

// handleStoreEvacuations applies a response of the store with evacuations, and sends the
// result to the group if this host is a reader.
func (c *Core) handleStoreEvacuations(now time.Duration, u Update) []Effect {
	set := c.catalog.Evacuations().WithChanges(u.EvacuationChanges)
	if u.Evacuations != nil {
		set = *u.Evacuations
		known := c.catalog.EvacuationsPosition()
		if known.IsKnown() && known.Era >= u.Position.Era && set.Equal(c.catalog.Evacuations()) {
			return c.drainEffects() // The list contains nothing new.
		}
	}
	if c.applyEvacuations(now, EvacuationUpdate{Position: u.Position, Set: set}) && c.reading {
		c.broadcast(c.ownEvacuations())
	}
	return c.drainEffects()
}

// applyEvacuations applies a snapshot of the evacuated failure domains to the catalog. It
// reports whether the snapshot was newer than that in the catalog.
func (c *Core) applyEvacuations(now time.Duration, u EvacuationUpdate) bool {
	previous := c.catalog.EvacuationsPosition()
	before := c.catalog.Evacuations()
	c.catalog = c.catalog.WithEvacuations(u.Set, u.Position)
	if c.catalog.EvacuationsPosition() == previous {
		return false
	}
	if previous.IsKnown() && u.Position.Era > previous.Era {
		c.lostEvacuations, c.lostUntil = without(before, u.Set), now+lostEvacuationTTL
	}
	c.lostEvacuations = without(c.lostEvacuations, u.Set) // Requested again, so they can be withdrawn.
	c.publish()
	return true
}

// without returns the failure domains of s that are not in o.
func without(s, o evacuation.Set) evacuation.Set {
	for _, domain := range o.Domains() {
		s = s.Without(domain)
	}
	return s
}

// expireLostEvacuations ends the evacuations that the store has lost and that the operator
// has not requested again.
func (c *Core) expireLostEvacuations(now time.Duration) {
	if c.lostEvacuations.Size() > 0 && now >= c.lostUntil {
		c.lostEvacuations = evacuation.Set{}
		c.publish()
	}
}

// publish adds the effect of using the catalog, together with the evacuations that the
// store has lost. Other hosts only receive those of the store: each has lost the same.
func (c *Core) publish() {
	cat := c.catalog
	if c.lostEvacuations.Size() > 0 {
		cat = cat.WithAddedEvacuations(c.lostEvacuations)
	}
	c.effects = append(c.effects, Publish{Catalog: cat})
}
