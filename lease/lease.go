// Package lease decides which process holds the lease of a failure domain. The lease is an
// object of the platform that its holder renews by conditional updates.
//
// # Usage
//
// The package does no input or output. The caller passes events, with the time of a
// monotonic clock, and executes the effects that Handle returns. The result of each call to
// the platform is the next event:
//
//	l := lease.New(lease.Config{
//		Name: "balancer-1", Life: 7, Term: 6 * time.Second, MaxClockSkew: 300 * time.Millisecond, Seed: 1,
//	})
//	for _, effect := range l.Handle(now, lease.Contend{}) {
//		switch e := effect.(type) {
//		case lease.Read: // read the object; pass StateRead or ReadFailed to l.Handle
//		case lease.Watch: // long-poll for a version after e.After; pass StateRead, Unchanged or ReadFailed
//		case lease.Write: // update the object if it has e.Version; pass Written, WriteConflict or WriteUnknown
//		case lease.Acquired: // start acting as the holder, with the fencing number e.Fence
//		case lease.Released: // stop acting as the holder
//		case lease.Wake: // pass Tick at the time e.At
//		}
//	}
//
// A holder counts its term from the time just before it sent the update, and stops
// MaxClockSkew before the term ends, unless it has renewed the lease. Every other process
// counts the term from the time at which it first saw the update, and waits MaxClockSkew
// longer before it acquires the lease. So no two processes hold the lease at one time, as
// long as no clock drifts by more than MaxClockSkew over a term.
//
// A holder may be paused between its call of Holding and the action that follows, so that
// the action comes after one of a later holder. The receivers of actions guard against
// that: each action carries the fencing number, and a Fence refuses numbers that are lower
// than the highest one it has seen.
package lease

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	// MinTerm is the minimum term of a lease.
	MinTerm = 100 * time.Millisecond
	// MaxTerm is the maximum term of a lease.
	MaxTerm = 5 * time.Minute
)

// Record is the content of the lease object.
type Record struct {
	// Holder is the name of the lease holder. It is empty if the lease was released.
	Holder string `json:"holder"`
	// Life identifies the holder's process instance among those of the same name.
	Life uint64 `json:"life"`
	// Fence is the fencing number. It grows by one with each acquisition.
	Fence uint64 `json:"fence"`
	// Renewal grows by one with each update of a process, so that no two of its records
	// are equal.
	Renewal uint64 `json:"renewal"`
	// Term is how long the lease is valid after this update, in nanoseconds. It is the
	// setting of the holder, from MinTerm to MaxTerm.
	Term time.Duration `json:"term"`
}

// RecordError reports invalid content of a lease object.
type RecordError struct {
	Reason string
}

func (e *RecordError) Error() string { return "lease: invalid record: " + e.Reason }

// Path returns the path of the lease object of a failure domain in the platform's store.
func Path(domain string) string { return "lease/" + domain }

// ParseRecord decodes the value of a lease object. It returns a RecordError if the value is
// invalid.
func ParseRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, &RecordError{Reason: err.Error()}
	}
	if r.Fence == 0 {
		return Record{}, &RecordError{Reason: "no fencing number"}
	}
	if r.Term < MinTerm || r.Term > MaxTerm {
		return Record{}, &RecordError{Reason: fmt.Sprintf("term %v is out of range", r.Term)}
	}
	return r, nil
}

// Encode returns the value of the lease object, which ParseRecord decodes.
func (r Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("lease: %v", err)) // every Record can be encoded
	}
	return b
}
