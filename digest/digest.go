// Package digest hashes the content of values that hosts hold in copies, so that two
// copies can be compared without sending them.
//
// # Usage
//
//	d := digest.New()
//	d.Text(route.Name)
//	d.Duration(route.Timeout)
//	sum := d.Sum()
//
// The hash is the same on all hosts and in all processes. It detects copies that differ
// by mistake; it does not protect against forged content.
package digest

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Digest hashes a sequence of fields. It is not safe for concurrent use.
type Digest struct {
	hash xxhash.Digest
}

// New returns the digest of no fields.
func New() *Digest {
	d := &Digest{}
	d.hash.Reset()
	return d
}

// Number adds a number.
func (d *Digest) Number(n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = d.hash.Write(b[:]) // It never fails.
}

// Text adds a string and its length, so that two strings in a row are unambiguous.
func (d *Digest) Text(s string) {
	d.Number(uint64(len(s)))
	_, _ = d.hash.WriteString(s) // It never fails.
}

// Duration adds a duration in milliseconds, the unit of the messages between hosts.
// Negative durations count as 0.
func (d *Digest) Duration(t time.Duration) {
	d.Number(uint64(max(t, 0) / time.Millisecond))
}

// Sum returns the hash of the fields so far.
func (d *Digest) Sum() uint64 {
	return d.hash.Sum64()
}
