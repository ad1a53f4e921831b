// Package lease decides who holds the lease of a failure domain: an object of
// the platform that is renewed by conditional updates.
//
// # Usage
//
// The core does no input or output. A caller hands it events, with the time of
// a monotonic clock, and carries out the effects:
//
//	l := lease.New(lease.Config{Name: "balancer-1", Life: 7, Term: 6 * time.Second, MaxClockSkew: 300 * time.Millisecond, Seed: 1})
//	for _, effect := range l.Handle(now, lease.Contend{}) {
//		switch e := effect.(type) {
//		case lease.Read: // Get, then Seen or Failed
//		case lease.Watch: // long poll, then Seen, Unchanged or Failed
//		case lease.Write: // conditional update, then Written, Refused or Failed
//		case lease.Acquired: // act with e.Fence
//		case lease.Released: // stop acting
//		case lease.Wake: // Handle(e.At, lease.Tick{})
//		}
//	}
//
// A holder counts its term from the moment before it sent the update, and stops
// MaxClockSkew before the term ends. Everybody else counts from the moment at which the
// update was first seen, and waits MaxClockSkew longer. So two never hold at one time
// while no clock drifts by more than MaxClockSkew over a term. A holder that was paused
// between looking at Holding and acting is stopped by those who act on its word:
// each act carries the fencing number, and a Fence refuses lower ones.
package lease

import (
	"encoding/json"
	"fmt"
	"time"
)

// Bounds of a term.
const (
	MinTerm = 100 * time.Millisecond
	MaxTerm = 5 * time.Minute
)

// Record is the content of the lease object.
type Record struct {
	// Holder names who holds the lease. It is empty if it was given back.
	Holder string `json:"holder"`
	// Life tells apart the runs of a process under the same name.
	Life uint64 `json:"life"`
	// Fence grows by one with each acquisition.
	Fence uint64 `json:"fence"`
	// Renewal grows by one with each update, so that no two are equal.
	Renewal uint64 `json:"renewal"`
	// Term is the term that the holder counts on, in nanoseconds.
	Term time.Duration `json:"term"`
}

// RecordError says that the content of a lease object is wrong.
type RecordError struct {
	Reason string
}

func (e *RecordError) Error() string { return "lease: wrong record: " + e.Reason }

// Path returns the path of the lease object of a failure domain.
func Path(domain string) string { return "lease/" + domain }

// ParseRecord decodes the value of a lease object.
func ParseRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, &RecordError{Reason: err.Error()}
	}
	if r.Fence == 0 {
		return Record{}, &RecordError{Reason: "no fencing number"}
	}
	if r.Term < MinTerm || r.Term > MaxTerm {
		return Record{}, &RecordError{Reason: fmt.Sprintf("term %v", r.Term)}
	}
	return r, nil
}

// Encode returns the value of the lease object.
func (r Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("lease: %v", err)) // no field of a Record can fail
	}
	return b
}
