package flow

import "time"

// Event is what an EpochManager handles.
type Event interface{ event() }

// EpochEvent brings the next epoch. Epochs are given in order; one that is not
// newer than the newest is ignored.
type EpochEvent struct{ Epoch *Epoch }

// BatchEvent brings a batch of another member.
type BatchEvent struct{ Batch Batch }

// CollectedEvent brings the results of a Collect of all shards together.
type CollectedEvent struct {
	Epoch uint64
	Step  Step
	Flows []CollectedFlow
}

// HandoverEvent brings the results of a CollectHandover of all shards together.
type HandoverEvent struct {
	Flows []CollectedFlow
}

// PinsEvent brings what Shard.DrainPins returned.
type PinsEvent struct{ Pins []Pin }

// ReachabilityEvent replaces the sets of members (by name) that cannot be reached and
// of targets that get nothing new from this member.
type ReachabilityEvent struct {
	Unreachable map[string]bool
	Excluded    map[TargetID]bool
}

// TickEvent lets time pass.
type TickEvent struct{}

func (EpochEvent) event()        {}
func (BatchEvent) event()        {}
func (CollectedEvent) event()    {}
func (HandoverEvent) event()     {}
func (PinsEvent) event()         {}
func (ReachabilityEvent) event() {}
func (TickEvent) event()         {}

// Effect is what the process carries out, in order.
type Effect interface{ effect() }

// Publish gives a snapshot to every shard.
type Publish struct{ Snapshot *Snapshot }

// Collect asks every shard for its deviating flows, after the snapshots that
// were published before.
type Collect struct {
	Epoch uint64
	Step  Step
}

// CollectHandover asks every shard of a leaving member for all its flows.
type CollectHandover struct{}

// Learn gives pins that all members are told to the shards that own their
// hashes.
type Learn struct{ Pins []Pin }

// LearnUnannounced gives pins that only this member was told to the shards that own
// their hashes: the sender counts this member, or another one, as their home, and
// this member does not yet.
type LearnUnannounced struct{ Pins []Pin }

// LearnHandover gives flows of a leaving member to the shards that own their
// hashes.
type LearnHandover struct{ Flows []Pin }

// Send sends a batch to a member.
type Send struct {
	To    string
	Batch Batch
}

func (Publish) effect()          {}
func (Collect) effect()          {}
func (Learn) effect()            {}
func (LearnUnannounced) effect() {}
func (LearnHandover) effect()    {}
func (CollectHandover) effect()  {}
func (Send) effect()             {}

// Times and rates of an EpochManager. The fabric has to stop giving datagrams to a
// leaving member within handoverLag; what the member held then goes to the
// homes of the flows.
const (
	// DefaultBytesPerSecond is the budget of sent batches.
	DefaultBytesPerSecond = 6912
	// MaxTickGap is the time for which a member may open flows by itself after a
	// tick; a gap of that length between ticks means that it was paused.
	MaxTickGap = 2 * time.Second
	// TickInterval is the recommended time between ticks.
	TickInterval = 100 * time.Millisecond

	burstTime    = 150 * time.Millisecond
	resendAfter  = time.Second
	publishEvery = 500 * time.Millisecond
	helloEvery   = time.Second
	forceAfter   = 30 * time.Second
	passedAfter  = time.Second
	handoverLag  = 3 * time.Second
)
