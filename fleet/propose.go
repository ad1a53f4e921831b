package fleet

import (
	"reflect"
	"slices"

	"wisteriaweir/target"
	"wisteriaweir/ticket"
)

// holdersPerDomain bounds the holders of one failure domain, so that their
// heartbeats to each other do not grow with the fleet.
const holdersPerDomain = 3

// Report is what the proposer knows about one balancer.
type Report struct {
	Member Member
	// Alive says that the balancer is heard, or not yet missed for long enough.
	Alive bool
	// Leaving says that the balancer is shutting down.
	Leaving bool
	// Ready says that a joining balancer holds what the others know, or that a
	// leaving one has nothing left to hand over.
	Ready bool
}

// Proposal is what the next state is made from.
type Proposal struct {
	// Domain is the proposer's failure domain. It decides about the balancers of
	// its own domain only.
	Domain string
	// Head is the newest accepted head that the proposer has read.
	Head ticket.Head
	// Reports are about balancers of Domain; one without a report is not alive.
	Reports []Report
	// Health is what Domain has agreed on about its targets.
	Health target.Health
	// MovedAddresses are the addresses that Head takes away from services.
	MovedAddresses []MovedAddress
	// Shares are those of services that Domain decides on; no targets stand for
	// the weights alone.
	Shares []Shares
	// MinAppliedTicket is the lowest ticket number that every balancer of the fleet has in
	// force, as far as is known.
	MinAppliedTicket uint64
	// HoldersSettled says that the present set of holders has had the time to
	// hand its claims over, so that it may change again.
	HoldersSettled bool
}

// Next returns the state that follows f, and false if nothing changes.
func (f Fleet) Next(p Proposal) (Fleet, bool) {
	next := f.withMoved(p)
	if p.Head.Number > f.Head.Number {
		next = next.WithHead(p.Head)
	}
	next = next.withReports(p)
	if p.Health.Domain == p.Domain && changed(f.HealthOf(p.Domain), p.Health) {
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

// changed says whether next says something else about a target than old. The
// fencing number alone is no change.
func changed(old, next target.Health) bool {
	return !slices.Equal(old.Records, next.Records) || !slices.Equal(old.Reach, next.Reach)
}

// withReports returns f with the balancers of the proposer's domain as they are
// reported.
func (f Fleet) withReports(p Proposal) Fleet {
	next := f
	reported := make(map[string]bool)
	for _, r := range p.Reports {
		if r.Member.Domain != p.Domain {
			continue
		}
		reported[r.Member.Name] = true
		next = next.withReport(r, f.Number == 0, f.needed(r.Member, p.HoldersSettled))
	}
	for _, m := range f.Members {
		if m.Domain == p.Domain && !reported[m.Name] {
			next = next.WithoutMember(m.Name)
		}
	}
	return next
}

// needed reports whether a leaving balancer still holds claims for the others: it
// is one of the holders, or was and has perhaps not handed its claims over.
func (f Fleet) needed(m Member, settled bool) bool {
	h := ClaimHolder{Name: m.Name, Domain: m.Domain, Life: m.Life}
	return slices.Contains(f.ClaimHolders.Members, h) || !settled && slices.Contains(f.ClaimHolders.Previous, h)
}

// withReport returns f with one balancer as it is reported. The balancers of
// the first state have nothing to take over and start active. One that is needed
// leaves later.
func (f Fleet) withReport(r Report, first, needed bool) Fleet {
	m, known := f.Member(r.Member.Name)
	if known && m.Life > r.Member.Life {
		return f
	}
	same := known && m.Life == r.Member.Life
	switch {
	case !r.Alive:
		return f.WithoutMember(r.Member.Name)
	case r.Leaving && !same:
		return f.WithoutMember(r.Member.Name)
	case r.Leaving && r.Ready && m.State == StateLeaving && !needed:
		return f.WithoutMember(r.Member.Name)
	case r.Leaving:
		return f.WithMember(m.WithState(StateLeaving))
	case !same && first:
		return f.WithMember(r.Member.WithState(StateActive))
	case !same:
		return f.WithMember(r.Member.WithState(StateJoining))
	case m.State == StateJoining && r.Ready:
		return f.WithMember(m.WithState(StateActive))
	default:
		return f
	}
}

// withNextHolders returns f with at most one holder removed and one added, so
// that the holders that stay have a majority in each group.
func (f Fleet) withNextHolders() Fleet {
	wanted := f.wantedHolders()
	old := f.ClaimHolders.Members
	if f.ClaimHolders.Number == 0 {
		if len(wanted) == 0 {
			return f
		}
		return f.WithClaimHolders(ClaimHolders{Number: 1, Members: wanted})
	}
	members := slices.Clone(old)
	if i := slices.IndexFunc(members, func(h ClaimHolder) bool { return !slices.Contains(wanted, h) }); i >= 0 {
		members = slices.Delete(members, i, i+1)
	}
	if i := slices.IndexFunc(wanted, func(h ClaimHolder) bool { return !slices.Contains(old, h) }); i >= 0 {
		members = append(members, wanted[i])
	}
	if slices.Equal(members, old) || len(members) == 0 {
		return f
	}
	return f.WithClaimHolders(ClaimHolders{
		Number:   f.ClaimHolders.Number + 1,
		Members:  members,
		Previous: old,
		Since:    f.ClaimHolders.Since,
	})
}

// wantedHolders returns the active members that should hold claims: those that
// do already, then others, up to the bound of each failure domain.
func (f Fleet) wantedHolders() []ClaimHolder {
	var held, other []ClaimHolder
	for _, m := range f.Members {
		h := ClaimHolder{Name: m.Name, Domain: m.Domain, Life: m.Life}
		switch {
		case m.State != StateActive:
		case slices.Contains(f.ClaimHolders.Members, h):
			held = append(held, h)
		default:
			other = append(other, h)
		}
	}
	count := make(map[string]int)
	return slices.DeleteFunc(append(held, other...), func(h ClaimHolder) bool {
		count[h.Domain]++
		return count[h.Domain] > holdersPerDomain
	})
}
