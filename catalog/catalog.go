// Package catalog defines a host's local copy of the routing table, the targets and the
// operator's evacuations, each with the position in the platform's store that it was read
// at.
//
// # Usage
//
//	c := catalog.Catalog{}
//	c = c.WithRoutes(table, catalog.Position{Era: 1, Revision: 41})
//	c = c.WithTargets(targets, catalog.Position{Era: 1, Revision: 57})
//	c = c.WithChanges(changes, catalog.Position{Era: 1, Revision: 58})
//
// A Catalog is immutable, and the With methods never go back to an older position: an
// update that is no newer than the catalog has no effect, wherever it comes from. Routing
// tables of different eras are ordered by the version number that the operator gave them,
// as the store may come back from a copy with an older table.
package catalog

import (
	"maps"
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
	// Position is the store's position at the entry's last change.
	Position Position `json:"position"`
}

// Change is the change of one target.
type Change struct {
	// Target is the new state. Of a removed target only ID and Position are used.
	Target Target `json:"target"`
	// Removed reports whether the target was removed from the store, or has an invalid
	// entry there.
	Removed bool `json:"removed,omitempty"`
	// Invalid reports whether the target has an entry, but an invalid one. Removed is then
	// set as well.
	Invalid bool `json:"invalid,omitempty"`
}

// InvalidEntry is an entry of a target that cannot be used, as another program has written it.
// The target gets no new flows, but it may run: its open flows stay, and it writes its own
// entry again with its next heartbeat.
type InvalidEntry struct {
	// ID is the unique name of the target in the store.
	ID string
	// Position is the store's position at the entry's last change.
	Position Position
}

// Catalog is the routing table, the targets and the evacuations, each at its own
// position. The zero value is empty and does not require evacuations; see
// WithEvacuationsRequired.
type Catalog struct {
	routes          route.Table
	routesPosition  Position
	targets         map[string]Target
	targetsPosition Position
	// invalid holds the position of the last change of each invalid entry by the ID of the
	// target, which is not in targets.
	invalid map[string]Position
	// targetsSum is the sum of the digests of all targets.
	targetsSum          uint64
	evacuations         evacuation.Set
	evacuationsPosition Position
	// needsEvacuations reports whether the catalog is incomplete without evacuations.
	needsEvacuations bool
}

// Routes returns the routing table.
func (c Catalog) Routes() route.Table {
	return c.routes
}

// RoutesPosition returns the position of the routing table, the zero value before it is
// known.
func (c Catalog) RoutesPosition() Position {
	return c.routesPosition
}

