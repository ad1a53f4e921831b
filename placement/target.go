package placement

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaweir/catalog"
	"wisteriaweir/speed"
	"wisteriaweir/warmup"
)

const (
	// outageGrace is the time after an outage of the store in which a missing entry
	// may have expired because of the outage.
	outageGrace = 4 * time.Second
	// minPoolForMassRemoval is the minimum number of targets of a service, not counting
	// draining ones, for which a mass removal is detected: if more than half of them
	// are removed in one step, their entries may have expired.
	minPoolForMassRemoval = 3
	// expiryGrace is the time within which the expired entry of a running target is
	// expected to be added again.
	expiryGrace = 2 * time.Second
)

// removedRetention is the minimum time for which a target that was removed from the
// catalog stays known, so that packets of its flows still reach it by their stamp. No
// flow has to be kept longer.
const removedRetention = 60 * time.Second

// Target is a target of the catalog, with its load and health as the flows of this
// host show them.
type Target struct {
	catalog.Target
	// Stamp is the identifier of the target in the packets of its flows; see StampOf.
	Stamp uint32

	// openFlows is the number of flows of this host on the target.
	openFlows int
	// openingFlows is the number of those flows without a response to their opening
	// packet.
	openingFlows int
	// busy is the number of requests of this host in progress.
	busy int
	// warmUntil is when the target's warm-up ends.
	warmUntil time.Duration
	// returnWarmUntil is when the warm-up after the withdrawal of an evacuation ends. Later
	// entries of the target do not shorten this warm-up.
	returnWarmUntil time.Duration
	// openings counts the opening packets of this host to the target; see hasPermit.
	openings *warmup.Target
	// removed reports whether the target is missing from the catalog.
	removed bool
	// removedAt is when the target was last removed from the catalog.
	removedAt time.Duration
	// hasInvalidEntry reports whether a removed target has an invalid entry: another program
	// has written it, and the target may run.
	hasInvalidEntry bool
	// mayHaveExpired reports whether the entry of a removed target may have expired
	// while the target still runs.
	mayHaveExpired bool
	// untrustedUntil is when the entry of the target counts as trusted again, and
	// untrustedEntry its position; see handleRestore.
	untrustedUntil time.Duration
	untrustedEntry catalog.Position
	// evacuated reports whether the failure domain of the target is evacuated: the target
	// gets no new flows and keeps its open ones.
	evacuated bool
	// outsideSubset reports whether the target is in this host's failure domain and
	// assigned to other hosts; see assignSubsets.
	outsideSubset bool
	// drainingAt is when the target was first seen draining.
	drainingAt time.Duration
	// collides reports whether a target that started earlier has the same stamp.
	collides bool
	// peerLoad is the load that domain peers add.
	peerLoad TargetLoad
	// reportedDeadUntil is when the newest report of another host that the target is
	// dead expires; 0 if there was none, or the target has responded since.
	reportedDeadUntil time.Duration
	// queue holds the requests that wait for the target on this host.
	queue requestQueue
	// usedAt is when this host last sent a new request to the target.
	usedAt time.Duration
	// window limits the requests of this host in progress.
	window window
	// speedEstimate is the estimate of the target's speed from the responses to this host.
	speedEstimate speed.Estimate
	// outcomes are the outcomes of the requests of this host.
	outcomes outcomes
	// failingUntil is when the newest ejection of the target for failed requests ends; 0
	// if it was not ejected since its start.
	failingUntil time.Duration
	healthState
}

// mayBeReadded reports whether a removed target may still run, with an entry that
// expired and is about to be added again.
func (t *Target) mayBeReadded(now time.Duration) bool {
	return t.mayHaveExpired && now-t.removedAt < expiryGrace
}

// mayRun reports whether a removed target may still run.
func (t *Target) mayRun(now time.Duration) bool {
	return t.hasInvalidEntry || t.mayBeReadded(now)
}

// StampOf returns the stamp of a target: a hash of its ID, never 0.
func StampOf(id string) uint32 {
	h := uint32(xxhash.Sum64String(id))
	if h == 0 {
		return 1
	}
	return h
}

// SetCatalog replaces the routing table and the targets by those of cat.
func (c *Core) SetCatalog(now time.Duration, cat catalog.Catalog) {
	c.removeUnusedSizes(cat)
	c.handleRestore(now, cat)
	c.catalog = cat
	if !c.ready && cat.IsComplete() {
		c.ready, c.readyAt = true, now
	}
	c.updateRemoved(now, cat)
	needsReindex := false
	for _, id := range c.changedTargets(cat) {
		ct, _ := cat.Target(id)
		needsReindex = c.setTarget(now, id, ct) || needsReindex
	}
	if needsReindex {
		c.rebuildIndex()
	}
	c.updateEvacuated(now, cat)
	c.assignSubsets(now)
	c.updatePriorities(cat)
	c.updateAdmission()
}

// updateEvacuated sets evacuated for the targets of evacuated failure domains. When an
// evacuation is withdrawn, the targets of the failure domain count as warming up for the
// duration in the routing table: they may have been restarted meanwhile, and the entry that
// states it may arrive later than the withdrawal.
func (c *Core) updateEvacuated(now time.Duration, cat catalog.Catalog) {
	for _, t := range c.targets {
		wasEvacuated := t.evacuated
		t.evacuated = cat.Evacuations().Has(t.Domain)
		if w, ok := cat.Routes().Warmup(t.Service); ok && wasEvacuated && !t.evacuated {
			t.returnWarmUntil = now + w.Duration
			t.warmUntil = max(t.warmUntil, t.returnWarmUntil)
		}
	}
}

