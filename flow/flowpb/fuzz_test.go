package flowpb_test

import (
	"testing"

	"wisteriaweir/flow"
	"wisteriaweir/flow/flowpb"
)

func FuzzUnmarshal(f *testing.F) {
	b, err := flowpb.Marshal(flow.Batch{From: "a", Life: 1, Pins: []flow.Pin{{Hash: 1, Target: 2}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := flowpb.Unmarshal(b)
		if err != nil {
			return
		}
		if _, err := flowpb.Marshal(m); err != nil {
			t.Fatalf("decoded batch does not encode: %v", err)
		}
	})
}

func FuzzUnmarshalCount(f *testing.F) {
	b, err := flowpb.MarshalCount(flow.Count{Domain: "west-a", IsDomainTotal: true, FlowsByTarget: map[flow.TargetID]int{1: 2}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := flowpb.UnmarshalCount(b)
		if err != nil {
			return
		}
		if _, err := flowpb.MarshalCount(n); err != nil {
			t.Fatalf("decoded count does not encode: %v", err)
		}
	})
}
