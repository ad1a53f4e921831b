package target

import (
	"slices"
	"strings"
)

// Record is the agreed level of one target.
type Record struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	Level   Level  `json:"level"`
}

// Health is the health of a failure domain's targets on which its balancers have
// agreed. It is immutable. A target without a record has LevelFull.
type Health struct {
	// Domain is the failure domain of the targets.
	Domain string `json:"domain"`
	// Fence is the fencing number of the lease under which the health was published.
	Fence uint64 `json:"fence"`
	// Number grows by one with each change under one fencing number.
	Number uint64 `json:"number"`
	// Records are sorted by service and target.
	Records []Record `json:"records,omitempty"`
	// Reach has the levels at which this domain reaches other domains, sorted by
	// domain. A domain without an entry has LevelFull.
	Reach []Reach `json:"reach,omitempty"`
}

// Reach is the level at which one failure domain reaches another.
type Reach struct {
	// Domain is the domain that is reached.
	Domain string `json:"domain"`
	Level  Level  `json:"level"`
}

// isNewerThan reports whether h replaces o: it has a higher fencing number, or a higher
// Number under the same one.
func (h Health) isNewerThan(o Health) bool {
	if h.Fence != o.Fence {
		return h.Fence > o.Fence
	}
	return h.Number > o.Number
}

// compareRecords orders records by service and target.
func compareRecords(a, b Record) int {
	if c := strings.Compare(a.Service, b.Service); c != 0 {
		return c
	}
	return strings.Compare(a.Target, b.Target)
}

// Level returns the agreed level of a target.
func (h Health) Level(service, target string) Level {
	i, ok := slices.BinarySearchFunc(h.Records, Record{Service: service, Target: target}, compareRecords)
	if !ok {
		return LevelFull
	}
	return h.Records[i].Level
}

// WithLevel returns a copy of h in which the target has the given level.
func (h Health) WithLevel(service, target string, level Level) Health {
	r := Record{Service: service, Target: target, Level: level}
	i, ok := slices.BinarySearchFunc(h.Records, r, compareRecords)
	h.Records = slices.Clone(h.Records)
	switch {
	case ok && level == LevelFull:
		h.Records = slices.Delete(h.Records, i, i+1)
	case ok:
		h.Records[i] = r
	case level != LevelFull:
		h.Records = slices.Insert(h.Records, i, r)
	}
	return h
}

// ReachLevel returns the level at which h.Domain reaches another domain.
func (h Health) ReachLevel(domain string) Level {
	i, ok := slices.BinarySearchFunc(h.Reach, domain, compareReach)
	if !ok {
		return LevelFull
	}
	return h.Reach[i].Level
}

// WithReach returns a copy of h in which h.Domain reaches domain at the given level.
func (h Health) WithReach(domain string, level Level) Health {
	reach := slices.DeleteFunc(slices.Clone(h.Reach), func(r Reach) bool { return r.Domain == domain })
	if level != LevelFull {
		i, _ := slices.BinarySearchFunc(reach, domain, compareReach)
		reach = slices.Insert(reach, i, Reach{Domain: domain, Level: level})
	}
	h.Reach = reach
	return h
}

// compareReach compares the domain of r with the given domain.
func compareReach(r Reach, domain string) int {
	return strings.Compare(r.Domain, domain)
}
