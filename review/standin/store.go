package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// pageSize is the largest number of objects in one page of a list, as in the site files
	// (page in the table discovery).
	pageSize = 50
	// maxWatch is the longest time for which a watch is held.
	maxWatch = 30 * time.Second
	// expiryInterval is the time between two checks for silent servers.
	expiryInterval = 50 * time.Millisecond
	// kindServers is the kind of the servers' entries, kindConfig that of the configuration.
	kindServers = "servers"
	kindConfig  = "config"
)

// objectMeta is the metadata of an object.
type objectMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"delete_requested"`
}

// object is an object of the store. It is replaced as a whole and never changed.
type object struct {
	Meta   objectMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
	// comparable is the spec without the sequence of a server, which is no change.
	comparable string
}

// event is a change of an object.
type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// snapshot is the content of one kind at a time, as a stale read returns it.
type snapshot struct {
	at       time.Time
	revision uint64
	items    []object
}

// store is a stand-in of the platform's store.
type store struct {
	url string
	srv *http.Server
	// entryTTL is the time of silence after which a server's entry is removed.
	entryTTL time.Duration
	// staleAge returns how old the answer to a stale read is that continues after a name.
	staleAge func(kind, after string) time.Duration

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	// writtenAt holds the time of the last write to each server's entry.
	writtenAt map[string]time.Time
	history   []event
	snapshots map[string][]snapshot
	changed   chan struct{}
	closed    chan struct{}
}

// newStore starts a store at an address.
func newStore(addr string, entryTTL time.Duration) (*store, error) {
	s := &store{
		url: "http://" + addr, entryTTL: entryTTL, revision: 1, objects: map[string]map[string]object{},
		writtenAt: map[string]time.Time{}, snapshots: map[string][]snapshot{}, changed: make(chan struct{}), closed: make(chan struct{}),
		staleAge: func(string, string) time.Duration { return 0 },
	}
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/objects/{kind}", s.list)
	mux.HandleFunc("GET /api/objects/{kind}/{name}", s.get)
	mux.HandleFunc("POST /api/objects/{kind}", s.create)
	mux.HandleFunc("PUT /api/objects/{kind}/{name}", s.replace)
	mux.HandleFunc("DELETE /api/objects/{kind}/{name}", s.remove)
	s.srv = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.srv.Serve(l) }()
	go s.expire()
	return s, nil
}

// close stops the store.
func (s *store) close() {
	close(s.closed)
	_ = s.srv.Close()
}

// expire removes the entries of silent servers until the store is closed.
func (s *store) expire() {
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	for {
		select {
		case <-s.closed:
			return
		case now := <-t.C:
			s.mu.Lock()
			for name, at := range s.writtenAt {
				if now.Sub(at) >= s.entryTTL {
					s.deleteLocked(kindServers, name)
				}
			}
			s.mu.Unlock()
		}
	}
}

// put writes an object and returns the time of the acknowledgement.
func (s *store) put(kind, name string, spec any) time.Time {
	b, err := json.Marshal(spec)
	if err != nil {
		b = []byte("null")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, b)
	return time.Now()
}

// delete removes an object.
func (s *store) delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLocked(kind, name)
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if kind == kindServers {
		s.writtenAt[name] = time.Now()
	}
	old, exists := s.objects[kind][name]
	key := comparableSpec(kind, spec)
	if exists && old.comparable == key {
		return old
	}
	s.keepSnapshotLocked(kind)
	s.revision++
	o := object{Meta: objectMeta{Name: name, Revision: s.revision, Created: old.Meta.Created, Finalizers: []string{}}, Spec: spec, comparable: key}
	if !exists {
		o.Meta.Created = s.revision
	}
	s.objects[kind][name] = o
	s.announceLocked(event{Object: o, kind: kind})
	return o
}

func (s *store) deleteLocked(kind, name string) {
	o, exists := s.objects[kind][name]
	if !exists {
		return
	}
	s.keepSnapshotLocked(kind)
	s.revision++
	delete(s.objects[kind], name)
	delete(s.writtenAt, name)
	o.Meta.Revision = s.revision
	s.announceLocked(event{Object: o, Deleted: true, kind: kind})
}

// keepSnapshotLocked stores the content of a kind before a change of it.
func (s *store) keepSnapshotLocked(kind string) {
	s.snapshots[kind] = append(s.snapshots[kind], snapshot{at: time.Now(), revision: s.revision, items: s.itemsLocked(kind)})
}

// itemsLocked returns the objects of a kind, sorted by name.
func (s *store) itemsLocked(kind string) []object {
	objects := s.objects[kind]
	items := make([]object, 0, len(objects))
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		items = append(items, objects[name])
	}
	return items
}

func (s *store) announceLocked(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// comparableSpec returns a text that is equal for two specs if one does not change the other.
func comparableSpec(kind string, spec json.RawMessage) string {
	var fields map[string]any
	if kind != kindServers || json.Unmarshal(spec, &fields) != nil {
		return string(spec)
	}
	delete(fields, "sequence")
	b, err := json.Marshal(fields)
	if err != nil {
		return string(spec)
	}
	return string(b)
}

// list answers a list or a watch.
func (s *store) list(w http.ResponseWriter, r *http.Request) {
	kind, q := r.PathValue("kind"), r.URL.Query()
	if q.Has("watch") {
		s.watch(w, r, kind)
		return
	}
	after, age := q.Get("after"), time.Duration(0)
	if q.Get("allow_stale") == "1" {
		age = s.staleAge(kind, after)
	}
	s.mu.Lock()
	items, revision := s.itemsLocked(kind), s.revision
	for _, old := range slices.Backward(s.snapshots[kind]) {
		if time.Since(old.at) > age {
			break
		}
		items, revision = old.items, old.revision
	}
	s.mu.Unlock()
	page := struct {
		Items    []object `json:"items"`
		More     bool     `json:"more"`
		Revision uint64   `json:"store_revision"`
	}{Items: []object{}, Revision: revision}
	for _, o := range items {
		if o.Meta.Name <= after {
			continue
		}
		if len(page.Items) == pageSize {
			page.More = true
			break
		}
		page.Items = append(page.Items, o)
	}
	respond(w, http.StatusOK, page)
}

// watch answers a watch as soon as there is a change, or at the end of its wait.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || errWait != nil {
		http.Error(w, "invalid watch", http.StatusBadRequest)
		return
	}
	end := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatch))
	defer end.Stop()
	for ended := false; ; {
		events := []event{}
		s.mu.Lock()
		for _, e := range s.history {
			if e.kind == kind && e.Object.Meta.Revision > after {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			respond(w, http.StatusOK, struct {
				Events   []event `json:"events"`
				Revision uint64  `json:"store_revision"`
			}{events, revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			ended = true
		case <-r.Context().Done():
			return
		case <-s.closed:
			return
		}
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, o)
}

// writeBody is the body of a write.
type writeBody struct {
	Meta objectMeta      `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

