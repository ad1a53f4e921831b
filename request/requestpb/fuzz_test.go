package requestpb_test

import (
	"testing"

	"wisteriaweir/request"
	"wisteriaweir/request/requestpb"
)

// FuzzUnmarshal guards against decoding panics and against decoded messages that
// cannot be encoded.
func FuzzUnmarshal(f *testing.F) {
	b, err := requestpb.Marshal(request.ClaimHolderHeartbeat{Set: 3})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := requestpb.Unmarshal(b)
		if err != nil {
			return
		}
		if _, err := requestpb.Marshal(m); err != nil {
			t.Fatalf("decoded message does not encode: %v", err)
		}
	})
}
