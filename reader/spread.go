package reader

import (
	"time"

	"wisteriaweir/catalog"
)

// askEvery is the least time between two asks. A change is told right before
// the beat that names its revision, so most gaps close by themselves; an answer to
// many takes its time.
const askEvery = 400 * time.Millisecond

// askIfBehind asks a peer for what it has and this host has not.
func (c *Core) askIfBehind(now time.Duration, p *peer) {
	if p.beat.RoutesRevision <= c.catalog.RoutesRevision() && p.beat.TargetsRevision <= c.catalog.TargetsRevision() {
		return
	}
	if c.askAt != 0 && now-c.askAt < askEvery {
		return
	}
	c.askAt = now
	c.tell(p.Member, UpdateRequest{RoutesRevision: c.catalog.RoutesRevision(), TargetsRevision: c.catalog.TargetsRevision()})
}

// answer tells a host what it lacks: the changes since, if they are kept, else
// everything.
func (c *Core) answer(to Member, a UpdateRequest) {
	if c.catalog.RoutesRevision() > a.RoutesRevision {
		n, ok := c.routeTrail.since(a.RoutesRevision)
		if !ok || a.RoutesRevision == 0 {
			table := c.catalog.Routes()
			n = Update{Revision: c.catalog.RoutesRevision(), Routes: &table}
		}
		c.tell(to, n)
	}
	if c.catalog.TargetsRevision() > a.TargetsRevision {
		n, ok := c.targetTrail.since(a.TargetsRevision)
		if !ok || a.TargetsRevision == 0 {
			n = c.allTargets()
		}
		c.tell(to, n)
	}
}

func (c *Core) allTargets() Update {
	all := make([]catalog.Target, 0, len(c.catalog.Targets()))
	for _, t := range c.catalog.Targets() {
		all = append(all, t)
	}
	return Update{Revision: c.catalog.TargetsRevision(), HasAllTargets: true, Targets: all}
}

// learn takes in content from a peer.
func (c *Core) learn(now time.Duration, p *peer, n Update) {
	if c.gap(n) {
		c.askAt = now
		c.tell(p.Member, UpdateRequest{RoutesRevision: c.catalog.RoutesRevision(), TargetsRevision: c.catalog.TargetsRevision()})
		return
	}
	c.apply(n)
}

// gap reports whether changes start behind what this host has.
func (c *Core) gap(n Update) bool {
	switch {
	case n.Routes != nil, n.HasAllTargets:
		return false
	case n.RouteChanges != nil:
		return n.BaseRevision > c.catalog.RoutesRevision()
	default:
		return n.BaseRevision > c.catalog.TargetsRevision()
	}
}

// keep adds applied content to the trail of its kind.
func (c *Core) keep(n Update) {
	if n.Routes != nil || n.RouteChanges != nil {
		c.routeTrail.add(n)
		return
	}
	c.targetTrail.add(n)
}

// apply moves the catalog forward and reports whether it did.
func (c *Core) apply(n Update) bool {
	old := c.catalog
	switch {
	case n.Routes != nil:
		c.catalog = c.catalog.WithRoutes(*n.Routes, n.Revision)
	case n.RouteChanges != nil:
		c.catalog = c.catalog.WithRoutes(c.catalog.Routes().WithChanges(*n.RouteChanges), n.Revision)
	case n.HasAllTargets:
		c.catalog = c.catalog.WithTargets(n.Targets, n.Revision)
	default:
		c.catalog = c.catalog.WithChanges(n.Changes, n.Revision)
	}
	moved := old.RoutesRevision() != c.catalog.RoutesRevision() || old.TargetsRevision() != c.catalog.TargetsRevision()
	if moved {
		c.keep(n)
		c.effects = append(c.effects, Publish{Catalog: c.catalog})
	}
	return moved
}