func (s *store) create(w http.ResponseWriter, r *http.Request) {
	var b writeBody
	if json.NewDecoder(r.Body).Decode(&b) != nil || b.Meta.Name == "" {
		http.Error(w, "invalid body", http.StatusBadRequest)
		return
	}
	kind := r.PathValue("kind")
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, exists := s.objects[kind][b.Meta.Name]; exists {
		respond(w, http.StatusConflict, o)
		return
	}
	respond(w, http.StatusOK, s.putLocked(kind, b.Meta.Name, b.Spec))
}

func (s *store) replace(w http.ResponseWriter, r *http.Request) {
	var b writeBody
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		http.Error(w, "invalid body", http.StatusBadRequest)
		return
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][name]
	switch {
	case !exists:
		http.Error(w, "no such object", http.StatusNotFound)
	case b.Meta.Revision != 0 && b.Meta.Revision != o.Meta.Revision:
		respond(w, http.StatusConflict, o)
	default:
		respond(w, http.StatusOK, s.putLocked(kind, name, b.Spec))
	}
}

func (s *store) remove(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][name]
	if !exists {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	if at := r.URL.Query().Get("revision"); at != "" && at != strconv.FormatUint(o.Meta.Revision, 10) {
		respond(w, http.StatusConflict, o)
		return
	}
	s.deleteLocked(kind, name)
	w.WriteHeader(http.StatusOK)
}

func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
