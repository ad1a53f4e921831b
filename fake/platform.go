package fake

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"wisteriaweir/platform"
)

const (
	// maxWatchDuration is the longest time that a watch waits for a change.
	maxWatchDuration = 30 * time.Second
	// maxObjectBytes is the maximum size of the body of a write, in bytes.
	maxObjectBytes = 1 << 20
	// maxPageObjects is the maximum number of objects in a page of a list.
	maxPageObjects = 500
	// maxHistoryChanges is the maximum number of changes that are stored for watches.
	maxHistoryChanges = 10000
	// membersKind is the kind of the entries of this system's members. If a
	// member changes again within HostLag, stale lists still return its state from
	// before the first change.
	membersKind = "wisteriaweir-members"
	// targetsKind is the kind of the targets' entries, which expire.
	targetsKind = platform.KindTargets
	// expiryPollInterval is the time between two checks for expired entries.
	expiryPollInterval = 100 * time.Millisecond
)

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	// HostLag is how long after a change of an object a list with allow_stale=1 still
	// returns the previous state.
	HostLag time.Duration
	// PageObjects is the maximum number of objects in a page of a list; 0 means
	// maxPageObjects.
	PageObjects int
	// PageLag, if set, returns how old the state is that a page of a list with
	// allow_stale=1 shows. The page has the objects of a kind whose names are after a name.
	// It names the revision of that state.
	PageLag func(kind, after string) time.Duration
	// EntryTTL is the time since its last write after which a target's entry is
	// removed; 0 means never.
	EntryTTL time.Duration
	// Seed seeds the choice of the calls that a fault affects.
	Seed uint64
	// Faults are the initial faults.
	Faults PlatformFaults
	// OnWrite, if set, is called with each new version of an object of this system.
	// It runs under the platform's lock, so it must not call the platform.
	OnWrite func(platform.Object)
}

// Platform is a fake of the platform's store: an http.Handler that keeps objects in
// memory, with faults that can be injected.
type Platform struct {
	cfg PlatformConfig
	mux *http.ServeMux

	mu     sync.Mutex
	faults PlatformFaults
	rng    *rand.Rand
	// era rises by one with each Restore.
	era      uint64
	revision uint64
	objects  map[string]map[string]*storedObject
	// history holds the changes after compactedRevision, oldest first.
	history []change
	// compactedRevision is the oldest revision that a watch can start from.
	compactedRevision uint64
	// calls counts the calls by the name that callName returns.
	calls map[string]int
	// rawSpecs holds the specs of PutRaw by the JSON string that stands for them.
	rawSpecs map[string][]byte
	// snapshots holds the former content by kind, oldest first, if cfg.PageLag is set.
	snapshots map[string][]snapshot
	// changed is closed, and replaced, when watches have to check for changes.
	changed chan struct{}
}

