// Package catalog is what a balancer believes of the outside: the routing table
// and the targets, each with the revision of the platform's store that it comes
// from.
//
// # Usage
//
//	c := catalog.Catalog{}
//	c = c.WithRoutes(table, 41)
//	c = c.WithTargets(targets, 57)
//	c = c.WithChanges(changes, 58)
//
// A Catalog never changes in place and only moves forward: an older revision
// than the one held leaves it as it is, whoever tells it.
package catalog

import (
	"net/netip"
	"time"

	"wisteriaweir/route"
)

// Target is one server behind a service.
type Target struct {
	// ID is the name of the target in the store.
	ID string `json:"id"`
	// InstanceNumber is the number that a datagram names the target by.
	InstanceNumber uint64 `json:"number"`
	// Service is the name of the service that the target runs.
	Service string `json:"service"`
	// Address is the address to which datagrams go.
	Address netip.AddrPort `json:"at"`
	// Domain is the failure domain in which the target runs.
	Domain string `json:"domain"`
	// Slots is the number of requests that the target runs at one time.
	Slots int `json:"slots"`
	// Draining marks a target that gets nothing new and keeps its open flows.
	Draining bool `json:"draining,omitempty"`
	// Warmup is how long the target stays slow, as of the store's entry.
	Warmup time.Duration `json:"warmup,omitempty"`
	// StartedUnixMilli is the start of the target's process in Unix milliseconds.
	StartedUnixMilli int64 `json:"born,omitempty"`
	// Revision is the store's revision of the entry's last change.
	Revision uint64 `json:"revision"`
}

// Change is one change of the targets.
type Change struct {
	// Target is the new state; of a removed one just the ID counts.
	Target  Target `json:"target"`
	Removed bool   `json:"removed,omitempty"`
}

// Catalog is the routing table and the targets at a revision each.
type Catalog struct {
	routes          route.Table
	routesRevision  uint64
	targets         map[string]Target
	targetsRevision uint64
}

// Routes returns the routing table.
func (c Catalog) Routes() route.Table {
	return c.routes
}

// RoutesRevision returns the revision of the routing table, 0 before there is
// one.
func (c Catalog) RoutesRevision() uint64 {
	return c.routesRevision
}

// TargetsRevision returns the revision of the targets, 0 before they are known.
func (c Catalog) TargetsRevision() uint64 {
	return c.targetsRevision
}

// Target returns the target with the given ID.
func (c Catalog) Target(id string) (Target, bool) {
	t, ok := c.targets[id]
	return t, ok
}

// Targets returns the targets by their ID. The map must not be changed.
func (c Catalog) Targets() map[string]Target {
	return c.targets
}

// Complete reports whether flows can be placed: routes and targets are known.
func (c Catalog) Complete() bool {
	return c.routesRevision > 0 && c.targetsRevision > 0
}

// WithRoutes returns c with another routing table, or c itself if its own is as
// new.
func (c Catalog) WithRoutes(t route.Table, revision uint64) Catalog {
	if revision <= c.routesRevision || t.Number() < c.routes.Number() {
		return c
	}
	c.routes, c.routesRevision = t, revision
	return c
}

// WithTargets returns c with all targets replaced, or c itself if its own are as
// new.
func (c Catalog) WithTargets(targets []Target, revision uint64) Catalog {
	if revision <= c.targetsRevision {
		return c
	}
	c.targets = make(map[string]Target, len(targets))
	for _, t := range targets {
		c.targets[t.ID] = t
	}
	c.targetsRevision = revision
	return c
}

// WithChanges returns c with changes applied that lead up to revision, or c
// itself if it is as new.
func (c Catalog) WithChanges(changes []Change, revision uint64) Catalog {
	if revision <= c.targetsRevision {
		return c
	}
	if len(changes) > 0 {
		targets := make(map[string]Target, len(c.targets)+len(changes))
		for id, t := range c.targets {
			targets[id] = t
		}
		for _, ch := range changes {
			apply(targets, ch)
		}
		c.targets = targets
	}
	c.targetsRevision = revision
	return c
}

// Diff returns the changes that lead to targets at a later revision.
func (c Catalog) Diff(targets []Target, revision uint64) []Change {
	var changes []Change
	listed := make(map[string]bool, len(targets))
	for _, t := range targets {
		listed[t.ID] = true
		if c.targets[t.ID] != t {
			changes = append(changes, Change{Target: t})
		}
	}
	for id := range c.targets {
		if !listed[id] {
			changes = append(changes, Change{Target: Target{ID: id, Revision: revision}, Removed: true})
		}
	}
	return changes
}

// apply makes one change, unless it is older than what is held.
func apply(targets map[string]Target, ch Change) {
	if current, ok := targets[ch.Target.ID]; ok && current.Revision > ch.Target.Revision {
		return
	}
	if ch.Removed {
		delete(targets, ch.Target.ID)
		return
	}
	targets[ch.Target.ID] = ch.Target
}
