package host

import (
	"context"
	"time"

	"github.com/apex/log"

	"wisteriaweir/catalog"
	"wisteriaweir/evacuation"
	"wisteriaweir/platform"
	"wisteriaweir/reader"
)

const (
	// watchTimeout is how long the store may hold a watch without changes. A change
	// that one watch misses is found by the next, at most this much later.
	watchTimeout = 1500 * time.Millisecond
	// routesBatchDelay is the wait after a response with changes of the configuration.
	// Changes that follow within it are read by one call.
	routesBatchDelay = 800 * time.Millisecond
	// targetsBatchDelay is the wait after a response with changes of targets, for the
	// same reason.
	targetsBatchDelay = 1000 * time.Millisecond
	// evacuationsBatchDelay is the wait after a response with changes of evacuations, for
	// the same reason. It is shorter, because evacuations are urgent and change rarely.
	evacuationsBatchDelay = 100 * time.Millisecond
	// initialRetryDelay is the wait after the first failed call to the store.
	initialRetryDelay = 50 * time.Millisecond
	// maxRetryDelay is the longest wait after a failed call to the store.
	maxRetryDelay = 800 * time.Millisecond
)

// storeWatcher lists and watches one kind of the store's objects.
type storeWatcher struct {
	h *Host
	// kind is platform.KindConfig, platform.KindTargets or platform.KindEvacuations.
	kind string
	// batchDelay is the wait after a response with changes.
	batchDelay time.Duration
	// position is the position to watch from. The zero value means that a list is needed.
	position catalog.Position
	// historyGone reports whether the store does not have the changes since the
	// catalog's position, so that a list is needed.
	historyGone bool
	// failures is the number of failed calls since the last successful one.
	failures int
}

// run reads the objects of the kind, until ctx ends, while this host is a reader. If
// listAtStart is set, it also lists them before that, until the first call succeeds. The
// store may answer this list from a copy that is some seconds old, which costs far less:
// other hosts reply to the Hello of this one with the positions that they know, and the
// readers among them, or this host if there are none, have newer content.
// It watches the kind from the catalog's position. It first lists the kind if the
// catalog has no position of it, or if the store does not have the history since that
// position.
func (w *storeWatcher) run(ctx context.Context, listAtStart bool) {
	for ctx.Err() == nil {
		if !listAtStart && !w.h.isReading.Load() {
			w.position = catalog.Position{}
			w.h.storeProbe.release(w.kind)
			_ = platform.Sleep(ctx, readerPollInterval)
			continue
		}
		if !w.position.IsKnown() && !w.historyGone {
			w.position = w.knownPosition()
		}
		mayBeStale := listAtStart && w.failures == 0
		update, err := w.listOrWatch(ctx, mayBeStale)
		if err != nil {
			w.handleError(ctx, err)
			continue
		}
		w.h.storeProbe.succeed()
		w.failures = 0
		listAtStart = false
		select {
		case w.h.storeUpdates <- update:
		case <-ctx.Done():
		}
		if len(update.Changes) > 0 || update.Routes != nil || len(update.EvacuationChanges) > 0 {
			_ = platform.Sleep(ctx, w.batchDelay)
		}
	}
}

// knownPosition returns the catalog's position of the kind, from which a watch can
// continue. It is the zero value if the catalog has none.
func (w *storeWatcher) knownPosition() catalog.Position {
	c := w.h.currentCatalog.Load()
	switch w.kind {
	case platform.KindConfig:
		return c.RoutesPosition()
	case platform.KindEvacuations:
		return c.EvacuationsPosition()
	default:
		return c.TargetsPosition()
	}
}

// handleError logs the first of several failures in a row and waits before the next
// call. If the store no longer has the needed history, it requests a list instead,
// without a wait.
func (w *storeWatcher) handleError(ctx context.Context, err error) {
	if platform.IsHistoryGone(err) {
		w.h.log.WithField("kind", w.kind).WithField("position", w.position.String()).Info("host: store no longer has the history to watch from, listing again")
		w.position, w.historyGone = catalog.Position{}, true
		return
	}
	w.failures++
	if w.failures == 1 && ctx.Err() == nil {
		w.h.log.WithError(err).WithField("kind", w.kind).Warn("host: store lost")
	}
	w.h.storeProbe.wait(ctx, w.kind, w.h.backoff.Delay(w.failures))
}

// listOrWatch watches the kind once, or lists it if there is no position to watch
// from, and returns the result. mayBeStale reports whether a list may be some seconds old.
func (w *storeWatcher) listOrWatch(ctx context.Context, mayBeStale bool) (reader.Update, error) {
	if !w.position.IsKnown() {
		return w.list(ctx, mayBeStale)
	}
	return w.watch(ctx)
}

