package reader_test

import (
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"wisteriaweir/catalog"
	"wisteriaweir/evacuation"
	"wisteriaweir/placement"
	"wisteriaweir/reader"
	"wisteriaweir/reader/readerpb"
	"wisteriaweir/route"
)

var self = reader.Member{Name: "one", Domain: "west-a", Address: netip.MustParseAddrPort("10.1.0.10:7720")}

// someTargets returns n targets with different IDs and addresses.
func someTargets(n int) []catalog.Target {
	var targets []catalog.Target
	for i := range n {
		targets = append(targets, catalog.Target{
			ID: fmt.Sprintf("i-%010x", i), InstanceNumber: uint64(i + 1), Service: "desk", Domain: "west-a", Slots: 2,
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 8080),
			Draining: i%3 == 0, Warmup: time.Duration(i) * time.Millisecond, StartedUnixMilli: int64(i), Position: at(uint64(i)),
		})
	}
	return targets
}

// someRoutes returns n routes with different names and addresses.
func someRoutes(n int) []route.Route {
	var routes []route.Route
	for i := range n {
		routes = append(routes, route.Route{
			Name: fmt.Sprintf("r-%04d", i), Address: route.Address{IP: uint32(i + 1), Port: 443}, Kind: route.Safe,
			LatencyObjective: 150 * time.Millisecond, Timeout: time.Second, WeightedServices: []route.WeightedService{{Service: "desk", Weight: 1}},
		})
	}
	return routes
}

// TestCodec guards against fields that are lost or changed by encoding and decoding a
// message, and against reassembly that depends on the order of datagrams.
func TestCodec(t *testing.T) {
	table := route.NewTable(9, 15*time.Second, someRoutes(200)).WithWarmups(map[string]route.Warmup{"desk": {Duration: time.Second, Rate: 3}})
	for _, m := range []reader.Message{
		reader.Hello{},
		reader.Heartbeat{Positions: reader.Positions{RoutesNumber: 4, Routes: catalog.Position{Era: 2, Revision: 7}, Targets: at(9), Evacuations: at(8)}, IsReading: true, StoreAge: 1200 * time.Millisecond, Uptime: time.Hour},
		reader.UpdateRequest{Positions: reader.Positions{RoutesNumber: 4, Routes: at(3), Targets: catalog.Position{Era: 1, Revision: 4}, Evacuations: catalog.Position{Era: 3, Revision: 5}}},
		reader.EvacuationUpdate{Position: at(9), Set: evacuation.NewSet("west-a", "west-b")},
		reader.EvacuationUpdate{Position: at(10), Set: evacuation.NewSet()},
		reader.Load{LoadReport: placement.LoadReport{Targets: map[uint32]placement.TargetLoad{5: {Busy: 2, Queued: 1}}, Dead: []uint32{8}, Failures: map[uint32]placement.OutcomeWeights{9: {Succeeded: 2.5, Failed: 3}}, Stalled: map[uint32]time.Duration{3: 210 * time.Millisecond}, Responded: map[uint32]time.Duration{4: 0, 6: time.Second}}},
		reader.Lookup{Stamps: []uint32{3, 5}},
		reader.Found{Targets: []placement.FoundTarget{{Target: someTargets(1)[0]}, {Target: someTargets(2)[1], Dead: true}}},
		reader.Update{Position: at(12), HasAllTargets: true, Targets: someTargets(150)},
		reader.Update{Position: at(12), HasAllTargets: true, Targets: someTargets(1), InvalidEntries: []catalog.InvalidEntry{{ID: "x", Position: at(12)}}},
		reader.Update{Position: at(12), Base: at(10), Changes: []catalog.Change{{Target: someTargets(1)[0]}}},
		reader.Update{Position: at(12), Base: at(10), Changes: []catalog.Change{
			{Target: catalog.Target{ID: "gone", Position: at(12)}, Removed: true}, {Target: catalog.Target{ID: "odd", Position: at(12)}, Removed: true, Invalid: true},
		}},
		reader.Update{Position: at(13), Base: at(12), Changes: []catalog.Change{{Target: catalog.Target{ID: "i-1", Position: at(13)}, Removed: true}}},
		reader.Update{Position: at(14), Base: at(2), Digest: 1<<63 + 5, RouteChanges: &route.Changes{
			Number: 4, IdleTimeout: time.Second, Updated: someRoutes(3), Removed: []route.Address{{IP: 4, Port: 80}},
			Warmups: map[string]route.Warmup{"desk": {Duration: 2 * time.Second, Rate: 7.5}, "intake": {Duration: time.Second}},
		}},
	} {
		got := roundTrip(t, m)
		qt.Assert(t, reflect.DeepEqual(got, m), qt.IsTrue, qt.Commentf("%+v is not %+v", got, m))
	}
	got := roundTrip(t, reader.Update{Position: at(11), Routes: &table}).(reader.Update)
	qt.Assert(t, got.Routes.Number(), qt.Equals, table.Number())
	qt.Assert(t, got.Routes.IdleTimeout(), qt.Equals, table.IdleTimeout())
	qt.Assert(t, reflect.DeepEqual(got.Routes.Routes(), table.Routes()), qt.IsTrue)
	qt.Assert(t, got.Routes.Warmups(), qt.DeepEquals, table.Warmups())
}

