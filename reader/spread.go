package reader

import (
	"time"

	"wisteriaweir/catalog"
)

// updateRequestInterval is the minimum time between two update requests that are
// caused by heartbeats. A reader sends each change right before the heartbeat with
// its revision, so most gaps close without a request, and a reader needs time to
// respond to many hosts.
const updateRequestInterval = 400 * time.Millisecond

// requestIfBehind sends an update request to a peer whose heartbeat has a newer
// revision than the catalog, unless this host has sent one to any peer within
// updateRequestInterval.
func (c *Core) requestIfBehind(now time.Duration, p *peer) {
	if p.heartbeat.RoutesRevision <= c.catalog.RoutesRevision() && p.heartbeat.TargetsRevision <= c.catalog.TargetsRevision() &&
		p.heartbeat.EvacuationsRevision <= c.catalog.EvacuationsRevision() {
		return
	}
	if c.lastRequestAt != 0 && now-c.lastRequestAt < updateRequestInterval {
		return
	}
	c.requestUpdates(now, p)
}

// requestUpdates requests everything from a peer that is newer than the catalog. It
// requests a snapshot of a part to which the last delta could not be applied.
func (c *Core) requestUpdates(now time.Duration, p *peer) {
	c.lastRequestAt = now
	r := UpdateRequest{
		RoutesRevision: c.catalog.RoutesRevision(), TargetsRevision: c.catalog.TargetsRevision(),
		EvacuationsRevision: c.catalog.EvacuationsRevision(),
	}
	if c.needsRoutes {
		r.RoutesRevision = 0
	}
	if c.needsTargets {
		r.TargetsRevision = 0
	}
	c.send(p.Member, r)
}

// sendMissing sends a host the updates that it lacks: a delta if the update log
// contains all changes since its revision, otherwise a snapshot.
func (c *Core) sendMissing(to Member, r UpdateRequest) {
	if c.catalog.RoutesRevision() > r.RoutesRevision {
		u, ok := c.routeLog.since(r.RoutesRevision)
		if !ok || r.RoutesRevision == 0 {
			table := c.catalog.Routes()
			u = Update{Revision: c.catalog.RoutesRevision(), Routes: &table}
		}
		c.send(to, u)
	}
	if c.catalog.TargetsRevision() > r.TargetsRevision {
		u, ok := c.targetLog.since(r.TargetsRevision)
		if !ok || r.TargetsRevision == 0 {
			u = c.allTargets()
		}
		c.send(to, u)
	}
	if c.catalog.EvacuationsRevision() > r.EvacuationsRevision {
		c.send(to, c.ownEvacuations())
	}
}

// ownEvacuations returns a snapshot of the evacuated failure domains in the catalog.
func (c *Core) ownEvacuations() EvacuationUpdate {
	return EvacuationUpdate{Revision: c.catalog.EvacuationsRevision(), Set: c.catalog.Evacuations()}
}

// handleStoreEvacuations applies a response of the store with evacuations, and sends the
// result to the group if this host is a reader.
func (c *Core) handleStoreEvacuations(u Update) []Effect {
	set := c.catalog.Evacuations().WithChanges(u.EvacuationChanges)
	if u.Evacuations != nil {
		set = *u.Evacuations
		if c.catalog.EvacuationsRevision() > 0 && set.Equal(c.catalog.Evacuations()) {
			return nil // The list contains nothing new.
		}
	}
	if c.applyEvacuations(EvacuationUpdate{Revision: u.Revision, Set: set}) && c.reading {
		c.broadcast(c.ownEvacuations())
	}
	return c.drainEffects()
}

// applyEvacuations applies a snapshot of the evacuated failure domains to the catalog. It
// reports whether the snapshot was newer than that in the catalog.
func (c *Core) applyEvacuations(u EvacuationUpdate) bool {
	previous := c.catalog.EvacuationsRevision()
	c.catalog = c.catalog.WithEvacuations(u.Set, u.Revision)
	if c.catalog.EvacuationsRevision() == previous {
		return false
	}
	c.effects = append(c.effects, Publish{Catalog: c.catalog})
	return true
}

// allTargets returns a snapshot of all targets.
func (c *Core) allTargets() Update {
	targets := make([]catalog.Target, 0, len(c.catalog.Targets()))
	for _, t := range c.catalog.Targets() {
		targets = append(targets, t)
	}
	return Update{Revision: c.catalog.TargetsRevision(), HasAllTargets: true, Targets: targets}
}

// handleUpdate applies an update from a peer. If the update is a delta to a newer
// revision than the catalog's, it requests the missing updates instead.
func (c *Core) handleUpdate(now time.Duration, p *peer, u Update) {
	if c.hasGap(u) {
		c.requestUpdates(now, p)
		return
	}
	c.apply(u)
}

// hasGap reports whether u is a delta to a newer revision than the catalog's, so that
// changes in between are missing.
func (c *Core) hasGap(u Update) bool {
	switch {
	case u.Routes != nil, u.HasAllTargets:
		return false
	case u.RouteChanges != nil:
		return u.BaseRevision > c.catalog.RoutesRevision()
	default:
		return u.BaseRevision > c.catalog.TargetsRevision()
	}
}

// logUpdate adds an applied update to the log of routes or of targets.
func (c *Core) logUpdate(u Update) {
	if u.Routes != nil || u.RouteChanges != nil {
		c.routeLog.add(u)
		return
	}
	c.targetLog.add(u)
}

// apply applies an update to the catalog and reports whether the catalog advanced.
// Updates that are not newer than the catalog have no effect, and neither have deltas
// that do not fit the catalog's content.
func (c *Core) apply(u Update) bool {
	next := c.afterUpdate(u)
	routesAdvanced := next.RoutesRevision() != c.catalog.RoutesRevision()
	targetsAdvanced := next.TargetsRevision() != c.catalog.TargetsRevision()
	if !routesAdvanced && !targetsAdvanced {
		return false
	}
	if u.Digest != 0 && u.Digest != digestOfPart(next, u) {
		c.needsRoutes = c.needsRoutes || routesAdvanced
		c.needsTargets = c.needsTargets || targetsAdvanced
		c.effects = append(c.effects, Mismatch{Revision: u.Revision, BaseRevision: u.BaseRevision, IsRoutes: routesAdvanced})
		return false
	}
	c.needsRoutes = c.needsRoutes && !routesAdvanced
	c.needsTargets = c.needsTargets && !targetsAdvanced
	c.catalog = next
	c.logUpdate(u)
	c.effects = append(c.effects, Publish{Catalog: c.catalog})
	return true
}

// afterUpdate returns the catalog with an update applied.
func (c *Core) afterUpdate(u Update) catalog.Catalog {
	switch {
	case u.Routes != nil:
		return c.catalog.WithRoutes(*u.Routes, u.Revision)
	case u.RouteChanges != nil:
		return c.catalog.WithRoutes(c.catalog.Routes().WithChanges(*u.RouteChanges), u.Revision)
	case u.HasAllTargets:
		return c.catalog.WithTargets(u.Targets, u.Revision)
	default:
		return c.catalog.WithChanges(u.Changes, u.Revision)
	}
}

// digestOfPart returns the digest of the part of the catalog that an update is about: the
// routing table or the targets.
func digestOfPart(cat catalog.Catalog, u Update) uint64 {
	if u.Routes != nil || u.RouteChanges != nil {
		return cat.Routes().Digest()
	}
	return cat.TargetsDigest()
}
