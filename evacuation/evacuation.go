// Package evacuation defines the operator's requests to send no new flows to the targets
// of a failure domain.
//
// # Usage
//
//	s := evacuation.NewSet("west-a")
//	s = s.With("west-b")
//	s.Has("west-a") // true: place new flows elsewhere
//	s = s.Without("west-a")
//
// A Set is immutable, so goroutines share it without a lock. A request stands until the
// operator withdraws it. Open flows to the targets are not affected.
package evacuation

import (
	"maps"
	"slices"
)

// Set is the set of failure domains that are evacuated. The zero value is empty.
type Set struct {
	domains map[string]bool
}

// NewSet returns the set of the given failure domains.
func NewSet(domains ...string) Set {
	s := Set{domains: make(map[string]bool, len(domains))}
	for _, d := range domains {
		s.domains[d] = true
	}
	return s
}

// Has reports whether a failure domain is evacuated.
func (s Set) Has(domain string) bool {
	return s.domains[domain]
}

// Size returns the number of evacuated failure domains.
func (s Set) Size() int {
	return len(s.domains)
}

// Domains returns the evacuated failure domains, sorted.
func (s Set) Domains() []string {
	return slices.Sorted(maps.Keys(s.domains))
}

// With returns a copy of s that contains a failure domain.
func (s Set) With(domain string) Set {
	domains := maps.Clone(s.domains)
	if domains == nil {
		domains = map[string]bool{}
	}
	domains[domain] = true
	return Set{domains: domains}
}

// Without returns a copy of s that does not contain a failure domain.
func (s Set) Without(domain string) Set {
	domains := maps.Clone(s.domains)
	delete(domains, domain)
	return Set{domains: domains}
}

// Equal reports whether s and o contain the same failure domains.
func (s Set) Equal(o Set) bool {
	return maps.Equal(s.domains, o.domains)
}

// Change is a change of the store: a request was made or withdrawn.
type Change struct {
	// Domain is the failure domain that the request is about.
	Domain string
	// Withdrawn reports whether the request was removed. Otherwise it was made.
	Withdrawn bool
}

// WithChanges returns a copy of s with changes applied in their order.
func (s Set) WithChanges(changes []Change) Set {
	for _, ch := range changes {
		if ch.Withdrawn {
			s = s.Without(ch.Domain)
			continue
		}
		s = s.With(ch.Domain)
	}
	return s
}
