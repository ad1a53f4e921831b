package fleet_test

import (
	"errors"
	"testing"

	"wisteriaweir/fleet"
)

// FuzzDecode checks that a decoded fleet can be encoded and decoded again with the
// same number, and that each error is a *fleet.DecodeError.
func FuzzDecode(f *testing.F) {
	f.Add(fleet.Fleet{Number: 1}.WithMember(fleet.Member{Name: "a"}).Encode())
	f.Add([]byte(`{"number":1,"members":[{"name":"b"},{"name":"a"}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		s, err := fleet.Decode(value)
		if err != nil {
			if !errors.As(err, new(*fleet.DecodeError)) {
				t.Fatalf("error %T", err)
			}
			return
		}
		if len(value) == 0 {
			return
		}
		if again, err := fleet.Decode(s.Encode()); err != nil || again.Number != s.Number {
			t.Fatalf("%v after a round trip", err)
		}
	})
}
