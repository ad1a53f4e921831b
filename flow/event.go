package flow

import "time"

// Event is an input of an EpochManager.
type Event interface{ event() }

// EpochEvent carries the next epoch. Epochs have to come in order: one whose number
// is not above the newest one's is ignored.
type EpochEvent struct{ Epoch *Epoch }

// BatchEvent carries a batch that was received from another member.
type BatchEvent struct{ Batch Batch }

// CollectedEvent carries the results of a Collect, of all shards together.
type CollectedEvent struct {
	Epoch   uint64
	Step    Step
	Request uint64
	Flows   []CollectedFlow
}

// HandoverEvent carries the results of a CollectHandover, of all shards together.
type HandoverEvent struct {
	Flows []CollectedFlow
}

// PinsEvent carries the pins that Shard.DrainPins returned.
type PinsEvent struct{ Pins []Pin }

// ReachabilityEvent replaces the set of unreachable members, by name, and the set
// of excluded targets, which get no new flows from this member.
type ReachabilityEvent struct {
	Unreachable map[string]bool
	Excluded    map[TargetID]bool
}

// TickEvent is sent every TickInterval and drives batches, resends and timeouts.
type TickEvent struct{}

func (EpochEvent) event()        {}
func (BatchEvent) event()        {}
func (CollectedEvent) event()    {}
func (HandoverEvent) event()     {}
func (PinsEvent) event()         {}
func (ReachabilityEvent) event() {}
func (TickEvent) event()         {}

// Effect is an output of an EpochManager. The process executes effects in order.
type Effect interface{ effect() }

// Publish passes a snapshot to Shard.Apply of every shard.
type Publish struct{ Snapshot *Snapshot }

// Collect calls Shard.Collect on every shard, after the snapshots that were
// published before have been applied. The results go into one CollectedEvent with
// the same Epoch, Step and Request.
type Collect struct {
	Epoch uint64
	Step  Step
	// Request is the number of the Collect. Only the results of the last one perform
	// its step.
	Request uint64
}

// CollectHandover calls Shard.CollectHandover on every shard of a leaving member.
// The results go into one HandoverEvent.
type CollectHandover struct{}

// Learn passes pins that are announced to all members to Shard.Learn of the shards
// that store the flows with their hashes.
type Learn struct{ Pins []Pin }

// LearnUnannounced passes pins that were not announced to all members to
// Shard.LearnUnannounced of the shards that store the flows with their hashes. This
// member does not own them in any of its live epochs; the sender may have others.
type LearnUnannounced struct{ Pins []Pin }

// LearnHandover passes flows of a leaving member to Shard.LearnHandover of the
// shards that store the flows with their hashes.
type LearnHandover struct{ Flows []Pin }

// Send sends a batch to the member named To.
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

// Times and rates of an EpochManager.
const (
	// DefaultBytesPerSecond is the default send rate of batches, in bytes per second.
	DefaultBytesPerSecond = 6912
	// MaxTickGap is the time after a tick for which a member may open flows without
	// a hop. A longer gap between two ticks means that the member was paused.
	MaxTickGap = 2 * time.Second
	// TickInterval is the recommended time between ticks.
	TickInterval = 100 * time.Millisecond

	// burstDuration limits the unused send budget to the bytes that may be sent in
	// this time, or to maxBatchSize if that is more.
	burstDuration = 150 * time.Millisecond
	// resendTimeout is the time without an acknowledgement after which a batch is
	// sent again.
	resendTimeout = time.Second
	// publishInterval is the longest time between two snapshots.
	publishInterval = 500 * time.Millisecond
	// helloInterval is the time between two hellos to a member that has not answered.
	helloInterval = time.Second
	// forceApplyTimeout is the time after which a pending epoch is applied even
	// though the epochs before it have not converged.
	forceApplyTimeout = 30 * time.Second
	// behindTimeout is the time for which a peer has to be at a newer epoch before
	// this member is considered to be behind it.
	behindTimeout = time.Second
	// handoverDelay is the time after which a leaving member hands over its flows to
	// their owners. The fabric has to stop sending it datagrams within that time.
	handoverDelay = 3 * time.Second
)
