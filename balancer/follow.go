package balancer

import (
	"context"
	"errors"
	"time"

	"wisteriaweir/platform"
)

const (
	// objectWatchTimeout is the time after which the platform ends a watch of an
	// objectWatcher with the response that the object has not changed.
	objectWatchTimeout = 5 * time.Second
	// minWatchInterval is the shortest interval between the starts of two
	// watches.
	minWatchInterval = 200 * time.Millisecond
)

// objectWatcher reads each newer version of one object of the platform by
// watches. It belongs to the control goroutine.
type objectWatcher struct {
	c    *control
	path string
	// apply is called with each newer version of the object, on the control
	// goroutine. An object that does not exist has version 0.
	apply func(platform.Object)
	// cancel ends the watches. It is nil while the watcher is stopped.
	cancel context.CancelFunc
}

// start starts the watcher, unless it is running. The first call of apply gets
// the current version of the object.
func (w *objectWatcher) start(ctx context.Context) {
	if w.cancel != nil {
		return
	}
	ctx, w.cancel = context.WithCancel(ctx)
	go w.run(ctx)
}

// stop stops the watcher. It does not call apply afterwards.
func (w *objectWatcher) stop() {
	if w.cancel != nil {
		w.cancel()
		w.cancel = nil
	}
}

// run reads and watches the object until ctx ends.
func (w *objectWatcher) run(ctx context.Context) {
	version, known := uint64(0), false
	for ctx.Err() == nil {
		start := time.Now()
		o, err := w.next(ctx, version, known)
		wait := minWatchInterval
		switch {
		case err == nil:
			version, known = o.Version, true
			w.enqueueObject(ctx, o)
		case !errors.As(err, new(*platform.UnchangedError)):
			wait = platformRetryDelay
		}
		_ = platform.Sleep(ctx, wait-time.Since(start))
	}
}

// next returns the current object if no version is known, or else the object
// once it is newer than version.
func (w *objectWatcher) next(ctx context.Context, version uint64, known bool) (platform.Object, error) {
	if known {
		return w.c.b.platform.WatchFor(ctx, w.path, version, objectWatchTimeout)
	}
	o, err := w.c.b.platform.Get(ctx, w.path)
	if errors.As(err, new(*platform.NotFoundError)) {
		return platform.Object{Path: w.path}, nil
	}
	return o, err
}

// enqueueObject queues the call of apply, which is skipped if the watcher is
// stopped first.
func (w *objectWatcher) enqueueObject(ctx context.Context, o platform.Object) {
	w.c.enqueueContext(ctx, func() {
		if ctx.Err() == nil {
			w.apply(o)
		}
	})
}
