package monitor_test

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/monitor"
)

// TestNonBlockingWriterStuck guards against a log writer that blocks the process
// when nothing reads its output: writes must return at once, and the dropped
// lines must be counted. Of the 1000 lines, only the 10 in the buffer and the
// one in the blocked write are not dropped.
func TestNonBlockingWriterStuck(t *testing.T) {
	r, w := io.Pipe()
	l := monitor.NewNonBlockingWriter(w, 10)
	start := time.Now()
	for i := range 1000 {
		fmt.Fprintf(l, "line %d\n", i)
	}
	qt.Assert(t, time.Since(start) < time.Second, qt.IsTrue)
	qt.Assert(t, l.DroppedLines() >= 988, qt.IsTrue, qt.Commentf("%d dropped", l.DroppedLines()))
	l.Close(10 * time.Millisecond)
	qt.Assert(t, r.Close(), qt.IsNil)
}

// TestNonBlockingWriterOrder guards against lines that are reordered, shortened,
// or dropped although the buffer has room.
func TestNonBlockingWriterOrder(t *testing.T) {
	var got, want bytes.Buffer
	l := monitor.NewNonBlockingWriter(&got, 1000)
	for i := range 500 {
		line := fmt.Sprintf("line %d\n", i)
		want.WriteString(line)
		_, err := l.Write([]byte(line))
		qt.Assert(t, err, qt.IsNil)
	}
	l.Close(time.Second)
	qt.Assert(t, got.String(), qt.Equals, want.String())
	qt.Assert(t, l.DroppedLines(), qt.Equals, int64(0))
}
