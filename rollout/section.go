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
	// partItems is the largest number of targets or health records in a section.
	partItems = 64
)

// kind says what a section holds. Sections are sorted by kind first.
type kind uint8

// The kinds of a section. The numbers travel, so that they must not change.
const (
	// kindFrame is a State without what the other kinds hold.
	kindFrame kind = iota + 1
	kindHolders
	// kindEntry is the head's entry of a service.
	kindEntry
	kindMember
	// kindHealth is the health of a domain, or its further records.
	kindHealth
	// kindService is a service, or its further targets.
	kindService
	// kindShares is the shares of a service.
	kindShares
)

// sectionKey is the place of a section in its release.
type sectionKey struct {
	Kind kind   `json:"k"`
	Name string `json:"n,omitempty"`
	// Part counts the sections of one name from 0.
	Part int `json:"p,omitempty"`
}

func (k sectionKey) compare(o sectionKey) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), strings.Compare(k.Name, o.Name), cmp.Compare(k.Part, o.Part))
}

// section is an immutable part of a release, shared by all releases that have
// it in common.
type section struct {
	sectionKey
	// sum is the SHA-256 digest of key and value.
	sum [sha256.Size]byte
	// value is a State, fleet.ClaimHolders, ticket.Entry, fleet.Member, target.Health,
	// service.Service or fleet.Shares, by kind.
	value any
}

// newSection returns the section of a value.
func newSection(k sectionKey, value any) (*section, error) {
	content, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return sumSection(k, value, content)
}

func sumSection(k sectionKey, value any, content []byte) (*section, error) {
	place, err := json.Marshal(k)
	if err != nil {
		return nil, err
	}
	h := sha256.New()
	h.Write(place)
	h.Write(content)
	s := &section{sectionKey: k, value: value}
	h.Sum(s.sum[:0])
	return s, nil
}

// readSection returns the section with the given encoded value.
func readSection(k sectionKey, content []byte) (*section, error) {
	value, err := readValue(k.Kind, content)
	if err != nil {
		return nil, err
	}
	return newSection(k, value)
}

func readValue(k kind, content []byte) (any, error) {
	switch k {
	case kindFrame:
		var v State
		err := json.Unmarshal(content, &v)
		return v, err
	case kindHolders:
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

// cutter collects the sections of a state.
type cutter struct {
	// base are sections to share where they are equal, in order.
	base     []*section
	sections []*section
	err      error
}

func (c *cutter) add(k kind, name string, part int, value any) {
	if c.err != nil {
		return
	}
	key := sectionKey{Kind: k, Name: name, Part: part}
	for len(c.base) > 0 && c.base[0].compare(key) < 0 {
		c.base = c.base[1:]
	}
	if len(c.base) > 0 && c.base[0].sectionKey == key && equalValues(c.base[0].value, value) {
		c.sections = append(c.sections, c.base[0])
		return
	}
	s, err := newSection(key, value)
	c.sections, c.err = append(c.sections, s), err
}

// equalValues reports whether two values are encoded alike. Of kinds that are
// rare it may say that they are not.
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

// cut returns the sections of a state, in order, some of them shared with base.
// What they hold depends on s only.
func cut(s State, base []*section) ([]*section, error) {
	c := cutter{base: base}
	c.add(kindFrame, "", 0, frame(s))
	c.add(kindHolders, "", 0, s.Fleet.ClaimHolders)
	for _, name := range slices.Sorted(maps.Keys(s.Fleet.Head.Services)) {
		c.add(kindEntry, name, 0, s.Fleet.Head.Services[name])
	}
	for _, m := range s.Fleet.Members {
		c.add(kindMember, m.Name, 0, m)
	}
	for _, h := range s.Fleet.Health {
		c.health(h)
	}
	for _, v := range s.Config.Services {
		c.service(v)
	}
	for _, v := range s.Fleet.Shares {
		c.add(kindShares, v.Service, 0, v)
	}
	if c.err != nil {
		return nil, c.err
	}
	return c.sections, ordered(c.sections)
}

func (c *cutter) health(h target.Health) {
	records := h.Records
	h.Records = records[:min(len(records), partItems)]
	c.add(kindHealth, h.Domain, 0, h)
	for i, part := range parts(len(records)) {
		c.add(kindHealth, h.Domain, i+1, target.Health{Records: records[part.from:part.to]})
	}
}

func (c *cutter) service(s service.Service) {
	pool := s.Pool
	s.Pool = pool[:min(len(pool), partItems)]
	c.add(kindService, s.Name, 0, s)
	for i, part := range parts(len(pool)) {
		c.add(kindService, s.Name, i+1, service.Service{Pool: pool[part.from:part.to]})
	}
}

// span is a range of items.
type span struct{ from, to int }

// parts returns the ranges of n items after the first partItems.
func parts(n int) []span {
	var out []span
	for from := partItems; from < n; from += partItems {
		out = append(out, span{from: from, to: min(from+partItems, n)})
	}
	return out
}

// frame returns s without what the other sections hold. It keeps the difference
// between a list that is empty and one that is not there.
func frame(s State) State {
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

// ordered refuses sections that are too many or not in order.
func ordered(sections []*section) error {
	if len(sections) > maxSections {
		return &SectionError{Reason: "too many sections"}
	}
	for i := 1; i < len(sections); i++ {
		a, b := sections[i-1], sections[i]
		if a.compare(b.sectionKey) >= 0 {
			return &SectionError{Kind: uint8(b.Kind), Name: b.Name, Reason: "it is not in order"}
		}
		if b.Part > 0 && (a.Kind != b.Kind || a.Name != b.Name || a.Part != b.Part-1) {
			return &SectionError{Kind: uint8(b.Kind), Name: b.Name, Reason: "a part of it is missing"}
		}
	}
	return nil
}
