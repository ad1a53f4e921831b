package rollout

import (
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"wisteriaweir/fleet"
	"wisteriaweir/service"
	"wisteriaweir/target"
	"wisteriaweir/ticket"
)

// Limits of sections.
const (
	// maxSections is the largest number of sections of a release.
	maxSections = 1 << 17
	// maxSectionItems is the largest number of targets or health records in a
	// section. Further items are put into sections of their own.
	maxSectionItems = 64
)

// sectionKind is the type of the content of a section. Sections are sorted by
// kind first.
type sectionKind uint8

// The kinds of a section. The numbers are sent to other balancers and must not
// change.
const (
	// kindSkeleton is a State without the content of the other kinds.
	kindSkeleton sectionKind = iota + 1
	// kindClaimHolders is the set of claim holders of the fleet.
	kindClaimHolders
	// kindEntry is the ticket.Entry of a service in the fleet's head.
	kindEntry
	// kindMember is a member of the fleet.
	kindMember
	// kindHealth is the health of the targets in the view of a failure domain with its
	// first records (part 0), or further records of it (parts from 1).
	kindHealth
	// kindService is a service with its first targets (part 0), or further targets of it
	// (parts from 1).
	kindService
	// kindShares holds the shares of the targets of a service.
	kindShares
)

// sectionKey identifies a section in its release and determines its position.
type sectionKey struct {
	Kind sectionKind `json:"k"`
	Name string      `json:"n,omitempty"`
	// Part is the index of the section among those of the same kind and name, from 0.
	Part int `json:"p,omitempty"`
}

// compare orders keys by kind, name and part.
func (k sectionKey) compare(o sectionKey) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), strings.Compare(k.Name, o.Name), cmp.Compare(k.Part, o.Part))
}

// section is an immutable part of a release. Releases share equal sections.
type section struct {
	sectionKey
	// digest is the SHA-256 digest over the encoded key and the encoded value.
	digest [sha256.Size]byte
	// value is, depending on the kind, a State, fleet.ClaimHolders, ticket.Entry,
	// fleet.Member, target.Health, service.Service or fleet.Shares.
	value any
}

// newSection encodes a value and returns its section.
func newSection(k sectionKey, value any) (*section, error) {
	content, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return digestSection(k, value, content)
}

// digestSection returns the section of a value whose JSON encoding is content.
func digestSection(k sectionKey, value any, content []byte) (*section, error) {
	encodedKey, err := json.Marshal(k)
	if err != nil {
		return nil, err
	}
	h := sha256.New()
	h.Write(encodedKey)
	h.Write(content)
	s := &section{sectionKey: k, value: value}
	h.Sum(s.digest[:0])
	return s, nil
}

// readSection decodes the JSON encoding of a value and returns its section.
func readSection(k sectionKey, content []byte) (*section, error) {
	value, err := readValue(k.Kind, content)
	if err != nil {
		return nil, err
	}
	return newSection(k, value)
}

func readValue(k sectionKind, content []byte) (any, error) {
	switch k {
	case kindSkeleton:
		var v State
		err := json.Unmarshal(content, &v)
		return v, err
	case kindClaimHolders:
		var v fleet.ClaimHolders
		err := json.Unmarshal(content, &v)
		return v, err
	case kindEntry:
		var v ticket.Entry
		err := json.Unmarshal(content, &v)
		return v, err
	case kindMember:
		var v fleet.Member
		err := json.Unmarshal(content, &v)
		return v, err
	case kindHealth:
		var v target.Health
		err := json.Unmarshal(content, &v)
		return v, err
	case kindService:
		var v service.Service
		err := json.Unmarshal(content, &v)
		return v, err
	case kindShares:
		var v fleet.Shares
		err := json.Unmarshal(content, &v)
		return v, err
	default:
		return nil, &SectionError{Kind: uint8(k), Reason: "unknown kind"}
	}
}

// sectionBuilder collects the sections of a state in the order of their keys.
type sectionBuilder struct {
	// base are the remaining sorted sections of another state. They are shared where
	// they are equal.
	base     []*section
	sections []*section
	err      error
}

// add appends the section of a value, or the equal section of base. Sections have to
// be added in the order of their keys.
func (b *sectionBuilder) add(k sectionKind, name string, part int, value any) {
	if b.err != nil {
		return
	}
	key := sectionKey{Kind: k, Name: name, Part: part}
	for len(b.base) > 0 && b.base[0].compare(key) < 0 {
		b.base = b.base[1:]
	}
	if len(b.base) > 0 && b.base[0].sectionKey == key && equalValues(b.base[0].value, value) {
		b.sections = append(b.sections, b.base[0])
		return
	}
	s, err := newSection(key, value)
	b.sections, b.err = append(b.sections, s), err
}