// meta is the metadata of an object.
type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"delete_requested"`
}

// object is an object in the JSON form of the store's API.
type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// storedObject is an object with its previous state, which stale reads return.
type storedObject struct {
	current, previous object
	// changedAt is when current last changed.
	changedAt time.Time
	// writtenAt is when the object was last written, with or without a change.
	writtenAt time.Time
}

// change is an entry of the history. Object is the object after the change; for a
// deletion, it is the last state of the object with the revision of the deletion.
type change struct {
	Kind    string `json:"-"`
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// NewPlatform returns an empty platform.
func NewPlatform(cfg PlatformConfig) *Platform {
	if cfg.PageObjects == 0 {
		cfg.PageObjects = maxPageObjects
	}
	p := &Platform{
		cfg:       cfg,
		mux:       http.NewServeMux(),
		faults:    cfg.Faults,
		rng:       rand.New(rand.NewPCG(cfg.Seed, 0)),
		era:       initialEra,
		revision:  1,
		objects:   map[string]map[string]*storedObject{},
		calls:     map[string]int{},
		rawSpecs:  map[string][]byte{},
		snapshots: map[string][]snapshot{},
		changed:   make(chan struct{}),
	}
	p.mux.HandleFunc("GET /api/objects/{kind}", p.withFaults(p.list))
	p.mux.HandleFunc("POST /api/objects/{kind}", p.withFaults(p.create))
	p.mux.HandleFunc("GET /api/objects/{kind}/{name}", p.withFaults(p.get))
	p.mux.HandleFunc("PUT /api/objects/{kind}/{name}", p.withFaults(p.replace))
	p.mux.HandleFunc("DELETE /api/objects/{kind}/{name}", p.withFaults(p.remove))
	p.mux.HandleFunc("PUT /v1/faults", p.putFaults)
	p.mux.HandleFunc("GET /v1/faults", p.getFaults)
	p.mux.HandleFunc("GET /v1/calls", p.getCalls)
	p.mux.HandleFunc("GET /dump", p.getDump)
	return p
}

// ServeHTTP serves the store's API.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.setEraHeader(w)
	p.mux.ServeHTTP(w, r)
}

// Run removes expired entries of targets until ctx ends. It returns at once if
// EntryTTL is 0.
func (p *Platform) Run(ctx context.Context) {
	for p.cfg.EntryTTL > 0 && platform.Sleep(ctx, expiryPollInterval) == nil {
		p.removeExpired(time.Now())
	}
}

// removeExpired removes the targets' entries that were not written within EntryTTL.
func (p *Platform) removeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.objects[targetsKind] {
		if now.Sub(s.writtenAt) >= p.cfg.EntryTTL {
			p.delete(targetsKind, s)
		}
	}
}

// Calls returns the number of calls so far, by name: get, list, hosts (a list of
// members), watch, put, announce (a write of a member) and remove.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.calls)
}

// Compact drops the history, so that watches from an earlier revision fail with
// status 410 and their callers have to list again.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = nil
	p.compactedRevision = p.revision
	p.wakeWatches()
}

// callName returns the name under which a call is counted.
func callName(r *http.Request) string {
	members := r.PathValue("kind") == membersKind
	switch {
	case r.Method == http.MethodDelete:
		return "remove"
	case r.Method != http.MethodGet && members:
		return "announce"
	case r.Method != http.MethodGet:
		return "put"
	case r.URL.Query().Has("watch"):
		return "watch"
	case r.PathValue("name") != "":
		return "get"
	case members:
		return "hosts"
	default:
		return "list"
	}
}

// get responds with one object, or with its previous version if the fault
// StaleReadRate applies.
func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	s := p.objects[r.PathValue("kind")][r.PathValue("name")]
	var o object
	if s != nil {
		o = s.current
		if p.shouldInject(p.faults.StaleReadRate) {
			o = s.previous
		}
	}
	p.mu.Unlock()
	if o.Meta.Revision == 0 {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	p.writeObjects(w, o)
}

// page is one page of a list.
type page struct {
	Items    []object `json:"items"`
	More     bool     `json:"more"`
	Revision uint64   `json:"store_revision"`
}

// list responds with a page of the objects of a kind whose names are after the
// parameter "after", in the order of names. With the parameter "watch" it is a watch.
func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		p.watch(w, r)
		return
	}
	kind, after := r.PathValue("kind"), r.URL.Query().Get("after")
	isStale := r.URL.Query().Get("allow_stale") == "1"
	now, lag := time.Now(), time.Duration(0)
	if isStale {
		lag = p.cfg.HostLag
	}
	p.mu.Lock()
	result := page{Items: []object{}, Revision: p.revision}
	objects := p.sortedObjects(kind, now, lag)
	if isStale && p.cfg.PageLag != nil {
		objects, result.Revision = p.contentAt(kind, now.Add(-p.cfg.PageLag(kind, after)))
	}
	p.mu.Unlock()
	for _, o := range objects {
		if o.Meta.Name <= after {
			continue
		}
		if len(result.Items) == p.cfg.PageObjects {
			result.More = true
			break
		}
		result.Items = append(result.Items, o)
	}
	p.writeObjects(w, result)
}

// sortedObjects returns the objects of a kind in the order of names, in the states for a list
// that lags by lag. The caller holds mu.
func (p *Platform) sortedObjects(kind string, now time.Time, lag time.Duration) []object {
	var objects []object
	for _, name := range slices.Sorted(maps.Keys(p.objects[kind])) {
		if o := p.objects[kind][name].listedState(now, lag); o.Meta.Revision != 0 {
			objects = append(objects, o)
		}
	}
	return objects
}

// listedState returns the state for a list that lags by lag: the previous state if
// the last change is less than lag ago, otherwise the current one.
func (s *storedObject) listedState(now time.Time, lag time.Duration) object {
	if lag > 0 && now.Sub(s.changedAt) < lag {
		return s.previous
	}
	return s.current
}

// appendHistory adds a change to the history, drops the oldest one beyond
// maxHistoryChanges, and wakes the watches. The caller holds mu.
func (p *Platform) appendHistory(c change) {
	p.history = append(p.history, c)
	if len(p.history) > maxHistoryChanges {
		p.compactedRevision = p.history[0].Object.Meta.Revision
		p.history = slices.Clone(p.history[1:])
	}
	p.wakeWatches()
}

// wakeWatches makes the open watches check for changes. The caller holds mu.
func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// decodeOwnObject decodes an object of this system. It returns false for objects of
// other systems, members, hosts, and objects whose spec is not valid.
func decodeOwnObject(kind string, o object) (platform.Object, bool) {
	if !strings.HasPrefix(kind, "wisteriaweir-") || kind == membersKind || kind == platform.KindHosts {
		return platform.Object{}, false
	}
	var c struct {
		Version uint64 `json:"version"`
		Value   []byte `json:"value"`
	}
	if json.Unmarshal(o.Spec, &c) != nil {
		return platform.Object{}, false
	}
	return platform.Object{Path: strings.ReplaceAll(o.Meta.Name, "~", "/"), Version: c.Version, Value: c.Value}, true
}

func (p *Platform) getCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Calls())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
