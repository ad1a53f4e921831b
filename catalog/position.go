package catalog

import "strconv"

// Position is a point in the history of the platform's store: an era, and a revision within
// it. The era rises by one each time that the store comes back from an older copy, and
// revisions are then given out again. A revision alone does not identify content.
type Position struct {
	// Era is one more than the number by which the store names the era, so that 0 means
	// that it names none.
	Era uint64 `json:"era"`
	// Revision is the store's revision in that era.
	Revision uint64 `json:"revision"`
}

// After reports whether p is later than o.
func (p Position) After(o Position) bool {
	if p.Era != o.Era {
		return p.Era > o.Era
	}
	return p.Revision > o.Revision
}

// IsKnown reports whether p is a position. The zero value is none.
func (p Position) IsKnown() bool {
	return p.Revision > 0
}

// String returns the name of the era and the revision, separated by a dot, or only the
// revision if the store names no era.
func (p Position) String() string {
	revision := strconv.FormatUint(p.Revision, 10)
	if p.Era == 0 {
		return revision
	}
	return EraName(p.Era) + "." + revision
}

// EraName returns the number by which the store names an era, "none" for 0.
func EraName(era uint64) string {
	if era == 0 {
		return "none"
	}
	return strconv.FormatUint(era-1, 10)
}

// Later returns the later one of two positions.
func Later(p, o Position) Position {
	if o.After(p) {
		return o
	}
	return p
}

// Earlier returns the earlier one of two positions.
func Earlier(p, o Position) Position {
	if p.After(o) {
		return o
	}
	return p
}
