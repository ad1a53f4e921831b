package request

import (
	"container/heap"
	"time"
)

// timer is a function that runs once, at the time at.
type timer struct {
	at time.Duration
	// seq orders timers with the same time.
	seq uint64
	run func()
}

// timerQueue is a heap of timers, the earliest first.
type timerQueue []timer

func (q timerQueue) Len() int      { return len(q) }
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q timerQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

// Push adds x, for container/heap.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

// Pop removes the last item, for container/heap.
func (q *timerQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*q = old[:len(old)-1]
	return x
}

// after runs f once, when d has passed.
func (c *Core) after(d time.Duration, f func()) {
	c.lastSeq++
	heap.Push(&c.timers, timer{at: c.now + max(d, 0), seq: c.lastSeq, run: f})
}

// runTimers runs the timers whose time has been reached.
func (c *Core) runTimers() {
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		heap.Pop(&c.timers).(timer).run()
	}
}

// emitWake emits a Wake for the earliest timer if its time differs from the last
// Wake.
func (c *Core) emitWake() {
	if len(c.timers) == 0 || c.timers[0].at == c.wakeAt {
		return
	}
	c.wakeAt = c.timers[0].at
	c.emit(Wake{At: c.wakeAt})
}
