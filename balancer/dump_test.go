package balancer

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/panjf2000/ants/v2"
)

// TestDumpLeavesOutWhatDoesNotAnswer guards against a dump that blocks forever
// because a serial queue or the control goroutine is stuck. When the context of
// the dump ends, it must return without their parts.
func TestDumpLeavesOutWhatDoesNotAnswer(t *testing.T) {
	c := qt.New(t)
	pool, err := ants.NewPool(1)
	c.Assert(err, qt.IsNil)
	defer pool.Release()
	r := &requests{queue: newSerialQueue(pool, 1)}
	entered, release := make(chan struct{}), make(chan struct{})
	defer func() {
		r.queue.drain() // The queued dumps must not run: the queue has no core.
		close(release)
	}()
	r.queue.pushAlways(func() {
		close(entered)
		<-release
	})
	<-entered
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	c.Assert(r.dump(ctx), qt.IsNil)
	stuck := &control{tasks: make(chan func(), 1)}
	c.Assert(stuck.queryDump(ctx), qt.IsNil)
	b := &Balancer{flowWorkers: []*flowWorker{{queue: r.queue}}}
	c.Assert(b.dumpShards(ctx), qt.HasLen, 0)
}
