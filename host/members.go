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
	// firstListDelay is how long a host that starts together with the whole system
	// waits before it lists the others, so that they have announced themselves.
	firstListDelay = 1200 * time.Millisecond
	// defaultRenewInterval is the mean time between two renewals of this host's entry.
	defaultRenewInterval = 10 * time.Minute
	// restoreSpread is the time over which the hosts spread their calls after the store has
	// come back from an older copy.
	restoreSpread = 3 * time.Second
	// renewJitterDivisor sets the jitter of that time: each interval is random, up to
	// one part in renewJitterDivisor shorter or longer.
	renewJitterDivisor = 10
)

// invalidHostMessage is the message of the log line about an invalid entry of a host.
const invalidHostMessage = "host: invalid host entry skipped"

// membership maintains this host's entry in the store and lists the other hosts.
type membership struct {
	h *Host
	// self is this host as it announces itself.
	self reader.Member
	// memberLists carries each list of hosts to the control goroutine.
	memberLists chan<- []reader.Member
	// renewals counts the renewals of this host's entry.
	renewals      uint64
	staleDetector *reader.StaleEntryDetector
	renewInterval time.Duration
}

func (h *Host) newMembership(self reader.Member, memberLists chan<- []reader.Member) *membership {
	return &membership{h: h, self: self, memberLists: memberLists, staleDetector: reader.NewStaleEntryDetector(), renewInterval: h.cfg.RenewInterval}
}

// run discovers the other hosts, and then, until ctx ends, regularly renews this
// host's entry and lists the entries of all hosts, to find new hosts and stale
// entries. If the store comes back from an older copy, which may lack entries, it
// discovers the hosts again.
func (m *membership) run(ctx context.Context) {
	m.discover(ctx)
	renewal := time.NewTimer(m.nextRenewDelay())
	defer renewal.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.h.storeRestored:
			_ = platform.Sleep(ctx, rand.N(restoreSpread))
			m.announceIfMissing(ctx)
		case <-renewal.C:
			m.renewals++
			m.announce(ctx)
			m.publish(ctx, m.list(ctx, true))
			renewal.Reset(m.nextRenewDelay())
		}
	}
}

// nextRenewDelay returns a random time until the next renewal.
func (m *membership) nextRenewDelay() time.Duration {
	jitter := m.renewInterval / renewJitterDivisor
	return m.renewInterval - jitter + rand.N(2*jitter+1)
}

// discover announces this host in the store and lists the others. A host that finds
// itself without an entry announces itself and lists the others again, so that of two
// hosts that start at once at least one finds the other and sends it a Hello.
func (m *membership) discover(ctx context.Context) {
	if m.h.cfg.Settings.IsFirstStart {
		m.announce(ctx)
		_ = platform.Sleep(ctx, firstListDelay)
	}
	m.announceIfMissing(ctx)
}

// announceIfMissing lists the hosts. If this host is not among them, it announces itself
// and lists them again.
func (m *membership) announceIfMissing(ctx context.Context) {
	members := m.list(ctx, true)
	m.publish(ctx, members)
	if slices.Contains(members, m.self) {
		return
	}
	m.announce(ctx)
	m.publish(ctx, m.list(ctx, false))
}

// publish sends the listed hosts to the control goroutine.
func (m *membership) publish(ctx context.Context, members []reader.Member) {
	select {
	case m.memberLists <- members:
	case <-ctx.Done():
	}
}

// announce writes this host's entry to the store.
func (m *membership) announce(ctx context.Context) {
	spec := platform.HostSpec{
		Address: m.self.Address.String(), Domain: m.self.Domain, HasSpareCapacity: m.self.HasSpareCapacity, Renewals: m.renewals,
	}
	m.h.retryStoreCall(ctx, "announce", func() error {
		return m.h.store.Load().CreateOrReplace(ctx, platform.KindHosts, m.self.Name, spec)
	})
}

// list returns all hosts with a valid entry; if mayBeStale is set, as of some seconds ago. If
// this host is a reader, list also removes stale entries from the store and their hosts from
// the result.
func (m *membership) list(ctx context.Context, mayBeStale bool) []reader.Member {
	var listing platform.Listing
	m.h.retryStoreCall(ctx, "members", func() error {
		var err error
		store := m.h.store.Load()
		if mayBeStale {
			listing, err = store.ListStale(ctx, platform.KindHosts)
			return err
		}
		listing, err = store.List(ctx, platform.KindHosts)
		return err
	})
	m.h.invalid.reportAll(hostSource, invalidHostMessage, listing.Invalid)
	var members []reader.Member
	entries := make([]reader.HostEntry, 0, len(listing.Records))
	for _, r := range listing.Records {
		entries = append(entries, reader.HostEntry{Name: r.Name, Position: r.Position()})
		spec, addr, err := platform.ParseHost(r)
		if err != nil {
			m.h.invalid.report(hostSource, invalidHostMessage, err)
			continue
		}
		members = append(members, reader.Member{Name: r.Name, Domain: spec.Domain, Address: addr, HasSpareCapacity: spec.HasSpareCapacity})
	}
	stale := m.staleDetector.AddListing(entries)
	if !m.h.isReading.Load() {
		return members
	}
	for _, e := range stale {
		if m.remove(ctx, e) {
			members = slices.DeleteFunc(members, func(listed reader.Member) bool { return listed.Name == e.Name })
		}
	}
	return members
}

// remove removes the stale entry of a host from the store, unless it was renewed
// since the listing, and reports whether the entry was removed.
func (m *membership) remove(ctx context.Context, e reader.HostEntry) bool {
	err := m.h.store.Load().Remove(ctx, platform.KindHosts, e.Name, e.Position.Revision)
	entryLog := m.h.log.WithFields(log.Fields{"entry": e.Name, "revision": e.Position.Revision})
	if err != nil {
		entryLog.WithError(err).Warn("host: cannot remove stale host entry")
		return false
	}
	entryLog.Info("host: stale host entry removed")
	return true
}

// retryStoreCall repeats a call to the store, with backoff, until it succeeds or ctx
// ends. It logs the first failure.
func (h *Host) retryStoreCall(ctx context.Context, operation string, call func() error) {
	for failures := 1; ctx.Err() == nil; failures++ {
		err := call()
		if err == nil {
			return
		}
		if failures == 1 {
			h.log.WithError(err).WithField("for", operation).Warn("host: store call failed, retrying")
		}
		_ = platform.Sleep(ctx, h.backoff.Delay(failures))
	}
}
