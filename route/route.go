// Package route defines the routing table: which services get the new flows of an
// address, in which proportion.
//
// # Usage
//
//	t := route.NewTable(7, idleTimeout, routes)
//	r, ok := t.Lookup(route.Address{IP: 0xc6120001, Port: 443})
//	service := r.Pick(rand.Float64())
//
// A Table is immutable, so goroutines share it without a lock.
package route

import (
	"maps"
	"slices"
	"time"
)

// Kind is the kind of the requests in the flows of a route: whether they are
// idempotent, and how large they are.
type Kind string

const (
	// Safe requests are idempotent: callers retry them after any failure.
	Safe Kind = "safe"
	// Unsafe requests may run at most once.
	Unsafe Kind = "unsafe"
	// Upload requests may run at most once and carry a large body.
	Upload Kind = "upload"
	// Download requests are idempotent and have a large response.
	Download Kind = "download"
)

// IsIdempotent reports whether requests of the kind may run more than once. Those of an
// unknown kind may not.
func (k Kind) IsIdempotent() bool {
	return k == Safe || k == Download
}

// Address is an IPv4 address and a port. The IP address is in numeric form: the first
// octet is the most significant byte.
type Address struct {
	IP   uint32
	Port uint16
}

// WeightedService is a service that gets a fraction of a route's new flows.
type WeightedService struct {
	Service string
	// Weight is relative to the sum of the weights of the route. A service with
	// weight 0 gets no flows, unless all weights of the route are 0; see Route.Pick.
	Weight int
}

// Route distributes the new flows of an address over services.
type Route struct {
	Name             string
	Address          Address
	Kind             Kind
	WeightedServices []WeightedService
	// LatencyObjective is the time within which callers expect a response; 0 if the
	// table names none.
	LatencyObjective time.Duration
	// Timeout is the time after which a response is useless to the caller; 0 if the
	// table names none.
	Timeout time.Duration
	// Priority orders the queued requests of routes that share targets; 0 is served
	// first.
	Priority int
}

// Pick returns the service for draw, a random number of at least 0 and less than 1. It
// returns the last service if all weights are 0, and "" if the route has no services.
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

// HasService reports whether r sends new flows to service.
func (r Route) HasService(service string) bool {
	return slices.ContainsFunc(r.WeightedServices, func(s WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// Warmup describes how a target of a service warms up after its start.
type Warmup struct {
	// Duration is the time after its start for which a target is slow.
	Duration time.Duration
	// Rate is the number of requests per second that a target can serve meanwhile, 0 if the
	// table specifies none.
	Rate float64
}

// Table is the complete routing table of one version. The zero value is an empty
// table of version 0.
type Table struct {
	number      uint64
	idleTimeout time.Duration
	routes      map[Address]Route
	// warmups holds the warm-up of each service that has one.
	warmups map[string]Warmup
}

// NewTable returns a table. number is the version number that the operator assigned;
// idleTimeout is the time without a packet after which a flow may be evicted. If two
// routes have the same address, the later one applies.
func NewTable(number uint64, idleTimeout time.Duration, routes []Route) Table {
	t := Table{number: number, idleTimeout: idleTimeout, routes: make(map[Address]Route, len(routes))}
	for _, r := range routes {
		t.routes[r.Address] = r
	}
	return t
}

// Number returns the version number of the table, 0 for the zero value.
func (t Table) Number() uint64 {
	return t.number
}

// IdleTimeout returns the time without a packet after which a flow may be evicted.
func (t Table) IdleTimeout() time.Duration {
	return t.idleTimeout
}

// WithWarmups returns a copy of t with the warm-ups of services, by name.
func (t Table) WithWarmups(warmups map[string]Warmup) Table {
	t.warmups = maps.Clone(warmups)
	return t
}

// Warmup returns the warm-up of a service, and whether the table contains one.
func (t Table) Warmup(service string) (Warmup, bool) {
	w, ok := t.warmups[service]
	return w, ok
}

// Warmups returns the warm-ups by service. The map must not be changed.
func (t Table) Warmups() map[string]Warmup {
	return t.warmups
}

// Size returns the number of routes.
func (t Table) Size() int {
	return len(t.routes)
}

// Lookup returns the route of an address, and whether there is one.
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

// Changes are the differences between a table and a later one.
type Changes struct {
	// Number is the version number of the later table.
	Number uint64
	// IdleTimeout is the idle timeout of the later table.
	IdleTimeout time.Duration
	// Updated holds the routes that are new or differ.
	Updated []Route
	// Removed holds the addresses that have no route in the later table.
	Removed []Address
	// Warmups holds all warm-ups of the later table by service.
	Warmups map[string]Warmup
}

// Diff returns the changes from t to a later table.
func (t Table) Diff(later Table) Changes {
	ch := Changes{Number: later.number, IdleTimeout: later.idleTimeout, Warmups: later.warmups}
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

// WithChanges returns a copy of t with the changes ch applied.
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
	return Table{number: ch.Number, idleTimeout: ch.IdleTimeout, routes: routes, warmups: ch.Warmups}
}

// equal reports whether all fields of r and o are equal.
func (r Route) equal(o Route) bool {
	return r.Name == o.Name && r.Address == o.Address && r.Kind == o.Kind && r.LatencyObjective == o.LatencyObjective &&
		r.Timeout == o.Timeout && r.Priority == o.Priority && slices.Equal(r.WeightedServices, o.WeightedServices)
}
