package measure

import (
	"container/heap"
	"time"
)

// Timeline is a discrete-event scheduler in virtual time. It runs functions in the
// order of their due times; functions that are due at the same time run in the order
// in which they were added. The zero value is ready to use.
type Timeline struct {
	now   time.Duration
	order uint64
	queue timelineQueue
}

// Now returns the virtual time since the start of the run.
func (t *Timeline) Now() time.Duration {
	return t.now
}

// After schedules f to run d after the current virtual time; a negative d counts as
// 0.
func (t *Timeline) After(d time.Duration, f func()) {
	t.order++
	heap.Push(&t.queue, timelineItem{at: t.now + max(d, 0), order: t.order, run: f})
}

// RunUntil runs all functions that are due up to and including the virtual time end,
// then sets the virtual time to end.
func (t *Timeline) RunUntil(end time.Duration) {
	for len(t.queue) > 0 && t.queue[0].at <= end {
		item := heap.Pop(&t.queue).(timelineItem)
		t.now = item.at
		item.run()
	}
	t.now = end
}

// timelineItem is a function with its due time; order is the number of the call to
// After.
type timelineItem struct {
	at    time.Duration
	order uint64
	run   func()
}

// timelineQueue is a heap of items, sorted by due time and then by order.
type timelineQueue []timelineItem

func (q timelineQueue) Len() int      { return len(q) }
func (q timelineQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q timelineQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

// Push implements heap.Interface.
func (q *timelineQueue) Push(x any) { *q = append(*q, x.(timelineItem)) }

// Pop implements heap.Interface.
func (q *timelineQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}
