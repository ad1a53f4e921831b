package reader

import (
	"time"

	"wisteriaweir/catalog"
	"wisteriaweir/placement"
	"wisteriaweir/route"
)

// Note is what one host tells another: Hello, Beat, Ask, Content or Load.
type Note interface {
	note()
}

// Hello says that a host has started and wants to hear the others.
type Hello struct{}

// Beat says what a host believes, and how fresh that is.
type Beat struct {
	// Routes and Targets are the revisions of the sender's catalog.
	Routes  uint64
	Targets uint64
	// Reading says that the sender reads the store itself.
	Reading bool
	// Age is the time since the store last answered the sender.
	Age time.Duration
}

// Ask asks for whatever is newer than the revisions that the sender holds.
type Ask struct {
	Routes  uint64
	Targets uint64
}

// Content is a routing table, all targets, or changes of one of them.
type Content struct {
	// Revision is that of the content. Changes lead to it from revision From.
	Revision uint64
	From     uint64
	// Routes is set for a routing table, RouteChanges for changes of it.
	Routes       *route.Table
	RouteChanges *route.Changes
	// Full says that Targets holds all of them; else Changes holds what changed.
	Full    bool
	Targets []catalog.Target
	Changes []catalog.Change
}

// Load says what the sender's flows show of the targets.
type Load struct {
	placement.Load
}

func (Hello) note()   {}
func (Beat) note()    {}
func (Ask) note()     {}
func (Content) note() {}
func (Load) note()    {}
