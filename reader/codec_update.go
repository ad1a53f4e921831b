package reader

import (
	"fmt"
	"slices"
	"time"

	"wisteriaweir/catalog"
	"wisteriaweir/placement"
	"wisteriaweir/reader/readerpb"
	"wisteriaweir/route"
)

// updateToProto returns the wire form of an update.
func updateToProto(u Update) *readerpb.Content {
	m := &readerpb.Content{
		Revision: u.Position.Revision, Era: u.Position.Era, From: u.Base.Revision, FromEra: u.Base.Era,
		Full: u.HasAllTargets, Digest: u.Digest,
	}
	switch {
	case u.Routes != nil:
		m.Table = tableToProto(u.Routes.Number(), u.Routes.IdleTimeout(), u.Routes.Routes(), u.Routes.Warmups())
	case u.RouteChanges != nil:
		ch := u.RouteChanges
		m.Table = tableToProto(ch.Number, ch.IdleTimeout, ch.Updated, ch.Warmups)
		m.Table.Delta = true
		for _, a := range ch.Removed {
			m.Table.Removed = append(m.Table.Removed, &readerpb.Address{Ip: a.IP, Port: uint32(a.Port)})
		}
	}
	for _, t := range u.Targets {
		m.Targets = append(m.Targets, targetToProto(t))
	}
	for _, ch := range u.Changes {
		if ch.Invalid {
			m.Invalid = append(m.Invalid, ch.Target.ID)
		}
		if ch.Removed {
			m.Removed = append(m.Removed, ch.Target.ID)
			continue
		}
		m.Targets = append(m.Targets, targetToProto(ch.Target))
	}
	for _, e := range u.InvalidEntries {
		m.Invalid = append(m.Invalid, e.ID)
	}
	return m
}

// Limits of the values of one element in a message. Hosts do not send values beyond them.
const (
	// maxNameBytes is the length of the longest name in bytes.
	maxNameBytes = 256
	// maxPort is the highest port.
	maxPort = 1<<16 - 1
	// maxNumber is the largest number of slots, priority or weight.
	maxNumber = 1 << 20
)

// isName reports whether s can be the name of a target, a service or a failure domain.
func isName(s string) bool {
	return s != "" && len(s) <= maxNameBytes
}

// isPort reports whether n is a port other than 0.
func isPort(n uint32) bool {
	return n != 0 && n <= maxPort
}

// updateFromProto returns the update of a wire form. It skips invalid targets and routes, and
// returns a *MessageError for each of them.
func updateFromProto(m *readerpb.Content) (Update, []error) {
	u := Update{
		Position: catalog.Position{Era: m.Era, Revision: m.Revision}, Base: catalog.Position{Era: m.FromEra, Revision: m.From},
		HasAllTargets: m.Full, Digest: m.Digest,
	}
	if m.Table != nil {
		return addTableFromProto(u, m.Table)
	}
	targets, invalid := targetsFromProto(m.Targets)
	for _, t := range targets {
		if u.HasAllTargets {
			u.Targets = append(u.Targets, t)
			continue
		}
		u.Changes = append(u.Changes, catalog.Change{Target: t})
	}
	// The wire form has no revision for a removal and for an invalid entry. The update's
	// position is newer than that of any entry that it replaces.
	if u.HasAllTargets {
		for _, id := range m.Invalid {
			u.InvalidEntries = append(u.InvalidEntries, catalog.InvalidEntry{ID: id, Position: u.Position})
		}
		return u, invalid
	}
	for _, id := range m.Removed {
		u.Changes = append(u.Changes, catalog.Change{
			Target: catalog.Target{ID: id, Position: u.Position}, Removed: true, Invalid: slices.Contains(m.Invalid, id),
		})
	}
	return u, invalid
}

// tableToProto returns the wire form of a routing table, or of the updated routes of a
// delta.
func tableToProto(number uint64, idleTimeout time.Duration, routes []route.Route, warmups map[string]route.Warmup) *readerpb.Table {
	m := &readerpb.Table{Number: number, IdleMs: toMilliseconds(idleTimeout)}
	for _, r := range routes {
		w := &readerpb.Route{
			Name: r.Name, Ip: r.Address.IP, Port: uint32(r.Address.Port), Kind: string(r.Kind),
			ObjectiveMs: toMilliseconds(r.LatencyObjective), TimeoutMs: toMilliseconds(r.Timeout),
			Priority: uint32(max(r.Priority, 0)),
		}
		for _, s := range r.WeightedServices {
			w.Shares = append(w.Shares, &readerpb.Share{Service: s.Service, Weight: uint32(s.Weight)})
		}
		m.Routes = append(m.Routes, w)
	}
	for service, w := range warmups {
		m.Warmups = append(m.Warmups, &readerpb.Warmup{Service: service, DurationMs: toMilliseconds(w.Duration), Rate: w.Rate})
	}
	return m
}

// warmupsFromProto returns the warm-ups of a wire form by service.
func warmupsFromProto(m *readerpb.Table) map[string]route.Warmup {
	if len(m.Warmups) == 0 {
		return nil
	}
	warmups := make(map[string]route.Warmup, len(m.Warmups))
	for _, w := range m.Warmups {
		warmups[w.Service] = route.Warmup{Duration: fromMilliseconds(w.DurationMs), Rate: finiteRate(w.Rate)}
	}
	return warmups
}

