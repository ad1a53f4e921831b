package flowpb_test

import (
	"errors"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"wisteriaweir/flow"
	"wisteriaweir/flow/flowpb"
)

// TestCountRoundTrip checks that a count keeps its fields when it is encoded and
// decoded.
func TestCountRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := flow.Count{
			Domain:        rapid.StringMatching(`[a-z-]{1,12}`).Draw(t, "domain"),
			IsDomainTotal: rapid.Bool().Draw(t, "sum"),
			FlowsByTarget: make(map[flow.TargetID]int),
		}
		for range rapid.IntRange(0, 20).Draw(t, "targets") {
			n.FlowsByTarget[flow.TargetID(rapid.Uint64().Draw(t, "target"))] = rapid.IntRange(0, 1<<20).Draw(t, "seen")
		}
		b, err := flowpb.MarshalCount(n)
		if err != nil {
			t.Fatal(err)
		}
		got, err := flowpb.UnmarshalCount(b)
		if err != nil || !reflect.DeepEqual(got, n) {
			t.Fatalf("got %v, %v, want %v", got, err, n)
		}
	})
}

// TestCountWithoutNumbersIsRefused checks that a count in which a target has no number
// of flows is an error.
func TestCountWithoutNumbersIsRefused(t *testing.T) {
	c := qt.New(t)
	b, err := proto.Marshal(&flowpb.Count{Targets: []uint64{1, 2}, Seen: []uint32{3}})
	c.Assert(err, qt.IsNil)
	_, err = flowpb.UnmarshalCount(b)
	var bad *flowpb.CountError
	c.Assert(errors.As(err, &bad), qt.IsTrue)
	c.Check(*bad, qt.Equals, flowpb.CountError{Targets: 2, FlowCounts: 1})
}
