package reader

import "wisteriaweir/catalog"

// isComparable reports whether a position in a message can be compared with that of the same
// part of the catalog. Hosts of earlier releases send revisions without an era. After the store
// has come back from an older copy, these may be of the time before, so that a host whose
// store names eras uses no content of such hosts and does not count them as readers.
func isComparable(p, own catalog.Position) bool {
	return p.Era != 0 || own.Era == 0
}

// isComparableUpdate is isComparable for the position of an update.
func (c *Core) isComparableUpdate(u Update) bool {
	if u.Routes != nil || u.RouteChanges != nil {
		return isComparable(u.Position, c.catalog.RoutesPosition())
	}
	return isComparable(u.Position, c.catalog.TargetsPosition())
}

// isComparableHeartbeat reports whether isComparable holds for all positions that a heartbeat
// contains.
func (c *Core) isComparableHeartbeat(h Heartbeat) bool {
	return (!h.Routes.IsKnown() || isComparable(h.Routes, c.catalog.RoutesPosition())) &&
		(!h.Targets.IsKnown() || isComparable(h.Targets, c.catalog.TargetsPosition())) &&
		(!h.Evacuations.IsKnown() || isComparable(h.Evacuations, c.catalog.EvacuationsPosition()))
}
