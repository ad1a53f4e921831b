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

// batches returns a generator of batches.
func batches() *rapid.Generator[flow.Batch] {
	return rapid.Custom(func(t *rapid.T) flow.Batch {
		b := flow.Batch{
			From: rapid.StringMatching(`[a-z0-9-]{1,20}`).Draw(t, "from"), Life: rapid.Uint64().Draw(t, "life"),
			Session: uint64(rapid.Uint32().Draw(t, "session")), Seq: uint64(rapid.Uint32().Draw(t, "seq")),
			AckSession: uint64(rapid.Uint32().Draw(t, "ackSession")), Ack: uint64(rapid.Uint32().Draw(t, "ack")),
			NewestEpoch: uint64(rapid.Uint32().Draw(t, "newest")), Hello: rapid.Bool().Draw(t, "hello"),
		}
		for range rapid.IntRange(0, 64).Draw(t, "pins") {
			b.Pins = append(b.Pins, flow.Pin{
				Hash: rapid.Uint64().Draw(t, "hash"), Target: flow.TargetID(rapid.Uint64Range(1, 3).Draw(t, "target")),
			})
		}
		if rapid.Bool().Draw(t, "leaving") {
			b.HandoverFlows, b.Pins = b.Pins, nil
		}
		b.UnannouncedCount = rapid.IntRange(0, len(b.Pins)).Draw(t, "owed")
		for range rapid.IntRange(0, 16).Draw(t, "marks") {
			b.Progress = append(b.Progress, flow.EpochProgress{
				Epoch: uint64(rapid.Uint32().Draw(t, "epoch")), Step: flow.Step(rapid.IntRange(1, 3).Draw(t, "step")),
			})
		}
		return b
	})
}

// TestBatchRoundTripWithinSize checks that a batch keeps its fields when it is encoded
// and decoded, and that Size exceeds the encoded size by a few bytes at most.
func TestBatchRoundTripWithinSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := batches().Draw(t, "batch")
		data, err := flowpb.Marshal(b)
		if err != nil {
			t.Fatal(err)
		}
		if n := b.Size(); len(data) > n || n > len(data)+4*len(b.Pins)+4*len(b.HandoverFlows)+4 {
			t.Fatalf("encoded to %d bytes, but Size returned %d", len(data), n)
		}
		got, err := flowpb.Unmarshal(data)
		if err != nil || !reflect.DeepEqual(got, b) {
			t.Fatalf("got %+v, %v; want %+v", got, err, b)
		}
	})
}

// TestUnmarshalRefusesUnknownStep checks that a step beyond StepActivated, which has no
// entry in the progress of a peer, is an error.
func TestUnmarshalRefusesUnknownStep(t *testing.T) {
	data, err := proto.Marshal(&flowpb.Batch{Marks: []*flowpb.Mark{{Epoch: 1, Step: 9}}})
	qt.Assert(t, err, qt.IsNil)
	_, err = flowpb.Unmarshal(data)
	var want *flowpb.StepError
	qt.Assert(t, errors.As(err, &want), qt.IsTrue)
	qt.Assert(t, want.Step, qt.Equals, uint32(9))
}

// TestUnmarshalRefusesMoreOwedThanPins checks that a batch with more unannounced pins
// than pins is an error.
func TestUnmarshalRefusesMoreOwedThanPins(t *testing.T) {
	data, err := proto.Marshal(&flowpb.Batch{Owed: 1})
	qt.Assert(t, err, qt.IsNil)
	_, err = flowpb.Unmarshal(data)
	var want *flowpb.UnannouncedCountError
	qt.Assert(t, errors.As(err, &want), qt.IsTrue)
	qt.Assert(t, want.Unannounced, qt.Equals, 1)
}
