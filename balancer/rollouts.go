package balancer

import (
	"context"
	"errors"

	"wisteriaweir/fleet"
	"wisteriaweir/member"
	"wisteriaweir/platform"
	"wisteriaweir/rollout"
	"wisteriaweir/rollout/rolloutpb"
	"wisteriaweir/ticket"
)

const (
	// kindRollout is the kind of envelopes that carry a message of package
	// rollout.
	kindRollout = "rollout"
	// maxRetainedTickets is the number of fleet states whose ticket numbers are
	// retained. They replace the fleet state numbers that members report in the
	// status of the domain.
	maxRetainedTickets = 256
)

// rolloutRunner passes events to the core of the rollout, which distributes
// releases to the members, and executes its effects. It belongs to the control
// goroutine.
type rolloutRunner struct {
	c    *control
	core *rollout.Core
	// cancel ends the watch in progress.
	cancel context.CancelFunc
	// version is the version of the newest fleet object that was read.
	version uint64
	// tickets maps the numbers of recent fleet states to their ticket numbers.
	tickets map[uint64]uint64
	// reportedNumber is the number of the newest fleet state that was reported
	// to the core as active.
	reportedNumber uint64
	// context is the context of calls to the platform. It ends with the
	// balancer.
	context context.Context
}

func newRolloutRunner(c *control) *rolloutRunner {
	return &rolloutRunner{
		c:       c,
		core:    rollout.NewCore(rollout.Config{Self: c.b.self, Seed: c.b.self.Life}),
		cancel:  func() {},
		tickets: make(map[uint64]uint64),
		context: context.Background(),
	}
}

// start sets the context for calls to the platform.
func (r *rolloutRunner) start(ctx context.Context) {
	r.context = ctx
}

func (r *rolloutRunner) handle(e rollout.Event) {
	for _, effect := range r.core.Handle(r.c.b.now(), e) {
		r.execute(effect)
	}
}

func (r *rolloutRunner) execute(effect rollout.Effect) {
	switch e := effect.(type) {
	case rollout.Send:
		r.send(e)
	case rollout.Apply:
		r.apply(e.Release)
	case rollout.Fetch:
		r.cancel()
		ctx, cancel := context.WithCancel(r.context)
		r.cancel = cancel
		go r.fetch(ctx, r.version, r.core.Release())
	case rollout.WriteStatus:
		r.writeStatus(e.Status)
	case rollout.DigestMismatch:
		r.c.b.log.WithField("number", e.Number).WithField("from", e.From).Error("two contents under one number")
	case rollout.Rejected:
		r.c.b.log.WithError(e.Err).WithField("number", e.Number).WithField("from", e.From).Warn("release refused")
	case rollout.LeaseSuperseded:
		r.c.b.log.WithField("fence", e.Fence).Info("another balancer holds the lease")
	}
}

// send sends a message of the rollout to another balancer.
func (r *rolloutRunner) send(e rollout.Send) {
	payload, err := rolloutpb.Marshal(e.Message)
	if err != nil {
		r.c.b.log.WithError(err).Error("rollout message cannot be encoded")
		return
	}
	// A member that missed a message sees a newer release number in the
	// heartbeats of other members, and pulls the release.
	r.c.b.sendEnvelope(e.To, kindRollout, payload)
}

// apply makes a release the active one.
func (r *rolloutRunner) apply(release rollout.Release) {
	s := release.State()
	r.tickets[s.Fleet.Number] = s.Fleet.Head.Number
	delete(r.tickets, s.Fleet.Number-maxRetainedTickets)
	r.c.applyState(s)
	r.c.members.handle(member.ConfigApplied{Number: release.Number, Digest: release.Digest})
	r.reportActive()
}

// tick reports a newly active state and passes a Tick to the core.
func (r *rolloutRunner) tick() {
	r.reportActive()
	r.handle(rollout.Tick{})
}

// reportActive reports the newest fleet state that is active for all traffic to
// the core. A state is active for requests at once, and for flows once its
// epoch is the newest one of the epoch manager.
func (r *rolloutRunner) reportActive() {
	number := min(r.c.fleet.Number, r.c.epochs.Status().Newest)
	if number > r.reportedNumber {
		r.reportedNumber = number
		r.handle(rollout.ReleaseActive{Number: number})
	}
}

// fetch watches the fleet object, and passes a newer release or the failure to
// the core.
func (r *rolloutRunner) fetch(ctx context.Context, after uint64, known rollout.Release) {
	release, version, err := r.read(ctx, after, known)
	if ctx.Err() != nil {
		return
	}
	r.c.enqueueContext(ctx, func() {
		if err != nil {
			r.handle(rollout.FetchFailed{})
			return
		}
		r.version = version
		r.c.proposer.recordVersion(version, release.Number)
		r.handle(rollout.Fetched{Release: release})
	})
}

// read returns the next release and the version of its fleet object. It reads
// the configuration only if the head differs from that of the known release.
func (r *rolloutRunner) read(ctx context.Context, after uint64, known rollout.Release) (rollout.Release, uint64, error) {
	o, err := r.c.b.platform.Watch(ctx, fleet.Path, after)
	if err != nil {
		if !errors.As(err, new(*platform.UnchangedError)) && !errors.As(err, new(*platform.NotFoundError)) && ctx.Err() == nil {
			r.c.b.log.WithError(err).Debug("fleet object cannot be watched")
		}
		return rollout.Release{}, 0, err
	}
	config := known.State().Config
	s := rollout.State{Config: config}
	if s.Fleet, err = fleet.Decode(o.Value); err != nil {
		r.c.b.log.WithError(err).Error("platform holds a fleet object that cannot be read")
		return rollout.Release{}, 0, err
	}
	if head := s.Fleet.Head; config.Number != head.Number || config.Digest != head.Digest {
		if s.Config, err = loadConfig(ctx, r.c.b.platform, known.State(), head); err != nil {
			r.c.b.log.WithError(err).Warn("tickets of the fleet object cannot be read")
			return rollout.Release{}, 0, err
		}
	}
	release, err := known.Pack(s)
	return release, o.Version, err
}

// writeStatus writes the status of the local failure domain to the platform,
// with ticket numbers in place of the numbers of fleet states. The number of a
// fleet state that is not retained becomes 0.
func (r *rolloutRunner) writeStatus(s ticket.Status) {
	s.Number = r.tickets[s.Number]
	for i, l := range s.Laggards {
		s.Laggards[i].Number = r.tickets[l.Number]
	}
	r.c.proposer.status = s
	ctx, cancel := r.c.leaseRunner.contextWithinLease(r.context)
	go func() {
		defer cancel()
		if err := storeStatus(ctx, r.c.b.platform, s); err != nil {
			r.c.b.log.WithError(err).Warn("status is not written")
		}
	}()
}
