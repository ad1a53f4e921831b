package lease

import "time"

// Event is an input of a Lease.
type Event interface{ event() }

// Contend makes the process a candidate for the lease.
type Contend struct{}

// Withdraw ends the candidacy. If the process holds the lease, it keeps and renews it.
type Withdraw struct{}

// Leave ends the candidacy for good and releases the lease, before a shutdown.
type Leave struct{}

// Tick is sent at the time of the last Wake.
type Tick struct{}

// StateRead is the response to a Read or a Watch. Version is 0 if there is no object.
type StateRead struct {
	Version uint64
	Record  Record
}

// Unchanged is sent when a Watch has ended without a newer version.
type Unchanged struct{}

// ReadFailed is sent when a Read or a Watch has failed or returned invalid data.
type ReadFailed struct{}

// Written is sent when a Write has succeeded.
type Written struct {
	// Version is the version of the object after the update.
	Version uint64
}

// WriteConflict is sent when a Write has found another version. It carries that version
// and its record.
type WriteConflict struct {
	Version uint64
	Record  Record
}

// WriteUnknown is sent when the outcome of a Write is unknown.
type WriteUnknown struct{}

func (Contend) event()       {}
func (Withdraw) event()      {}
func (Leave) event()         {}
func (Tick) event()          {}
func (StateRead) event()     {}
func (Unchanged) event()     {}
func (ReadFailed) event()    {}
func (Written) event()       {}
func (WriteConflict) event() {}
func (WriteUnknown) event()  {}

// Effect is an output of a Lease that the caller of Handle executes.
type Effect interface{ effect() }

// Read asks the caller to read the object. The response is StateRead or ReadFailed.
type Read struct{}

// Watch asks the caller to read the object once its version is greater than After. The
// response is StateRead, Unchanged or ReadFailed.
type Watch struct {
	After uint64
}

// Write asks the caller to write the record on the condition that the object has the given
// version, with 0 for no object. The response is Written, WriteConflict or
// WriteUnknown.
type Write struct {
	Version uint64
	Record  Record
}

// Acquired reports that the process holds the lease from now on.
type Acquired struct {
	// Fence is the fencing number under which the process holds the lease.
	Fence uint64
}

// Released reports that the process no longer holds the lease.
type Released struct {
	// Fence is the fencing number under which the process held the lease.
	Fence uint64
}

// Wake asks the caller for a Tick at the time At. It replaces an earlier Wake.
type Wake struct {
	At time.Duration
}

func (Read) effect()     {}
func (Watch) effect()    {}
func (Write) effect()    {}
func (Acquired) effect() {}
func (Released) effect() {}
func (Wake) effect()     {}
