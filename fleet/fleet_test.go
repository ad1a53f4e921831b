package fleet_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wisteriaweir/fleet"
	"wisteriaweir/ticket"
)

// report returns a report about a live balancer.
func report(name, domain string, life uint64) fleet.MemberReport {
	return fleet.MemberReport{Member: fleet.Member{Name: name, Domain: domain, Life: life}, Reachable: true}
}

// TestMemberJoinsAndLeaves guards against a wrong order of the states of a member. Two
// members join, become active, and one of them leaves, while the set of claim holders
// changes with the active members.
func TestMemberJoinsAndLeaves(t *testing.T) {
	c := qt.New(t)
	first := report("b1", "west-a", 1)
	f, changed := fleet.Fleet{}.Next(fleet.Proposal{Domain: "west-a", Reports: []fleet.MemberReport{first}})
	c.Assert(changed, qt.IsTrue)
	c.Assert(f.Members[0].State, qt.Equals, fleet.StateActive)
	c.Assert(f.ClaimHolders.Number, qt.Equals, uint64(1))

	second := report("b2", "west-a", 2)
	f, _ = f.Next(fleet.Proposal{Domain: "west-a", Reports: []fleet.MemberReport{first, second}, HoldersSettled: true})
	c.Assert(f.Members[1].State, qt.Equals, fleet.StateJoining)
	c.Assert(f.ClaimHolders.Members, qt.HasLen, 1)

	second.Ready = true
	f, _ = f.Next(fleet.Proposal{Domain: "west-a", Reports: []fleet.MemberReport{first, second}, HoldersSettled: true})
	c.Assert(f.Members[1].State, qt.Equals, fleet.StateActive)
	c.Assert(f.ClaimHolders.Members, qt.HasLen, 2)
	c.Assert(f.ClaimHolders.Previous, qt.HasLen, 1)

	first.Leaving = true
	f, _ = f.Next(fleet.Proposal{Domain: "west-a", Reports: []fleet.MemberReport{first, second}})
	c.Assert(f.Members[0].State, qt.Equals, fleet.StateLeaving)
	c.Assert(f.ClaimHolders.Members, qt.HasLen, 2)
	first.Ready = true
	f, _ = f.Next(fleet.Proposal{Domain: "west-a", Reports: []fleet.MemberReport{first, second}, HoldersSettled: true})
	c.Assert(f.Members, qt.HasLen, 2)
	c.Assert(f.ClaimHolders.Members, qt.DeepEquals, []fleet.ClaimHolder{{Name: "b2", Domain: "west-a", Life: 2}})
	f, _ = f.Next(fleet.Proposal{Domain: "west-a", Reports: []fleet.MemberReport{first, second}, HoldersSettled: true})
	c.Assert(f.Members, qt.HasLen, 1)
	c.Assert(f.ClaimHolders.Members, qt.DeepEquals, []fleet.ClaimHolder{{Name: "b2", Domain: "west-a", Life: 2}})

	_, changed = f.Next(fleet.Proposal{Domain: "west-a", Reports: []fleet.MemberReport{second}, HoldersSettled: true})
	c.Assert(changed, qt.IsFalse)
}

// TestAProposerDecidesAboutItsOwnDomainOnly guards against a proposer that
// removes members of another domain, for which it has no reports.
func TestAProposerDecidesAboutItsOwnDomainOnly(t *testing.T) {
	c := qt.New(t)
	f := fleet.Fleet{Number: 1}.
		WithMember(fleet.Member{Name: "a1", Domain: "west-a", Life: 1, State: fleet.StateActive}).
		WithMember(fleet.Member{Name: "b1", Domain: "west-b", Life: 1, State: fleet.StateActive})
	next, _ := f.Next(fleet.Proposal{Domain: "west-b"})
	_, ok := next.Member("a1")
	c.Assert(ok, qt.IsTrue)
	_, ok = next.Member("b1")
	c.Assert(ok, qt.IsFalse)
}

// TestDecodeRefusesInvalidData checks that an invalid value is refused with a
// *fleet.DecodeError.
func TestDecodeRefusesInvalidData(t *testing.T) {
	c := qt.New(t)
	for _, value := range []string{
		"{", `[]`, `{"number":0}`,
		`{"number":1,"members":[{"name":"b"},{"name":"a"}]}`,
		`{"number":1,"members":[{"name":"a"},{"name":"a"}]}`,
	} {
		_, err := fleet.Decode([]byte(value))
		var want *fleet.DecodeError
		c.Assert(errors.As(err, &want), qt.IsTrue, qt.Commentf("%s", value))
	}
}

