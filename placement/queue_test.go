package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOverdueRequestsInOverload guards against overdue requests that take a busy target's
// capacity from requests in time while flows of the service are rejected, and against
// overdue requests that starve on a busy target otherwise.
func TestOverdueRequestsInOverload(t *testing.T) {
	const now = time.Second
	f := &flow{}
	f.queued = &queuedRequest{f: f, queuedAt: 0, objectiveDeadline: 40 * time.Millisecond, expiresAt: 2 * time.Second}
	r := requestQueue{overdue: []*queuedRequest{f.queued}}
	for range 20 {
		r.earnCredit()
	}
	qt.Assert(t, r.popNext(now, 100*time.Millisecond, false, true), qt.IsNil)
	qt.Assert(t, r.popNext(now, 100*time.Millisecond, false, false), qt.Equals, f.queued)
}

// TestOverloadIsForgotten guards against a service that counts as overloaded for good, and
// against one that counts as overloaded between two rejections of a burst only.
func TestOverloadIsForgotten(t *testing.T) {
	c := New(Config{})
	c.lastShed["desk"] = shedding{until: time.Second + shedDuration}
	qt.Assert(t, c.isOverloaded(time.Second, "other"), qt.IsFalse)
	qt.Assert(t, c.isOverloaded(1900*time.Millisecond, "desk"), qt.IsTrue)
	qt.Assert(t, c.isOverloaded(2*time.Second, "desk"), qt.IsFalse)
}
