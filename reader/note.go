package reader

import (
	"time"

	"wisteriaweir/catalog"
	"wisteriaweir/placement"
	"wisteriaweir/route"
)

// Message is what one host tells another: Hello, Heartbeat, UpdateRequest, Update or Load.
type Message interface {
	note()
}

// Hello says that a host has started and wants to hear the others.
type Hello struct{}

// Heartbeat says what a host believes, and how fresh that is.
type Heartbeat struct {
	// RoutesRevision and TargetsRevision are the revisions of the sender's catalog.
	RoutesRevision  uint64
	TargetsRevision uint64
	// IsReading says that the sender reads the store itself.
	IsReading bool
	// StoreAge is the time since the store last answered the sender.
	StoreAge time.Duration
}

// UpdateRequest asks for whatever is newer than the revisions that the sender holds.
type UpdateRequest struct {
	RoutesRevision  uint64
	TargetsRevision uint64
}

// Update is a routing table, all targets, or changes of one of them.
type Update struct {
	// Revision is that of the content. Changes lead to it from revision BaseRevision.
	Revision     uint64
	BaseRevision uint64
	// Routes is set for a routing table, RouteChanges for changes of it.
	Routes       *route.Table
	RouteChanges *route.Changes
	// HasAllTargets says that Targets holds all of them; else Changes holds what changed.
	HasAllTargets bool
	Targets       []catalog.Target
	Changes       []catalog.Change
}

// Load says what the sender's flows show of the targets.
type Load struct {
	placement.Load
}

func (Hello) note()         {}
func (Heartbeat) note()     {}
func (UpdateRequest) note() {}
func (Update) note()        {}
func (Load) note()          {}
