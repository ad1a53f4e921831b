package fleet_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/fleet"
)

// TestLeavingHolderStaysUntilItsClaimsAreHandedOver guards against the loss of
// claims when one of two claim holders leaves: it stays a member while it is in
// the set of claim holders, and until its claims are handed over to the next set.
func TestLeavingHolderStaysUntilItsClaimsAreHandedOver(t *testing.T) {
	c := qt.New(t)
	f := fleet.Fleet{Number: 5}
	var reports []fleet.MemberReport
	for _, name := range []string{"b1", "b2", "b3"} {
		m := fleet.Member{Name: name, Domain: "west-a", Life: 1, State: fleet.StateActive}
		r := fleet.MemberReport{Member: m, Reachable: true, Ready: true}
		if name == "b1" {
			m.State, r.Leaving = fleet.StateLeaving, true
		}
		f = f.WithMember(m)
		reports = append(reports, r)
	}
	holder := func(name string) fleet.ClaimHolder { return fleet.ClaimHolder{Name: name, Domain: "west-a", Life: 1} }
	f = f.WithClaimHolders(fleet.ClaimHolders{Number: 2, Members: []fleet.ClaimHolder{holder("b1"), holder("b2")}, Previous: []fleet.ClaimHolder{holder("b2")}})
	step := func(settled bool) bool {
		f, _ = f.Next(fleet.Proposal{Domain: "west-a", Reports: reports, HoldersSettled: settled})
		_, ok := f.Member("b1")
		return ok
	}
	c.Check(step(false), qt.IsTrue)
	c.Check(step(true), qt.IsTrue)
	c.Check(f.ClaimHolders.Members, qt.DeepEquals, []fleet.ClaimHolder{holder("b2"), holder("b3")})
	c.Check(step(false), qt.IsTrue)
	c.Check(step(true), qt.IsFalse)
}
