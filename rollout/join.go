package rollout

import (
	"slices"

	"wisteriaweir/fleet"
	"wisteriaweir/service"
	"wisteriaweir/target"
	"wisteriaweir/ticket"
)

// joinSections returns the state that was split into the given sections. It uses
// the decoded values of the sections, so that an unchanged section is not decoded
// again. Lists and maps that are nil in the skeleton stay nil. The error is a
// *SectionError.
func joinSections(sections []*section) (State, error) {
	if err := checkOrder(sections); err != nil {
		return State{}, err
	}
	if len(sections) == 0 || sections[0].Kind != kindSkeleton {
		return State{}, &SectionError{Kind: uint8(kindSkeleton), Reason: "it is missing"}
	}
	s := sections[0].value.(State)
	entries := make(map[string]ticket.Entry)
	services := make([]service.Service, 0, len(s.Config.Services))
	for _, x := range sections[1:] {
		switch v := x.value.(type) {
		case fleet.ClaimHolders:
			s.Fleet.ClaimHolders = v
		case ticket.Entry:
			entries[x.Name] = v
		case fleet.Member:
			s.Fleet.Members = append(s.Fleet.Members, v)
		case target.Health:
			s.Fleet.Health = joinHealth(s.Fleet.Health, x.Part, v)
		case service.Service:
			services = joinService(services, x.Part, v)
		case fleet.Shares:
			s.Fleet.Shares = append(s.Fleet.Shares, v)
		case State:
			return State{}, &SectionError{Kind: uint8(kindSkeleton), Reason: "it is listed twice"}
		}
	}
	if s.Fleet.Head.Services != nil {
		s.Fleet.Head.Services = entries
	}
	if s.Config.Services != nil {
		s.Config = s.Config.WithServices(services)
	}
	return s, nil
}

// joinHealth appends part 0 of the health of a domain to all, or the records of a
// further part to the last element. The records of part 0 are cloned first, because
// other releases may share that section.
func joinHealth(all []target.Health, part int, h target.Health) []target.Health {
	if part == 0 {
		return append(all, h)
	}
	last := &all[len(all)-1]
	if part == 1 {
		last.Records = slices.Clone(last.Records)
	}
	last.Records = append(last.Records, h.Records...)
	return all
}

// joinService appends part 0 of a service to all, or the targets of a further part to
// the last element. The pool of part 0 is cloned first, because other releases may
// share that section.
func joinService(all []service.Service, part int, s service.Service) []service.Service {
	if part == 0 {
		return append(all, s)
	}
	last := &all[len(all)-1]
	if part == 1 {
		last.Pool = slices.Clone(last.Pool)
	}
	last.Pool = append(last.Pool, s.Pool...)
	return all
}
