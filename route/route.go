// Package route holds the routing table: which service gets the new flows of
// an address.
//
// # Usage
//
//	t := route.NewTable(7, idle, routes)
//	r, ok := t.Lookup(route.Address{IP: 0xc6120001, Port: 443})
//	service := r.Pick(draw)
//
// A Table never changes, so goroutines share it without a lock.
package route

import (
	"maps"
	"slices"
	"time"
)

// Kind says what the requests inside the flows of a route allow.
type Kind string

const (
	// Safe requests are idempotent: callers repeat them after any failure.
	Safe Kind = "safe"
	// Unsafe requests may run at most once.
	Unsafe Kind = "unsafe"
	// Upload requests may run at most once and carry a large body.
	Upload Kind = "upload"
)

// Address is an IPv4 address in numeric form and a port.
type Address struct {
	IP   uint32
	Port uint16
}

// WeightedService is the part of a route's new flows that one service gets.
type WeightedService struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route sends the new flows of an address to services.
type Route struct {
	Name             string
	Address          Address
	Kind             Kind
	WeightedServices []WeightedService
	// LatencyObjective is the time within which callers want their answers; 0 if the
	// table names none.
	LatencyObjective time.Duration
	// Timeout is the time after which an answer is worth nothing; 0 if the table
	// names none.
	Timeout time.Duration
	// Priority orders the requests of routes that wait for the same targets; 0 goes
	// first.
	Priority int
}

// Pick returns the service for draw, a number from 0 to 1 exclusive.
func (r Route) Pick(draw float64) string {
	total := 0
	for _, s := range r.WeightedServices {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range r.WeightedServices {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.WeightedServices) == 0 {
		return ""
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}

// Allows reports whether r sends flows to service.
func (r Route) Allows(service string) bool {
	return slices.ContainsFunc(r.WeightedServices, func(s WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// Table is the whole routing table at one number.
type Table struct {
	number      uint64
	idleTimeout time.Duration
	routes      map[Address]Route
}

// NewTable returns a table. Number is that of the operator's version, idle the
// time after which a silent flow may be forgotten. Of two routes of one address
// the later one holds.
func NewTable(number uint64, idleTimeout time.Duration, routes []Route) Table {
	t := Table{number: number, idleTimeout: idleTimeout, routes: make(map[Address]Route, len(routes))}
	for _, r := range routes {
		t.routes[r.Address] = r
	}
	return t
}

// Number returns the version of the table, 0 before there is one.
func (t Table) Number() uint64 {
	return t.number
}

// IdleTimeout returns the time after which a silent flow may be forgotten.
func (t Table) IdleTimeout() time.Duration {
	return t.idleTimeout
}

// Size returns the number of routes.
func (t Table) Size() int {
	return len(t.routes)
}

// Lookup returns the route of an address.
func (t Table) Lookup(a Address) (Route, bool) {
	r, ok := t.routes[a]
	return r, ok
}

// Routes returns all routes, sorted by name.
func (t Table) Routes() []Route {
	routes := make([]Route, 0, len(t.routes))
	for _, r := range t.routes {
		routes = append(routes, r)
	}
	slices.SortFunc(routes, func(a, b Route) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		default:
			return 0
		}
	})
	return routes
}

// Changes lead from one table to a later one.
type Changes struct {
	// Number and IdleTimeout are those of the later table.
	Number      uint64
	IdleTimeout time.Duration
	Updated     []Route
	Removed     []Address
}

// Diff returns the changes that lead from t to a later table.
func (t Table) Diff(later Table) Changes {
	ch := Changes{Number: later.number, IdleTimeout: later.idleTimeout}
	for _, r := range later.Routes() {
		if old, ok := t.routes[r.Address]; !ok || !old.equal(r) {
			ch.Updated = append(ch.Updated, r)
		}
	}
	for a := range t.routes {
		if _, ok := later.routes[a]; !ok {
			ch.Removed = append(ch.Removed, a)
		}
	}
	return ch
}

// WithChanges returns the table that changes of t lead to.
func (t Table) WithChanges(ch Changes) Table {
	routes := maps.Clone(t.routes)
	if routes == nil {
		routes = map[Address]Route{}
	}
	for _, r := range ch.Updated {
		routes[r.Address] = r
	}
	for _, a := range ch.Removed {
		delete(routes, a)
	}
	return Table{number: ch.Number, idleTimeout: ch.IdleTimeout, routes: routes}
}

func (r Route) equal(o Route) bool {
	return r.Name == o.Name && r.Address == o.Address && r.Kind == o.Kind && r.LatencyObjective == o.LatencyObjective &&
		r.Timeout == o.Timeout && r.Priority == o.Priority && slices.Equal(r.WeightedServices, o.WeightedServices)
}
