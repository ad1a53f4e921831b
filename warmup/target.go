package warmup

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Target counts the opening packets that this host has sent to one target.
type Target struct {
	hash   uint64
	domain string
	// sentAt are the times of the opening packets, oldest first. It may contain some that are
	// older than window; see expire.
	sentAt []time.Duration
	// part is the result of Core.Part for the lists of partVersion and the limit partLimit.
	part        int
	partVersion uint64
	partLimit   int
}

// NewTarget returns a target without opening packets. domain is its failure domain.
func NewTarget(id, domain string) *Target {
	return &Target{hash: xxhash.Sum64String(id), domain: domain}
}

// RecordOpening records that this host sends an opening packet to the target.
func (t *Target) RecordOpening(now time.Duration) {
	t.expire(now)
	t.sentAt = append(t.sentAt, now)
}

// Used returns the number of opening packets that this host has sent to the target within
// window.
func (t *Target) Used(now time.Duration) int {
	t.expire(now)
	return len(t.sentAt)
}

// LastPart returns the part that Core.Part last computed for this host.
func (t *Target) LastPart() int {
	return t.part
}

// expire removes the times that are older than window.
func (t *Target) expire(now time.Duration) {
	n := 0
	for n < len(t.sentAt) && now-t.sentAt[n] >= window {
		n++
	}
	t.sentAt = slices.Delete(t.sentAt, 0, n)
}
