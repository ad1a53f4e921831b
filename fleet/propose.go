package fleet

import (
	"reflect"
	"slices"

	"wisteriaweir/target"
	"wisteriaweir/ticket"
)

// maxHoldersPerDomain is the largest number of claim holders in one failure domain.
// The limit keeps the number of heartbeats between claim holders from growing with the
// fleet.
const maxHoldersPerDomain = 3

// MemberReport is the state of one balancer in the view of the proposer.
type MemberReport struct {
	// Member is the balancer. Its State is ignored.
	Member Member
	// Reachable reports whether the balancer sends heartbeats, or has stopped sending them
	// too recently to be removed.
	Reachable bool
	// Leaving reports whether the balancer is shutting down.
	Leaving bool
	// Ready reports whether a joining balancer has copied the state of the others,
	// or a leaving one has nothing left to hand over.
	Ready bool
}

// Proposal is the input from which Next computes the next state.
type Proposal struct {
	// Domain is the proposer's failure domain. The proposer decides only about the
	// balancers of its own domain.
	Domain string
	// Head is the newest accepted head that the proposer has read.
	Head ticket.Head
	// Reports are the reports about the balancers of Domain. A member of Domain
	// without a report is removed.
	Reports []MemberReport
	// Health is the agreed health of the targets in the view of Domain.
	Health target.Health
	// MovedAddresses are the addresses that the tickets since the current head remove
	// from services. They are used only if Head is newer than the current head.
	MovedAddresses []MovedAddress
	// Shares are the shares of the services that Domain decides on. Shares without
	// targets mean that the weights alone apply.
	Shares []Shares
	// MinActiveTicket is the lowest of the ticket numbers that are active on the
	// balancers of the fleet, as far as is known.
	MinActiveTicket uint64
	// HoldersSettled reports whether the claims have been handed over to the current
	// set of claim holders, or the time allowed for it has passed, so that the set
	// may change again.
	HoldersSettled bool
}

// Next returns the state that follows f for the given proposal. It returns f and
// false if nothing changes.
func (f Fleet) Next(p Proposal) (Fleet, bool) {
	next := f.withMovedAddresses(p)
	if p.Head.Number > f.Head.Number {
		next = next.WithHead(p.Head)
	}
	next = next.withReports(p)
	if p.Health.Domain == p.Domain && healthChanged(f.HealthOf(p.Domain), p.Health) {
		next = next.WithHealth(p.Health)
	}
	next = next.withShares(p)
	if p.HoldersSettled || f.ClaimHolders.Number == 0 {
		next = next.withNextHolders()
	}
	if reflect.DeepEqual(next, f) {
		return f, false
	}
	next = next.WithNumber(f.Number + 1)
	if next.ClaimHolders.Number != f.ClaimHolders.Number {
		next.ClaimHolders.Since = next.Number
	}
	return next, true
}

// healthChanged reports whether the records or the reachability in next differ
// from those in old. A different fencing number alone is not a change.
func healthChanged(old, next target.Health) bool {
	return !slices.Equal(old.Records, next.Records) || !slices.Equal(old.Reach, next.Reach)
}

// withReports returns f with the members of the proposer's domain updated by the
// reports. Members of the domain without a report are removed.
func (f Fleet) withReports(p Proposal) Fleet {
	next := f
	reported := make(map[string]bool)
	for _, r := range p.Reports {
		if r.Member.Domain != p.Domain {
			continue
		}
		reported[r.Member.Name] = true
		next = next.withReport(r, f.Number == 0, f.mayHoldClaims(r.Member, p.HoldersSettled))
	}
	for _, m := range f.Members {
		if m.Domain == p.Domain && !reported[m.Name] {
			next = next.WithoutMember(m.Name)
		}
	}
	return next
}

// mayHoldClaims reports whether a leaving balancer may still hold claims: it is one
// of the claim holders, or it is in the previous set, whose claims may not be
// handed over yet.
func (f Fleet) mayHoldClaims(m Member, holdersSettled bool) bool {
	h := ClaimHolder{Name: m.Name, Domain: m.Domain, Life: m.Life}
	return slices.Contains(f.ClaimHolders.Members, h) || !holdersSettled && slices.Contains(f.ClaimHolders.Previous, h)
}

// withReport returns f with one member updated by its report. A report about an
// earlier process instance is ignored. The members of the first state start active,
// as there is no state to copy; later ones start joining. A leaving member is removed
// once it is ready and cannot hold claims any more. A leaving balancer whose process
// instance is not in f is not added, and its earlier instance is removed. A member that
// is not reachable is removed.
func (f Fleet) withReport(r MemberReport, isFirstState, mayHoldClaims bool) Fleet {
	m, known := f.Member(r.Member.Name)
	if known && m.Life > r.Member.Life {
		return f
	}
	isSameInstance := known && m.Life == r.Member.Life
	switch {
	case !r.Reachable:
		return f.WithoutMember(r.Member.Name)
	case r.Leaving && !isSameInstance:
		return f.WithoutMember(r.Member.Name)
	case r.Leaving && r.Ready && m.State == StateLeaving && !mayHoldClaims:
		return f.WithoutMember(r.Member.Name)
	case r.Leaving:
		return f.WithMember(m.WithState(StateLeaving))
	case !isSameInstance && isFirstState:
		return f.WithMember(r.Member.WithState(StateActive))
	case !isSameInstance:
		return f.WithMember(r.Member.WithState(StateJoining))
	case m.State == StateJoining && r.Ready:
		return f.WithMember(m.WithState(StateActive))
	default:
		return f
	}
}

// withNextHolders returns f with the next set of claim holders. The first set
// consists of all wanted holders. After that, at most one claim holder is removed and
// one added at a time. If the old set has three members or more, those that remain
// are therefore a majority of the old and of the new set. The purpose of this limit is
// that a majority of the holders of each single claim remains. The set never becomes
// empty.
func (f Fleet) withNextHolders() Fleet {
	wanted := f.wantedHolders()
	current := f.ClaimHolders.Members
	if f.ClaimHolders.Number == 0 {
		if len(wanted) == 0 {
			return f
		}
		return f.WithClaimHolders(ClaimHolders{Number: 1, Members: wanted})
	}
	members := slices.Clone(current)
	if i := slices.IndexFunc(members, func(h ClaimHolder) bool { return !slices.Contains(wanted, h) }); i >= 0 {
		members = slices.Delete(members, i, i+1)
	}
	if i := slices.IndexFunc(wanted, func(h ClaimHolder) bool { return !slices.Contains(current, h) }); i >= 0 {
		members = append(members, wanted[i])
	}
	if slices.Equal(members, current) || len(members) == 0 {
		return f
	}
	return f.WithClaimHolders(ClaimHolders{
		Number:   f.ClaimHolders.Number + 1,
		Members:  members,
		Previous: current,
		Since:    f.ClaimHolders.Since,
	})
}

// wantedHolders returns the active members that should hold claims: first the
// current claim holders, then other members, up to maxHoldersPerDomain of each
// failure domain.
func (f Fleet) wantedHolders() []ClaimHolder {
	var current, added []ClaimHolder
	for _, m := range f.Members {
		h := ClaimHolder{Name: m.Name, Domain: m.Domain, Life: m.Life}
		switch {
		case m.State != StateActive:
		case slices.Contains(f.ClaimHolders.Members, h):
			current = append(current, h)
		default:
			added = append(added, h)
		}
	}
	count := make(map[string]int)
	return slices.DeleteFunc(append(current, added...), func(h ClaimHolder) bool {
		count[h.Domain]++
		return count[h.Domain] > maxHoldersPerDomain
	})
}
