package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLinkIsFull guards against a link that counts as full under a few packets at once, or
// as free while packets arrive at its speed. The link passes 250 bytes in a millisecond.
func TestLinkIsFull(t *testing.T) {
	l := newLink(2)
	for i := range 20 {
		l.receive(time.Second+time.Duration(i)*50*time.Millisecond, 1232)
		l.receive(time.Second+time.Duration(i)*50*time.Millisecond, 1232)
	}
	qt.Assert(t, l.wasFullSince(0), qt.IsFalse)
	for i := range 40 {
		l.receive(3*time.Second+time.Duration(i)*5*time.Millisecond, 1232)
	}
	qt.Assert(t, l.wasFullSince(3100*time.Millisecond), qt.IsTrue)
	qt.Assert(t, l.wasFullSince(4*time.Second), qt.IsFalse)
}

// TestUnknownLinkIsNeverFull guards against hosts without a known link speed that find no
// target dead.
func TestUnknownLinkIsNeverFull(t *testing.T) {
	l := newLink(0)
	for range 1000 {
		l.receive(time.Second, 1232)
	}
	qt.Assert(t, l.wasFullSince(0), qt.IsFalse)
}
