package balancer

import (
	"context"
	"errors"
	"time"

	"wisteriaweir/lease"
	"wisteriaweir/platform"
	"wisteriaweir/rollout"
)

// leaseKeeper feeds the core of the lease of the own failure domain and
// performs its effects. It belongs to the control goroutine.
type leaseKeeper struct {
	c    *control
	core *lease.Lease
	path string
	wake time.Duration
	// contending says that the balancer is a candidate.
	contending bool
}

func newLeaseKeeper(c *control) *leaseKeeper {
	s := c.b.cfg.Setting
	return &leaseKeeper{
		c: c,
		core: lease.New(lease.Config{
			Name:         c.b.self.Name,
			Life:         c.b.self.Life,
			Term:         s.Times.LeaseTerm,
			MaxClockSkew: s.Times.SkewBound,
			Seed:         c.b.self.Life,
		}),
		path: "lease/" + s.Domain,
	}
}

// contend makes the balancer a candidate, or none, so that a few of the domain
// contend and the platform's load does not grow with the fleet.
func (k *leaseKeeper) contend(ctx context.Context, is bool) {
	if is == k.contending {
		return
	}
	k.contending = is
	if is {
		k.handle(ctx, lease.Contend{})
	} else {
		k.handle(ctx, lease.Withdraw{})
	}
}

// leave gives the lease back for good.
func (k *leaseKeeper) leave(ctx context.Context) {
	k.handle(ctx, lease.Leave{})
}

// tick lets the time pass that the core asked for.
func (k *leaseKeeper) tick(ctx context.Context) {
	k.contend(ctx, rollout.IsLeaseCandidate(k.c.members.view, k.c.b.self.Domain, k.c.b.self.Name))
	if k.c.b.now() >= k.wake {
		k.handle(ctx, lease.Tick{})
	}
}

// holding returns the fencing number to act with, if the lease is held.
func (k *leaseKeeper) holding() (uint64, bool) {
	return k.core.Holding(k.c.b.now())
}

// holder returns the name of the balancer that holds the lease, as far as is
// known.
func (k *leaseKeeper) holder() string {
	if name := k.c.rollout.core.LeaseHolder(); name != "" {
		return name
	}
	r, _ := k.core.Record()
	return r.Holder
}

func (k *leaseKeeper) handle(ctx context.Context, e lease.Event) {
	for _, effect := range k.core.Handle(k.c.b.now(), e) {
		k.perform(ctx, effect)
	}
}

func (k *leaseKeeper) perform(ctx context.Context, effect lease.Effect) {
	switch e := effect.(type) {
	case lease.Read:
		go func() { k.post(ctx, k.read(ctx)) }()
	case lease.Watch:
		go func() { k.post(ctx, k.watch(ctx, e.After)) }()
	case lease.Write:
		go k.renew(ctx, e, k.c.b.now())
	case lease.Acquired:
		k.c.b.log.WithField("fence", e.Fence).Info("lease of the failure domain acquired")
		k.c.rollout.handle(rollout.Acquired{Fence: e.Fence})
	case lease.Released:
		k.c.b.log.WithField("fence", e.Fence).Info("lease of the failure domain given up")
		k.c.rollout.handle(rollout.Released{})
	case lease.Wake:
		k.wake = e.At
	}
}

func (k *leaseKeeper) post(ctx context.Context, e lease.Event) {
	k.c.post(ctx, func() { k.handle(ctx, e) })
}

func (k *leaseKeeper) read(ctx context.Context) lease.Event {
	o, err := k.c.b.platform.Get(ctx, k.path)
	return seen(o, err)
}

func (k *leaseKeeper) watch(ctx context.Context, after uint64) lease.Event {
	o, err := k.c.b.platform.Watch(ctx, k.path, after)
	if errors.As(err, new(*platform.UnchangedError)) {
		return lease.Unchanged{}
	}
	return seen(o, err)
}

func seen(o platform.Object, err error) lease.Event {
	if errors.As(err, new(*platform.NotFoundError)) {
		return lease.Seen{}
	}
	if err != nil {
		return lease.Failed{}
	}
	r, err := lease.ParseRecord(o.Value)
	if err != nil {
		return lease.Failed{}
	}
	return lease.Seen{Version: o.Version, Record: r}
}

// within returns a context that ends with the hold as it stands, on this
// process's own monotonic clock, so that no write is begun or tried again after
// the lease has lapsed. A write that is on its way by then is stopped by its
// version alone.
func (k *leaseKeeper) within(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, k.core.Remaining(k.c.b.now()))
}

// renew makes an update of the lease object that the core asked for at the time
// at. It is given up when the hold that it would begin or extend is over.
func (k *leaseKeeper) renew(ctx context.Context, w lease.Write, at time.Duration) {
	times := k.c.b.cfg.Setting.Times
	left := at + times.LeaseTerm - times.SkewBound - k.c.b.now()
	bounded, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	k.post(ctx, k.write(bounded, w))
}

func (k *leaseKeeper) write(ctx context.Context, w lease.Write) lease.Event {
	version, err := k.c.b.platform.Put(ctx, k.path, w.Version, w.Record.Encode())
	if err == nil {
		return lease.Written{Version: version}
	}
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return lease.Lost{}
	}
	r, err := lease.ParseRecord(conflict.Have.Value)
	if err != nil {
		return lease.Lost{}
	}
	return lease.Refused{Version: conflict.Have.Version, Record: r}
}
