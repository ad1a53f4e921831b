package rollout

import (
	"bytes"
	"encoding/json"
	"slices"

	"wisteriaweir/deflate"
)

// Limits of deltas.
const (
	// maxDelta is the largest body of a delta that is sent, in bytes. What
	// changed more than that travels as a whole.
	maxDelta = 256 << 10
	// maxDeltaContent is the largest content of a delta, unpacked, in bytes.
	maxDeltaContent = 8 << 20
)

// Delta is a release in the form in which it travels to those who hold an
// earlier one: the sections that differ. The zero Delta is none.
type Delta struct {
	// Base and BaseDigest name the earlier release.
	Base       uint64
	BaseDigest string
	// Number and Digest name the release.
	Number uint64
	Digest string
	// SectionsDigest is the digest over number, digest and all sections of the release.
	SectionsDigest []byte
	// Body holds the compressed sections.
	Body []byte
}

// deltaContent is what the body of a delta holds.
type deltaContent struct {
	Put  []putSection `json:"put,omitempty"`
	Gone []sectionKey `json:"gone,omitempty"`
}

type putSection struct {
	sectionKey
	Value json.RawMessage `json:"v"`
}

// DeltaFrom returns the delta that makes r out of base, and false if there is none
// or only one above the limits.
func (r Release) DeltaFrom(base Release) (Delta, bool) {
	if base.content == nil || r.content == nil || base.Number >= r.Number {
		return Delta{}, false
	}
	changes, err := compare(base.content.sections, r.content.sections)
	if err != nil {
		return Delta{}, false
	}
	encoded, err := json.Marshal(changes)
	if err != nil || len(encoded) > maxDeltaContent {
		return Delta{}, false
	}
	body, err := deflate.Pack(encoded)
	if err != nil || len(body) > maxDelta {
		return Delta{}, false
	}
	return Delta{
		Base:           base.Number,
		BaseDigest:     base.Digest,
		Number:         r.Number,
		Digest:         r.Digest,
		SectionsDigest: r.content.sum,
		Body:           body,
	}, true
}

// compare returns what turns the sections old into next. Both are sorted.
func compare(old, next []*section) (deltaContent, error) {
	var d deltaContent
	for len(old) > 0 || len(next) > 0 {
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
			d.Gone = append(d.Gone, old[0].sectionKey)
			old = old[1:]
			continue
		}
		if order > 0 || old[0].sum != next[0].sum {
			value, err := json.Marshal(next[0].value)
			if err != nil {
				return deltaContent{}, err
			}
			d.Put = append(d.Put, putSection{sectionKey: next[0].sectionKey, Value: value})
		}
		if order == 0 {
			old = old[1:]
		}
		next = next[1:]
	}
	return d, nil
}

// ApplyDelta returns the release that d makes out of r. It shares the sections that
// did not change. The error is a *ReleaseError: r is not the base, or the whole
// that results is not the one that d names.
func (r Release) ApplyDelta(d Delta) (Release, error) {
	if r.content == nil || r.Number != d.Base || r.Digest != d.BaseDigest || d.Number <= d.Base {
		return Release{}, &ReleaseError{Number: d.Number, Reason: "its base is another release"}
	}
	sections, err := d.sections(r.content.sections)
	if err != nil {
		return Release{}, &ReleaseError{Number: d.Number, Reason: err.Error()}
	}
	sum := sumSections(d.Number, d.Digest, sections)
	if !bytes.Equal(sum, d.SectionsDigest) {
		return Release{}, &ReleaseError{Number: d.Number, Reason: "the changes make another state"}
	}
	s, err := join(sections)
	if err != nil {
		return Release{}, &ReleaseError{Number: d.Number, Reason: err.Error()}
	}
	if s.Fleet.Number != d.Number {
		return Release{}, &ReleaseError{Number: d.Number, Reason: "it holds another state"}
	}
	if err := s.check(); err != nil {
		return Release{}, err
	}
	c := &content{state: s, sections: sections, sum: sum}
	return Release{Number: d.Number, Digest: d.Digest, content: c}, nil
}

// sections returns those of the base with the changes of d.
func (d Delta) sections(base []*section) ([]*section, error) {
	encoded, err := deflate.Unpack(d.Body, maxDeltaContent)
	if err != nil {
		return nil, err
	}
	var changes deltaContent
	if err := json.Unmarshal(encoded, &changes); err != nil {
		return nil, err
	}
	gone := make(map[sectionKey]bool, len(changes.Gone)+len(changes.Put))
	for _, k := range changes.Gone {
		gone[k] = true
	}
	for _, p := range changes.Put {
		gone[p.sectionKey] = true
	}
	next := slices.DeleteFunc(slices.Clone(base), func(s *section) bool { return gone[s.sectionKey] })
	for _, p := range changes.Put {
		s, err := readSection(p.sectionKey, p.Value)
		if err != nil {
			return nil, err
		}
		i, _ := slices.BinarySearchFunc(next, s.sectionKey, func(o *section, k sectionKey) int { return o.compare(k) })
		next = slices.Insert(next, i, s)
	}
	return next, nil
}
