package rollout_test

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wisteriaweir/fleet"
	"wisteriaweir/rollout"
	"wisteriaweir/service"
	"wisteriaweir/target"
	"wisteriaweir/ticket"
)

// exampleState returns a small valid state with the number 9.
func exampleState() rollout.State {
	cfg := service.Config{}.WithNumber(3).WithDigest("d3").WithService(service.Service{
		Name:      "levy-desk",
		Addresses: []service.Address{{AddrPort: netip.MustParseAddrPort("127.0.1.1:5683"), Mode: service.ModeRequest}},
	})
	f := fleet.Fleet{Number: 9, Head: ticket.Head{Number: 3, Digest: "d3"}}
	return rollout.State{Fleet: f, Config: cfg}
}

// TestReleaseRoundTrip checks that a decoded snapshot results in the same
// snapshot and in a configuration with a working lookup.
func TestReleaseRoundTrip(t *testing.T) {
	c := qt.New(t)
	snap := snapshot(pack(exampleState()))
	c.Assert(snapshot(pack(exampleState())), qt.DeepEquals, snap)
	r, err := snap.Decode()
	c.Assert(err, qt.IsNil)
	c.Assert(snapshot(r), qt.DeepEquals, snap)
	s := r.State()
	c.Assert(s.Fleet.Number, qt.Equals, uint64(9))
	_, _, ok := s.Config.Lookup(netip.MustParseAddrPort("127.0.1.1:5683"))
	c.Assert(ok, qt.IsTrue)
}

// TestInvalidSnapshotIsRefused checks that an empty or truncated snapshot, and
// one whose number, digest or head does not match its state, is refused with a
// *rollout.ReleaseError.
func TestInvalidSnapshotIsRefused(t *testing.T) {
	c := qt.New(t)
	valid := snapshot(pack(exampleState()))
	mismatched := exampleState()
	mismatched.Config = mismatched.Config.WithNumber(4)
	for name, snap := range map[string]rollout.Snapshot{
		"empty":              {Number: 9},
		"cut short":          truncate(valid),
		"other number":       {Number: 10, Digest: valid.Digest, Body: valid.Body},
		"other digest":       {Number: 9, Digest: "other", Body: valid.Body},
		"other head's state": snapshot(pack(mismatched)),
	} {
		_, err := snap.Decode()
		var want *rollout.ReleaseError
		c.Check(errors.As(err, &want), qt.IsTrue, qt.Commentf("%s: %v", name, err))
	}
}

// TestDuplicateSectionIsRefused checks that a state that lists a member twice is
// refused: two sections with the same key could not be told apart in a delta.
func TestDuplicateSectionIsRefused(t *testing.T) {
	c := qt.New(t)
	s := exampleState()
	s.Fleet.Members = []fleet.Member{{Name: "b1"}, {Name: "b1"}}
	_, err := rollout.NewRelease(s)
	c.Assert(errors.As(err, new(*rollout.ReleaseError)), qt.IsTrue)
}

// drawState draws a state that is likely to share sections with other drawn
// states. Its lists may be empty, nil, or longer than one section.
func drawState(t *rapid.T, n uint64) rollout.State {
	pick := func(what string, limit int) int { return rapid.IntRange(0, limit).Draw(t, what) }
	s := rollout.State{Fleet: fleet.Fleet{Number: n}}
	if pick("entries", 3) > 0 {
		s.Fleet.Head.Services = make(map[string]ticket.Entry)
	}
	for i := range 4 {
		name := fmt.Sprint("x", i)
		if pick("member", 2) > 0 {
			s.Fleet = s.Fleet.WithMember(fleet.Member{Name: name, Life: uint64(pick("life", 2))})
		}
		if s.Fleet.Head.Services != nil && pick("entry", 2) > 0 {
			s.Fleet.Head.Services[name] = ticket.Entry{Number: uint64(pick("ticket", 2))}
		}
		if pick("health", 2) == 0 {
			s.Fleet = s.Fleet.WithHealth(drawHealth(t, name))
		}
		if pick("shares", 2) == 0 {
			s.Fleet.Shares = append(s.Fleet.Shares, fleet.Shares{
				Service: name,
				Targets: []fleet.Share{{Target: name, Ratio: pick("ratio", 2)}},
			})
		}
		if pick("service", 2) > 0 {
			s.Config = s.Config.WithService(drawService(t, name))
		}
	}
	if pick("holders", 1) > 0 {
		s.Fleet.ClaimHolders = fleet.ClaimHolders{Number: 1, Members: []fleet.ClaimHolder{{Name: "x1"}}}
	}
	return s
}

// drawHealth draws the health of a domain, with up to three sections of records.
func drawHealth(t *rapid.T, domain string) target.Health {
	h := target.Health{Domain: domain, Reach: []target.Reach{{Domain: "y"}}}
	for i := range rapid.SampledFrom([]int{0, 1, 64, 65, 150}).Draw(t, "records") {
		h.Records = append(h.Records, target.Record{Target: fmt.Sprint(i), Level: target.LevelNone})
	}
	return h
}

