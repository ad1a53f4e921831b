package rolloutpb_test

import (
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/rollout"
	"wisteriaweir/rollout/rolloutpb"
	"wisteriaweir/ticket"
)

var delta = rollout.Delta{BaseNumber: 3, BaseDigest: "c", Number: 4, Digest: "d", SectionsDigest: []byte("sum"), Body: []byte("body")}

var messages = []rollout.Message{
	rollout.LeaderUpdate{Holder: "a", Fence: 2, Sequence: 3, Number: 4, Digest: "d", Body: []byte("body")},
	rollout.Report{MinActiveNumber: 1, MaxActiveNumber: 2, MaxActiveCount: 3, Count: 4, NameHashSum: 5, Laggards: []ticket.Laggard{{Name: "b", Number: 1}}},
	rollout.LeaderUpdate{Holder: "a", Fence: 2, Sequence: 3, Number: 4, Digest: "d", Delta: delta},
	rollout.Pull{Number: 7, Digest: "c"},
	rollout.DeltaReply{Delta: delta},
	rollout.VersionQuery{Nonce: 5},
	rollout.VersionReply{Nonce: 5, Number: 4, Digest: "d", IsReceiverReachable: true, IsLeaseHolder: true},
	rollout.SnapshotReply{Snapshot: rollout.Snapshot{Number: 4, Digest: "d", Body: []byte("body")}},
}

// TestRoundTrip checks that each message is equal to the original after encoding
// and decoding.
func TestRoundTrip(t *testing.T) {
	c := qt.New(t)
	for _, m := range messages {
		b, err := rolloutpb.Marshal(m)
		c.Assert(err, qt.IsNil)
		got, err := rolloutpb.Unmarshal(b)
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.DeepEquals, m)
	}
}

// FuzzUnmarshal checks that a decoded payload does not change when it is encoded
// and decoded again.
func FuzzUnmarshal(f *testing.F) {
	for _, m := range messages {
		b, err := rolloutpb.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := rolloutpb.Unmarshal(b)
		if err != nil {
			return
		}
		b, err = rolloutpb.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		again, err := rolloutpb.Unmarshal(b)
		if err != nil || !reflect.DeepEqual(m, again) {
			t.Fatalf("%v became %v (%v)", m, again, err)
		}
	})
}
