package memberpb_test

import (
	"net/netip"
	"reflect"
	"testing"

	"wisteriaweir/member"
	"wisteriaweir/member/memberpb"
)

func FuzzUnmarshal(f *testing.F) {
	b, err := memberpb.Marshal(member.Heartbeat{
		IsReply: true,
		From:    member.Record{Member: member.Member{Name: "a", Domain: "west", Life: 3, Control: netip.MustParseAddrPort("127.0.0.1:1")}},
		Digest:  4, ConfigNumber: 5, ConfigDigest: "d",
		Records: []member.Record{{Member: member.Member{Name: "b"}, Incarnation: 1, Health: member.HealthSuspect, Leaving: true}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := memberpb.Unmarshal(b)
		if err != nil {
			return
		}
		b, err = memberpb.Marshal(h)
		if err != nil {
			t.Fatal(err)
		}
		again, err := memberpb.Unmarshal(b)
		if err != nil || !reflect.DeepEqual(h, again) {
			t.Fatalf("%v became %v (%v)", h, again, err)
		}
	})
}

// TestRoundTrip checks that a heartbeat is the same after decoding.
func TestRoundTrip(t *testing.T) {
	h := member.Heartbeat{ProbeRequest: "b", ProbeReached: "c", From: member.Record{Member: member.Member{Name: "a", Control: netip.MustParseAddrPort("[2001:db8::1]:9")}}}
	b, err := memberpb.Marshal(h)
	if err != nil {
		t.Fatal(err)
	}
	got, err := memberpb.Unmarshal(b)
	if err != nil || !reflect.DeepEqual(h, got) {
		t.Fatalf("got %v, %v, want %v", got, err, h)
	}
}
