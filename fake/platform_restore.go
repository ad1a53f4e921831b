package fake

import (
	"net/http"
	"slices"
	"strconv"
)

// eraHeader is the header of each response that contains the era.
const eraHeader = "Store-Era"

// initialEra is the era of a new platform.
const initialEra = 1

// Backup is a copy of the content of a Platform, which Restore brings back.
type Backup struct {
	revision          uint64
	objects           map[string]map[string]*storedObject
	history           []change
	compactedRevision uint64
}

// Backup returns a copy of the platform's content.
func (p *Platform) Backup() Backup {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Backup{
		revision: p.revision, objects: copyObjects(p.objects), history: slices.Clone(p.history), compactedRevision: p.compactedRevision,
	}
}

// Restore replaces the platform's content by an older copy and begins the next era. All
// writes since the copy are lost, revisions are given out again, and the open watches
// are cut.
func (p *Platform) Restore(b Backup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era++
	p.revision, p.objects = b.revision, copyObjects(b.objects)
	p.history, p.compactedRevision = slices.Clone(b.history), b.compactedRevision
	clear(p.snapshots) // They are of the era before.
	p.wakeWatches()
}

// copyObjects returns a deep copy of objects by kind and name. The specs are shared, as
// they are never changed.
func copyObjects(objects map[string]map[string]*storedObject) map[string]map[string]*storedObject {
	copied := make(map[string]map[string]*storedObject, len(objects))
	for kind, byName := range objects {
		copied[kind] = make(map[string]*storedObject, len(byName))
		for name, s := range byName {
			o := *s
			copied[kind][name] = &o
		}
	}
	return copied
}

// setEraHeader names the current era in a response.
func (p *Platform) setEraHeader(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set(eraHeader, strconv.FormatUint(p.era, 10))
}

// currentEra returns the era.
func (p *Platform) currentEra() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era
}
