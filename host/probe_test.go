package host

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStoreProbe guards against store watchers that all repeat calls while the store does not
// respond, and against watchers that go on waiting when it responds again.
func TestStoreProbe(t *testing.T) {
	p, ctx := newStoreProbe(), context.Background()
	p.wait(ctx, "config", 0) // The first one to fail repeats its call.
	waiting := make(chan struct{})
	go func() {
		p.wait(ctx, "servers", 0)
		close(waiting)
	}()
	select {
	case <-waiting:
		t.Fatal("the second watcher repeats its call as well")
	case <-time.After(50 * time.Millisecond):
	}
	p.succeed()
	select {
	case <-waiting:
	case <-time.After(maxProbeWait / 2):
		t.Fatal("the second watcher still waits")
	}

	p.wait(ctx, "config", 0)
	p.release("config")
	start := time.Now()
	p.wait(ctx, "servers", 0) // The first one has stopped.
	qt.Assert(t, time.Since(start) < maxProbeWait/2, qt.IsTrue)
}
