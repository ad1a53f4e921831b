package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestWindowBounds guards against a window that blocks a target for good, or that
// exceeds its initial size: both could come from a sequence of refusals, slow responses
// and responses in time, or from an entry that names no slots.
func TestWindowBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 8).Draw(t, "slots")
		w, now := newWindow(slots), time.Duration(0)
		maxSize := w.size
		for range rapid.IntRange(0, 200).Draw(t, "answers") {
			now += time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "answer") {
			case 0:
				w.grow(slots)
			case 1:
				w.shrink(now, refusedFactor)
			default:
				w.shrink(now, slowFactor)
			}
			if !w.hasRoom(0) || w.size > maxSize {
				t.Fatalf("window is %v, want room for a request and at most %v", w.size, maxSize)
			}
		}
	})
}

// TestWindowShrinksOncePerInterval guards against a window that collapses because
// several requests in progress at the same time are refused: only the first of them
// may count. Responses in time must then restore the window.
func TestWindowShrinksOncePerInterval(t *testing.T) {
	w := newWindow(2)
	w.shrink(time.Second, refusedFactor)
	w.shrink(time.Second+minShrinkInterval/2, refusedFactor)
	qt.Assert(t, w.size, qt.Equals, 7.0)
	w.shrink(time.Second+minShrinkInterval, refusedFactor)
	qt.Assert(t, w.size < 5, qt.IsTrue)
	for range 100 {
		w.grow(2)
	}
	qt.Assert(t, w.size, qt.Equals, 10.0)
}
