package route_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wisteriaweir/route"
)

// TestDiff guards against a diff that misses a change: a table to which the changes were
// applied must be equal to the later table.
func TestDiff(t *testing.T) {
	routes := rapid.Custom(func(t *rapid.T) route.Route {
		return route.Route{
			Address: route.Address{IP: rapid.Uint32Range(1, 6).Draw(t, "ip"), Port: 80},
			Kind:    route.Safe, Name: rapid.StringMatching("[ab]").Draw(t, "name"),
			WeightedServices: []route.WeightedService{{Service: "s", Weight: rapid.IntRange(0, 2).Draw(t, "weight")}},
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		a := route.NewTable(1, time.Second, rapid.SliceOf(routes).Draw(t, "a"))
		b := route.NewTable(2, 2*time.Second, rapid.SliceOf(routes).Draw(t, "b"))
		got := a.WithChanges(a.Diff(b))
		if got.Digest() != b.Digest() {
			t.Fatalf("digest %x, want %x", got.Digest(), b.Digest())
		}
		if got.Number() != 2 || got.IdleTimeout() != b.IdleTimeout() || got.Size() != b.Size() {
			t.Fatalf("got a table of %d routes, want %d", got.Size(), b.Size())
		}
		if ch := got.Diff(b); len(ch.Updated)+len(ch.Removed) > 0 {
			t.Fatalf("remaining changes: %+v", ch)
		}
	})
}

// TestPick guards against new flows that are distributed in another proportion than the
// weights, and against flows for a service of weight 0.
func TestPick(t *testing.T) {
	r := route.Route{WeightedServices: []route.WeightedService{{Service: "a", Weight: 3}, {Service: "none", Weight: 0}, {Service: "b", Weight: 1}}}
	count := map[string]int{}
	for i := range 400 {
		count[r.Pick(float64(i)/400)]++
	}
	qt.Assert(t, count, qt.DeepEquals, map[string]int{"a": 300, "b": 100})
	qt.Assert(t, r.HasService("none"), qt.IsFalse)
	qt.Assert(t, route.Route{}.Pick(0.5), qt.Equals, "")
}

// TestIdempotentKinds guards against requests that run twice because their kind, and not
// only their name, was misread.
func TestIdempotentKinds(t *testing.T) {
	for kind, want := range map[route.Kind]bool{
		route.Safe: true, route.Download: true, route.Unsafe: false, route.Upload: false, "": false, "Safe": false, "other": false,
	} {
		qt.Check(t, kind.IsIdempotent(), qt.Equals, want, qt.Commentf("%q", kind))
	}
}
