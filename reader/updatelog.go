package reader

import (
	"wisteriaweir/catalog"
	"wisteriaweir/route"
)

// maxLoggedUpdates is the largest number of updates in an update log. Hosts that lack
// more than these receive a snapshot.
const maxLoggedUpdates = 64

// updateLog holds the last deltas of the routes or of the targets. Each applies to the
// position of the one before it. All are of one era: changes between two eras may depend
// on what exactly the store has lost.
type updateLog struct {
	updates []Update
}

// add appends a delta. A snapshot or a new era clears the log.
func (l *updateLog) add(u Update) {
	if u.Routes != nil || u.HasAllTargets || u.Base.Era != u.Position.Era {
		l.updates = nil
		return
	}
	l.updates = append(l.updates, u)
	if len(l.updates) > maxLoggedUpdates {
		l.updates = l.updates[1:]
	}
}

// since returns all changes since a position merged into one delta. It returns false
// if the log does not reach back to the position, or has nothing newer.
func (l *updateLog) since(base catalog.Position) (Update, bool) {
	if len(l.updates) == 0 || l.updates[0].Base.After(base) {
		return Update{}, false
	}
	merged := Update{Base: base}
	routes, targets := map[route.Address]*route.Route{}, map[string]catalog.Change{}
	for _, u := range l.updates {
		if !u.Position.After(base) {
			continue
		}
		merged.Position, merged.Digest = u.Position, u.Digest
		for _, ch := range u.Changes {
			targets[ch.Target.ID] = ch
		}
		if u.RouteChanges != nil {
			mergeRouteChanges(routes, *u.RouteChanges)
			merged.RouteChanges = &route.Changes{
				Number: u.RouteChanges.Number, IdleTimeout: u.RouteChanges.IdleTimeout, Warmups: u.RouteChanges.Warmups,
			}
		}
	}
	for _, ch := range targets {
		merged.Changes = append(merged.Changes, ch)
	}
	for addr, r := range routes {
		if r == nil {
			merged.RouteChanges.Removed = append(merged.RouteChanges.Removed, addr)
			continue
		}
		merged.RouteChanges.Updated = append(merged.RouteChanges.Updated, *r)
	}
	return merged, merged.Position.IsKnown()
}

// mergeRouteChanges records the result of changes for each address: its new route, or
// nil if the route was removed.
func mergeRouteChanges(routes map[route.Address]*route.Route, changes route.Changes) {
	for _, r := range changes.Updated {
		routes[r.Address] = &r
	}
	for _, addr := range changes.Removed {
		routes[addr] = nil
	}
}
