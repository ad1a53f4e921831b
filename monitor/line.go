package monitor

import (
	"io"
	"sync/atomic"
	"time"
)

// NonBlockingWriter writes lines to a slow or blocked writer without blocking
// its callers: lines that exceed its buffer are dropped and counted.
type NonBlockingWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewNonBlockingWriter returns a writer that buffers up to maxLines lines and
// writes them to w one by one, on a goroutine of its own.
func NewNonBlockingWriter(w io.Writer, maxLines int) *NonBlockingWriter {
	l := &NonBlockingWriter{lines: make(chan []byte, maxLines), done: make(chan struct{})}
	go l.run(w)
	return l
}

// run writes the buffered lines to w until Close. Lines that w fails to write
// count as dropped.
func (l *NonBlockingWriter) run(w io.Writer) {
	defer close(l.done)
	for b := range l.lines {
		if _, err := w.Write(b); err != nil {
			l.dropped.Add(1)
		}
	}
}

// Write buffers a copy of one line, or drops the line if the buffer is full. It
// never blocks and returns no error.
func (l *NonBlockingWriter) Write(b []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), b...):
	default:
		l.dropped.Add(1)
	}
	return len(b), nil
}

// DroppedLines returns the number of lines that were dropped so far.
func (l *NonBlockingWriter) DroppedLines() int64 {
	return l.dropped.Load()
}

// Close writes the buffered lines, and returns when they are written or after
// timeout. Write must not be called after Close.
func (l *NonBlockingWriter) Close(timeout time.Duration) {
	close(l.lines)
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-l.done:
	case <-t.C:
	}
}
