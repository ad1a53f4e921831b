package reader

import (
	"time"

	"wisteriaweir/catalog"
	"wisteriaweir/evacuation"
	"wisteriaweir/placement"
	"wisteriaweir/route"
)

// Message is a message from one host to another: Hello, Heartbeat, UpdateRequest,
// Update, EvacuationUpdate, Load, Lookup or Found.
type Message interface {
	isMessage()
}

// Hello announces a host to another one, which replies with a Heartbeat.
type Hello struct{}

// Positions are the positions of the parts of a host's catalog. The position of a part that
// the host does not have is the zero value.
type Positions struct {
	// RoutesNumber is the version number of the routing table. It is 0 if the host has none,
	// or is of a release that does not send it.
	RoutesNumber uint64
	// Routes is the position of the routing table.
	Routes catalog.Position
	// Targets is the position of the targets.
	Targets catalog.Position
	// Evacuations is the position of the evacuations.
	Evacuations catalog.Position
}

// Heartbeat reports the positions of the sender's catalog and how recently the store
// responded to the sender.
type Heartbeat struct {
	// Positions are those of the sender's catalog.
	Positions
	// IsReading reports whether the sender is a reader of the store.
	IsReading bool
	// StoreAge is the time since the store last responded to the sender.
	StoreAge time.Duration
	// Uptime is the time since the start of the sender's process, 0 if it is of a release that
	// does not send it.
	Uptime time.Duration
}

// UpdateRequest requests everything that is newer than the sender's catalog.
type UpdateRequest struct {
	// Positions are those of the sender's catalog. A part without a position is requested
	// as a snapshot.
	Positions
}

// Update is a snapshot or a delta of either the routing table or the targets. A
// snapshot has Routes, or HasAllTargets and Targets; a delta has RouteChanges or
// Changes. An update from the store can instead have Evacuations, a snapshot, or
// EvacuationChanges, a delta; hosts send each other an EvacuationUpdate for these. An update
// from the store without any of these fields means that the store has nothing new.
type Update struct {
	// Position is the store's position after the update.
	Position catalog.Position
	// Base is the position that a delta starts from.
	Base catalog.Position
	// Digest is the digest of the whole routing table, or of all targets, after a delta. A
	// delta whose result has another digest was computed from other content than the
	// receiver has. 0 means that it is not known.
	Digest uint64
	// Routes is the snapshot of the routing table.
	Routes *route.Table
	// RouteChanges is a delta of the routing table.
	RouteChanges *route.Changes
	// HasAllTargets reports whether Targets is a snapshot of all targets. Otherwise
	// Changes is a delta.
	HasAllTargets bool
	// Targets are all targets, if HasAllTargets is set.
	Targets []catalog.Target
	// InvalidEntries are all invalid entries of targets, if HasAllTargets is set.
	InvalidEntries []catalog.InvalidEntry
	// Changes is a delta of the targets: those that were added, changed or removed.
	Changes []catalog.Change
	// Evacuations is the snapshot of the evacuated failure domains.
	Evacuations *evacuation.Set
	// EvacuationChanges is a delta of the evacuated failure domains.
	EvacuationChanges []evacuation.Change
}

// EvacuationUpdate is a snapshot of the evacuated failure domains. It is a message of its
// own, because a host of an earlier release would take an Update without routes for a
// delta of the targets.
type EvacuationUpdate struct {
	// Position is the store's position of the snapshot.
	Position catalog.Position
	// Set is the set of all evacuated failure domains.
	Set evacuation.Set
}

// Load reports the load that the sender's flows put on the targets, and the health of
// the targets as the sender observes it.
type Load struct {
	placement.LoadReport
}

// Lookup asks for the targets with the given stamps, which packets of open flows carry. The
// sender lacks them: they were removed from the catalog before it started.
type Lookup struct {
	Stamps []uint32
}

// Found is the reply to a Lookup, with the targets that the sender knows.
type Found struct {
	Targets []placement.FoundTarget
}

func (Hello) isMessage()            {}
func (Heartbeat) isMessage()        {}
func (UpdateRequest) isMessage()    {}
func (Update) isMessage()           {}
func (EvacuationUpdate) isMessage() {}
func (Load) isMessage()             {}
func (Lookup) isMessage()           {}
func (Found) isMessage()            {}
