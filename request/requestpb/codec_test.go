package requestpb_test

import (
	"errors"
	"net/netip"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wisteriaweir/request"
	"wisteriaweir/request/requestpb"
)

// TestEveryMessageSurvivesTheWire guards against fields that are lost or changed
// when a message is encoded and decoded.
func TestEveryMessageSurvivesTheWire(t *testing.T) {
	c := qt.New(t)
	k := request.Key{
		Caller:    netip.MustParseAddrPort("[2001:db8::1]:9000"),
		Address:   netip.MustParseAddrPort("127.0.1.1:5000"),
		Token:     "\xff\x00t",
		MessageID: 65535,
	}
	r := request.Request{Key: k, Service: "levy-desk", Code: 2, Repeatable: true, Remaining: time.Second, Payload: []byte("p")}
	p := request.Peer{Name: "b1", Life: 7}
	d := k.Digest()
	claims := []request.Claim{{Digest: d, Service: "s", Owner: p, Nonce: 9, Remaining: time.Minute}, {Digest: d, Service: "s"}}
	for _, m := range []request.Message{
		request.Hop{Request: r, Stamp: 3},
		request.Taken{Key: k, Stamp: 4},
		request.StaleStamp{Key: k, Stamp: 5},
		request.Done{Key: k},
		request.UnknownRequest{Key: k},
		request.Cancel{Key: k, Service: "s"},
		request.Push{Token: 1 << 63, Number: 2, Request: r, Stamp: 6},
		request.PushReply{Token: 3, Refused: true, RetryAfter: time.Millisecond},
		request.LoadReport{Service: "s", Free: 1, Slots: 2, Queued: 3, NewestPushNumber: 4, Stamp: 5},
		request.Repeat{Request: r},
		request.Yield{Request: r, Set: 4, Holders: []request.Peer{p, {Name: "b2", Life: 8}}},
		request.ClaimRequest{Set: 1, Digest: d, Service: "s", Nonce: 2},
		request.Vote{Set: 1, Nonce: 2, Decision: request.VoteDenied, Owner: p},
		request.ClaimHolderHeartbeat{Set: 8},
		request.HandoverRequest{Set: 2, FirstDigest: d, RetainsClaims: true},
		request.HandoverReply{Set: 2, Ready: true, FirstDigest: d, IsLast: true, Claims: claims},
	} {
		b, err := requestpb.Marshal(m)
		c.Assert(err, qt.IsNil)
		c.Assert(requestpb.Size(m), qt.Equals, len(b))
		got, err := requestpb.Unmarshal(b)
		c.Assert(err, qt.IsNil)
		c.Assert(reflect.DeepEqual(got, m), qt.IsTrue, qt.Commentf("got %+v, want %+v", got, m))
	}
}

// TestUnmarshalRefusesWhatIsNoMessage guards against a decoder that panics, or
// returns neither a message nor an UnmarshalError, for random bytes.
func TestUnmarshalRefusesWhatIsNoMessage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		m, err := requestpb.Unmarshal(b)
		var want *requestpb.UnmarshalError
		if err == nil && m == nil || err != nil && !errors.As(err, &want) {
			t.Fatalf("got %v, %v", m, err)
		}
	})
}
