package host

import (
	"context"
	"time"

	"wisteriaweir/catalog"
	"wisteriaweir/platform"
	"wisteriaweir/reader"
)

const (
	// watchWait is how long the store may hold a watch. A change that the watch
	// missed is found this much later.
	watchWait = 1500 * time.Millisecond
	// routesPause and targetsPause are the waits after a watch that brought
	// changes: what follows within them costs no call of its own.
	routesPause  = 800 * time.Millisecond
	targetsPause = 1000 * time.Millisecond
	// retryFirst and retryMost bound the wait after a failed call to the store.
	retryFirst = 50 * time.Millisecond
	retryMost  = 800 * time.Millisecond
)

// feed reads one kind of the store's objects.
type feed struct {
	h    *Host
	kind string
	// pause is the wait after changes.
	pause time.Duration
	// revision is the revision to watch from, 0 if a list is needed.
	revision uint64
	// gone says that the history which the catalog would need is gone.
	gone     bool
	failures int
}

// run lists the kind once if first is set, and then lists and watches it while
// this host has the duty to read.
func (f *feed) run(ctx context.Context, first bool) {
	for ctx.Err() == nil {
		if !first && !f.h.reading.Load() {
			f.revision = 0
			_ = platform.Sleep(ctx, dutyStep)
			continue
		}
		if f.revision == 0 && !f.gone {
			f.revision = f.known()
		}
		n, err := f.next(ctx)
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		f.failures = 0
		first = false
		select {
		case f.h.findings <- n:
		case <-ctx.Done():
		}
		if len(n.Changes) > 0 || n.Routes != nil {
			_ = platform.Sleep(ctx, f.pause)
		}
	}
}

// known returns the revision that the catalog has already, from which a watch
// can go on.
func (f *feed) known() uint64 {
	c := f.h.current.Load()
	if f.kind == platform.KindConfig {
		return c.RoutesRevision()
	}
	return c.TargetsRevision()
}

// failed waits before the next call. A history that is gone needs no wait.
func (f *feed) failed(ctx context.Context, err error) {
	if platform.IsHistoryGone(err) {
		f.h.log.WithField("kind", f.kind).Info("host: store dropped its history, listing again")
		f.revision, f.gone = 0, true
		return
	}
	f.failures++
	if f.failures == 1 && ctx.Err() == nil {
		f.h.log.WithError(err).WithField("kind", f.kind).Warn("host: store lost")
	}
	_ = platform.Sleep(ctx, f.h.backoff.Delay(f.failures))
}

// next makes one call and returns what it found.
func (f *feed) next(ctx context.Context) (reader.Update, error) {
	if f.revision == 0 {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

// list reads the kind as a whole.
func (f *feed) list(ctx context.Context) (reader.Update, error) {
	records, revision, err := f.h.store.Load().List(ctx, f.kind)
	if err != nil {
		return reader.Update{}, err
	}
	f.revision, f.gone = revision, false
	n := reader.Update{Revision: revision}
	if f.kind == platform.KindConfig {
		for _, r := range records {
			f.takeRoutes(r, &n)
		}
		return n, nil
	}
	n.HasAllTargets = true
	for _, r := range records {
		t, err := platform.ParseTarget(r)
		if err != nil {
			f.h.log.WithError(err).Warn("host: entry not used")
			continue
		}
		n.Targets = append(n.Targets, t)
	}
	return n, nil
}

// watch waits for changes of the kind. The revision of what it returns is that of
// the newest change, the same for all that read it.
func (f *feed) watch(ctx context.Context) (reader.Update, error) {
	events, next, err := f.h.store.Load().Watch(ctx, f.kind, f.revision, watchWait)
	if err != nil {
		return reader.Update{}, err
	}
	f.revision = max(next, f.revision)
	n := reader.Update{}
	newest := map[string]platform.Event{}
	for _, e := range events {
		newest[e.Record.Name] = e
		n.Revision = max(n.Revision, e.Record.Revision)
	}
	for _, e := range newest {
		if f.kind == platform.KindConfig {
			f.takeRoutes(e.Record, &n)
			continue
		}
		n.Changes = append(n.Changes, f.change(e))
	}
	return n, nil
}

// change reads the change of one target. An entry that names no target to use
// counts as removed.
func (f *feed) change(e platform.Event) catalog.Change {
	gone := catalog.Change{Target: catalog.Target{ID: e.Record.Name, Revision: e.Record.Revision}, Removed: true}
	if e.Removed {
		return gone
	}
	t, err := platform.ParseTarget(e.Record)
	if err != nil {
		f.h.log.WithError(err).Warn("host: entry not used")
		return gone
	}
	return catalog.Change{Target: t}
}

// takeRoutes reads the routing table, if r holds it.
func (f *feed) takeRoutes(r platform.Record, n *reader.Update) {
	if r.Name != platform.ConfigName {
		return
	}
	t, left, err := platform.ParseConfig(r)
	if err != nil {
		f.h.log.WithError(err).Warn("host: configuration not used")
		return
	}
	for _, err := range left {
		f.h.log.WithError(err).Warn("host: route not used")
	}
	n.Routes, n.Revision = &t, r.Revision
}
