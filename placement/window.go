package placement

import "time"

const (
	// A window is the number of requests that this host has in progress on a target.
	// It starts and ends at windowSlots for each slot, and is at least windowLeast.
	windowSlots = 5
	windowLeast = 1.0
	// windowRefused and windowSlow are what is left of a window after a refusal, and
	// after an answer that took more than slowShare of the objective. It shrinks once
	// in windowPause at most, so that all that was under way counts once.
	windowRefused = 0.7
	windowSlow    = 0.85
	slowShare     = 0.5
	windowPause   = 50 * time.Millisecond
)

// window bounds the requests in progress on a target by what its answers show: it
// grows by one for each window of answers in time, and shrinks with refusals and
// slow answers. So the windows of all hosts come to what the target can serve in
// time, and the rest waits here, where it can be ordered.
type window struct {
	size     float64
	shrunkAt time.Duration
}

func newWindow(slots int) window {
	return window{size: windowMost(slots)}
}

// windowMost returns the largest window of a target.
func windowMost(slots int) float64 {
	return max(float64(slots*windowSlots), windowLeast)
}

// open reports whether one request more fits.
func (w *window) open(busy int) bool {
	return float64(busy) < w.size
}

// grow takes in an answer in time.
func (w *window) grow(slots int) {
	w.size = min(w.size+1/w.size, windowMost(slots))
}

// shrink takes in a refusal or a slow answer.
func (w *window) shrink(now time.Duration, part float64) {
	if w.shrunkAt > 0 && now-w.shrunkAt < windowPause {
		return
	}
	w.shrunkAt = now
	w.size = max(w.size*part, windowLeast)
}

// shrunk reports whether the window is smaller than it can be.
func (w *window) shrunk(slots int) bool {
	return w.size < windowMost(slots)
}
