package fake

import (
	"net/http"
	"strconv"
	"time"
)

// watch responds with the changes of a kind after a revision as soon as there are
// any, and without changes if there are none within wait_ms. Status 410 means that
// the history no longer reaches back to the revision.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	ms, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil || ms < 0 {
		http.Error(w, "watch and wait_ms must be non-negative integers", http.StatusBadRequest)
		return
	}
	end := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatchDuration))
	defer end.Stop()
	era := p.currentEra()
	for {
		events, revision, changed, compacted, expireNow := p.changesSince(r.PathValue("kind"), after)
		if p.currentEra() != era {
			panic(http.ErrAbortHandler) // Restore cuts the watches.
		}
		if compacted {
			http.Error(w, "the history after this revision has been removed; list again", http.StatusGone)
			return
		}
		if len(events) > 0 || expireNow {
			p.respondToWatch(w, events, revision)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			p.respondToWatch(w, nil, revision)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// respondToWatch writes the events and the store's revision.
func (p *Platform) respondToWatch(w http.ResponseWriter, events []change, revision uint64) {
	if events == nil {
		events = []change{}
	}
	p.writeObjects(w, struct {
		Events   []change `json:"events"`
		Revision uint64   `json:"store_revision"`
	}{events, revision})
}

// changesSince returns the changes of a kind after a revision, the store's revision
// and a channel that is closed when it is time to check again. compacted reports
// whether the history does not contain the revision, because it is too old or, after a
// restore, not given out again yet. expireNow reports whether the watch has to end at
// once because of the fault EndWatches.
func (p *Platform) changesSince(kind string, after uint64) (events []change, revision uint64, changed chan struct{}, compacted, expireNow bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if after < p.compactedRevision || after > p.revision || after == 0 {
		return nil, p.revision, p.changed, true, false
	}
	for _, c := range p.history {
		if c.Kind == kind && c.Object.Meta.Revision > after {
			events = append(events, c)
		}
	}
	return events, p.revision, p.changed, false, p.faults.EndWatches
}
