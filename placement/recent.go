package placement

import "time"

// recent counts events of the last while.
type recent struct {
	times []time.Duration
}

// recentMost bounds the events that are remembered.
const recentMost = 64

func (r *recent) add(now time.Duration) {
	if len(r.times) == recentMost {
		copy(r.times, r.times[1:])
		r.times = r.times[:recentMost-1]
	}
	r.times = append(r.times, now)
}

// within counts the events that are no older than span, recentMost at most.
func (r *recent) within(now, span time.Duration) int {
	n := 0
	for i := len(r.times) - 1; i >= 0 && now-r.times[i] <= span; i-- {
		n++
	}
	return n
}
