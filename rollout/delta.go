package rollout

import (
	"bytes"
	"encoding/json"
	"slices"

	"wisteriaweir/deflate"
)

// Limits of deltas.
const (
	// maxDeltaBody is the largest compressed body of a delta, in bytes. Larger
	// changes are sent as a Snapshot.
	maxDeltaBody = 256 << 10
	// maxDeltaContent is the largest uncompressed content of a delta, in bytes.
	maxDeltaContent = 8 << 20
)

// Delta is the difference between two releases: the sections that differ. It is
// sent to members that hold the earlier release. The zero Delta means that there
// is none.
type Delta struct {
	// BaseNumber is the number of the earlier release.
	BaseNumber uint64
	// BaseDigest is the digest of the earlier release.
	BaseDigest string
	// Number is the number of the later release.
	Number uint64
	// Digest is the digest of the later release.
	Digest string
	// SectionsDigest is the SHA-256 digest over the number, the digest and all
	// sections of the later release.
	SectionsDigest []byte
	// Body is the compressed content of the delta: the changed sections and the
	// keys of the removed ones.
	Body []byte
}

// deltaContent is the uncompressed content of the body of a delta.
type deltaContent struct {
	// Changed are the sections that were added or have another content, sorted by key.
	Changed []changedSection `json:"put,omitempty"`
	// Removed are the keys of the sections that are no longer in the release, sorted.
	Removed []sectionKey `json:"gone,omitempty"`
}

// changedSection is an added or changed section with its JSON content.
type changedSection struct {
	sectionKey
	Value json.RawMessage `json:"v"`
}

// DeltaFrom returns the delta from base to r. It returns false if one of them is the
// zero Release, if base is not an earlier release, or if the delta cannot be encoded
// within the size limits.
func (r Release) DeltaFrom(base Release) (Delta, bool) {
	if base.content == nil || r.content == nil || base.Number >= r.Number {
		return Delta{}, false
	}
	changes, err := diffSections(base.content.sections, r.content.sections)
	if err != nil {
		return Delta{}, false
	}
	content, err := json.Marshal(changes)
	if err != nil || len(content) > maxDeltaContent {
		return Delta{}, false
	}
	body, err := deflate.Pack(content)
	if err != nil || len(body) > maxDeltaBody {
		return Delta{}, false
	}
	return Delta{
		BaseNumber:     base.Number,
		BaseDigest:     base.Digest,
		Number:         r.Number,
		Digest:         r.Digest,
		SectionsDigest: r.content.sectionsDigest,
		Body:           body,
	}, true
}

// diffSections returns the changes from the sections old to the sections next.
// Both must be sorted.
func diffSections(old, next []*section) (deltaContent, error) {
	var changes deltaContent
	for len(old) > 0 || len(next) > 0 {
		// order is negative if the first section is only in old, positive if it is only
		// in next, and 0 if it is in both.
		order := 0
		switch {
		case len(old) == 0:
			order = 1
		case len(next) == 0:
			order = -1
		default:
			order = old[0].compare(next[0].sectionKey)
		}
		if order < 0 {
			changes.Removed = append(changes.Removed, old[0].sectionKey)
			old = old[1:]
			continue
		}
		if order > 0 || old[0].digest != next[0].digest {
			value, err := json.Marshal(next[0].value)
			if err != nil {
				return deltaContent{}, err
			}
			changes.Changed = append(changes.Changed, changedSection{sectionKey: next[0].sectionKey, Value: value})
		}
		if order == 0 {
			old = old[1:]
		}
		next = next[1:]
	}
	return changes, nil
}

// ApplyDelta returns the release that results from applying d to r, which shares its
// unchanged sections with r. The error is a *ReleaseError if r is not the base of d,
// if d cannot be decoded, or if the result is not the release that d names.
func (r Release) ApplyDelta(d Delta) (Release, error) {
	if r.content == nil || r.Number != d.BaseNumber || r.Digest != d.BaseDigest || d.Number <= d.BaseNumber {
		return Release{}, &ReleaseError{Number: d.Number, Reason: "the delta was made from another release"}
	}
	sections, err := d.applyTo(r.content.sections)
	if err != nil {
		return Release{}, &ReleaseError{Number: d.Number, Reason: err.Error()}
	}
	sectionsDigest := digestSections(d.Number, d.Digest, sections)
	if !bytes.Equal(sectionsDigest, d.SectionsDigest) {
		return Release{}, &ReleaseError{Number: d.Number, Reason: "the delta results in another state than it names"}
	}
	s, err := joinSections(sections)
	if err != nil {
		return Release{}, &ReleaseError{Number: d.Number, Reason: err.Error()}
	}
	if s.Fleet.Number != d.Number {
		return Release{}, &ReleaseError{Number: d.Number, Reason: "the delta holds a state of another number"}
	}
	if err := s.validate(); err != nil {
		return Release{}, err
	}
	c := &content{state: s, sections: sections, sectionsDigest: sectionsDigest}
	return Release{Number: d.Number, Digest: d.Digest, content: c}, nil
}

// applyTo returns the sections of base with the changes of d applied.
func (d Delta) applyTo(base []*section) ([]*section, error) {
	content, err := deflate.Unpack(d.Body, maxDeltaContent)
	if err != nil {
		return nil, err
	}
	var changes deltaContent
	if err := json.Unmarshal(content, &changes); err != nil {
		return nil, err
	}
	outdated := make(map[sectionKey]bool, len(changes.Removed)+len(changes.Changed))
	for _, k := range changes.Removed {
		outdated[k] = true
	}
	for _, p := range changes.Changed {
		outdated[p.sectionKey] = true
	}
	next := slices.DeleteFunc(slices.Clone(base), func(s *section) bool { return outdated[s.sectionKey] })
	for _, p := range changes.Changed {
		s, err := readSection(p.sectionKey, p.Value)
		if err != nil {
			return nil, err
		}
		i, _ := slices.BinarySearchFunc(next, s.sectionKey, func(o *section, k sectionKey) int { return o.compare(k) })
		next = slices.Insert(next, i, s)
	}
	return next, nil
}
