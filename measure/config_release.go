package measure

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"

	"wisteriaweir/fleet"
	"wisteriaweir/rollout"
	"wisteriaweir/service"
	"wisteriaweir/ticket"
)

const (
	// releaseRuns is the number of runs of a timed step; for the slower ones it is
	// divided by 4.
	releaseRuns = 20
	// releaseDomains is the number of failure domains of a release state.
	releaseDomains = 9
	// minMemberLife is the lowest life of a member, the number of its process
	// instance.
	minMemberLife = 1 << 60
)

// releaseState returns the shared state of a number of members, services and targets
// of each service.
func releaseState(members, services, targets int, seed uint64) rollout.State {
	f := releaseFleet(members, services, seed)
	cfg := releaseConfig(services, targets).WithNumber(f.Head.Number).WithDigest(f.Head.Digest)
	return rollout.State{Fleet: f, Config: cfg}
}

// withMemberLeaving returns s with the next number and with its last member in the
// state leaving.
func withMemberLeaving(s rollout.State) rollout.State {
	last := s.Fleet.Members[len(s.Fleet.Members)-1]
	s.Fleet = s.Fleet.WithMember(last.WithState(fleet.StateLeaving)).WithNumber(s.Fleet.Number + 1)
	return s
}

// withTargetDrained returns s with the next number and the next ticket, which drains
// one target of the first service.
func withTargetDrained(s rollout.State) rollout.State {
	v := s.Config.Services[0]
	v = v.WithTarget(drainedTarget(v.Pool[len(v.Pool)/2]))
	head := s.Fleet.Head
	head.Number++
	// Swapping the digests changes both of them.
	head.Digest, head.TicketDigest = head.TicketDigest, head.Digest
	head.Services = maps.Clone(head.Services)
	head.Services[v.Name] = ticket.Entry{Number: head.Number, Digest: head.TicketDigest}
	s.Fleet = s.Fleet.WithHead(head).WithNumber(s.Fleet.Number + 1)
	s.Config = s.Config.WithService(v).WithNumber(head.Number).WithDigest(head.Digest)
	return s
}

func drainedTarget(t service.Target) service.Target {
	t.Draining = true
	return t
}

// releaseSize returns the bytes of the snapshot of a whole release.
func releaseSize(s rollout.State) (float64, error) {
	r, err := rollout.NewRelease(s)
	if err != nil {
		return 0, err
	}
	snapshot, err := r.Snapshot()
	return float64(len(snapshot.Body)), err
}

// decodeTime returns the microseconds to decode the snapshot of a whole release.
func decodeTime(s rollout.State) (float64, error) {
	r, err := rollout.NewRelease(s)
	if err != nil {
		return 0, err
	}
	snapshot, err := r.Snapshot()
	if err != nil {
		return 0, err
	}
	return timeRuns(releaseRuns/4, func() error {
		_, err := snapshot.Decode()
		return err
	})
}

// timeRuns returns the mean processor time of a number of runs of f in microseconds,
// and the last error of f.
func timeRuns(runs int, f func() error) (float64, error) {
	var err error
	micros := meanProcessorMicros(runs, func() {
		if e := f(); e != nil {
			err = e
		}
	})
	return micros, err
}

// releaseStep is a change of a state: the releases before and after it, and the delta
// between them.
type releaseStep struct {
	before, after rollout.Release
	delta         rollout.Delta
}

// newReleaseStep makes the releases of s and of the changed state, and the delta
// between them.
func newReleaseStep(s rollout.State, change func(rollout.State) rollout.State) (releaseStep, error) {
	var out releaseStep
	var err error
	if out.before, err = rollout.NewRelease(s); err != nil {
		return out, err
	}
	if out.after, err = rollout.NewRelease(change(s)); err != nil {
		return out, err
	}
	var ok bool
	if out.delta, ok = out.after.DeltaFrom(out.before); !ok {
		return out, &rollout.ReleaseError{Number: out.after.Number, Reason: "no delta"}
	}
	return out, nil
}

