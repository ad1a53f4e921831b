package reader

import "wisteriaweir/catalog"

// withEra returns a message of another host with the era of this host's catalog in each
// position without one. A host of an earlier release sends revisions only.
func (c *Core) withEra(msg Message) Message {
	switch m := msg.(type) {
	case Heartbeat:
		m.Positions = c.positionsWithEra(m.Positions)
		return m
	case UpdateRequest:
		m.Positions = c.positionsWithEra(m.Positions)
		return m
	case EvacuationUpdate:
		m.Position = positionWithEra(m.Position, c.catalog.EvacuationsPosition().Era)
		return m
	case Update:
		return c.updateWithEra(m)
	default:
		return msg
	}
}

func (c *Core) positionsWithEra(p Positions) Positions {
	p.Routes = positionWithEra(p.Routes, c.catalog.RoutesPosition().Era)
	p.Targets = positionWithEra(p.Targets, c.catalog.TargetsPosition().Era)
	p.Evacuations = positionWithEra(p.Evacuations, c.catalog.EvacuationsPosition().Era)
	return p
}

// updateWithEra is withEra for an update, including the entries of its targets.
func (c *Core) updateWithEra(u Update) Update {
	era := c.catalog.TargetsPosition().Era
	if u.Routes != nil || u.RouteChanges != nil {
		era = c.catalog.RoutesPosition().Era
	}
	if u.Position.Era != 0 || era == 0 {
		return u
	}
	u.Position, u.Base = positionWithEra(u.Position, era), positionWithEra(u.Base, era)
	targets := make([]catalog.Target, 0, len(u.Targets))
	for _, t := range u.Targets {
		t.Position = positionWithEra(t.Position, era)
		targets = append(targets, t)
	}
	changes := make([]catalog.Change, 0, len(u.Changes))
	for _, ch := range u.Changes {
		ch.Target.Position = positionWithEra(ch.Target.Position, era)
		changes = append(changes, ch)
	}
	u.Targets, u.Changes = targets, changes
	return u
}

// positionWithEra returns p with the given era if it is a position without one.
func positionWithEra(p catalog.Position, era uint64) catalog.Position {
	if p.Era == 0 && p.IsKnown() {
		p.Era = era
	}
	return p
}