// TargetsPosition returns the position of the targets, the zero value before they are
// known.
func (c Catalog) TargetsPosition() Position {
	return c.targetsPosition
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

// HasInvalidEntry reports whether the store has an invalid entry of a target.
func (c Catalog) HasInvalidEntry(id string) bool {
	_, ok := c.invalid[id]
	return ok
}

// InvalidEntries returns the invalid entries, in no particular order.
func (c Catalog) InvalidEntries() []InvalidEntry {
	var entries []InvalidEntry
	for id, position := range c.invalid {
		entries = append(entries, InvalidEntry{ID: id, Position: position})
	}
	return entries
}

// Evacuations returns the evacuated failure domains.
func (c Catalog) Evacuations() evacuation.Set {
	return c.evacuations
}

// EvacuationsPosition returns the position of the evacuations, the zero value before they
// are known.
func (c Catalog) EvacuationsPosition() Position {
	return c.evacuationsPosition
}

// IsComplete reports whether the routes, the targets and, if they are required, the
// evacuations are known, so that flows can be placed.
func (c Catalog) IsComplete() bool {
	return c.routesPosition.IsKnown() && c.targetsPosition.IsKnown() && (c.evacuationsPosition.IsKnown() || !c.needsEvacuations)
}

// WithEvacuationsRequired returns a copy of c that is incomplete as long as the evacuations
// are unknown.
func (c Catalog) WithEvacuationsRequired() Catalog {
	c.needsEvacuations = true
	return c
}

// WithEvacuations returns c with the evacuated failure domains replaced. It returns c
// unchanged if position is not later than that of c's own evacuations.
func (c Catalog) WithEvacuations(s evacuation.Set, position Position) Catalog {
	if !position.After(c.evacuationsPosition) {
		return c
	}
	c.evacuations, c.evacuationsPosition = s, position
	return c
}

// WithAddedEvacuations returns c with more evacuated failure domains, at the same position.
func (c Catalog) WithAddedEvacuations(s evacuation.Set) Catalog {
	for _, domain := range s.Domains() {
		c.evacuations = c.evacuations.With(domain)
	}
	return c
}

// WithRoutes returns c with the routing table t. It returns c unchanged if t is not newer
// than c's own table.
func (c Catalog) WithRoutes(t route.Table, position Position) Catalog {
	if !c.isNewerTable(t.Number(), position) {
		return c
	}
	c.routes, c.routesPosition = t, position
	return c
}

// isNewerTable reports whether a routing table with the given version number, read at
// position, is newer than c's own. A table with a lower version number never is. The copy
// that an era begins with may contain an older table, so between eras the version number
// decides before the position.
func (c Catalog) isNewerTable(number uint64, position Position) bool {
	if position.Era != c.routesPosition.Era && number != c.routes.Number() {
		return number > c.routes.Number()
	}
	return number >= c.routes.Number() && position.After(c.routesPosition)
}

// WithTargets returns c with all targets replaced, and with invalid as its invalid entries. It
// returns c unchanged if position is not later than that of c's own targets. An entry of c stays
// if it is later than the given one, or than position if none is given: c may contain later
// changes than its own position says, as a list does whose pages show different states of the
// store.
func (c Catalog) WithTargets(targets []Target, position Position, invalid ...InvalidEntry) Catalog {
	if !position.After(c.targetsPosition) {
		return c
	}
	previous := c.targets
	c.targets = make(map[string]Target, len(targets))
	for id, t := range previous {
		if t.Position.After(position) {
			c.targets[id] = t
		}
	}
	for _, t := range targets {
		if known, ok := previous[t.ID]; ok && known.Position.After(t.Position) {
			t = known
		}
		c.targets[t.ID] = t
	}
	c.invalid = make(map[string]Position, len(invalid))
	for _, e := range invalid {
		if _, ok := c.targets[e.ID]; !ok {
			c.invalid[e.ID] = e.Position
		}
	}
	c.targetsSum = 0
	for _, t := range c.targets {
		c.targetsSum += t.digest()
	}
	c.targetsPosition = position
	return c
}

// WithChanges returns c with changes applied that lead up to position. It returns c
// unchanged if position is not later than that of c's own targets. Changes that are
// older than the entry they concern are ignored, so changes may be applied twice.
func (c Catalog) WithChanges(changes []Change, position Position) Catalog {
	if !position.After(c.targetsPosition) {
		return c
	}
	if len(changes) > 0 {
		c.targets, c.invalid = maps.Clone(c.targets), maps.Clone(c.invalid)
		for _, ch := range changes {
			c.targetsSum -= digestOf(c.targets, ch.Target.ID)
			c.applyChange(ch)
			c.targetsSum += digestOf(c.targets, ch.Target.ID)
		}
	}
	c.targetsPosition = position
	return c
}

// Diff returns the changes from the targets of c to the given ones and to the given invalid
// entries, which were read at the later position. That position is set in the changes of removed
// targets. Entries that only have another era are equal.
func (c Catalog) Diff(targets []Target, position Position, invalid ...InvalidEntry) []Change {
	var changes []Change
	listed := make(map[string]bool, len(targets)+len(invalid))
	for _, t := range targets {
		listed[t.ID] = true
		if !c.targets[t.ID].Equal(t) {
			changes = append(changes, Change{Target: t})
		}
	}
	for _, e := range invalid {
		listed[e.ID] = true
		if !c.HasInvalidEntry(e.ID) {
			changes = append(changes, e.change())
		}
	}
	for id := range c.targets {
		if !listed[id] {
			changes = append(changes, Change{Target: Target{ID: id, Position: position}, Removed: true})
		}
	}
	for id := range c.invalid {
		if !listed[id] {
			changes = append(changes, Change{Target: Target{ID: id, Position: position}, Removed: true})
		}
	}
	return changes
}

// change returns the change that leads to the entry.
func (e InvalidEntry) change() Change {
	return Change{Target: Target{ID: e.ID, Position: e.Position}, Removed: true, Invalid: true}
}

// Equal reports whether two entries of a target are equal. The revisions count only within
// one era, as a copy of the store keeps those of the entries in it.
func (t Target) Equal(o Target) bool {
	if t.Position.Era != o.Position.Era {
		o.Position = t.Position
	}
	return t == o
}

// Lacks reports whether the content of c differs from any of the given changes.
func (c Catalog) Lacks(changes []Change) bool {
	return slices.ContainsFunc(changes, func(ch Change) bool {
		t, ok := c.targets[ch.Target.ID]
		return ok == ch.Removed || ok && t.digest() != ch.Target.digest()
	})
}

// applyChange applies one change to the maps of c, unless it is older than the current entry.
func (c *Catalog) applyChange(ch Change) {
	id := ch.Target.ID
	if current, ok := c.targets[id]; ok && current.Position.After(ch.Target.Position) {
		return
	}
	if current, ok := c.invalid[id]; ok && current.After(ch.Target.Position) {
		return
	}
	delete(c.targets, id)
	delete(c.invalid, id)
	switch {
	case !ch.Removed:
		if c.targets == nil {
			c.targets = map[string]Target{}
		}
		c.targets[id] = ch.Target
	case ch.Invalid:
		if c.invalid == nil {
			c.invalid = map[string]Position{}
		}
		c.invalid[id] = ch.Target.Position
	}
}
