package balancer

import (
	"context"
	"errors"
	"time"

	"wisteriaweir/lease"
	"wisteriaweir/platform"
	"wisteriaweir/rollout"
)

// leaseRunner passes events to the core of the lease of the local failure
// domain and executes its effects. It belongs to the control goroutine.
type leaseRunner struct {
	c    *control
	core *lease.Lease
	// path is the path of the lease object on the platform.
	path string
	// wakeAt is the time at which the core last requested a Tick.
	wakeAt time.Duration
	// isCandidate is true while the balancer contends for the lease.
	isCandidate bool
}

func newLeaseRunner(c *control) *leaseRunner {
	s := c.b.cfg.Setting
	return &leaseRunner{
		c: c,
		core: lease.New(lease.Config{
			Name:         c.b.self.Name,
			Life:         c.b.self.Life,
			Term:         s.Times.LeaseTerm,
			MaxClockSkew: s.Times.SkewBound,
			Seed:         c.b.self.Life,
		}),
		path: lease.Path(s.Domain),
	}
}

// setCandidate makes the balancer a candidate for the lease, or withdraws its
// candidacy.
// Only a few balancers of a domain are candidates, so that the platform's load
// does not grow with the fleet.
func (l *leaseRunner) setCandidate(ctx context.Context, candidate bool) {
	if candidate == l.isCandidate {
		return
	}
	l.isCandidate = candidate
	if candidate {
		l.handle(ctx, lease.Contend{})
	} else {
		l.handle(ctx, lease.Withdraw{})
	}
}

// releasePermanently releases the lease before a shutdown. The balancer does
// not contend for it again.
func (l *leaseRunner) releasePermanently(ctx context.Context) {
	l.handle(ctx, lease.Leave{})
}

// tick updates whether the balancer is a candidate, and passes a Tick to the
// core once wakeAt has passed.
func (l *leaseRunner) tick(ctx context.Context) {
	l.setCandidate(ctx, rollout.IsLeaseCandidate(l.c.members.view, l.c.b.self.Domain, l.c.b.self.Name))
	if l.c.b.now() >= l.wakeAt {
		l.handle(ctx, lease.Tick{})
	}
}

// holding returns the fencing number, and whether this balancer holds the
// lease.
func (l *leaseRunner) holding() (uint64, bool) {
	return l.core.Holding(l.c.b.now())
}

// leaseHolder returns the name of the known lease holder, empty if none is
// known.
func (l *leaseRunner) leaseHolder() string {
	if name := l.c.rolloutRunner.core.LeaseHolder(); name != "" {
		return name
	}
	r, _ := l.core.Record()
	return r.Holder
}

func (l *leaseRunner) handle(ctx context.Context, e lease.Event) {
	for _, effect := range l.core.Handle(l.c.b.now(), e) {
		l.execute(ctx, effect)
	}
}

func (l *leaseRunner) execute(ctx context.Context, effect lease.Effect) {
	switch e := effect.(type) {
	case lease.Read:
		go func() { l.enqueueEvent(ctx, l.read(ctx)) }()
	case lease.Watch:
		go func() { l.enqueueEvent(ctx, l.watch(ctx, e.After)) }()
	case lease.Write:
		go l.writeWithinTerm(ctx, e, l.c.b.now())
	case lease.Acquired:
		l.c.b.log.WithField("fence", e.Fence).Info("lease of the failure domain acquired")
		l.c.rolloutRunner.handle(rollout.LeaseAcquired{Fence: e.Fence})
	case lease.Released:
		l.c.b.log.WithField("fence", e.Fence).Info("lease of the failure domain released")
		l.c.rolloutRunner.handle(rollout.LeaseReleased{})
	case lease.Wake:
		l.wakeAt = e.At
	}
}

// enqueueEvent queues an event for the core.
func (l *leaseRunner) enqueueEvent(ctx context.Context, e lease.Event) {
	l.c.enqueueContext(ctx, func() { l.handle(ctx, e) })
}

// read reads the lease object.
func (l *leaseRunner) read(ctx context.Context) lease.Event {
	o, err := l.c.b.platform.Get(ctx, l.path)
	return readEvent(o, err)
}

// watch waits until the lease object is newer than version after.
func (l *leaseRunner) watch(ctx context.Context, after uint64) lease.Event {
	o, err := l.c.b.platform.Watch(ctx, l.path, after)
	if errors.As(err, new(*platform.UnchangedError)) {
		return lease.Unchanged{}
	}
	return readEvent(o, err)
}

// readEvent returns the event for the result of a read or watch: StateRead with
// the record, an empty StateRead if the object does not exist, or ReadFailed after
// another error or for an invalid record.
func readEvent(o platform.Object, err error) lease.Event {
	if errors.As(err, new(*platform.NotFoundError)) {
		return lease.StateRead{}
	}
	if err != nil {
		return lease.ReadFailed{}
	}
	r, err := lease.ParseRecord(o.Value)
	if err != nil {
		return lease.ReadFailed{}
	}
	return lease.StateRead{Version: o.Version, Record: r}
}

// contextWithinLease returns a context that ends when the lease, unless
// renewed, would expire by this process's monotonic clock, so that no write is
// started or retried after that. A write that is already on its way by then can
// be rejected only by its object version.
func (l *leaseRunner) contextWithinLease(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, l.core.Remaining(l.c.b.now()))
}

// writeWithinTerm executes a write of the lease object that the core requested
// at the time requestedAt. The write is cancelled once the lease that it would
// acquire or extend would have expired.
func (l *leaseRunner) writeWithinTerm(ctx context.Context, w lease.Write, requestedAt time.Duration) {
	times := l.c.b.cfg.Setting.Times
	remaining := requestedAt + times.LeaseTerm - times.SkewBound - l.c.b.now()
	bounded, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	l.enqueueEvent(ctx, l.write(bounded, w))
}

// write writes the lease object and returns the event for the result.
func (l *leaseRunner) write(ctx context.Context, w lease.Write) lease.Event {
	version, err := l.c.b.platform.Put(ctx, l.path, w.Version, w.Record.Encode())
	if err == nil {
		return lease.Written{Version: version}
	}
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return lease.WriteUnknown{}
	}
	r, err := lease.ParseRecord(conflict.Current.Value)
	if err != nil {
		return lease.WriteUnknown{}
	}
	return lease.WriteConflict{Version: conflict.Current.Version, Record: r}
}
