package fake

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// writeRequest is the body of a call that creates or replaces an object.
type writeRequest struct {
	Meta struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Finalizers []string `json:"finalizers"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// readWriteRequest reads the body of a write. If it is not valid, it responds with
// an error and returns false.
func readWriteRequest(w http.ResponseWriter, r *http.Request) (writeRequest, bool) {
	var b writeRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		http.Error(w, "body is too large or incomplete", http.StatusRequestEntityTooLarge)
		return b, false
	}
	if err := json.Unmarshal(body, &b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return b, false
	}
	return b, true
}

// create stores a new object. Status 409 means that it exists; the response is then
// the stored object.
func (p *Platform) create(w http.ResponseWriter, r *http.Request) {
	b, ok := readWriteRequest(w, r)
	if !ok {
		return
	}
	kind := r.PathValue("kind")
	if b.Meta.Name == "" || strings.Contains(b.Meta.Name, "/") {
		http.Error(w, "meta.name is missing or contains a slash", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.objects[kind][b.Meta.Name]; s != nil {
		writeJSON(w, http.StatusConflict, s.current)
		return
	}
	s := &storedObject{}
	if p.objects[kind] == nil {
		p.objects[kind] = map[string]*storedObject{}
	}
	p.objects[kind][b.Meta.Name] = s
	p.save(kind, s, object{Meta: meta{Name: b.Meta.Name, Finalizers: b.Meta.Finalizers}, Spec: b.Spec})
	writeJSON(w, http.StatusOK, s.current)
}

// replace stores a new spec of an object. If the revision in the body is neither 0 nor
// the current one, it responds with status 409 and the stored object.
func (p *Platform) replace(w http.ResponseWriter, r *http.Request) {
	b, ok := readWriteRequest(w, r)
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
	case b.Meta.Revision != 0 && b.Meta.Revision != s.current.Meta.Revision:
		writeJSON(w, http.StatusConflict, s.current)
		return
	}
	s.writtenAt = time.Now()
	if !isSameSpec(kind, s.current.Spec, b.Spec) {
		o := s.current
		o.Spec = b.Spec
		p.save(kind, s, o)
	}
	writeJSON(w, http.StatusOK, s.current)
}

// isSameSpec reports whether two specs of an object are equal. It ignores the
// heartbeat sequence number in a target's entry.
func isSameSpec(kind string, a, b json.RawMessage) bool {
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

// save makes o the current state of s under a new revision, and adds the change to
// the history. A member that changes again within HostLag keeps its previous state,
// so that stale lists return it for the whole HostLag. The caller holds mu.
func (p *Platform) save(kind string, s *storedObject, o object) {
	now := time.Now()
	p.keepSnapshot(kind)
	p.revision++
	o.Meta.Revision = p.revision
	if o.Meta.Created == 0 {
		o.Meta.Created = p.revision
	}
	if now.Sub(s.changedAt) >= p.cfg.HostLag || kind != membersKind {
		s.previous = s.current
	}
	s.current, s.changedAt, s.writtenAt = o, now, now
	p.appendHistory(change{Kind: kind, Object: o})
	if p.cfg.OnWrite != nil {
		if own, ok := decodeOwnObject(kind, o); ok {
			p.cfg.OnWrite(own)
		}
	}
}

// remove deletes an object. If the parameter "revision" is set and is not the current
// one, it responds with status 409 and the stored object.
func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.objects[r.PathValue("kind")][r.PathValue("name")]
	if s == nil {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	if q := r.URL.Query().Get("revision"); q != "" && q != strconv.FormatUint(s.current.Meta.Revision, 10) {
		writeJSON(w, http.StatusConflict, s.current)
		return
	}
	p.delete(r.PathValue("kind"), s)
	writeJSON(w, http.StatusOK, s.current)
}

// delete removes an object under a new revision. The caller holds mu.
func (p *Platform) delete(kind string, s *storedObject) {
	p.keepSnapshot(kind)
	p.revision++
	o := s.current
	o.Meta.Revision = p.revision
	delete(p.objects[kind], o.Meta.Name)
	p.appendHistory(change{Kind: kind, Object: o, Deleted: true})
}
