package host

import (
	"context"
	"slices"
	"time"

	"wisteriaweir/platform"
	"wisteriaweir/reader"
)

// settleAtFirst is how long a host that starts with all the others waits before
// it lists them.
const settleAtFirst = 1200 * time.Millisecond

// findMembers announces this host in the store and lists the others. A host that
// is new lists them after its announcement, so that of two that start at once one
// finds the other and greets it.
func (h *Host) findMembers(ctx context.Context, self reader.Member, out chan<- []reader.Member) {
	if h.cfg.Boot.FirstStart {
		h.try(ctx, "announce", func() error { return h.announce(ctx, self) })
		_ = platform.Sleep(ctx, settleAtFirst)
	}
	if slices.Contains(h.passMembers(ctx, out), self) {
		return
	}
	h.try(ctx, "announce", func() error { return h.announce(ctx, self) })
	h.passMembers(ctx, out)
}

// passMembers lists the hosts and passes them on.
func (h *Host) passMembers(ctx context.Context, out chan<- []reader.Member) []reader.Member {
	var members []reader.Member
	h.try(ctx, "members", func() error {
		var err error
		members, err = h.listMembers(ctx)
		return err
	})
	select {
	case out <- members:
	case <-ctx.Done():
	}
	return members
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
		_ = platform.Sleep(ctx, h.backoff.After(failures))
	}
}

func (h *Host) announce(ctx context.Context, self reader.Member) error {
	return h.store.Load().Set(ctx, platform.KindHosts, self.Name, platform.HostSpec{
		Address: self.At.String(), Domain: self.Domain, Strong: self.Strong,
	})
}

func (h *Host) listMembers(ctx context.Context) ([]reader.Member, error) {
	records, _, err := h.store.Load().List(ctx, platform.KindHosts)
	if err != nil {
		return nil, err
	}
	var members []reader.Member
	for _, r := range records {
		spec, at, err := platform.ParseHost(r)
		if err != nil {
			h.log.WithError(err).Warn("host: entry of a host not used")
			continue
		}
		members = append(members, reader.Member{Name: r.Name, Domain: spec.Domain, At: at, Strong: spec.Strong})
	}
	return members, nil
}
