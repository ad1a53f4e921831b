package service_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/service"
)

// TestLookupFindsTheServiceOfAnAddress guards against an address that is looked up with
// the wrong service or mode, which could come from positions that are not updated when a
// service is added in front of another one.
func TestLookupFindsTheServiceOfAnAddress(t *testing.T) {
	c := qt.New(t)
	desk := netip.MustParseAddrPort("127.0.1.1:5000")
	intake := netip.MustParseAddrPort("127.0.1.2:5000")
	cfg := service.Config{}.
		WithService(service.Service{Name: "levy-desk", Addresses: []service.Address{{AddrPort: desk, Mode: service.ModeRequest}}}).
		WithService(service.Service{Name: "ledger-intake", Addresses: []service.Address{{AddrPort: intake, Mode: service.ModeFlow}}})

	s, a, ok := cfg.Lookup(desk)
	c.Assert(ok, qt.IsTrue)
	c.Assert(s.Name, qt.Equals, "levy-desk")
	c.Assert(a.Mode, qt.Equals, service.ModeRequest)

	s, _, ok = cfg.Lookup(intake)
	c.Assert(ok, qt.IsTrue)
	c.Assert(s.Name, qt.Equals, "ledger-intake")

	_, _, ok = cfg.Lookup(netip.MustParseAddrPort("127.0.1.3:5000"))
	c.Assert(ok, qt.IsFalse)
}

// TestWithMethodsLeaveTheOriginal guards against a change of a service that also changes
// the version it was copied from, because the two share the slice of targets.
func TestWithMethodsLeaveTheOriginal(t *testing.T) {
	c := qt.New(t)
	s := service.Service{Name: "calendar", Pool: []service.Target{{Name: "a", Weight: 1}}}
	drained := s.WithTarget(service.Target{Name: "a", Weight: 1, Draining: true})
	c.Assert(s.Pool[0].Draining, qt.IsFalse)
	c.Assert(drained.Pool[0].Draining, qt.IsTrue)
	c.Assert(drained.WithoutTarget("a").Pool, qt.HasLen, 0)
	c.Assert(drained.Pool, qt.HasLen, 1)
}