// drawService draws a service, with up to three sections of targets.
func drawService(t *rapid.T, name string) service.Service {
	s := service.Service{Name: name}
	switch n := rapid.SampledFrom([]int{-1, 0, 1, 64, 65, 150}).Draw(t, "targets"); n {
	case -1: // the pool stays nil
	default:
		s.Pool = []service.Target{}
		drained := rapid.IntRange(0, 200).Draw(t, "drained")
		for i := range n {
			s.Pool = append(s.Pool, service.Target{Name: fmt.Sprint(i), Draining: i == drained})
		}
	}
	return s
}

// TestDeltasMakeTheSameRelease applies deltas to a release one after another. It
// guards against a result whose digest or body differs from those of the release that
// is packed from the complete state, and against a delta that changes its base or
// applies to another release. It also guards against a release with shared sections
// that differs from the same release without them, or leads to another delta.
func TestDeltasMakeTheSameRelease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := pack(drawState(t, 1))
		for n := range rapid.Uint64Range(1, 6).Draw(t, "steps") {
			next, err := base.Pack(drawState(t, n+2))
			if err != nil {
				t.Fatal(err)
			}
			if packed := pack(next.State()); packed.Digest != next.Digest || !sameDelta(packed, next, base) {
				t.Fatal("the release with shared sections differs from the one without")
			}
			d, ok := next.DeltaFrom(base)
			if !ok {
				t.Fatal("no delta")
			}
			other := rapid.SampledFrom([]rollout.Release{{}, next, pack(drawState(t, n+1))}).Draw(t, "other")
			if _, err := other.ApplyDelta(d); err == nil && other.Digest != base.Digest {
				t.Fatal("applied to another release")
			}
			baseSnapshot := snapshot(base)
			got, err := base.ApplyDelta(d)
			if err != nil {
				t.Fatal(err)
			}
			if string(snapshot(got).Body) != string(snapshot(next).Body) || got.Digest != next.Digest {
				t.Fatalf("%s became %s", next.Digest, got.Digest)
			}
			if again := pack(base.State()); again.Digest != baseSnapshot.Digest {
				t.Fatal("the base changed")
			}
			base = got
		}
	})
}

// sameDelta reports whether the deltas from base to a and to b are equal.
func sameDelta(a, b, base rollout.Release) bool {
	x, _ := a.DeltaFrom(base)
	y, _ := b.DeltaFrom(base)
	return string(x.Body) == string(y.Body) && string(x.SectionsDigest) == string(y.SectionsDigest)
}

// TestChangesOfAnotherDeltaAreRefused guards against applying a delta whose body
// belongs to another delta: the digest of the result has to be checked.
func TestChangesOfAnotherDeltaAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next := pack(drawState(t, 1)), pack(drawState(t, 2))
		d, _ := next.DeltaFrom(base)
		o, _ := pack(drawState(t, 2)).DeltaFrom(base)
		d.Body = o.Body
		got, err := base.ApplyDelta(d)
		switch {
		case err == nil && pack(got.State()).Digest != next.Digest:
			t.Fatal("applied the changes of another delta")
		case err != nil && !errors.As(err, new(*rollout.ReleaseError)):
			t.Fatalf("error %T", err)
		}
	})
}

// FuzzDecodeSnapshot checks that a snapshot is refused unless its state has the
// number that the snapshot names.
func FuzzDecodeSnapshot(f *testing.F) {
	valid := snapshot(pack(exampleState()))
	f.Add(valid.Number, valid.Digest, valid.Body)
	f.Add(uint64(0), "", []byte{})
	f.Fuzz(func(t *testing.T, number uint64, digest string, body []byte) {
		r, err := rollout.Snapshot{Number: number, Digest: digest, Body: body}.Decode()
		if err == nil && r.State().Fleet.Number != number {
			t.Fatalf("state %d from release %d", r.State().Fleet.Number, number)
		}
	})
}

// FuzzApplyDelta checks that a delta is refused unless the resulting state has
// the number that the delta names, which is above that of the base.
func FuzzApplyDelta(f *testing.F) {
	d := deltaBetween(2, 1)
	f.Add(d.Number, d.Digest, d.SectionsDigest, d.Body)
	f.Add(uint64(2), "", []byte{}, []byte{})
	f.Fuzz(func(t *testing.T, number uint64, digest string, sectionsDigest, body []byte) {
		base := release(1)
		r, err := base.ApplyDelta(rollout.Delta{BaseNumber: 1, BaseDigest: base.Digest, Number: number, Digest: digest, SectionsDigest: sectionsDigest, Body: body})
		if err == nil && (r.Number <= 1 || r.State().Fleet.Number != number) {
			t.Fatalf("state %d from delta %d", r.State().Fleet.Number, number)
		}
	})
}
