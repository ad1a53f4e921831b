package balancer

import (
	"net/netip"

	"wisteriaweir/member"
	"wisteriaweir/service"
)

// snapshot is the part of the control state that traffic needs. It is
// immutable; the control goroutine publishes a new one for each change.
type snapshot struct {
	config service.Config
	// members holds the members by name.
	members map[string]member.Member
	// targets holds the targets by address.
	targets map[netip.AddrPort]service.Target
}

// withConfig returns a copy of s with another configuration.
func (s *snapshot) withConfig(cfg service.Config) *snapshot {
	next := *s
	next.config = cfg
	next.targets = make(map[netip.AddrPort]service.Target)
	for _, v := range cfg.Services {
		for _, t := range v.Pool {
			next.targets[t.Address] = t
		}
	}
	return &next
}

// withMembers returns a copy of s with other members.
func (s *snapshot) withMembers(members []member.Member) *snapshot {
	next := *s
	next.members = make(map[string]member.Member, len(members))
	for _, m := range members {
		next.members[m.Name] = m
	}
	return &next
}

// member returns the balancer called name, and whether the instance life of it
// is the known one.
func (s *snapshot) member(name string, life uint64) (member.Member, bool) {
	m, ok := s.members[name]
	return m, ok && m.Life == life
}

// targetNameAt returns the name of the target with address a, empty if there is
// none.
func (s *snapshot) targetNameAt(a netip.AddrPort) string {
	return s.targets[a].Name
}

// targetDomainAt returns the failure domain of the target with address a, empty
// if there is none.
func (s *snapshot) targetDomainAt(a netip.AddrPort) string {
	return s.targets[a].Domain
}
