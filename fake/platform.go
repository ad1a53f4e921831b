package fake

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"wisteriaweir/platform"
)

const (
	// maxWatch bounds how long a watch is held.
	maxWatch = 30 * time.Second
	// maxObject is the largest object in bytes.
	maxObject = 1 << 20
	// pageSize is the number of objects in a page of a list.
	pageSize = 500
	// historyMost bounds the changes that a watch can go back to.
	historyMost = 10000
	// membersKind is the kind of this system's members, which lag in stale lists.
	membersKind = "wisteriaweir-members"
	// targetsKind is the kind of the targets' entries, which lapse.
	targetsKind = platform.KindTargets
	// lapseEvery is the time between two looks for entries that lapsed.
	lapseEvery = 100 * time.Millisecond
)

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	// HostLag is how long a stale list of members stays behind.
	HostLag time.Duration
	// Lapse is the time after which the entry of a silent target is removed; 0
	// means never.
	Lapse time.Duration
	// Seed seeds the choice of the calls that a fault hits.
	Seed uint64
	// Faults is what is wrong from the start.
	Faults PlatformFaults
	// Record is called with each new version of an object of this system, if it is
	// set. It may not call the platform.
	Record func(platform.Object)
}

// Platform stands in for the platform's store: an http.Handler that keeps its
// objects in memory.
type Platform struct {
	cfg PlatformConfig
	mux *http.ServeMux

	mu       sync.Mutex
	faults   PlatformFaults
	rnd      *rand.Rand
	revision uint64
	objects  map[string]map[string]*stored
	// history holds the changes behind revision forgotten.
	history   []change
	forgotten uint64
	calls     map[string]int
	changed   chan struct{}
}

// meta is what the store says of an object.
type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"delete_requested"`
}

// object is an object in the store's form.
type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// stored is an object with its previous state, which a stale read returns.
type stored struct {
	now, old object
	// since is when now took the place of old, heard when it was last written.
	since time.Time
	heard time.Time
}

// change is one change of an object.
type change struct {
	Kind    string `json:"-"`
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// NewPlatform returns an empty platform.
func NewPlatform(cfg PlatformConfig) *Platform {
	p := &Platform{
		cfg:      cfg,
		mux:      http.NewServeMux(),
		faults:   cfg.Faults,
		rnd:      rand.New(rand.NewPCG(cfg.Seed, 0)),
		revision: 1,
		objects:  map[string]map[string]*stored{},
		calls:    map[string]int{},
		changed:  make(chan struct{}),
	}
	p.mux.HandleFunc("GET /api/objects/{kind}", p.faulty(p.list))
	p.mux.HandleFunc("POST /api/objects/{kind}", p.faulty(p.create))
	p.mux.HandleFunc("GET /api/objects/{kind}/{name}", p.faulty(p.get))
	p.mux.HandleFunc("PUT /api/objects/{kind}/{name}", p.faulty(p.replace))
	p.mux.HandleFunc("DELETE /api/objects/{kind}/{name}", p.faulty(p.remove))
	p.mux.HandleFunc("PUT /v1/faults", p.putFaults)
	p.mux.HandleFunc("GET /v1/faults", p.getFaults)
	p.mux.HandleFunc("GET /v1/calls", p.getCalls)
	p.mux.HandleFunc("GET /dump", p.getDump)
	return p
}

// ServeHTTP serves the store's API.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// Run removes entries of targets that lapsed, until ctx ends.
func (p *Platform) Run(ctx context.Context) {
	for p.cfg.Lapse > 0 && platform.Sleep(ctx, lapseEvery) == nil {
		p.lapse(time.Now())
	}
}

func (p *Platform) lapse(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.objects[targetsKind] {
		if now.Sub(s.heard) >= p.cfg.Lapse {
			p.delete(targetsKind, s)
		}
	}
}

// Calls returns the number of calls so far: get, list, watch, put, announce and
// remove.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.calls)
}

// Compact forgets the history, so that watches that go on from before have to
// list again.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = nil
	p.forgotten = p.revision
	p.wake()
}

// callName names a call for the count of calls.
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

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	s := p.objects[r.PathValue("kind")][r.PathValue("name")]
	var o object
	if s != nil {
		o = s.now
		if p.hit(p.faults.Stale) {
			o = s.old
		}
	}
	p.mu.Unlock()
	if o.Meta.Revision == 0 {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

// page is one page of a list.
type page struct {
	Items    []object `json:"items"`
	More     bool     `json:"more"`
	Revision uint64   `json:"store_revision"`
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		p.watch(w, r)
		return
	}
	after, lag := r.URL.Query().Get("after"), time.Duration(0)
	if r.URL.Query().Get("allow_stale") == "1" {
		lag = p.cfg.HostLag
	}
	now := time.Now()
	p.mu.Lock()
	a := page{Items: []object{}, Revision: p.revision}
	kind := p.objects[r.PathValue("kind")]
	for _, name := range slices.Sorted(maps.Keys(kind)) {
		o := kind[name].shown(now, lag)
		if name <= after || o.Meta.Revision == 0 {
			continue
		}
		if len(a.Items) == pageSize {
			a.More = true
			break
		}
		a.Items = append(a.Items, o)
	}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, a)
}

// shown returns what a list shows that is behind by lag.
func (s *stored) shown(now time.Time, lag time.Duration) object {
	if now.Sub(s.since) < lag {
		return s.old
	}
	return s.now
}

// watch answers when the kind has changed behind a revision.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	ms, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil || ms < 0 {
		http.Error(w, "watch and wait_ms must be numbers", http.StatusBadRequest)
		return
	}
	end := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatch))
	defer end.Stop()
	for {
		events, revision, changed, gone, expired := p.since(r.PathValue("kind"), after)
		if gone {
			http.Error(w, "history is gone", http.StatusGone)
			return
		}
		if len(events) > 0 || expired {
			p.answerWatch(w, events, revision)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			p.answerWatch(w, nil, revision)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) answerWatch(w http.ResponseWriter, events []change, revision uint64) {
	if events == nil {
		events = []change{}
	}
	writeJSON(w, http.StatusOK, struct {
		Events   []change `json:"events"`
		Revision uint64   `json:"store_revision"`
	}{events, revision})
}

// since returns the changes of a kind behind a revision, and what a watch needs
// to know besides.
func (p *Platform) since(kind string, after uint64) (events []change, revision uint64, changed chan struct{}, gone, expired bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if after < p.forgotten || after == 0 {
		return nil, p.revision, p.changed, true, false
	}
	for _, c := range p.history {
		if c.Kind == kind && c.Object.Meta.Revision > after {
			events = append(events, c)
		}
	}
	return events, p.revision, p.changed, false, p.faults.Expire
}

// write is the body of a call that creates or replaces an object.
type write struct {
	Meta struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Finalizers []string `json:"finalizers"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

