// Package catalog defines a host's local copy of the routing table, the targets and the
// operator's evacuations, each with the revision of the platform's store that it was read
// at.
//
// # Usage
//
//	c := catalog.Catalog{}
//	c = c.WithRoutes(table, 41)
//	c = c.WithTargets(targets, 57)
//	c = c.WithChanges(changes, 58)
//
// A Catalog is immutable, and the With methods never go back to an older revision: an
// update that is no newer than the catalog has no effect, wherever it comes from.
package catalog

import (
	"net/netip"
	"slices"
	"time"

	"wisteriaweir/evacuation"
	"wisteriaweir/route"
)

// Target is one back end of a service, as listed in the store.
type Target struct {
	// ID is the unique name of the target in the store.
	ID string `json:"id"`
	// InstanceNumber is the number that identifies the target in datagrams.
	InstanceNumber uint64 `json:"number"`
	// Service is the name of the service that the target runs.
	Service string `json:"service"`
	// Address is the address to which datagrams are sent.
	Address netip.AddrPort `json:"at"`
	// Domain is the failure domain in which the target runs.
	Domain string `json:"domain"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int `json:"slots"`
	// Draining reports whether the target is draining: it gets no new flows and keeps
	// its open ones.
	Draining bool `json:"draining,omitempty"`
	// Warmup is how long the target stays slow after the entry's last change.
	Warmup time.Duration `json:"warmup,omitempty"`
	// StartedUnixMilli is the start time of the target's process in milliseconds of Unix
	// time.
	StartedUnixMilli int64 `json:"born,omitempty"`
	// Revision is the store's revision at the entry's last change.
	Revision uint64 `json:"revision"`
}

// Change is the change of one target.
type Change struct {
	// Target is the new state. Of a removed target only ID and Revision are used.
	Target Target `json:"target"`
	// Removed reports whether the target was removed from the store.
	Removed bool `json:"removed,omitempty"`
}

// Catalog is the routing table, the targets and the evacuations, each at its own
// revision. The zero value is empty and does not require evacuations; see
// WithEvacuationsRequired.
type Catalog struct {
	routes          route.Table
	routesRevision  uint64
	targets         map[string]Target
	targetsRevision uint64
	// targetsSum is the sum of the digests of all targets.
	targetsSum          uint64
	evacuations         evacuation.Set
	evacuationsRevision uint64
	// needsEvacuations reports whether the catalog is incomplete without evacuations.
	needsEvacuations bool
}

// Routes returns the routing table.
func (c Catalog) Routes() route.Table {
	return c.routes
}

// RoutesRevision returns the revision of the routing table, 0 before it is known.
func (c Catalog) RoutesRevision() uint64 {
	return c.routesRevision
}

// TargetsRevision returns the revision of the targets, 0 before they are known.
func (c Catalog) TargetsRevision() uint64 {
	return c.targetsRevision
}

// Target returns the target with the given ID, and whether there is one.
func (c Catalog) Target(id string) (Target, bool) {
	t, ok := c.targets[id]
	return t, ok
}

// Targets returns the targets by ID. The map must not be changed.
func (c Catalog) Targets() map[string]Target {
	return c.targets
}

// Evacuations returns the evacuated failure domains.
func (c Catalog) Evacuations() evacuation.Set {
	return c.evacuations
}

// EvacuationsRevision returns the revision of the evacuations, 0 before they are known.
func (c Catalog) EvacuationsRevision() uint64 {
	return c.evacuationsRevision
}

// IsComplete reports whether the routes, the targets and, if they are required, the
// evacuations are known, so that flows can be placed.
func (c Catalog) IsComplete() bool {
	return c.routesRevision > 0 && c.targetsRevision > 0 && (c.evacuationsRevision > 0 || !c.needsEvacuations)
}

// WithEvacuationsRequired returns a copy of c that is incomplete as long as the evacuations
// are unknown.
func (c Catalog) WithEvacuationsRequired() Catalog {
	c.needsEvacuations = true
	return c
}

// WithEvacuations returns c with the evacuated failure domains replaced. It returns c
// unchanged if revision is not newer than that of c's own evacuations.
func (c Catalog) WithEvacuations(s evacuation.Set, revision uint64) Catalog {
	if revision <= c.evacuationsRevision {
		return c
	}
	c.evacuations, c.evacuationsRevision = s, revision
	return c
}

// WithRoutes returns c with the routing table t. It returns c unchanged if revision is
// not newer than that of c's own table, or if the version number of t is lower.
func (c Catalog) WithRoutes(t route.Table, revision uint64) Catalog {
	if revision <= c.routesRevision || t.Number() < c.routes.Number() {
		return c
	}
	c.routes, c.routesRevision = t, revision
	return c
}

// WithTargets returns c with all targets replaced. It returns c unchanged if revision
// is not newer than that of c's own targets.
func (c Catalog) WithTargets(targets []Target, revision uint64) Catalog {
	if revision <= c.targetsRevision {
		return c
	}
	c.targets = make(map[string]Target, len(targets))
	c.targetsSum = 0
	for _, t := range targets {
		c.targetsSum += t.digest() - digestOf(c.targets, t.ID)
		c.targets[t.ID] = t
	}
	c.targetsRevision = revision
	return c
}

// WithChanges returns c with changes applied that lead up to revision. It returns c
// unchanged if revision is not newer than that of c's own targets. Changes that are
// older than the entry they concern are ignored, so changes may be applied twice.
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
			c.targetsSum -= digestOf(targets, ch.Target.ID)
			applyChange(targets, ch)
			c.targetsSum += digestOf(targets, ch.Target.ID)
		}
		c.targets = targets
	}
	c.targetsRevision = revision
	return c
}

// Diff returns the changes from the targets of c to the given ones, which were read at
// the later revision. That revision is set in the changes of removed targets.
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

// Lacks reports whether the content of c differs from any of the given changes.
func (c Catalog) Lacks(changes []Change) bool {
	return slices.ContainsFunc(changes, func(ch Change) bool {
		t, ok := c.targets[ch.Target.ID]
		return ok == ch.Removed || ok && t.digest() != ch.Target.digest()
	})
}

// applyChange applies one change, unless it is older than the current entry.
func applyChange(targets map[string]Target, ch Change) {
	if current, ok := targets[ch.Target.ID]; ok && current.Revision > ch.Target.Revision {
		return
	}
	if ch.Removed {
		delete(targets, ch.Target.ID)
		return
	}
	targets[ch.Target.ID] = ch.Target
}
