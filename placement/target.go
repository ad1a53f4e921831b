package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaweir/catalog"
)

const (
	// outageLinger is how long after an outage of the store entries that are missing
	// may have lapsed in it.
	outageLinger = 4 * time.Second
	// manyLeast is the least number of targets of a service of which most have to go in
	// one step for their entries to count as lapsed.
	manyLeast = 3
	// lapseGrace is the time in which the entry of a target that lives comes back.
	lapseGrace = 2 * time.Second
)

// goneLinger is how long a target that left the catalog is remembered for the
// flows that it still has. No flow has to be kept longer.
const goneLinger = 60 * time.Second

// Target is a target with what the flows of this balancer show of it.
type Target struct {
	catalog.Target
	// Stamp marks the packets of the target's flows.
	Stamp uint32

	// open counts the flows of this balancer, opening those of them whose first
	// answer is not seen yet, busy the requests in progress.
	open    int
	opening int
	busy    int
	// warmUntil is the time at which the target's warm-up ends.
	warmUntil time.Duration
	// gone is set while the target is not in the catalog, since goneAt.
	gone   bool
	goneAt time.Duration
	// lapsed says that the entry may have gone only since the store was away.
	lapsed bool
	// drainingAt is when the target was first seen draining.
	drainingAt time.Duration
	// collides says that an older target has the same stamp.
	collides bool
	// others is the load that the neighbours add, deadToldUntil the end of the time
	// for which the word of another host that the target is dead counts.
	others        TargetLoad
	deadToldUntil time.Duration
	waiting       requestQueue
	// window bounds the requests in progress of this host.
	window window
	// outcomes are those of the requests seen here; until failingUntil the target
	// counts as one that fails a part of them.
	outcomes     outcomes
	failingUntil time.Duration
	evidence
}

// mayReturn reports whether the entry of a target that is gone may have lapsed
// and come back.
func (t *Target) mayReturn(now time.Duration) bool {
	return t.lapsed && now-t.goneAt < lapseGrace
}

// StampOf returns the stamp of a target: a hash of its identity, never 0.
func StampOf(id string) uint32 {
	h := uint32(xxhash.Sum64String(id))
	if h == 0 {
		return 1
	}
	return h
}

// SetCatalog takes in what is believed of the outside.
func (c *Core) SetCatalog(now time.Duration, cat catalog.Catalog) {
	c.catalog = cat
	if !c.ready && cat.Complete() {
		c.ready, c.readyAt = true, now
	}
	c.setGone(now, cat)
	regrouped := false
	for _, id := range c.changed(cat) {
		ct, _ := cat.Target(id)
		regrouped = c.setTarget(now, id, ct) || regrouped
	}
	if regrouped {
		c.index()
	}
}

// setGone takes in which targets a catalog lacks. Their entries may have lapsed if
// the store was away of late, or if most of a service's entries go in one step.
func (c *Core) setGone(now time.Duration, cat catalog.Catalog) {
	outage := c.outage && now-c.outageAt < outageLinger
	most := c.mostGone(cat)
	for _, t := range c.order {
		if _, ok := cat.Target(t.ID); ok || t.gone {
			continue
		}
		t.gone, t.goneAt = true, now
		t.lapsed = !t.Draining && (outage || most[t.Service])
		c.notify(TargetRemoved, t)
	}
}

// mostGone returns the services of which a catalog lacks most targets that stood
// before and did not leave.
func (c *Core) mostGone(cat catalog.Catalog) map[string]bool {
	stood, left := map[string]int{}, map[string]int{}
	for _, t := range c.order {
		if t.gone || t.Draining {
			continue
		}
		stood[t.Service]++
		if _, ok := cat.Target(t.ID); ok {
			left[t.Service]++
		}
	}
	most := map[string]bool{}
	for service, n := range stood {
		most[service] = n >= manyLeast && 2*left[service] < n
	}
	return most
}

// changed returns the targets that a catalog has and the core has otherwise, or not
// at all, in their order.
func (c *Core) changed(cat catalog.Catalog) []string {
	var ids []string
	for id, ct := range cat.Targets() {
		if t := c.targets[id]; t == nil || t.gone || t.Target != ct {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// SetOutage says that the store is away at a time. Entries that go with it may
// come back: their targets go on taking flows for a while, unless the flows show
// otherwise.
func (c *Core) SetOutage(now time.Duration) {
	c.outage, c.outageAt = true, now
}

// setTarget takes in one entry, and reports whether the lookups have to be rebuilt.
func (c *Core) setTarget(now time.Duration, id string, ct catalog.Target) bool {
	t := c.targets[id]
	regrouped := t == nil || t.Service != ct.Service || t.StartedUnixMilli != ct.StartedUnixMilli
	if t == nil {
		t = &Target{Stamp: StampOf(id), window: newWindow(ct.Slots)}
		c.targets[id] = t
		t.Target = ct
		t.warmUntil = now + ct.Warmup
		c.notify(TargetAdded, t)
	}
	if t.Revision != ct.Revision {
		t.warmUntil = now + ct.Warmup
	}
	if ct.StartedUnixMilli != t.StartedUnixMilli {
		t.evidence = evidence{round: t.round + 1}
		t.outcomes, t.failingUntil, t.window = outcomes{}, 0, newWindow(ct.Slots)
	}
	if ct.Draining && !t.Draining {
		t.drainingAt = now
		c.notify(TargetDraining, t)
	}
	t.Target = ct
	if t.gone {
		t.gone = false
		c.notify(TargetReadded, t)
	}
	return regrouped
}

// forget drops targets that left the catalog long ago.
func (c *Core) forget(now time.Duration) {
	changed := false
	for id, t := range c.targets {
		if t.gone && t.open == 0 && now-t.goneAt > goneLinger {
			delete(c.targets, id)
			changed = true
		}
	}
	if changed {
		c.index()
	}
}

// index rebuilds the lookups. Of several targets with one stamp the one that
// was born first holds it; the others get no flows.
func (c *Core) index() {
	clear(c.byStamp)
	clear(c.pools)
	c.order = c.sorted()
	for _, t := range c.order {
		t.collides = c.byStamp[t.Stamp] != nil
		if t.collides {
			c.notify(TargetCollides, t)
			continue
		}
		c.byStamp[t.Stamp] = t
		c.pools[t.Service] = append(c.pools[t.Service], t)
	}
}

// sorted returns the targets, those born first in front.
func (c *Core) sorted() []*Target {
	all := make([]*Target, 0, len(c.targets))
	for _, t := range c.targets {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *Target) int {
		if a.StartedUnixMilli != b.StartedUnixMilli {
			if a.StartedUnixMilli < b.StartedUnixMilli {
				return -1
			}
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	return all
}
