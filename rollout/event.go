package rollout

import (
	"wisteriaweir/member"
	"wisteriaweir/ticket"
)

// Event is an input of a Core.
type Event interface{ event() }

// Tick reports that TickInterval has passed since the last Tick.
type Tick struct{}

// ViewChanged reports a new view of the members.
type ViewChanged struct {
	View member.View
}

// PeerReleaseReceived reports the release that another member named in a
// heartbeat.
type PeerReleaseReceived struct {
	From   member.Member
	Number uint64
	Digest string
}

// MessageReceived reports a message from the member named From.
type MessageReceived struct {
	From    string
	Message Message
}

// LeaseAcquired reports that this balancer holds the lease of its domain, with the
// fencing number Fence.
type LeaseAcquired struct {
	Fence uint64
}

// LeaseReleased reports that this balancer no longer holds the lease.
type LeaseReleased struct{}

// Fetched reports the release that the platform returned for a Fetch. Its number may
// be too low, because reads of the platform may be stale.
type Fetched struct {
	Release Release
}

// FetchFailed reports that a Fetch failed or found no newer release.
type FetchFailed struct{}

// ReleaseActive reports that the traffic of this balancer follows the release of
// the given number.
type ReleaseActive struct {
	Number uint64
}

func (Tick) event()                {}
func (ViewChanged) event()         {}
func (PeerReleaseReceived) event() {}
func (MessageReceived) event()     {}
func (LeaseAcquired) event()       {}
func (LeaseReleased) event()       {}
func (Fetched) event()             {}
func (FetchFailed) event()         {}
func (ReleaseActive) event()       {}

// Effect is an output of a Core, which its caller has to perform.
type Effect interface{ effect() }

// Send asks the caller to send a message once, without retries.
type Send struct {
	To      member.Member
	Message Message
}

// Apply asks the caller to apply a release to the traffic, and then to pass a
// ReleaseActive to the Core.
type Apply struct {
	Release Release
}

// Fetch asks the caller to watch the platform until the number there is above
// After, and then to pass Fetched or FetchFailed to the Core. It replaces an
// earlier Fetch that is still pending.
type Fetch struct {
	After uint64
}

// WriteStatus asks the caller to write the status of the domain to the platform.
// The numbers in Status are numbers of releases, not of tickets.
type WriteStatus struct {
	Status ticket.Status
}

// DigestMismatch reports that this balancer and the member From have releases
// with the same number and different digests. A Fetch follows: the platform's
// release of that number replaces the current one if their digests differ.
type DigestMismatch struct {
	// Number is the number of both releases.
	Number uint64
	// Own is the digest of the current release of this balancer.
	Own string
	// Other is the digest that the member From has named.
	Other string
	// From is the name of the other member.
	From string
}

// Rejected reports that a release from another member is invalid and was not
// applied, or that the current release of this balancer could not be encoded as a
// Snapshot.
type Rejected struct {
	// Number is the number of the release.
	Number uint64
	// From is the name of the sender, or of this balancer for its own release.
	From string
	// Err is the reason, mostly a *ReleaseError.
	Err error
}

// LeaseSuperseded reports that another balancer holds the lease under the higher
// fencing number Fence.
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

// Message is a message between the cores of two balancers.
type Message interface{ message() }

// LeaderUpdate is sent from the lease holder down the tree.
type LeaderUpdate struct {
	// Holder is the name of the lease holder.
	Holder string
	// Fence is the fencing number of its lease.
	Fence uint64
	// Sequence increases with each LeaderUpdate that the lease holder starts.
	Sequence uint64
	// Number is the number of the sender's current release.
	Number uint64
	// Digest is the digest of the sender's current release.
	Digest string
	// Body is the compressed state of that release, as in Snapshot. Balancers of
	// versions without deltas send it; others leave it empty.
	Body []byte
	// Delta is the difference between the sender's previous release and this one.
	// It is zero if the release did not change or there is no such delta.
	Delta Delta
}

// Report is sent up the tree. It aggregates the sender and all members below it.
type Report struct {
	// MinActiveNumber is the lowest active number of the members in the report, and
	// MaxActiveNumber the highest. The number of a member without an active release is 0.
	MinActiveNumber, MaxActiveNumber uint64
	// MaxActiveCount is the number of members on which MaxActiveNumber is active, and
	// Count the number of all members in the report.
	MaxActiveCount, Count int
	// NameHashSum is the sum of the xxHash values of the members' names, modulo 2^64.
	// By NameHashSum and Count, the lease holder checks that the reports cover every
	// reachable member exactly once.
	NameHashSum uint64
	// Laggards are some of the members whose active number is below MaxActiveNumber,
	// at most 4.
	Laggards []ticket.Laggard
}

// Pull asks the receiver for its release if that is newer than Number.
type Pull struct {
	// Number is the number of the sender's release, 0 for none.
	Number uint64
	// Digest is the digest of the sender's release, so that the reply can be a
	// DeltaReply. If it is empty, the reply is a SnapshotReply.
	Digest string
}

// SnapshotReply answers a Pull with a complete release.
type SnapshotReply struct {
	Snapshot Snapshot
}

// DeltaReply answers a Pull with the delta from the release that the Pull names.
type DeltaReply struct {
	Delta Delta
}

func (LeaderUpdate) message()  {}
func (Report) message()        {}
func (Pull) message()          {}
func (SnapshotReply) message() {}

func (DeltaReply) message() {}