// list reads all objects of the kind. Invalid ones are reported and skipped.
func (w *storeWatcher) list(ctx context.Context, mayBeStale bool) (reader.Update, error) {
	list := w.h.store.Load().List
	if mayBeStale {
		list = w.h.store.Load().ListStale
	}
	listing, err := list(ctx, w.kind)
	if err != nil {
		return reader.Update{}, err
	}
	w.position, w.historyGone = listing.Position, false
	w.recordListing(listing, mayBeStale)
	w.reportInvalid(listing.Invalid...)
	update := reader.Update{Position: listing.Position}
	switch w.kind {
	case platform.KindConfig:
		for _, r := range listing.Records {
			w.addRoutes(r, &update)
		}
	case platform.KindEvacuations:
		set := evacuation.NewSet(w.parseEvacuations(listing.Records)...)
		update.Evacuations = &set
	default:
		update.HasAllTargets = true
		update.Targets, update.InvalidEntries = w.parseTargets(listing.Records)
	}
	return update, nil
}

// parseTargets returns the targets of entries, and the invalid entries.
func (w *storeWatcher) parseTargets(records []platform.Record) ([]catalog.Target, []catalog.InvalidEntry) {
	var targets []catalog.Target
	var invalid []catalog.InvalidEntry
	for _, r := range records {
		t, err := platform.ParseTarget(r)
		if err != nil {
			w.reportInvalid(err)
			invalid = append(invalid, catalog.InvalidEntry{ID: r.Name, Position: r.Position()})
			continue
		}
		targets = append(targets, t)
	}
	return targets, invalid
}

// parseEvacuations returns the failure domains of evacuations without the invalid ones.
func (w *storeWatcher) parseEvacuations(records []platform.Record) []string {
	var domains []string
	for _, r := range records {
		domain, err := platform.ParseEvacuation(r)
		if err != nil {
			w.reportInvalid(err)
			continue
		}
		domains = append(domains, domain)
	}
	return domains
}

// reportInvalid reports invalid objects of the kind.
func (w *storeWatcher) reportInvalid(errs ...error) {
	switch w.kind {
	case platform.KindConfig:
		w.h.invalid.reportAll(configSource, "host: invalid configuration ignored", errs)
	case platform.KindEvacuations:
		w.h.invalid.reportAll(evacuationSource, "host: invalid evacuation ignored", errs)
	default:
		w.h.invalid.reportAll(targetSource, "host: invalid target entry skipped", errs)
	}
}

// recordListing logs a list, and counts it if its pages show different states of the store.
func (w *storeWatcher) recordListing(l platform.Listing, mayBeStale bool) {
	if l.Newest != l.Position {
		w.h.counters.unevenLists.Inc()
	}
	w.h.log.WithFields(log.Fields{
		"kind": w.kind, "stale": mayBeStale, "objects": len(l.Records), "pages": l.Pages, "position": l.Position.String(), "newest": l.Newest.String(),
	}).Info("host: objects listed")
}

// watch waits for changes of the kind, and returns the newest one of each object.
// The position of the result is that of the newest change, so that all readers
// publish the same change under the same position.
func (w *storeWatcher) watch(ctx context.Context) (reader.Update, error) {
	changes, err := w.h.store.Load().Watch(ctx, w.kind, w.position, watchTimeout)
	if err != nil {
		return reader.Update{}, err
	}
	w.position = catalog.Later(changes.Position, w.position)
	w.reportInvalid(changes.Invalid...)
	update := reader.Update{}
	newest := map[string]platform.Event{}
	for _, e := range changes.Events {
		newest[e.Record.Name] = e
		update.Position = catalog.Later(update.Position, e.Record.Position())
	}
	for _, e := range newest {
		switch w.kind {
		case platform.KindConfig:
			w.addRoutes(e.Record, &update)
		case platform.KindEvacuations:
			for _, domain := range w.parseEvacuations([]platform.Record{e.Record}) {
				update.EvacuationChanges = append(update.EvacuationChanges, evacuation.Change{Domain: domain, Withdrawn: e.Removed})
			}
		default:
			update.Changes = append(update.Changes, w.parseChange(e))
		}
	}
	return update, nil
}

// usesEvacuations reports whether the platform has evacuations.
func (h *Host) usesEvacuations() bool {
	return h.cfg.Settings.EvacuationBound > 0
}

// parseChange returns the change of one target.
func (w *storeWatcher) parseChange(e platform.Event) catalog.Change {
	change := catalog.Change{Target: catalog.Target{ID: e.Record.Name, Position: e.Record.Position()}, Removed: true}
	if e.Removed {
		return change
	}
	t, err := platform.ParseTarget(e.Record)
	if err != nil {
		w.reportInvalid(err)
		change.Invalid = true
		return change
	}
	return catalog.Change{Target: t}
}

// addRoutes parses the routing table and adds it to update, if r contains it.
// Invalid routes are logged and skipped.
func (w *storeWatcher) addRoutes(r platform.Record, update *reader.Update) {
	if r.Name != platform.ConfigName {
		return
	}
	t, skipped, err := platform.ParseConfig(r)
	if err != nil {
		w.reportInvalid(err)
		return
	}
	w.h.invalid.reportAll(configSource, "host: invalid element of the configuration skipped", skipped)
	update.Routes, update.Position = &t, r.Position()
}
