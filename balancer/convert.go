package balancer

import (
	"net/netip"

	"wisteriaweir/fleet"
	"wisteriaweir/flow"
	"wisteriaweir/member"
	"wisteriaweir/platform"
	"wisteriaweir/request"
)

// transportMembers returns the members of f as the transport addresses them.
func transportMembers(f fleet.Fleet) []member.Member {
	out := make([]member.Member, len(f.Members))
	for i, m := range f.Members {
		out[i] = member.Member{Name: m.Name, Domain: m.Domain, Life: m.Life, Control: m.ControlAddress, Hop: m.HopAddress}
	}
	return out
}

// flowMembers returns the members of f for package flow.
func flowMembers(f fleet.Fleet) []flow.Member {
	states := map[fleet.State]flow.State{
		fleet.StateActive:  flow.Active,
		fleet.StateJoining: flow.Joining,
		fleet.StateLeaving: flow.Leaving,
	}
	out := make([]flow.Member, len(f.Members))
	for i, m := range f.Members {
		out[i] = flow.Member{Name: m.Name, Life: m.Life, State: states[m.State]}
	}
	return out
}

// claimHolderSet returns the set of claim holders of f.
func claimHolderSet(f fleet.Fleet) request.ClaimHolderSet {
	return request.ClaimHolderSet{
		Number:   f.ClaimHolders.Number,
		Members:  claimHolders(f.ClaimHolders.Members),
		Previous: claimHolders(f.ClaimHolders.Previous),
	}
}

// claimHolders converts a list of claim holders for package request.
func claimHolders(list []fleet.ClaimHolder) []request.Member {
	out := make([]request.Member, len(list))
	for i, h := range list {
		out[i] = request.Member{Peer: request.Peer{Name: h.Name, Life: h.Life}, Domain: h.Domain}
	}
	return out
}

// fleetMember returns m as a member of the fleet, without a state.
func fleetMember(m member.Member) fleet.Member {
	return fleet.Member{Name: m.Name, Domain: m.Domain, Life: m.Life, ControlAddress: m.Control, HopAddress: m.Hop}
}

// hostMember converts an entry of the host list. It returns false if one of the
// addresses is invalid.
func hostMember(h platform.Host) (member.Member, bool) {
	control, err := netip.ParseAddrPort(h.Control)
	if err != nil {
		return member.Member{}, false
	}
	hop, err := netip.ParseAddrPort(h.Hop)
	if err != nil {
		return member.Member{}, false
	}
	return member.Member{Name: h.Name, Domain: h.Domain, Life: h.Life, Control: control, Hop: hop}, true
}
