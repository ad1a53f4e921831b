package targetpb_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wisteriaweir/service"
	"wisteriaweir/target"
	"wisteriaweir/target/targetpb"
)

func config(number uint64, pools ...int) service.Config {
	cfg := service.Config{}.WithNumber(number)
	for i, n := range pools {
		s := service.Service{Name: fmt.Sprintf("s%d", i)}
		for j := range n {
			s.Pool = append(s.Pool, service.Target{Name: fmt.Sprintf("t%03d", j)})
		}
		cfg = cfg.WithService(s)
	}
	return cfg
}

// TestRoundTrip checks that opinions are the same after decoding, and that they take about
// one byte for each target.
func TestRoundTrip(t *testing.T) {
	cfg := config(7, 140, 40) // ten times the present size of a user's configuration
	rapid.Check(t, func(t *rapid.T) {
		want := target.OpinionsReplaced{Member: "kel-a-1"}
		for _, s := range cfg.Services {
			for _, e := range s.Pool {
				if level := rapid.IntRange(-1, 8).Draw(t, "level"); level >= 0 {
					want.Opinions = append(want.Opinions, target.Opinion{Service: s.Name, Target: e.Name, Level: target.Level(level)})
				}
			}
		}
		b, err := targetpb.Marshal(want, cfg)
		if err != nil || len(b) > 200 {
			t.Fatalf("%d bytes, %v", len(b), err)
		}
		got, err := targetpb.Unmarshal(b, cfg)
		if err != nil || got.Member != want.Member || !slices.Equal(got.Opinions, want.Opinions) {
			t.Fatalf("got %v, %v, want %v", got, err, want)
		}
	})
}

// TestOtherConfiguration guards against opinions that are assigned to the wrong targets,
// because the receiver has another configuration than the sender.
func TestOtherConfiguration(t *testing.T) {
	c := qt.New(t)
	b, err := targetpb.Marshal(target.OpinionsReplaced{Member: "m"}, config(7, 2))
	c.Assert(err, qt.IsNil)
	var number *targetpb.NumberError
	_, err = targetpb.Unmarshal(b, config(8, 2))
	c.Assert(errors.As(err, &number), qt.IsTrue)
	var shape *targetpb.ShapeError
	_, err = targetpb.Unmarshal(b, config(7, 3))
	c.Assert(errors.As(err, &shape), qt.IsTrue)
	_, err = targetpb.Unmarshal(b, config(7, 2, 1))
	c.Assert(errors.As(err, &shape), qt.IsTrue)
}

func FuzzUnmarshal(f *testing.F) {
	cfg := config(1, 2)
	b, err := targetpb.Marshal(target.OpinionsReplaced{Member: "m", Opinions: []target.Opinion{{Service: "s0", Target: "t000", Level: 8}}}, cfg)
	qt.Assert(f, err, qt.IsNil)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		o, err := targetpb.Unmarshal(b, cfg)
		for _, p := range o.Opinions {
			if err != nil || p.Level < target.LevelNone || p.Level > target.LevelFull {
				t.Fatalf("%v, %v", o, err)
			}
		}
	})
}

func FuzzUnmarshalReport(f *testing.F) {
	whole, err := targetpb.MarshalReport(target.OpinionReport{Number: 1, ConfigNumber: 1, Levels: []byte{9, 0, 1}})
	qt.Assert(f, err, qt.IsNil)
	changes, err := targetpb.MarshalReport(target.OpinionReport{
		Number: 2, Base: 1, ConfigNumber: 1, Changes: []target.LevelChange{{Index: 0, Level: 1}, {Index: 2, Level: 9}},
	})
	qt.Assert(f, err, qt.IsNil)
	f.Add(whole)
	f.Add(changes)
	cfg := config(1, 3)
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := targetpb.UnmarshalReport(b)
		if err != nil {
			return
		}
		l := &target.ReportAssembler{}
		l.Apply(target.OpinionReport{Number: 1, ConfigNumber: 1, Levels: []byte{9, 0, 1}})
		l.Apply(r)
		e, _, ok := l.NextEvent("m", cfg, target.DeliveredOpinions{})
		if !ok {
			return
		}
		for _, p := range e.(target.OpinionsReplaced).Opinions {
			if p.Level < target.LevelNone || p.Level > target.LevelFull {
				t.Fatalf("%v", e)
			}
		}
	})
}

func FuzzUnmarshalAck(f *testing.F) {
	b, err := targetpb.MarshalAck(target.Ack{Number: 7})
	qt.Assert(f, err, qt.IsNil)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		a, err := targetpb.UnmarshalAck(b)
		if err != nil {
			return
		}
		again, err := targetpb.MarshalAck(a)
		if err != nil {
			t.Fatal(err)
		}
		if same, err := targetpb.UnmarshalAck(again); err != nil || same != a {
			t.Fatalf("%v, %v, want %v", same, err, a)
		}
	})
}