func readWrite(w http.ResponseWriter, r *http.Request) (write, bool) {
	var b write
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObject))
	if err != nil {
		http.Error(w, "object is too large or broken off", http.StatusRequestEntityTooLarge)
		return b, false
	}
	if err := json.Unmarshal(body, &b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return b, false
	}
	return b, true
}

func (p *Platform) create(w http.ResponseWriter, r *http.Request) {
	b, ok := readWrite(w, r)
	if !ok {
		return
	}
	kind := r.PathValue("kind")
	if b.Meta.Name == "" || strings.Contains(b.Meta.Name, "/") {
		http.Error(w, "meta.name is missing", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.objects[kind][b.Meta.Name]; s != nil {
		writeJSON(w, http.StatusConflict, s.now)
		return
	}
	s := &stored{}
	if p.objects[kind] == nil {
		p.objects[kind] = map[string]*stored{}
	}
	p.objects[kind][b.Meta.Name] = s
	p.store(kind, s, object{Meta: meta{Name: b.Meta.Name, Finalizers: b.Meta.Finalizers}, Spec: b.Spec})
	writeJSON(w, http.StatusOK, s.now)
}

func (p *Platform) replace(w http.ResponseWriter, r *http.Request) {
	b, ok := readWrite(w, r)
	if !ok {
		return
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.objects[kind][name]
	switch {
	case s == nil:
		http.Error(w, "no such object", http.StatusNotFound)
		return
	case b.Meta.Revision != 0 && b.Meta.Revision != s.now.Meta.Revision:
		writeJSON(w, http.StatusConflict, s.now)
		return
	}
	s.heard = time.Now()
	if !sameSpec(kind, s.now.Spec, b.Spec) {
		o := s.now
		o.Spec = b.Spec
		p.store(kind, s, o)
	}
	writeJSON(w, http.StatusOK, s.now)
}

// sameSpec reports whether a write changes nothing. The count of a target's
// heartbeats is no change.
func sameSpec(kind string, a, b json.RawMessage) bool {
	if kind != targetsKind {
		return string(a) == string(b)
	}
	var x, y map[string]json.RawMessage
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	delete(x, "sequence")
	delete(y, "sequence")
	return maps.EqualFunc(x, y, func(a, b json.RawMessage) bool { return string(a) == string(b) })
}

// store makes o the newest state of s. The caller holds mu.
func (p *Platform) store(kind string, s *stored, o object) {
	now := time.Now()
	p.revision++
	o.Meta.Revision = p.revision
	if o.Meta.Created == 0 {
		o.Meta.Created = p.revision
	}
	if now.Sub(s.since) >= p.cfg.HostLag || kind != membersKind {
		s.old = s.now
	}
	s.now, s.since, s.heard = o, now, now
	p.note(change{Kind: kind, Object: o})
	if p.cfg.Record != nil {
		if own, ok := ownObject(kind, o); ok {
			p.cfg.Record(own)
		}
	}
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.objects[r.PathValue("kind")][r.PathValue("name")]
	if s == nil {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	if q := r.URL.Query().Get("revision"); q != "" && q != strconv.FormatUint(s.now.Meta.Revision, 10) {
		writeJSON(w, http.StatusConflict, s.now)
		return
	}
	p.delete(r.PathValue("kind"), s)
	writeJSON(w, http.StatusOK, s.now)
}

// delete removes an object. The caller holds mu.
func (p *Platform) delete(kind string, s *stored) {
	p.revision++
	o := s.now
	o.Meta.Revision = p.revision
	delete(p.objects[kind], o.Meta.Name)
	p.note(change{Kind: kind, Object: o, Deleted: true})
}

// note adds a change to the history. The caller holds mu.
func (p *Platform) note(c change) {
	p.history = append(p.history, c)
	if len(p.history) > historyMost {
		p.forgotten = p.history[0].Object.Meta.Revision
		p.history = slices.Clone(p.history[1:])
	}
	p.wake()
}

// wake wakes the watches. The caller holds mu.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// ownObject returns an object of this system, by its path.
func ownObject(kind string, o object) (platform.Object, bool) {
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
