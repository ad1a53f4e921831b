package fake

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
)

// PutRaw writes an object whose spec consists of any bytes, as another writer may leave it in
// the store. The spec is not decoded: it is a part of each response that contains the object.
func (p *Platform) PutRaw(kind, name string, spec []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	placeholder := fmt.Sprintf(`"raw spec %d"`, len(p.rawSpecs))
	p.rawSpecs[placeholder] = bytes.Clone(spec)
	s := p.objects[kind][name]
	if s == nil {
		s = &storedObject{}
		if p.objects[kind] == nil {
			p.objects[kind] = map[string]*storedObject{}
		}
		p.objects[kind][name] = s
	}
	o := s.current
	o.Meta.Name, o.Spec = name, json.RawMessage(placeholder)
	p.save(kind, s, o)
}

// writeObjects responds with objects, and inserts the specs of PutRaw.
func (p *Platform) writeObjects(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	p.mu.Lock()
	for placeholder, spec := range p.rawSpecs {
		b = bytes.ReplaceAll(b, []byte(placeholder), spec)
	}
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}
