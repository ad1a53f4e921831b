package reader

import (
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
		if ch.Removed {
			m.Removed = append(m.Removed, ch.Target.ID)
			continue
		}
		m.Targets = append(m.Targets, targetToProto(ch.Target))
	}
	return m
}

// updateFromProto returns the update of a wire form.
func updateFromProto(m *readerpb.Content) Update {
	u := Update{
		Position: catalog.Position{Era: m.Era, Revision: m.Revision}, Base: catalog.Position{Era: m.FromEra, Revision: m.From},
		HasAllTargets: m.Full, Digest: m.Digest,
	}
	if m.Table != nil {
		return addTableFromProto(u, m.Table)
	}
	for _, w := range m.Targets {
		t := targetFromProto(w)
		if u.HasAllTargets {
			u.Targets = append(u.Targets, t)
			continue
		}
		u.Changes = append(u.Changes, catalog.Change{Target: t})
	}
	for _, id := range m.Removed {
		// The wire form has no revision for a removal. The update's position is newer
		// than that of any entry that it removes.
		u.Changes = append(u.Changes, catalog.Change{Target: catalog.Target{ID: id, Position: u.Position}, Removed: true})
	}
	return u
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

// addTableFromProto adds a routing table, or changes of one, to u.
func addTableFromProto(u Update, m *readerpb.Table) Update {
	routes := make([]route.Route, 0, len(m.Routes))
	for _, w := range m.Routes {
		r := route.Route{
			Name: w.Name, Address: route.Address{IP: w.Ip, Port: uint16(w.Port)}, Kind: route.Kind(w.Kind),
			LatencyObjective: fromMilliseconds(w.ObjectiveMs), Timeout: fromMilliseconds(w.TimeoutMs),
			Priority: int(w.Priority),
		}
		for _, s := range w.Shares {
			r.WeightedServices = append(r.WeightedServices, route.WeightedService{Service: s.Service, Weight: int(s.Weight)})
		}
		routes = append(routes, r)
	}
	if !m.Delta {
		t := route.NewTable(m.Number, fromMilliseconds(m.IdleMs), routes).WithWarmups(warmupsFromProto(m))
		u.Routes = &t
		return u
	}
	ch := &route.Changes{Number: m.Number, IdleTimeout: fromMilliseconds(m.IdleMs), Updated: routes, Warmups: warmupsFromProto(m)}
	for _, a := range m.Removed {
		ch.Removed = append(ch.Removed, route.Address{IP: a.Ip, Port: uint16(a.Port)})
	}
	u.RouteChanges = ch
	return u
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

// foundFromProto returns the reply to a lookup of a wire form.
func foundFromProto(m *readerpb.Found) Found {
	var found Found
	for _, w := range m.Targets {
		found.Targets = append(found.Targets, placement.FoundTarget{Target: targetFromProto(w), Dead: slices.Contains(m.Dead, w.Id)})
	}
	return found
}

// targetFromProto returns the target of a wire form, with at least one slot.
func targetFromProto(m *readerpb.Target) catalog.Target {
	return catalog.Target{
		ID: m.Id, InstanceNumber: m.Number, Service: m.Service, Address: addrPortFromUint32(m.Ip, m.Port), Domain: m.Domain,
		Slots: max(int(m.Slots), 1), Draining: m.Draining, Warmup: fromMilliseconds(m.WarmupMs), StartedUnixMilli: m.Born,
		Position: catalog.Position{Era: m.Era, Revision: m.Revision},
	}
}
