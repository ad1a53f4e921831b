package host

import (
	"context"
	"time"

	"wisteriaweir/placement"
	"wisteriaweir/reader"
)

// Dump is what a host believes, for people.
type Dump struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Uptime  string `json:"uptime"`
	Leaving bool   `json:"leaving"`
	// Reading says that the host reads the store for others, Confirmed how long ago
	// the store last confirmed what it believes.
	Reading   bool   `json:"reading"`
	Confirmed string `json:"confirmed"`
	// Routes is the number of the routing table, with its revision and size.
	Routes          uint64       `json:"routes"`
	RoutesRevision  uint64       `json:"routes_revision"`
	RoutesSize      int          `json:"routes_size"`
	TargetsRevision uint64       `json:"targets_revision"`
	Flows           int          `json:"flows"`
	Targets         []DumpTarget `json:"targets"`
	Members         []DumpMember `json:"members"`
}

// DumpTarget is a target with its load.
type DumpTarget struct {
	ID       string                 `json:"id"`
	Service  string                 `json:"service"`
	Domain   string                 `json:"domain"`
	Address  string                 `json:"at"`
	Revision uint64                 `json:"revision"`
	Load     placement.TargetStatus `json:"load"`
}

// DumpMember is another host.
type DumpMember struct {
	Name             string `json:"name"`
	Domain           string `json:"domain"`
	Address          string `json:"at"`
	HasSpareCapacity bool   `json:"strong"`
}

// dump gathers the state for the monitor; parts that do not answer before ctx
// ends stay empty.
func (h *Host) dump(ctx context.Context) any {
	now, c := h.now(), h.current.Load()
	d := Dump{
		Name: h.cfg.Settings.Name, Domain: h.cfg.Settings.Domain, Uptime: now.Round(time.Millisecond).String(),
		Leaving: h.leaving.Load(), Reading: h.reading.Load(), Confirmed: h.age(now).Round(time.Millisecond).String(),
		Routes: c.Routes().Number(), RoutesRevision: c.RoutesRevision(), RoutesSize: c.Routes().Size(),
		TargetsRevision: c.TargetsRevision(),
	}
	h.inspect(ctx, h.inspectFlows, func() {
		d.Flows = h.forwarder.core.FlowCount()
		for _, t := range h.forwarder.core.Targets() {
			d.Targets = append(d.Targets, DumpTarget{
				ID: t.ID, Service: t.Service, Domain: t.Domain, Address: t.Address.String(), Revision: t.Revision, Load: t.Status(now),
			})
		}
	})
	h.inspect(ctx, h.inspectMembers, func() { d.Members = dumpMembers(h.control.core.Members()) })
	return d
}

func dumpMembers(members []reader.Member) []DumpMember {
	var all []DumpMember
	for _, m := range members {
		all = append(all, DumpMember{Name: m.Name, Domain: m.Domain, Address: m.Address.String(), HasSpareCapacity: m.HasSpareCapacity})
	}
	return all
}

// inspect runs a function in the goroutine that owns what it reads, and waits
// until it has run or ctx ends.
func (h *Host) inspect(ctx context.Context, owner chan<- func(), read func()) {
	done := make(chan struct{})
	select {
	case owner <- func() { read(); close(done) }:
		<-done
	case <-ctx.Done():
	}
}
