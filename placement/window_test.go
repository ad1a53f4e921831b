package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestWindowBounds holds that a window lets one request through whatever the answers
// were and whatever slots the entry named, and never more than it started with.
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
				t.Fatalf("window of %v, at most %v", w.size, maxSize)
			}
		}
	})
}

// TestWindowShrinksOncePerInterval holds that answers to what was under way at one time
// count once, and that answers in time open the window again.
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
