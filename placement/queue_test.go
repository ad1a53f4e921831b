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

// TestReserveIsForUrgentRequests guards against overdue requests that use the places beyond
// the window, which are reserved for urgent ones.
func TestReserveIsForUrgentRequests(t *testing.T) {
	const now = time.Second
	c := New(Config{})
	c.worstPriorities["desk"] = 1
	target := &Target{window: newWindow(2), busy: 2}
	target.Service, target.Slots = "desk", 2
	late, urgent := &flow{}, &flow{}
	late.queued = &queuedRequest{f: late, expiresAt: 2 * time.Second}
	urgent.queued = &queuedRequest{f: urgent, queuedAt: now, objectiveDeadline: now + 50*time.Millisecond, expiresAt: 2 * time.Second}
	target.queue = requestQueue{onTime: []*queuedRequest{urgent.queued}, overdue: []*queuedRequest{late.queued}, overdueCredit: 1}
	qt.Assert(t, c.nextQueued(now, target), qt.Equals, urgent.queued)
	qt.Assert(t, c.nextQueued(now, target), qt.IsNil)
	qt.Assert(t, target.queue.overdue, qt.HasLen, 1)
}
