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

// requestIfBehind sends an update request to a peer whose heartbeat has a newer part
// than the catalog, unless this host has sent one to any peer within
// updateRequestInterval.
func (c *Core) requestIfBehind(now time.Duration, p *peer) {
	if !isNewer(p.heartbeat.Positions, c.ownPositions()) {
		return
	}
	if c.lastRequestAt != 0 && now-c.lastRequestAt < updateRequestInterval {
		return
	}
	c.requestUpdates(now, p)
}

// ownPositions returns the positions of the catalog.
func (c *Core) ownPositions() Positions {
	return Positions{
		RoutesNumber: c.catalog.Routes().Number(), Routes: c.catalog.RoutesPosition(),
		Targets: c.catalog.TargetsPosition(), Evacuations: c.catalog.EvacuationsPosition(),
	}
}

// isNewer reports whether any part at p is newer than at o.
func isNewer(p, o Positions) bool {
	return hasNewerRoutes(p, o) || p.Targets.After(o.Targets) || p.Evacuations.After(o.Evacuations)
}

// hasNewerRoutes reports whether the routing table at p is newer than that at o. Between
// eras, version numbers decide, if both are known and differ; see
// catalog.Catalog.WithRoutes.
func hasNewerRoutes(p, o Positions) bool {
	if p.Routes.Era != o.Routes.Era && p.RoutesNumber != 0 && o.RoutesNumber != 0 && p.RoutesNumber != o.RoutesNumber {
		return p.RoutesNumber > o.RoutesNumber
	}
	return p.Routes.After(o.Routes)
}

// requestUpdates requests everything from a peer that is newer than the catalog. It
// requests a snapshot of a part to which the last delta could not be applied.
func (c *Core) requestUpdates(now time.Duration, p *peer) {
	c.lastRequestAt = now
	positions := c.ownPositions()
	if c.needsRoutes {
		positions.RoutesNumber, positions.Routes = 0, catalog.Position{}
	}
	if c.needsTargets {
		positions.Targets = catalog.Position{}
	}
	c.send(p.Member, UpdateRequest{Positions: positions})
}

// sendMissing sends a host the updates that it lacks: a delta if the update log
// contains all changes since its position, otherwise a snapshot.
func (c *Core) sendMissing(to Member, r UpdateRequest) {
	own := c.ownPositions()
	if hasNewerRoutes(own, r.Positions) {
		u, ok := c.routeLog.since(r.Routes)
		if !ok || !r.Routes.IsKnown() {
			table := c.catalog.Routes()
			u = Update{Position: own.Routes, Routes: &table}
		}
		c.send(to, u)
	}
	if own.Targets.After(r.Targets) {
		u, ok := c.targetLog.since(r.Targets)
		if !ok || !r.Targets.IsKnown() {
			u = c.allTargets()
		}
		c.send(to, u)
	}
	if own.Evacuations.After(r.Evacuations) {
		c.send(to, c.ownEvacuations())
	}
}

// allTargets returns a snapshot of all targets.
func (c *Core) allTargets() Update {
	targets := make([]catalog.Target, 0, len(c.catalog.Targets()))
	for _, t := range c.catalog.Targets() {
		targets = append(targets, t)
	}
	return Update{
		Position: c.catalog.TargetsPosition(), HasAllTargets: true, Targets: targets, InvalidEntries: c.catalog.InvalidEntries(),
	}
}

// handleUpdate applies an update from a peer. If the update is a delta from a newer
// position than the catalog's, it requests the missing updates instead.
func (c *Core) handleUpdate(now time.Duration, p *peer, u Update) {
	if c.hasGap(u) {
		c.requestUpdates(now, p)
		return
	}
	c.apply(u)
}

// hasGap reports whether u is a delta from a newer position than the catalog's, so that
// changes in between are missing.
func (c *Core) hasGap(u Update) bool {
	switch {
	case u.Routes != nil, u.HasAllTargets:
		return false
	case u.RouteChanges != nil:
		return u.Base.After(c.catalog.RoutesPosition())
	default:
		return u.Base.After(c.catalog.TargetsPosition())
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
	routesAdvanced := next.RoutesPosition() != c.catalog.RoutesPosition()
	targetsAdvanced := next.TargetsPosition() != c.catalog.TargetsPosition()
	if !routesAdvanced && !targetsAdvanced {
		return false
	}
	if u.Digest != 0 && u.Digest != digestOfPart(next, u) {
		c.needsRoutes = c.needsRoutes || routesAdvanced
		c.needsTargets = c.needsTargets || targetsAdvanced
		c.effects = append(c.effects, Mismatch{Position: u.Position, Base: u.Base, IsRoutes: routesAdvanced})
		return false
	}
	c.needsRoutes = c.needsRoutes && !routesAdvanced
	c.needsTargets = c.needsTargets && !targetsAdvanced
	c.catalog = next
	c.logUpdate(u)
	c.publish()
	return true
}

// afterUpdate returns the catalog with an update applied.
func (c *Core) afterUpdate(u Update) catalog.Catalog {
	switch {
	case u.Routes != nil:
		return c.catalog.WithRoutes(*u.Routes, u.Position)
	case u.RouteChanges != nil:
		return c.catalog.WithRoutes(c.catalog.Routes().WithChanges(*u.RouteChanges), u.Position)
	case u.HasAllTargets:
		return c.catalog.WithTargets(u.Targets, u.Position, u.InvalidEntries...)
	default:
		return c.catalog.WithChanges(u.Changes, u.Position)
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
