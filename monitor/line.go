package monitor

import (
	"io"
	"sync/atomic"
	"time"
)

// NonBlockingWriter writes lines to a slow or stuck writer without making its callers
// wait: lines beyond its bound are left out and counted.
type NonBlockingWriter struct {
	lines chan []byte
	left  atomic.Int64
	done  chan struct{}
}

// NewNonBlockingWriter returns a writer that holds at most the given number of lines,
// and writes them to w one by one.
func NewNonBlockingWriter(w io.Writer, most int) *NonBlockingWriter {
	l := &NonBlockingWriter{lines: make(chan []byte, most), done: make(chan struct{})}
	go l.run(w)
	return l
}

func (l *NonBlockingWriter) run(w io.Writer) {
	defer close(l.done)
	for b := range l.lines {
		if _, err := w.Write(b); err != nil {
			l.left.Add(1)
		}
	}
}

// Write takes a copy of one line. It never fails and never waits.
func (l *NonBlockingWriter) Write(b []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), b...):
	default:
		l.left.Add(1)
	}
	return len(b), nil
}

// DroppedLines returns the number of lines that were left out so far.
func (l *NonBlockingWriter) DroppedLines() int64 {
	return l.left.Load()
}

// Close writes what is held, for at most the given time. Nothing may be written
// after it.
func (l *NonBlockingWriter) Close(most time.Duration) {
	close(l.lines)
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-l.done:
	case <-t.C:
	}
}