// routesFromProto returns the valid routes of a wire form, and a *MessageError for each of the
// others.
func routesFromProto(ws []*readerpb.Route) ([]route.Route, []error) {
	var invalid []error
	routes := make([]route.Route, 0, len(ws))
	for _, w := range ws {
		r := route.Route{
			Name: w.Name, Address: route.Address{IP: w.Ip, Port: uint16(w.Port)}, Kind: route.Kind(w.Kind),
			LatencyObjective: fromMilliseconds(w.ObjectiveMs), Timeout: fromMilliseconds(w.TimeoutMs),
			Priority: int(w.Priority),
		}
		isValid := isPort(w.Port) && w.Priority <= maxNumber
		for _, s := range w.Shares {
			isValid = isValid && s.Weight <= maxNumber
			r.WeightedServices = append(r.WeightedServices, route.WeightedService{Service: s.Service, Weight: int(s.Weight)})
		}
		if !isValid {
			invalid = append(invalid, &MessageError{Reason: fmt.Sprintf("route %.*q has a port, priority or weight out of range", maxNameBytes, w.Name)})
			continue
		}
		routes = append(routes, r)
	}
	return routes, invalid
}

// addTableFromProto adds a routing table, or changes of one, to u. It skips invalid routes, and
// returns a *MessageError for each of them.
func addTableFromProto(u Update, m *readerpb.Table) (Update, []error) {
	routes, invalid := routesFromProto(m.Routes)
	if !m.Delta {
		t := route.NewTable(m.Number, fromMilliseconds(m.IdleMs), routes).WithWarmups(warmupsFromProto(m))
		u.Routes = &t
		return u, invalid
	}
	ch := &route.Changes{Number: m.Number, IdleTimeout: fromMilliseconds(m.IdleMs), Updated: routes, Warmups: warmupsFromProto(m)}
	for _, a := range m.Removed {
		if !isPort(a.Port) {
			invalid = append(invalid, &MessageError{Reason: fmt.Sprintf("removed address with port %d", a.Port)})
			continue
		}
		ch.Removed = append(ch.Removed, route.Address{IP: a.Ip, Port: uint16(a.Port)})
	}
	u.RouteChanges = ch
	return u, invalid
}

// targetToProto returns the wire form of a target.
func targetToProto(t catalog.Target) *readerpb.Target {
	return &readerpb.Target{
		Id: t.ID, Number: t.InstanceNumber, Service: t.Service, Ip: ipToUint32(t.Address.Addr()), Port: uint32(t.Address.Port()),
		Domain: t.Domain, Slots: uint32(t.Slots), Draining: t.Draining, WarmupMs: toMilliseconds(t.Warmup),
		Born: t.StartedUnixMilli, Revision: t.Position.Revision, Era: t.Position.Era,
	}
}

// foundToProto returns the wire form of the reply to a lookup.
func foundToProto(m Found) *readerpb.Found {
	w := &readerpb.Found{}
	for _, f := range m.Targets {
		w.Targets = append(w.Targets, targetToProto(f.Target))
		if f.Dead {
			w.Dead = append(w.Dead, f.Target.ID)
		}
	}
	return w
}

// foundFromProto returns the reply to a lookup of a wire form. It skips invalid targets, and
// returns a *MessageError for each of them.
func foundFromProto(m *readerpb.Found) (Found, []error) {
	var found Found
	targets, invalid := targetsFromProto(m.Targets)
	for _, t := range targets {
		found.Targets = append(found.Targets, placement.FoundTarget{Target: t, Dead: slices.Contains(m.Dead, t.ID)})
	}
	return found, invalid
}

// targetsFromProto returns the valid targets of a wire form, and a *MessageError for each of
// the others.
func targetsFromProto(ws []*readerpb.Target) ([]catalog.Target, []error) {
	var targets []catalog.Target
	var invalid []error
	for _, w := range ws {
		if !isValidTarget(w) {
			invalid = append(invalid, &MessageError{Reason: fmt.Sprintf("target %.*q has a missing field or a value out of range", maxNameBytes, w.Id)})
			continue
		}
		targets = append(targets, targetFromProto(w))
	}
	return targets, invalid
}

// isValidTarget reports whether the wire form of a target has all fields, in their ranges.
func isValidTarget(w *readerpb.Target) bool {
	return isName(w.Id) && isName(w.Service) && isName(w.Domain) && w.Number != 0 && w.Ip != 0 && isPort(w.Port) && w.Slots <= maxNumber && w.Born >= 0
}

// targetFromProto returns the target of a wire form, with at least one slot.
func targetFromProto(m *readerpb.Target) catalog.Target {
	return catalog.Target{
		ID: m.Id, InstanceNumber: m.Number, Service: m.Service, Address: addrPortFromUint32(m.Ip, m.Port), Domain: m.Domain,
		Slots: max(int(m.Slots), 1), Draining: m.Draining, Warmup: fromMilliseconds(m.WarmupMs), StartedUnixMilli: m.Born,
		Position: catalog.Position{Era: m.Era, Revision: m.Revision},
	}
}
