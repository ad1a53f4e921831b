package reader

import (
	"wisteriaweir/catalog"
	"wisteriaweir/route"
)

// trailMost bounds the changes that are kept for hosts which lack some of them.
const trailMost = 64

// trail keeps the last changes of one kind of content, each leading on from the
// one before.
type trail struct {
	steps []Update
}

// add keeps changes, or starts anew behind a whole content.
func (t *trail) add(n Update) {
	if n.Routes != nil || n.HasAllTargets {
		t.steps = nil
		return
	}
	t.steps = append(t.steps, n)
	if len(t.steps) > trailMost {
		t.steps = t.steps[1:]
	}
}

// since returns the changes that lead on from a revision as one content, and
// whether they are all kept.
func (t *trail) since(revision uint64) (Update, bool) {
	if len(t.steps) == 0 || t.steps[0].BaseRevision > revision {
		return Update{}, false
	}
	sum := Update{BaseRevision: revision}
	routes, targets := map[route.Address]*route.Route{}, map[string]catalog.Change{}
	for _, n := range t.steps {
		if n.Revision <= revision {
			continue
		}
		sum.Revision = n.Revision
		for _, ch := range n.Changes {
			targets[ch.Target.ID] = ch
		}
		if n.RouteChanges != nil {
			addRoutes(routes, *n.RouteChanges)
			sum.RouteChanges = &route.Changes{Number: n.RouteChanges.Number, IdleTimeout: n.RouteChanges.IdleTimeout}
		}
	}
	for _, ch := range targets {
		sum.Changes = append(sum.Changes, ch)
	}
	for at, r := range routes {
		if r == nil {
			sum.RouteChanges.Removed = append(sum.RouteChanges.Removed, at)
			continue
		}
		sum.RouteChanges.Updated = append(sum.RouteChanges.Updated, *r)
	}
	return sum, sum.Revision > 0
}

// addRoutes notes what changes leave of each address: a route, or nothing.
func addRoutes(routes map[route.Address]*route.Route, ch route.Changes) {
	for _, r := range ch.Updated {
		routes[r.Address] = &r
	}
	for _, at := range ch.Removed {
		routes[at] = nil
	}
}