// roundTrip encodes m and decodes its datagrams in reverse order. It fails the test if
// a datagram is too large or the decoder returns a message before the last datagram.
func roundTrip(t *testing.T, m reader.Message) reader.Message {
	datagrams, err := reader.NewEncoder(self, 1).Encode(m)
	qt.Assert(t, err, qt.IsNil)
	d := reader.NewDecoder()
	var got reader.Message
	for i := range datagrams {
		b := datagrams[len(datagrams)-1-i]
		qt.Assert(t, len(b) <= reader.MaxDatagramSize, qt.IsTrue)
		from, msg, err := d.Decode(b)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, from, qt.Equals, self)
		if i < len(datagrams)-1 {
			qt.Assert(t, msg, qt.IsNil)
		}
		got = msg
	}
	return got
}

// TestDecoderLostFragment guards against an update that is returned although a
// fragment was lost, and against a lost fragment that blocks the next update.
func TestDecoderLostFragment(t *testing.T) {
	e, d := reader.NewEncoder(self, 1), reader.NewDecoder()
	first, err := e.Encode(reader.Update{Position: at(1), HasAllTargets: true, Targets: someTargets(100)})
	qt.Assert(t, err, qt.IsNil)
	second, err := e.Encode(reader.Update{Position: at(2), HasAllTargets: true, Targets: someTargets(100)})
	qt.Assert(t, err, qt.IsNil)
	var got []reader.Message
	for _, b := range append(first[1:], second...) {
		_, msg, err := d.Decode(b)
		qt.Assert(t, err, qt.IsNil)
		if msg != nil {
			got = append(got, msg)
		}
	}
	qt.Assert(t, got, qt.HasLen, 1)
	qt.Assert(t, got[0].(reader.Update).Position, qt.Equals, at(2))
}

// decodeNotes returns the last message that a decoder returns for messages of one host.
func decodeNotes(t *testing.T, d *reader.Decoder, notes ...*readerpb.Note) reader.Message {
	var msg reader.Message
	for _, n := range notes {
		n.Host, n.Domain, n.Ip, n.Port = "two", "west-a", 1, 7720
		b, err := proto.Marshal(n)
		qt.Assert(t, err, qt.IsNil)
		_, msg, err = d.Decode(b)
		qt.Assert(t, err, qt.IsNil)
	}
	return msg
}

// part returns the message with a part of an update.
func part(t *testing.T, id uint64, index, count uint32, c *readerpb.Content) *readerpb.Note {
	b, err := proto.Marshal(c)
	qt.Assert(t, err, qt.IsNil)
	return &readerpb.Note{Body: &readerpb.Note_Part{Part: &readerpb.Part{Id: id, Index: index, Count: count, Data: b}}}
}

