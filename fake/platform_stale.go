package fake

import (
	"slices"
	"time"
)

// snapshot is the content of a kind at a revision, which stale pages return.
type snapshot struct {
	// until is when the next change of the kind was made.
	until    time.Time
	revision uint64
	// objects are sorted by name.
	objects []object
}

// keepSnapshot stores the content of a kind before a change. The caller holds mu.
func (p *Platform) keepSnapshot(kind string) {
	if p.cfg.PageLag == nil {
		return
	}
	p.snapshots[kind] = append(p.snapshots[kind], snapshot{until: time.Now(), revision: p.revision, objects: p.sortedObjects(kind, time.Time{}, 0)})
}

// contentAt returns the objects of a kind, sorted by name, and the store's revision, as they
// were at a time. The caller holds mu.
func (p *Platform) contentAt(kind string, at time.Time) ([]object, uint64) {
	objects, revision := p.sortedObjects(kind, time.Time{}, 0), p.revision
	for _, s := range slices.Backward(p.snapshots[kind]) {
		if !s.until.After(at) {
			break
		}
		objects, revision = s.objects, s.revision
	}
	return objects, revision
}
