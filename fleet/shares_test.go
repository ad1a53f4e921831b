package fleet_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"wisteriaweir/fleet"
	"wisteriaweir/flow"
)

// TestOnlyTheDecidingDomainSetsShares proposes shares from two domains. It guards
// against shares that a domain sets for a service on which it does not decide,
// that a proposal without shares removes, or that remain after the deciding
// domain proposes the weights alone.
func TestOnlyTheDecidingDomainSetsShares(t *testing.T) {
	c := qt.New(t)
	f := fleet.Fleet{
		Number: 1,
		Members: []fleet.Member{
			{Name: "a", Domain: "west-a", Life: 1, State: fleet.StateActive},
			{Name: "b", Domain: "west-b", Life: 1, State: fleet.StateActive},
		},
	}
	decider := f.ShareDeciders().DomainFor("levy-desk")
	other := "west-a"
	if decider == other {
		other = "west-b"
	}
	proposal := func(domain string, ratio int) fleet.Proposal {
		p := fleet.Proposal{Domain: domain, HoldersSettled: false}
		for _, m := range f.Members {
			if m.Domain == domain {
				p.Reports = append(p.Reports, fleet.MemberReport{Member: m, Reachable: true, Ready: true})
			}
		}
		x := fleet.Shares{Service: "levy-desk"}
		if ratio != flow.ShareUnit {
			x.Targets = []fleet.Share{{Target: "levy-desk-1", Ratio: ratio}}
		}
		p.Shares = []fleet.Shares{x}
		return p
	}
	f, _ = f.Next(proposal(other, 300))
	c.Check(f.Shares, qt.HasLen, 0)
	f, changed := f.Next(proposal(decider, 300))
	c.Assert(changed, qt.IsTrue)
	c.Check(f.SharesOf("levy-desk").Ratio("levy-desk-1"), qt.Equals, 300)
	c.Check(f.SharesOf("levy-desk").Ratio("levy-desk-2"), qt.Equals, flow.ShareUnit)
	c.Check(f.SharesOf("ledger-intake").Ratio("levy-desk-1"), qt.Equals, flow.ShareUnit)

	unchanged := proposal(decider, 300)
	unchanged.Shares = nil
	_, changed = f.Next(unchanged)
	c.Check(changed, qt.IsFalse)
	f, changed = f.Next(proposal(decider, flow.ShareUnit))
	c.Check(changed, qt.IsTrue)
	c.Check(f.Shares, qt.HasLen, 0)
}