// TestDecodeInvalidElements guards against a message that is lost because of one invalid
// element, and against values that wrap around: port 65979 is not port 443.
func TestDecodeInvalidElements(t *testing.T) {
	valid := func() *readerpb.Target {
		return &readerpb.Target{Id: "i-1", Number: 1, Service: "desk", Domain: "west-a", Ip: 1, Port: 443, Slots: 2}
	}
	targets := []*readerpb.Target{valid()}
	for _, change := range []func(*readerpb.Target){
		func(w *readerpb.Target) { w.Id = "" }, func(w *readerpb.Target) { w.Number = 0 }, func(w *readerpb.Target) { w.Port = 65979 },
		func(w *readerpb.Target) { w.Port = 0 }, func(w *readerpb.Target) { w.Ip = 0 }, func(w *readerpb.Target) { w.Slots = 1 << 31 },
		func(w *readerpb.Target) { w.Born = -1 }, func(w *readerpb.Target) { w.Service = strings.Repeat("s", 1000) },
	} {
		w := valid()
		change(w)
		targets = append(targets, w)
	}
	d := reader.NewDecoder()
	u := decodeNotes(t, d, part(t, 1, 0, 1, &readerpb.Content{Revision: 9, Full: true, Targets: targets})).(reader.Update)
	qt.Assert(t, u.Targets, qt.HasLen, 1)
	qt.Assert(t, d.Invalid(), qt.HasLen, 8)
	qt.Assert(t, d.Invalid()[0], qt.ErrorAs, new(*reader.MessageError))

	routes := []*readerpb.Route{{Name: "r", Ip: 1, Port: 443}, {Name: "wrapped", Ip: 1, Port: 65979}, {Name: "first", Ip: 1, Port: 444, Priority: 1 << 31}}
	u = decodeNotes(t, d, part(t, 2, 0, 1, &readerpb.Content{Revision: 9, Table: &readerpb.Table{Number: 3, Routes: routes}})).(reader.Update)
	qt.Assert(t, u.Routes.Size(), qt.Equals, 1)
	qt.Assert(t, d.Invalid(), qt.HasLen, 2)

	services := []*readerpb.ServiceLoad{{Service: "desk", Level: 0.5}, {Service: "bad", Level: float32(math.NaN())}, {Service: "worse", Level: float32(math.Inf(1))}}
	l := decodeNotes(t, d, &readerpb.Note{Body: &readerpb.Note_Load{Load: &readerpb.Load{Services: services}}}).(reader.Load)
	qt.Assert(t, l.Services, qt.HasLen, 1)
	qt.Assert(t, d.Invalid(), qt.HasLen, 2)
}

// TestDecodeAfterRestart guards against a host whose updates are ignored after a restart with
// a clock that was set back, because a part of an update of its earlier process is missing.
func TestDecodeAfterRestart(t *testing.T) {
	d := reader.NewDecoder()
	content := &readerpb.Content{Revision: 9, Full: true}
	qt.Assert(t, decodeNotes(t, d, part(t, 1000, 0, 2, content)), qt.IsNil)
	qt.Assert(t, decodeNotes(t, d, part(t, 500, 0, 1, content)), qt.IsNil)
	msg := decodeNotes(t, d, &readerpb.Note{Body: &readerpb.Note_Hello{Hello: &readerpb.Hello{}}}, part(t, 500, 0, 1, content))
	qt.Assert(t, msg, qt.Not(qt.IsNil))
}

// FuzzDecode guards against malformed datagrams that cause a panic, and against messages
// that are accepted without the name or a valid address of the sender.
func FuzzDecode(f *testing.F) {
	e := reader.NewEncoder(self, 1)
	for _, msg := range []reader.Message{
		reader.Hello{},
		reader.Heartbeat{Positions: reader.Positions{Routes: at(1)}},
		reader.UpdateRequest{},
		reader.EvacuationUpdate{Position: at(1), Set: evacuation.NewSet("west-a")},
		reader.Load{LoadReport: placement.LoadReport{Dead: []uint32{8}}},
		reader.Update{Position: at(1), HasAllTargets: true, Targets: someTargets(2)},
	} {
		datagrams, err := e.Encode(msg)
		qt.Assert(f, err, qt.IsNil)
		f.Add(datagrams[0])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		from, msg, err := reader.NewDecoder().Decode(b)
		u, _ := msg.(reader.Update)
		for _, target := range u.Targets {
			if target.ID == "" || target.InstanceNumber == 0 || target.Address.Port() == 0 || target.Slots < 1 {
				t.Fatalf("accepted %+v", target)
			}
		}
		if err == nil && (from.Name == "" || !from.Address.IsValid()) {
			t.Fatalf("accepted a message from %+v", from)
		}
	})
}

// BenchmarkEncodeTargets measures a snapshot of as many targets as a failure domain of
// the largest intended size has.
func BenchmarkEncodeTargets(b *testing.B) {
	e := reader.NewEncoder(self, 1)
	targets := someTargets(2400)
	b.ReportAllocs()
	for range b.N {
		datagrams, err := e.Encode(reader.Update{Position: at(1), HasAllTargets: true, Targets: targets})
		if err != nil {
			b.Fatal(err)
		}
		size := 0
		for _, d := range datagrams {
			size += len(d)
		}
		b.ReportMetric(float64(size)/float64(len(targets)), "B/target")
	}
}

// at returns the position of a revision in the first era.
func at(revision uint64) catalog.Position {
	return catalog.Position{Revision: revision}
}
