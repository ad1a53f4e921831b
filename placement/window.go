package placement

import "time"

const (
	// windowPerSlot is the initial and maximum size of a window per slot of the target,
	// in requests.
	windowPerSlot = 5
	// minWindow is the minimum size of a window, in requests.
	minWindow = 1.0
	// refusedFactor is the factor by which a window shrinks after a short response: most
	// likely an error by which the target refuses the request.
	refusedFactor = 0.7
	// slowFactor is the factor by which a window shrinks after a slow response.
	slowFactor = 0.85
	// slowFraction is the fraction of the latency objective above which a response is
	// slow.
	slowFraction = 0.5
	// minShrinkInterval is the minimum time between two reductions of a window, so that
	// all requests that were in progress together count once.
	minShrinkInterval = 50 * time.Millisecond
)

// window limits the requests that this host has in progress on a target. Each response
// in time, that is, neither short nor slow, enlarges it by 1 divided by its size, so
// that it grows by about one request per window of responses. Refusals and slow
// responses shrink it by a factor (additive increase, multiplicative decrease). The
// windows of all hosts together thus approach what the target can serve in time, and
// further requests are queued on the hosts, where they can be ordered.
type window struct {
	// size is the maximum number of requests in progress.
	size float64
	// reducedAt is when the window was last reduced, 0 if never.
	reducedAt time.Duration
}

// newWindow returns a window of the maximum size of a target with the given slots.
func newWindow(slots int) window {
	return window{size: maxWindow(slots)}
}

// maxWindow returns the maximum size of the window of a target with the given slots.
func maxWindow(slots int) float64 {
	return max(float64(slots*windowPerSlot), minWindow)
}

// hasRoom reports whether one more request fits into the window.
func (w *window) hasRoom(busy int) bool {
	return float64(busy) < w.size
}

// grow enlarges the window after a response in time.
func (w *window) grow(slots int) {
	w.size = min(w.size+1/w.size, maxWindow(slots))
}

// shrink reduces the window by a factor after a refusal or a slow response, unless it
// was reduced less than minShrinkInterval ago.
func (w *window) shrink(now time.Duration, factor float64) {
	if w.reducedAt > 0 && now-w.reducedAt < minShrinkInterval {
		return
	}
	w.reducedAt = now
	w.size = max(w.size*factor, minWindow)
}

// isReduced reports whether the window is smaller than its maximum.
func (w *window) isReduced(slots int) bool {
	return w.size < maxWindow(slots)
}
