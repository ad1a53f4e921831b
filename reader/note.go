package reader

import (
	"time"

	"wisteriaweir/catalog"
	"wisteriaweir/evacuation"
	"wisteriaweir/placement"
	"wisteriaweir/route"
)

// Message is a message from one host to another: Hello, Heartbeat, UpdateRequest,
// Update, EvacuationUpdate or Load.
type Message interface {
	isMessage()
}

// Hello announces a host to another one, which replies with a Heartbeat.
type Hello struct{}

// Heartbeat reports the revisions of the sender's catalog and how recently the store
// responded to the sender.
type Heartbeat struct {
	// RoutesRevision is the revision of the routes in the sender's catalog, 0 if it
	// has none.
	RoutesRevision uint64
	// TargetsRevision is the revision of the targets in the sender's catalog, 0 if it
	// has none.
	TargetsRevision uint64
	// EvacuationsRevision is the revision of the evacuations in the sender's catalog, 0
	// if it has none.
	EvacuationsRevision uint64
	// IsReading reports whether the sender is a reader of the store.
	IsReading bool
	// StoreAge is the time since the store last responded to the sender.
	StoreAge time.Duration
}

// UpdateRequest requests everything that is newer than the sender's catalog.
type UpdateRequest struct {
	// RoutesRevision is the revision of the sender's routes, 0 if it has none.
	RoutesRevision uint64
	// TargetsRevision is the revision of the sender's targets, 0 if it has none.
	TargetsRevision uint64
	// EvacuationsRevision is the revision of the sender's evacuations, 0 if it has none.
	EvacuationsRevision uint64
}

// Update is a snapshot or a delta of either the routing table or the targets. A
// snapshot has Routes, or HasAllTargets and Targets; a delta has RouteChanges or
// Changes. An update from the store can instead have Evacuations, a snapshot, or
// EvacuationChanges, a delta; hosts send each other an EvacuationUpdate for these. An update
// from the store without any of these fields means that the store has nothing new.
type Update struct {
	// Revision is the store's revision after the update.
	Revision uint64
	// BaseRevision is the revision that a delta applies to.
	BaseRevision uint64
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
	// Revision is the store's revision of the snapshot.
	Revision uint64
	// Set is the set of all evacuated failure domains.
	Set evacuation.Set
}

// Load reports the load that the sender's flows put on the targets, and the health of
// the targets as the sender observes it.
type Load struct {
	placement.LoadReport
}

func (Hello) isMessage()            {}
func (Heartbeat) isMessage()        {}
func (UpdateRequest) isMessage()    {}
func (Update) isMessage()           {}
func (EvacuationUpdate) isMessage() {}
func (Load) isMessage()             {}
