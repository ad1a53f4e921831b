package reader

import "wisteriaweir/catalog"

// Effect is an action that the caller of a Core must execute: Send, Publish, Ignored
// or Mismatch.
type Effect interface {
	isEffect()
}

// Send is the effect of sending a message to a host.
type Send struct {
	To      Member
	Message Message
}

// Publish is the effect of replacing the catalog that this host uses.
type Publish struct {
	Catalog catalog.Catalog
}

// Ignored is the effect of reporting a response of the store that differs from the
// catalog and was not applied, because the catalog is newer by position or version number.
// It is rare: a response that another reader's update has overtaken, or a store that has
// come back from an older copy.
type Ignored struct {
	// Position is the position of the response.
	Position catalog.Position
	// CatalogPosition is the position of the same part of the catalog.
	CatalogPosition catalog.Position
	// Number is the version number of the routing table in the response, 0 if the response
	// is about targets.
	Number uint64
	// CatalogNumber is the version number of the catalog's routing table.
	CatalogNumber uint64
}

// Mismatch is the effect of reporting a delta of another host that was not applied,
// because it was computed from other content than the catalog's. A snapshot is requested
// instead.
type Mismatch struct {
	// Position is the position after the delta, Base that before it.
	Position, Base catalog.Position
	// IsRoutes reports whether the delta is about the routing table. Otherwise it is about
	// targets.
	IsRoutes bool
}

func (Send) isEffect() {}

func (Publish) isEffect() {}

func (Ignored) isEffect() {}

func (Mismatch) isEffect() {}