// deltaSize returns the bytes of a delta with its digests.
func deltaSize(s rollout.State, change func(rollout.State) rollout.State) (float64, error) {
	x, err := newReleaseStep(s, change)
	d := x.delta
	return float64(len(slices.Concat(d.Body, d.SectionsDigest)) + len(d.BaseDigest) + len(d.Digest)), err
}

// applyDeltaTime returns the microseconds in which a balancer applies a delta and
// makes the delta for its children in the distribution tree.
func applyDeltaTime(s rollout.State, change func(rollout.State) rollout.State) (float64, error) {
	x, err := newReleaseStep(s, change)
	if err != nil {
		return 0, err
	}
	return timeRuns(releaseRuns, func() error {
		r, err := x.before.ApplyDelta(x.delta)
		if err == nil {
			r.DeltaFrom(x.before)
		}
		return err
	})
}

// releaseFleet returns a fleet of active members whose head lists a number of
// services.
func releaseFleet(members, services int, seed uint64) fleet.Fleet {
	rng := rand.New(rand.NewPCG(seed, 9))
	digest := func() string {
		return fmt.Sprintf("%016x%016x%016x%016x", rng.Uint64(), rng.Uint64(), rng.Uint64(), rng.Uint64())
	}
	f := fleet.Fleet{Head: ticket.Head{
		Number: 1, TicketDigest: digest(), Digest: digest(), Services: make(map[string]ticket.Entry),
	}}
	for s := range services {
		name := releaseService(s, 0).Name
		f.Head.Services[name] = ticket.Entry{Number: uint64(s + 1), Digest: digest()}
	}
	for d := range releaseDomains {
		f.Head.Domains = append(f.Head.Domains, fmt.Sprintf("zone-%d", d))
	}
	for i := range members {
		f.Members = append(f.Members, releaseMember(i, rng.Uint64N(1<<30)))
	}
	for f.ClaimHolders.Number < 1 {
		f, _ = f.Next(fleet.Proposal{Domain: "none"})
	}
	return f
}

func releaseMember(i int, life uint64) fleet.Member {
	addr := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
	return fleet.Member{
		Name:           fmt.Sprintf("balancer-%04d", i),
		Domain:         fmt.Sprintf("zone-%d", i%releaseDomains),
		Life:           minMemberLife + life,
		ControlAddress: netip.AddrPortFrom(addr, 7001),
		HopAddress:     netip.AddrPortFrom(addr, 7002),
		State:          fleet.StateActive,
	}
}

// releaseService returns a service with one address and n targets.
func releaseService(s, n int) service.Service {
	name := fmt.Sprintf("service-%04d", s)
	out := service.Service{Name: name, Addresses: []service.Address{{
		AddrPort: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(s >> 8), byte(s)}), 5683),
		Mode:     service.ModeFlow,
	}}}
	for i := range n {
		out.Pool = append(out.Pool, service.Target{
			Name:    fmt.Sprintf("%s-%04d", name, i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(2 + s>>8), byte(s), byte(i)}), uint16(9000+i>>8)),
			Domain:  fmt.Sprintf("zone-%d", i%releaseDomains),
			Weight:  100,
			Slots:   2,
		})
	}
	return out
}

// releaseConfig returns a configuration of a number of services with the same number
// of targets each.
func releaseConfig(services, targets int) service.Config {
	all := make([]service.Service, services)
	for s := range all {
		all[s] = releaseService(s, targets)
	}
	return service.Config{}.WithNumber(1).WithServices(all)
}

// meanProcessorMicros returns the mean processor time of a number of runs of f in
// microseconds.
func meanProcessorMicros(runs int, f func()) float64 {
	start := processorTime()
	for range runs {
		f()
	}
	return float64((processorTime() - start).Nanoseconds()) / 1e3 / float64(runs)
}
