package host

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"wisteriaweir/catalog"
	"wisteriaweir/platform"
	"wisteriaweir/route"
)

const (
	// watchWait is how long the store may hold a watch. A change that the watch
	// missed is found this much later.
	watchWait = 1500 * time.Millisecond
	// retryFirst and retryMost bound the wait after a failed call to the store.
	retryFirst = 50 * time.Millisecond
	retryMost  = 800 * time.Millisecond
)

// finding is what one call to the store found.
type finding struct {
	routes   *route.Table
	targets  []catalog.Target
	full     bool
	changes  []catalog.Change
	revision uint64
}

// believe owns the catalog: it takes in findings and publishes it.
func (h *Host) believe(ctx context.Context) error {
	findings := make(chan finding)
	go h.read(ctx, platform.KindConfig, findings)
	go h.read(ctx, platform.KindTargets, findings)
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-findings:
			h.take(f)
		}
	}
}

// take applies one finding.
func (h *Host) take(f finding) {
	old := h.current.Load()
	c := *old
	switch {
	case f.routes != nil:
		c = c.WithRoutes(*f.routes, f.revision)
	case f.full:
		c = c.WithTargets(f.targets, f.revision)
	default:
		c = c.WithChanges(f.changes, f.revision)
	}
	if c.RoutesRevision() == old.RoutesRevision() && c.TargetsRevision() == old.TargetsRevision() {
		return
	}
	if c.Routes().Number() != old.Routes().Number() {
		h.log.WithFields(log.Fields{
			"number": c.Routes().Number(), "before": old.Routes().Number(), "revision": c.RoutesRevision(),
			"routes": c.Routes().Size(),
		}).Info("host: routes in force")
	}
	h.current.Store(&c)
}

// read lists and watches one kind until ctx ends.
func (h *Host) read(ctx context.Context, kind string, out chan<- finding) {
	revision := uint64(0)
	failures := 0
	for ctx.Err() == nil {
		var f finding
		var err error
		if revision == 0 {
			f, err = h.list(ctx, kind)
		} else {
			f, err = h.watch(ctx, kind, revision)
		}
		if err != nil {
			if platform.Gone(err) {
				revision = 0
				continue
			}
			failures++
			h.log.WithError(err).WithField("failures", failures).Warn("host: store failed")
			h.sleep(ctx, backoff(failures))
			continue
		}
		failures = 0
		revision = f.revision
		select {
		case out <- f:
		case <-ctx.Done():
		}
	}
}

// backoff returns the wait after a number of failed calls.
func backoff(failures int) time.Duration {
	d := min(retryFirst<<min(failures-1, 10), retryMost)
	return d/2 + rand.N(d/2)
}

func (h *Host) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// list reads a kind as a whole.
func (h *Host) list(ctx context.Context, kind string) (finding, error) {
	records, revision, err := h.store.List(ctx, kind)
	if err != nil {
		return finding{}, err
	}
	f := finding{full: true, revision: revision}
	for _, r := range records {
		if kind == platform.KindConfig {
			f.routes = h.parseRoutes(r, f.routes)
			continue
		}
		t, err := platform.ParseTarget(r)
		if err != nil {
			h.log.WithError(err).Warn("host: entry not used")
			continue
		}
		f.targets = append(f.targets, t)
	}
	if kind == platform.KindConfig && f.routes == nil {
		f.routes = &route.Table{}
	}
	return f, nil
}

// watch waits for changes of a kind.
func (h *Host) watch(ctx context.Context, kind string, revision uint64) (finding, error) {
	events, next, err := h.store.Watch(ctx, kind, revision, watchWait)
	if err != nil {
		return finding{}, err
	}
	f := finding{revision: next}
	for _, e := range events {
		if kind == platform.KindConfig {
			f.routes = h.parseRoutes(e.Record, f.routes)
			continue
		}
		t, err := platform.ParseTarget(e.Record)
		if err != nil {
			t = catalog.Target{ID: e.Record.Name, Revision: e.Record.Revision}
		}
		f.changes = append(f.changes, catalog.Change{Target: t, Removed: e.Removed || err != nil})
	}
	if kind == platform.KindConfig && f.routes == nil {
		r := h.current.Load().Routes()
		f.routes = &r
	}
	return f, nil
}

// parseRoutes returns the routing table of a record, or before if the record
// holds none.
func (h *Host) parseRoutes(r platform.Record, before *route.Table) *route.Table {
	if r.Name != platform.ConfigName {
		return before
	}
	t, left, err := platform.ParseConfig(r)
	if err != nil {
		h.log.WithError(err).Warn("host: configuration not used")
		return before
	}
	for _, err := range left {
		h.log.WithError(err).Warn("host: route not used")
	}
	return &t
}