// TestNextMovesForward applies random proposals. It guards against numbers that
// do not increase by one, a head that goes back, the return of an earlier process
// instance, and successive sets of claim holders that differ by more than one
// removed and one added.
func TestNextMovesForward(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f fleet.Fleet
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			domain := rapid.SampledFrom([]string{"west-a", "west-b"}).Draw(t, "domain")
			var reports []fleet.MemberReport
			for i := range 5 {
				r := report(fmt.Sprintf("%s-%d", domain, i), domain, rapid.Uint64Range(1, 4).Draw(t, "life"))
				r.Reachable = rapid.IntRange(0, 9).Draw(t, "alive") > 1
				r.Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
				r.Ready = rapid.Bool().Draw(t, "ready")
				reports = append(reports, r)
			}
			p := fleet.Proposal{
				Domain:         domain,
				Head:           ticket.Head{Number: rapid.Uint64Range(0, 9).Draw(t, "head")},
				Reports:        reports,
				HoldersSettled: rapid.Bool().Draw(t, "settled"),
			}
			next, changed := f.Next(p)
			checkStep(t, f, next, changed)
			checkHolders(t, f, next, p.HoldersSettled)
			f = next
		}
	})
}

// checkStep checks that next is a valid successor of f, and that it can be
// encoded and decoded.
func checkStep(t *rapid.T, f, next fleet.Fleet, changed bool) {
	if changed != (next.Number == f.Number+1) {
		t.Fatalf("number %d after %d, changed %t", next.Number, f.Number, changed)
	}
	if next.Head.Number < f.Head.Number {
		t.Fatalf("head went back from %d to %d", f.Head.Number, next.Head.Number)
	}
	for _, m := range next.Members {
		old, ok := f.Member(m.Name)
		if ok && m.Life < old.Life {
			t.Fatalf("%s went back from life %d to %d", m.Name, old.Life, m.Life)
		}
	}
	decoded, err := fleet.Decode(next.Encode())
	if next.Number > 0 && (err != nil || decoded.Number != next.Number) {
		t.Fatalf("round trip: %v", err)
	}
}

// checkHolders checks that the set of claim holders changes only after it has
// settled, by at most one removed and one added member, that a removed member is
// no longer active and an added one is, and that the set never becomes empty.
func checkHolders(t *rapid.T, f, g fleet.Fleet, settled bool) {
	old, next := f.ClaimHolders, g.ClaimHolders
	if next.Number == old.Number {
		if !slices.Equal(next.Members, old.Members) {
			t.Fatalf("holders %v became %v under number %d", old.Members, next.Members, old.Number)
		}
		return
	}
	if next.Number != old.Number+1 || len(next.Members) == 0 {
		t.Fatalf("holders %d became %d with %v", old.Number, next.Number, next.Members)
	}
	if old.Number == 0 {
		return
	}
	if !settled || next.Since != g.Number {
		t.Fatalf("holders %d introduced at %d, settled %t, since %d", next.Number, g.Number, settled, next.Since)
	}
	if !slices.Equal(next.Previous, old.Members) {
		t.Fatalf("previous holders %v, want %v", next.Previous, old.Members)
	}
	removed := slices.DeleteFunc(slices.Clone(old.Members), func(h fleet.ClaimHolder) bool { return slices.Contains(next.Members, h) })
	added := slices.DeleteFunc(slices.Clone(next.Members), func(h fleet.ClaimHolder) bool { return slices.Contains(old.Members, h) })
	if len(removed) > 1 || len(added) > 1 {
		t.Fatalf("removed %v, added %v", removed, added)
	}
	for _, h := range removed {
		if isActive(g, h) {
			t.Fatalf("%v was removed while it was active", h)
		}
	}
	for _, h := range added {
		if !isActive(g, h) {
			t.Fatalf("%v was added before it was active", h)
		}
	}
}

// isActive reports whether h is an active member of f.
func isActive(f fleet.Fleet, h fleet.ClaimHolder) bool {
	m, ok := f.Member(h.Name)
	return ok && m.Life == h.Life && m.State == fleet.StateActive
}

// TestRestartedHolderIsReplaced guards against a set of claim holders that keeps
// the earlier process instance of a restarted balancer, or that needs two changes
// to replace it by the new instance.
func TestRestartedHolderIsReplaced(t *testing.T) {
	c := qt.New(t)
	reports := []fleet.MemberReport{report("b0", "west", 1), report("b1", "west", 1), report("b2", "west", 1)}
	f, _ := fleet.Fleet{}.Next(fleet.Proposal{Domain: "west", Reports: reports})
	c.Assert(f.ClaimHolders.Members, qt.HasLen, 3)
	reports[1] = report("b1", "west", 2)
	f, _ = f.Next(fleet.Proposal{Domain: "west", Reports: reports})
	reports[1].Ready = true
	f, _ = f.Next(fleet.Proposal{Domain: "west", Reports: reports, HoldersSettled: true})
	c.Assert(f.ClaimHolders.Number, qt.Equals, uint64(2))
	c.Assert(f.ClaimHolders.Members, qt.DeepEquals, []fleet.ClaimHolder{
		{Name: "b0", Domain: "west", Life: 1}, {Name: "b2", Domain: "west", Life: 1}, {Name: "b1", Domain: "west", Life: 2},
	})
	_, changed := f.Next(fleet.Proposal{Domain: "west", Reports: reports, HoldersSettled: true})
	c.Assert(changed, qt.IsFalse)
}