// updateRemoved sets removed for the targets that are missing from a new catalog.
// Their entries may have expired if the store was unavailable recently, or if most
// entries of a service disappear in one step.
func (c *Core) updateRemoved(now time.Duration, cat catalog.Catalog) {
	hadRecentOutage := c.hadOutage && now-c.lastOutageAt < outageGrace
	massRemoved := c.massRemovedServices(cat)
	for _, t := range c.targetsInStartOrder {
		wasKnown := !t.removed || t.hasInvalidEntry
		_, isListed := cat.Target(t.ID)
		t.hasInvalidEntry = !isListed && cat.HasInvalidEntry(t.ID)
		switch {
		case isListed || !wasKnown:
		case t.hasInvalidEntry && !t.removed:
			t.removed, t.removedAt, t.mayHaveExpired = true, now, false
			c.notify(TargetInvalid, t)
		case !t.hasInvalidEntry:
			t.removed, t.removedAt = true, now
			t.mayHaveExpired = !t.Draining && (hadRecentOutage || massRemoved[t.Service])
			c.notify(TargetRemoved, t)
		}
	}
}

// massRemovedServices returns the services of which a new catalog lacks more than half
// of the targets that were listed before and not draining, if these were at least
// minPoolForMassRemoval.
func (c *Core) massRemovedServices(cat catalog.Catalog) map[string]bool {
	present, remaining := map[string]int{}, map[string]int{}
	for _, t := range c.targetsInStartOrder {
		if t.removed || t.Draining {
			continue
		}
		present[t.Service]++
		if _, ok := cat.Target(t.ID); ok || cat.HasInvalidEntry(t.ID) {
			remaining[t.Service]++
		}
	}
	services := map[string]bool{}
	for service, n := range present {
		services[service] = n >= minPoolForMassRemoval && 2*remaining[service] < n
	}
	return services
}

// changedTargets returns the IDs of the targets of a catalog that are new or differ
// from those of the core, sorted.
func (c *Core) changedTargets(cat catalog.Catalog) []string {
	var ids []string
	for id, ct := range cat.Targets() {
		if t := c.targets[id]; t == nil || t.removed || t.Target != ct {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// RecordOutage records that the store is unavailable at now. Entries that disappear
// within outageGrace may have expired because of the outage: their targets accept
// flows for another expiryGrace, unless the flows show that they do not respond.
func (c *Core) RecordOutage(now time.Duration) {
	c.hadOutage, c.lastOutageAt = true, now
}

// setTarget applies one entry of the catalog. It reports whether the lookup tables
// have to be rebuilt.
func (c *Core) setTarget(now time.Duration, id string, ct catalog.Target) bool {
	t := c.targets[id]
	needsReindex := t == nil || t.Service != ct.Service || t.StartedUnixMilli != ct.StartedUnixMilli
	if t == nil {
		t = &Target{Stamp: StampOf(id), window: newWindow(ct.Slots), openings: warmup.NewTarget(id, ct.Domain)}
		c.targets[id] = t
		t.Target = ct
		t.warmUntil = now + ct.Warmup
		c.notify(TargetAdded, t)
	}
	if !t.Target.Equal(ct) {
		t.warmUntil = max(now+ct.Warmup, t.returnWarmUntil)
	}
	if ct.StartedUnixMilli != t.StartedUnixMilli {
		t.healthState = healthState{stallGeneration: t.stallGeneration + 1}
		t.outcomes, t.failingUntil, t.window = outcomes{}, 0, newWindow(ct.Slots)
	}
	if ct.StartedUnixMilli != t.StartedUnixMilli || ct.Service != t.Service {
		t.speedEstimate, t.window.speed = speed.Estimate{}, 0
	}
	if ct.Position != t.untrustedEntry {
		t.untrustedUntil = 0 // The target has written its entry again.
	}
	if ct.Draining && !t.Draining {
		t.drainingAt = now
		c.notify(TargetDraining, t)
	}
	t.Target = ct
	if t.removed {
		t.removed = false
		c.notify(TargetReadded, t)
	}
	return needsReindex
}

// removeExpiredTargets deletes targets that were removed from the catalog more than
// removedRetention ago and have no flows.
func (c *Core) removeExpiredTargets(now time.Duration) {
	changed := false
	for id, t := range c.targets {
		if t.removed && t.openFlows == 0 && now-t.removedAt > removedRetention {
			delete(c.targets, id)
			changed = true
		}
	}
	if changed {
		c.rebuildIndex()
	}
}

// rebuildIndex rebuilds the lookup tables. Of several targets with the same stamp the
// one that started first owns it; the others get no flows.
func (c *Core) rebuildIndex() {
	clear(c.targetsByStamp)
	clear(c.pools)
	c.targetsInStartOrder = c.sortedTargets()
	for _, t := range c.targetsInStartOrder {
		t.collides = c.targetsByStamp[t.Stamp] != nil
		if t.collides {
			c.notify(TargetCollides, t)
			continue
		}
		c.targetsByStamp[t.Stamp] = t
		c.pools[t.Service] = append(c.pools[t.Service], t)
	}
	c.removeGoneServices()
}

// removeGoneServices deletes what is known of services without targets.
func (c *Core) removeGoneServices() {
	maps.DeleteFunc(c.flowCounts, func(service string, _ *flowCount) bool { return c.pools[service] == nil })
	maps.DeleteFunc(c.subsets, func(service string, _ subsetInput) bool { return c.pools[service] == nil })
}

// sortedTargets returns the targets, sorted by start time and then by ID.
func (c *Core) sortedTargets() []*Target {
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
