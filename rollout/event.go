package rollout

import (
	"wisteriaweir/member"
	"wisteriaweir/ticket"
)

// Event is something that happened to a Core.
type Event interface{ event() }

// Tick says that TickInterval has passed since the last one.
type Tick struct{}

// ViewChanged is a new view of the members.
type ViewChanged struct {
	View member.View
}

// PeerConfigReceived is the configuration that another member named in a heartbeat.
type PeerConfigReceived struct {
	From   member.Member
	Number uint64
	Digest string
}

// Received is a message of the member called From.
type Received struct {
	From    string
	Message Message
}

// Acquired says that this balancer holds the lease of its domain.
type Acquired struct {
	Fence uint64
}

// Released says that this balancer holds the lease no longer.
type Released struct{}

// Fetched is the answer of the platform to a Fetch. It may be stale.
type Fetched struct {
	Release Release
}

// FetchFailed says that a Fetch had no answer or nothing new.
type FetchFailed struct{}

// ReleaseActive says that this balancer's traffic follows a configuration.
type ReleaseActive struct {
	Number uint64
}

func (Tick) event()               {}
func (ViewChanged) event()        {}
func (PeerConfigReceived) event() {}
func (Received) event()           {}
func (Acquired) event()           {}
func (Released) event()           {}
func (Fetched) event()            {}
func (FetchFailed) event()        {}
func (ReleaseActive) event()      {}

// Effect is something that the owner of a Core has to do.
type Effect interface{ effect() }

// Send asks to deliver a message once, without a repeat.
type Send struct {
	To      member.Member
	Message Message
}

// Apply asks to put a release in force, and to answer with ReleaseActive.
type Apply struct {
	Release Release
}

// Fetch asks to watch the platform's head until its number is above After, and
// to answer with Fetched or FetchFailed. It replaces an earlier Fetch that has no
// answer yet.
type Fetch struct {
	After uint64
}

// WriteStatus asks to write the status of the domain.
type WriteStatus struct {
	Status ticket.Status
}

// DigestMismatch reports two contents under one number. The platform is asked.
type DigestMismatch struct {
	Number uint64
	Own    string
	Other  string
	From   string
}

// Rejected reports a release that is not whole.
type Rejected struct {
	Number uint64
	From   string
	Err    error
}

// LeaseSuperseded says that somebody else holds the lease under a higher fencing number.
type LeaseSuperseded struct {
	Fence uint64
}

func (Send) effect()            {}
func (Apply) effect()           {}
func (Fetch) effect()           {}
func (WriteStatus) effect()     {}
func (DigestMismatch) effect()  {}
func (Rejected) effect()        {}
func (LeaseSuperseded) effect() {}

// Message is what the cores of two balancers tell each other.
type Message interface{ message() }

// LeaderUpdate goes from the holder of the lease down the tree.
type LeaderUpdate struct {
	Holder string
	Fence  uint64
	// Sequence grows with each LeaderUpdate that the holder starts.
	Sequence uint64
	// Number and Digest name the sender's configuration.
	Number uint64
	Digest string
	// Body is that configuration as a whole. Balancers that know no deltas send
	// it; others leave it empty.
	Body []byte
	// Delta leads from the configuration that the sender held before to this one.
	Delta Delta
}

// Report goes up the tree and sums up the sender and all below it.
type Report struct {
	// MinActive is the lowest number in force, MaxActive the highest, 0 for none.
	MinActive, MaxActive uint64
	// MaxActiveCount of Count members follow MaxActive.
	MaxActiveCount, Count int
	// NameHashSum is the sum of the hashes of the members' names.
	NameHashSum uint64
	// Laggards are some of the members below MaxActive.
	Laggards []ticket.Laggard
}

// Pull asks for whatever is newer than Number.
type Pull struct {
	Number uint64
	// Digest names the content at Number, for an answer that holds only what
	// changed since. Without it the answer is a whole.
	Digest string
}

// SnapshotReply answers a Pull with a whole release.
type SnapshotReply struct {
	Snapshot Snapshot
}

// DeltaReply answers a Pull with what changed.
type DeltaReply struct {
	Delta Delta
}

func (LeaderUpdate) message()  {}
func (Report) message()        {}
func (Pull) message()          {}
func (SnapshotReply) message() {}

func (DeltaReply) message() {}
