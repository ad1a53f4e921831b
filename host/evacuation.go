package host

import (
	"time"

	"github.com/apex/log"

	"wisteriaweir/catalog"
	"wisteriaweir/placement"
)

const (
	// isolationAge is the time since the store last confirmed the catalog above which this
	// host counts as isolated. A reader that fails is replaced in less time.
	isolationAge = 3 * time.Second
	// evacuatedCountInterval is the time between two counts of the load on evacuated
	// targets.
	evacuatedCountInterval = 250 * time.Millisecond
)

// recordEvacuations records and logs each failure domain whose evacuation was requested
// or withdrawn between two catalogs. It runs in the control goroutine.
func (c *control) recordEvacuations(previous *catalog.Catalog, cat catalog.Catalog) {
	if cat.EvacuationsPosition() == previous.EvacuationsPosition() {
		return
	}
	before, after := *c.h.knownEvacuations.Load(), map[string]time.Duration{}
	for _, domain := range cat.Evacuations().Domains() {
		known, ok := before[domain]
		if !ok {
			known = c.h.now()
			c.h.log.WithFields(log.Fields{"evacuated": domain, "revision": cat.EvacuationsPosition().Revision}).Info("host: evacuation requested")
		}
		after[domain] = known
	}
	for _, domain := range previous.Evacuations().Domains() {
		if !cat.Evacuations().Has(domain) {
			c.h.log.WithFields(log.Fields{"evacuated": domain, "revision": cat.EvacuationsPosition().Revision}).Info("host: evacuation withdrawn")
		}
	}
	c.h.knownEvacuations.Store(&after)
}

// longestEvacuation returns the time since this host learned of the oldest request that has
// not been withdrawn, 0 if there is none.
func (h *Host) longestEvacuation(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, known := range *h.knownEvacuations.Load() {
		longest = max(longest, now-known)
	}
	return longest
}

// dumpEvacuations returns the evacuated failure domains with the given remaining loads.
func (h *Host) dumpEvacuations(now time.Duration, loads map[string]placement.EvacuatedLoad) []DumpEvacuation {
	known := *h.knownEvacuations.Load()
	var dumped []DumpEvacuation
	for _, domain := range h.currentCatalog.Load().Evacuations().Domains() {
		dumped = append(dumped, DumpEvacuation{
			Domain: domain, Known: (now - known[domain]).Round(time.Millisecond).String(),
			OpenFlows: loads[domain].OpenFlows, Requests: loads[domain].Requests,
		})
	}
	return dumped
}

// countEvacuated updates the numbers of open flows and requests on evacuated targets, if
// that is due.
func (f *forwarder) countEvacuated() {
	now := f.h.now()
	if now-f.evacuatedCountedAt < evacuatedCountInterval {
		return
	}
	f.evacuatedCountedAt = now
	flows, requests := 0, 0
	if f.activeCatalog.Evacuations().Size() > 0 {
		for _, l := range f.core.EvacuatedLoad() {
			flows += l.OpenFlows
			requests += l.Requests
		}
	}
	f.h.evacuatedFlows.Store(int64(flows))
	f.h.evacuatedRequests.Store(int64(requests))
}

// updateIsolated informs the core when this host becomes isolated while its failure domain
// is evacuated, and when either ends.
func (f *forwarder) updateIsolated(now time.Duration) {
	age := f.h.catalogAge(now)
	isolated := age > isolationAge && f.activeCatalog.Evacuations().Has(f.h.cfg.Settings.Domain)
	if isolated == f.h.isolated.Load() {
		return
	}
	f.h.isolated.Store(isolated)
	f.core.SetIsolated(isolated)
	message := "host: no longer isolated, evacuated targets get no new flows"
	if isolated {
		message = "host: isolated, evacuated targets get new flows if no others respond"
	}
	f.h.log.WithFields(log.Fields{"evacuated": f.h.cfg.Settings.Domain, "age_ms": age.Milliseconds()}).Warn(message)
}