// equalValues reports whether two values of the same kind have the same encoding.
// For the kinds with few sections in a release it always returns false, so that these
// sections are encoded each time.
func equalValues(a, b any) bool {
	switch a := a.(type) {
	case fleet.Member:
		return a == b.(fleet.Member)
	case fleet.Shares:
		b := b.(fleet.Shares)
		return a.Service == b.Service && slices.Equal(a.Targets, b.Targets) && (a.Targets == nil) == (b.Targets == nil)
	case ticket.Entry:
		return a == b.(ticket.Entry)
	case service.Service:
		b := b.(service.Service)
		return a.Name == b.Name && slices.Equal(a.Addresses, b.Addresses) && slices.Equal(a.Pool, b.Pool) &&
			(a.Addresses == nil) == (b.Addresses == nil) && (a.Pool == nil) == (b.Pool == nil)
	default:
		return false
	}
}

// splitSections splits a state into sorted sections. A section that is equal to one in
// base is shared with base. The keys and digests of the result do not depend on base.
func splitSections(s State, base []*section) ([]*section, error) {
	b := sectionBuilder{base: base}
	b.add(kindSkeleton, "", 0, skeleton(s))
	b.add(kindClaimHolders, "", 0, s.Fleet.ClaimHolders)
	for _, name := range slices.Sorted(maps.Keys(s.Fleet.Head.Services)) {
		b.add(kindEntry, name, 0, s.Fleet.Head.Services[name])
	}
	for _, m := range s.Fleet.Members {
		b.add(kindMember, m.Name, 0, m)
	}
	for _, h := range s.Fleet.Health {
		b.addHealth(h)
	}
	for _, v := range s.Config.Services {
		b.addService(v)
	}
	for _, v := range s.Fleet.Shares {
		b.add(kindShares, v.Service, 0, v)
	}
	if b.err != nil {
		return nil, b.err
	}
	return b.sections, checkOrder(b.sections)
}

// addHealth adds the sections of the health in the view of one domain.
func (b *sectionBuilder) addHealth(h target.Health) {
	records := h.Records
	h.Records = records[:min(len(records), maxSectionItems)]
	b.add(kindHealth, h.Domain, 0, h)
	for i, part := range partRanges(len(records)) {
		b.add(kindHealth, h.Domain, i+1, target.Health{Records: records[part.from:part.to]})
	}
}

// addService adds the sections of one service.
func (b *sectionBuilder) addService(s service.Service) {
	pool := s.Pool
	s.Pool = pool[:min(len(pool), maxSectionItems)]
	b.add(kindService, s.Name, 0, s)
	for i, part := range partRanges(len(pool)) {
		b.add(kindService, s.Name, i+1, service.Service{Pool: pool[part.from:part.to]})
	}
}

// itemRange is the range of items from index from up to, but not including, to.
type itemRange struct{ from, to int }

// partRanges returns the ranges of n items after the first maxSectionItems, with
// at most maxSectionItems each.
func partRanges(n int) []itemRange {
	var out []itemRange
	for from := maxSectionItems; from < n; from += maxSectionItems {
		out = append(out, itemRange{from: from, to: min(from+maxSectionItems, n)})
	}
	return out
}

// skeleton returns s without the content of the other sections. It preserves the
// difference between an empty list or map and a nil one, as their encodings
// differ.
func skeleton(s State) State {
	s.Fleet.ClaimHolders = fleet.ClaimHolders{}
	if s.Fleet.Head.Services != nil {
		s.Fleet.Head.Services = map[string]ticket.Entry{}
	}
	s.Fleet.Members = s.Fleet.Members[:0:0]
	s.Fleet.Health = nil
	s.Fleet.Shares = nil
	s.Config.Services = s.Config.Services[:0:0]
	return s
}

// checkOrder returns a *SectionError if there are too many sections, if they are not
// sorted, if two have the same key, or if a part is missing.
func checkOrder(sections []*section) error {
	if len(sections) > maxSections {
		return &SectionError{Reason: "too many sections"}
	}
	for i := 1; i < len(sections); i++ {
		a, b := sections[i-1], sections[i]
		if a.compare(b.sectionKey) >= 0 {
			return &SectionError{Kind: uint8(b.Kind), Name: b.Name, Reason: "it is listed twice or out of order"}
		}
		if b.Part > 0 && (a.Kind != b.Kind || a.Name != b.Name || a.Part != b.Part-1) {
			return &SectionError{Kind: uint8(b.Kind), Name: b.Name, Reason: "an earlier part of it is missing"}
		}
	}
	return nil
}
