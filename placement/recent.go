package placement

import "time"

// eventWindow stores the times of the newest events of one kind.
type eventWindow struct {
	times []time.Duration
}

// maxRecentEvents is the maximum number of events that are stored.
const maxRecentEvents = 64

// add records an event. Only the newest maxRecentEvents are stored.
func (w *eventWindow) add(now time.Duration) {
	if len(w.times) == maxRecentEvents {
		copy(w.times, w.times[1:])
		w.times = w.times[:maxRecentEvents-1]
	}
	w.times = append(w.times, now)
}

// countWithin returns the number of events that are no older than window. The
// result is at most maxRecentEvents.
func (w *eventWindow) countWithin(now, window time.Duration) int {
	n := 0
	for i := len(w.times) - 1; i >= 0 && now-w.times[i] <= window; i-- {
		n++
	}
	return n
}
