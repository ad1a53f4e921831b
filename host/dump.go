package host

import (
	"context"
	"time"

	"wisteriaweir/catalog"
	"wisteriaweir/placement"
	"wisteriaweir/reader"
	"wisteriaweir/release"
)

// Dump is the state of a host as the monitor serves it for operators.
type Dump struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Build is the version of the program and the commit that it was built from.
	Build string `json:"build"`
	// Uptime is the time since the start of the process, such as 1m2.345s.
	Uptime string `json:"uptime"`
	// Leaving reports whether the host is draining before it stops.
	Leaving bool `json:"leaving"`
	// Reading reports whether the host is an elected reader of the store.
	Reading bool `json:"reading"`
	// Confirmed is the time since the store last confirmed the host's catalog, such as
	// 1.25s. It equals Uptime if the store never did.
	Confirmed string `json:"confirmed"`
	// Routes is the version number of the routing table.
	Routes uint64 `json:"routes"`
	// RoutesRevision is the store's revision of the routing table.
	RoutesRevision uint64 `json:"routes_revision"`
	// RoutesEra and TargetsEra are the eras of RoutesRevision and TargetsRevision, as the
	// store names them, or none.
	RoutesEra  string `json:"routes_era"`
	TargetsEra string `json:"targets_era"`
	// RoutesDigest is a hash of the routing table. Hosts with equal tables have equal
	// digests.
	RoutesDigest string `json:"routes_digest"`
	// TargetsDigest is a hash of all targets. Hosts with equal targets have equal digests.
	TargetsDigest string `json:"targets_digest"`
	// StoreEra is the highest era that a response of the store has named to this host, or
	// none. It rises each time that the store comes back from an older copy.
	StoreEra string `json:"store_era"`
	// RoutesSize is the number of routes.
	RoutesSize int `json:"routes_size"`
	// TargetsRevision is the store's revision up to which the targets are known.
	TargetsRevision uint64 `json:"targets_revision"`
	// EvacuationsRevision is the store's revision of the evacuations, 0 if the platform has
	// none or they are unknown.
	EvacuationsRevision uint64 `json:"evacuations_revision,omitempty"`
	// Evacuated are the evacuated failure domains, sorted by name.
	Evacuated []DumpEvacuation `json:"evacuated,omitempty"`
	// Isolated reports whether the host is isolated while its failure domain is evacuated.
	Isolated bool `json:"isolated,omitempty"`
	// Levels are the admission levels above 0, by service; see package admission.
	Levels map[string]float64 `json:"levels,omitempty"`
	// Flows is the number of flows in the flow table.
	Flows int `json:"flows"`
	// Targets are the targets that the packet goroutine knows.
	Targets []DumpTarget `json:"targets"`
	// Members are all known hosts, this one included, sorted by name.
	Members []DumpMember `json:"members"`
}

// DumpEvacuation is an evacuated failure domain in a Dump.
type DumpEvacuation struct {
	// Domain is the name of the failure domain.
	Domain string `json:"domain"`
	// Known is the time since this host learned of the request, such as 1m2.345s.
	Known string `json:"known"`
	// OpenFlows is the number of flows of this host on the targets there.
	OpenFlows int `json:"open"`
	// Requests is the number of requests of this host that are in progress on the targets
	// there, or queued for them.
	Requests int `json:"requests"`
}

// DumpTarget is a target in a Dump, with its load.
type DumpTarget struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	// Address is the IP address and port that receive the target's packets.
	Address string `json:"at"`
	// Revision is the store's revision of the target's entry.
	Revision uint64                 `json:"revision"`
	Load     placement.TargetStatus `json:"load"`
}

// DumpMember is a host in a Dump.
type DumpMember struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Address is the IP address and UDP port that receive messages from other hosts.
	Address string `json:"at"`
	// HasSpareCapacity reports whether the host is preferred as a reader of the store,
	// because it has CPU and link capacity to spare.
	HasSpareCapacity bool `json:"strong"`
}

// dump returns the state for the monitor. Parts whose goroutine does not respond
// before ctx ends stay empty.
func (h *Host) dump(ctx context.Context) any {
	now, c := h.now(), h.currentCatalog.Load()
	d := Dump{
		Name: h.cfg.Settings.Name, Domain: h.cfg.Settings.Domain, Build: release.Current().String(), Uptime: now.Round(time.Millisecond).String(),
		Leaving: h.draining.Load(), Reading: h.isReading.Load(), Confirmed: h.catalogAge(now).Round(time.Millisecond).String(),
		Routes: c.Routes().Number(), RoutesRevision: c.RoutesPosition().Revision, RoutesEra: catalog.EraName(c.RoutesPosition().Era), RoutesSize: c.Routes().Size(),
		TargetsRevision: c.TargetsPosition().Revision, TargetsEra: catalog.EraName(c.TargetsPosition().Era), EvacuationsRevision: c.EvacuationsPosition().Revision, Isolated: h.isolated.Load(),
		RoutesDigest: formatDigest(c.Routes().Digest()), TargetsDigest: formatDigest(c.TargetsDigest()), StoreEra: catalog.EraName(h.storeEra.Load()),
	}
	var loads map[string]placement.EvacuatedLoad
	h.inspect(ctx, h.inspectFlows, func() {
		loads = h.forwarder.core.EvacuatedLoad()
		d.Flows, d.Levels = h.forwarder.core.FlowCount(), h.forwarder.core.Levels(now)
		for _, t := range h.forwarder.core.Targets() {
			d.Targets = append(d.Targets, DumpTarget{
				ID: t.ID, Service: t.Service, Domain: t.Domain, Address: t.Address.String(), Revision: t.Position.Revision, Load: t.StatusAt(now),
			})
		}
	})
	d.Evacuated = h.dumpEvacuations(now, loads)
	h.inspect(ctx, h.inspectMembers, func() { d.Members = dumpMembers(h.control.core.Members()) })
	return d
}

func dumpMembers(members []reader.Member) []DumpMember {
	var dumped []DumpMember
	for _, m := range members {
		dumped = append(dumped, DumpMember{Name: m.Name, Domain: m.Domain, Address: m.Address.String(), HasSpareCapacity: m.HasSpareCapacity})
	}
	return dumped
}

// inspect runs read in the goroutine that receives from queue, and waits until it has
// run. If ctx ends before that goroutine receives it, read is not run.
func (h *Host) inspect(ctx context.Context, queue chan<- func(), read func()) {
	done := make(chan struct{})
	select {
	case queue <- func() { read(); close(done) }:
		<-done
	case <-ctx.Done():
	}
}
