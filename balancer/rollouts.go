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
	// kindRollout marks envelopes that carry a message of package rollout.
	kindRollout = "rollout"
	// keptNumbers is the number of states of the fleet whose ticket is
	// remembered, to translate what members report.
	keptNumbers = 256
)

// rollouts feeds the core of the fan-out and performs its effects. It belongs
// to the control goroutine.
type rollouts struct {
	c    *control
	core *rollout.Core
	// cancel ends the watch in progress.
	cancel context.CancelFunc
	// version is that of the newest fleet object read.
	version uint64
	// tickets holds the ticket number of recent states of the fleet.
	tickets map[uint64]uint64
	// reported is the newest state reported to be in force.
	reported uint64
	// context ends with the balancer.
	context context.Context
}

func newRollouts(c *control) *rollouts {
	return &rollouts{
		c:       c,
		core:    rollout.NewCore(rollout.Config{Self: c.b.self, Seed: c.b.self.Life}),
		cancel:  func() {},
		tickets: make(map[uint64]uint64),
		context: context.Background(),
	}
}

// start gives the context under which the platform is called.
func (r *rollouts) start(ctx context.Context) {
	r.context = ctx
}

func (r *rollouts) handle(e rollout.Event) {
	for _, effect := range r.core.Handle(r.c.b.now(), e) {
		r.perform(effect)
	}
}

func (r *rollouts) perform(effect rollout.Effect) {
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
		r.write(e.Status)
	case rollout.DigestMismatch:
		r.c.b.log.WithField("number", e.Number).WithField("from", e.From).Error("two contents under one number")
	case rollout.Rejected:
		r.c.b.log.WithError(e.Err).WithField("number", e.Number).WithField("from", e.From).Warn("release refused")
	case rollout.LeaseSuperseded:
		r.c.b.log.WithField("fence", e.Fence).Info("another balancer holds the lease")
	}
}

func (r *rollouts) send(e rollout.Send) {
	payload, err := rolloutpb.Marshal(e.Message)
	if err != nil {
		r.c.b.log.WithError(err).Error("message of the fan-out cannot be encoded")
		return
	}
	// Heartbeats show who missed something, and they pull it.
	r.c.b.tell(e.To, kindRollout, payload)
}

// apply puts a release in force.
func (r *rollouts) apply(release rollout.Release) {
	s := release.State()
	r.tickets[s.Fleet.Number] = s.Fleet.Head.Number
	delete(r.tickets, s.Fleet.Number-keptNumbers)
	r.c.adopt(s)
	r.c.members.handle(member.ConfigApplied{Number: release.Number, Digest: release.Digest})
	r.inForce()
}

// tick lets time pass.
func (r *rollouts) tick() {
	r.inForce()
	r.handle(rollout.Tick{})
}

// inForce reports the newest state that all traffic follows. Requests follow it
// at once, flows once the generations have taken its epoch.
func (r *rollouts) inForce() {
	number := min(r.c.fleet.Number, r.c.gens.Status().Newest)
	if number > r.reported {
		r.reported = number
		r.handle(rollout.ReleaseActive{Number: number})
	}
}

// fetch watches the fleet object and hands over what is newer.
func (r *rollouts) fetch(ctx context.Context, after uint64, known rollout.Release) {
	release, version, err := r.read(ctx, after, known)
	if ctx.Err() != nil {
		return
	}
	r.c.post(ctx, func() {
		if err != nil {
			r.handle(rollout.FetchFailed{})
			return
		}
		r.version = version
		r.c.propose.fetched(version, release.Number)
		r.handle(rollout.Fetched{Release: release})
	})
}

// read returns the next state of the fleet. The configuration is read only if
// the head differs from the known one.
func (r *rollouts) read(ctx context.Context, after uint64, known rollout.Release) (rollout.Release, uint64, error) {
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

// write stores the status of the domain, with ticket numbers in place of those
// of the fleet's states.
func (r *rollouts) write(s ticket.Status) {
	s.Number = r.tickets[s.Number]
	for i, l := range s.Laggards {
		s.Laggards[i].Number = r.tickets[l.Number]
	}
	r.c.propose.status = s
	ctx, cancel := r.c.lease.within(r.context)
	go func() {
		defer cancel()
		if err := storeStatus(ctx, r.c.b.platform, s); err != nil {
			r.c.b.log.WithError(err).Warn("status is not written")
		}
	}()
}
