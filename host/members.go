package host

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"wisteriaweir/platform"
	"wisteriaweir/reader"
)

const (
	// settleAtFirst is how long a host that starts with all the others waits before
	// it lists them.
	settleAtFirst = 1200 * time.Millisecond
	// renewEvery is the time between two renewals of this host's entry, drawn anew
	// each time, up to one part in renewSpread shorter or longer.
	renewEvery  = 10 * time.Minute
	renewSpread = 10
)

// membership keeps this host's entry in the store, and lists those of the others.
type membership struct {
	h    *Host
	self reader.Member
	out  chan<- []reader.Member
	// renewals counts the renewals of this host's entry.
	renewals uint64
	roster   *reader.StaleEntryDetector
	every    time.Duration
}

func (h *Host) newMembership(self reader.Member, out chan<- []reader.Member) *membership {
	return &membership{h: h, self: self, out: out, roster: reader.NewStaleEntryDetector(), every: h.cfg.RenewInterval}
}

// run finds the other hosts, and then renews this host's entry and looks for new
// hosts and for entries left behind until ctx ends.
func (m *membership) run(ctx context.Context) {
	m.find(ctx)
	for platform.Sleep(ctx, m.pause()) == nil {
		m.renewals++
		m.announce(ctx)
		m.pass(ctx, m.list(ctx))
	}
}

// pause draws the time until the next renewal.
func (m *membership) pause() time.Duration {
	spread := m.every / renewSpread
	return m.every - spread + rand.N(2*spread+1)
}

// find announces this host in the store and lists the others. A host that is new
// lists them after its announcement, so that of two that start at once one finds
// the other and greets it.
func (m *membership) find(ctx context.Context) {
	if m.h.cfg.Settings.IsFirstStart {
		m.announce(ctx)
		_ = platform.Sleep(ctx, settleAtFirst)
	}
	members := m.list(ctx)
	m.pass(ctx, members)
	if slices.Contains(members, m.self) {
		return
	}
	m.announce(ctx)
	m.pass(ctx, m.list(ctx))
}

// pass hands the listed hosts to the goroutine that owns what is believed.
func (m *membership) pass(ctx context.Context, members []reader.Member) {
	select {
	case m.out <- members:
	case <-ctx.Done():
	}
}

// announce writes this host's entry.
func (m *membership) announce(ctx context.Context) {
	spec := platform.HostSpec{
		Address: m.self.Address.String(), Domain: m.self.Domain, HasSpareCapacity: m.self.HasSpareCapacity, Renewals: m.renewals,
	}
	m.h.try(ctx, "announce", func() error {
		return m.h.store.Load().Set(ctx, platform.KindHosts, m.self.Name, spec)
	})
}

// list reads the entries of all hosts. One that reads the store for others also
// removes those left behind.
func (m *membership) list(ctx context.Context) []reader.Member {
	var records []platform.Record
	m.h.try(ctx, "members", func() error {
		var err error
		records, _, err = m.h.store.Load().List(ctx, platform.KindHosts)
		return err
	})
	var members []reader.Member
	entries := make([]reader.HostEntry, 0, len(records))
	for _, r := range records {
		entries = append(entries, reader.HostEntry{Name: r.Name, Revision: r.Revision})
		spec, at, err := platform.ParseHost(r)
		if err != nil {
			m.h.log.WithError(err).Warn("host: entry of a host not used")
			continue
		}
		members = append(members, reader.Member{Name: r.Name, Domain: spec.Domain, Address: at, HasSpareCapacity: spec.HasSpareCapacity})
	}
	stale := m.roster.AddListing(entries)
	if !m.h.reading.Load() {
		return members
	}
	for _, e := range stale {
		if m.remove(ctx, e) {
			members = slices.DeleteFunc(members, func(x reader.Member) bool { return x.Name == e.Name })
		}
	}
	return members
}

// remove removes the entry of a host that is gone, unless it was renewed since,
// and reports whether it did.
func (m *membership) remove(ctx context.Context, e reader.HostEntry) bool {
	err := m.h.store.Load().Remove(ctx, platform.KindHosts, e.Name, e.Revision)
	l := m.h.log.WithFields(log.Fields{"entry": e.Name, "revision": e.Revision})
	if err != nil {
		l.WithError(err).Warn("host: entry of a host that is gone not removed")
		return false
	}
	l.Info("host: entry of a host that is gone removed")
	return true
}

// try repeats a call to the store until it succeeds.
func (h *Host) try(ctx context.Context, what string, call func() error) {
	for failures := 1; ctx.Err() == nil; failures++ {
		err := call()
		if err == nil {
			return
		}
		if failures == 1 {
			h.log.WithError(err).WithField("for", what).Warn("host: store failed")
		}
		_ = platform.Sleep(ctx, h.backoff.Delay(failures))
	}
}
