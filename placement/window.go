package placement

import "time"

const (
	// windowPerSlot is the maximum size of a window per slot of the target, in requests.
	windowPerSlot = 3
	// initialWindowPerSlot is the initial size of a window per slot of the target, in
	// requests.
	initialWindowPerSlot = 1
	// minWindow is the minimum size of a window, in requests.
	minWindow = 1.0
	// refusedFactor is the factor by which a window shrinks after a short response: most
	// likely an error by which the target refuses the request.
	refusedFactor = 0.7
	// minSlowFactor is the least factor by which a window shrinks after a slow response.
	minSlowFactor = 0.5
	// slowFraction is the fraction of the latency objective above which a response is
	// slow. The rest is for the time in the queue of the host and for the network.
	slowFraction = 0.5
	// minShrinkInterval is the minimum time between two reductions of a window, so that
	// all requests that were in progress together count once.
	minShrinkInterval = 50 * time.Millisecond
	// reductionMemory is the time for which a reduction shows what the target can serve.
	reductionMemory = time.Second
)

// window limits the requests that this host has in progress on a target. It is meant for
// a load above what the targets can serve, sent by many hosts that do not know each
// other's part of it. Each response moves the size towards the one at which responses
// take the slow threshold: a slower one shrinks the window in proportion, a quicker one
// enlarges it by the more, the quicker it is. Refusals shrink it, too. The windows of all
// hosts together thus approach what the target can serve in time, and further requests
// are queued on the hosts, where they can be ordered.
//
// A window that is not in use does not grow. Otherwise all hosts would have large windows
// when a burst begins, and would send far more than the target can queue.
type window struct {
	// size is the maximum number of requests in progress for a target of speed 1.
	size float64
	// speed is the relative speed of the target, 0 if it is not estimated; see scale.
	speed float64
	// reducedAt is when the window was last reduced, 0 if never.
	reducedAt time.Duration
}

// newWindow returns a window of the initial size of a target with the given slots.
func newWindow(slots int) window {
	return window{size: max(float64(slots*initialWindowPerSlot), minWindow)}
}

// maxWindow returns the maximum size of the window of a target with the given slots.
func maxWindow(slots int) float64 {
	return max(float64(slots*windowPerSlot), minWindow)
}

// slowThreshold returns the response time above which a response is slow for a caller
// with the given latency objective.
func slowThreshold(objective time.Duration) time.Duration {
	return time.Duration(slowFraction * float64(objective))
}

// hasRoom reports whether one more request fits into the window, if busy requests are
// in progress.
func (w *window) hasRoom(busy int) bool {
	return float64(busy) < w.scaledSize()
}

// recordResponse adapts the window to a response after latency that is no refusal, for
// one of busy requests in progress.
func (w *window) recordResponse(now, latency, threshold time.Duration, slots, busy int) {
	ratio := float64(latency) / float64(threshold)
	switch {
	case ratio > 1:
		w.shrink(now, max(1/ratio, minSlowFactor))
	case w.isInUse(busy):
		w.size = min(w.size+(1-ratio)/w.size, maxWindow(slots))
	}
}

// isInUse reports whether at least half of the window is used.
func (w *window) isInUse(busy int) bool {
	return float64(busy) >= w.size/2
}

// shrink reduces the window by a factor, unless it was reduced less than
// minShrinkInterval ago.
func (w *window) shrink(now time.Duration, factor float64) {
	if w.reducedAt > 0 && now-w.reducedAt < minShrinkInterval {
		return
	}
	w.reducedAt = now
	w.size = max(w.size*factor, minWindow)
}

// isProven reports whether the size is the limit of the target as responses have shown it:
// one within reductionMemory was slow or a refusal. Otherwise the window may be small only
// because it was not used.
func (w *window) isProven(now time.Duration) bool {
	return w.reducedAt > 0 && now-w.reducedAt < reductionMemory
}

// limit returns the scaled size if it is proven, otherwise the scaled maximum size.
func (w *window) limit(now time.Duration, slots int) float64 {
	if w.isProven(now) {
		return w.scaledSize()
	}
	return max(maxWindow(slots)*w.scale(), minWindow)
}

// scale returns the factor of the size: the relative speed of a slow target, 1 for others.
// The queue of a faster target is no longer than that of others, so that a larger window for
// it would only add refusals in a burst. See docs/design/speed.md.
func (w *window) scale() float64 {
	if w.speed == 0 {
		return 1
	}
	return min(w.speed, 1)
}

// scaledSize returns the maximum number of requests in progress.
func (w *window) scaledSize() float64 {
	return max(w.size*w.scale(), minWindow)
}
