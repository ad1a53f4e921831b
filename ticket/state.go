package ticket

import (
	"context"
	"fmt"
	"net/netip"
	"slices"

	"wisteriaweir/service"
)

// State is the accepted state at one number: the head, and the configuration that
// results from it.
type State struct {
	// Head is the accepted head.
	Head Head
	// Config is the configuration that results from Head.
	Config service.Config
	// Partial reports whether there may be services and failure domains that the
	// state does not include, because earlier tickets are not known.
	Partial bool
}

// LoadState returns the state that results from h. It reads the snapshot, and those
// tickets in h that the snapshot does not include. If h names fewer than 3 tickets, it
// reads these tickets and no snapshot.
func LoadState(ctx context.Context, c Client, h Head) (State, error) {
	s, _, err := loadState(ctx, c, h)
	return s, err
}

// snapshotSource records whether loadState has read the snapshot object.
type snapshotSource struct {
	// wasRead reports whether the snapshot object was read.
	wasRead bool
	// version is the version of the snapshot object, 0 if it does not exist.
	version uint64
}

// loadState does the work of LoadState, and also returns whether it has read the
// snapshot object.
func loadState(ctx context.Context, c Client, h Head) (State, snapshotSource, error) {
	if len(State{}.missing(h)) < minSnapshotTickets {
		s, err := State{}.Load(ctx, c, h)
		return s, snapshotSource{}, err
	}
	snapshot, version, err := loadSnapshot(ctx, c)
	if err != nil {
		return State{}, snapshotSource{}, err
	}
	s, err := snapshot.Load(ctx, c, h)
	return s, snapshotSource{wasRead: true, version: version}, err
}

// Load returns the state that results from h. It reuses the services of s for which h
// names the same tickets, and reads the other tickets.
func (s State) Load(ctx context.Context, c Client, h Head) (State, error) {
	tickets, err := loadTickets(ctx, c, s.missing(h))
	if err != nil {
		return State{}, err
	}
	return s.build(h, tickets)
}

// missing returns the tickets that h names and s does not include, as a map from their
// numbers to their digests.
func (s State) missing(h Head) map[uint64]string {
	want := make(map[uint64]string)
	for name, e := range h.Services {
		if _, ok := s.includedService(name, e); !ok {
			want[e.Number] = e.Digest
		}
	}
	return want
}

// WithTicket returns the state that results from accepting t. The lists of t are
// sorted, as they are when t is stored.
func (s State) WithTicket(t Ticket) State {
	t = t.sorted()
	services := slices.DeleteFunc(slices.Clone(s.Config.Services), func(o service.Service) bool {
		return t.Touches(o.Name)
	})
	s.Head = s.Head.WithTicket(t)
	s.Config = s.Config.WithServices(append(services, t.Services...)).WithNumber(s.Head.Number).WithDigest(s.Head.Digest)
	return s
}

// Check returns a *CheckError if t cannot be accepted as the next ticket after s.
// It does not check the number of t.
func (s State) Check(t Ticket) error {
	mistakes := t.check()
	if len(mistakes) == 0 {
		mistakes = s.conflicts(t)
	}
	return checkError(mistakes)
}

// conflicts returns the mistakes of t that result from the services that
// it does not touch, and from the declared failure domains.
func (s State) conflicts(t Ticket) []Mistake {
	c := &checker{owners: s.untouchedOwners(t)}
	for i, o := range t.Services {
		for j, a := range o.Addresses {
			c.checkUnowned(fmt.Sprintf("services[%d].addresses[%d].at", i, j), a.AddrPort)
		}
		for j, p := range o.Pool {
			c.checkUnowned(fmt.Sprintf("services[%d].pool[%d].at", i, j), p.Address)
		}
	}
	if !s.Partial {
		s.checkRemovals(c, t)
		s.checkDomains(c, t)
	}
	return c.mistakes
}

// untouchedOwners returns, for each address of a service that t does not touch or of
// its targets, the name of that service.
func (s State) untouchedOwners(t Ticket) map[netip.AddrPort]string {
	owners := make(map[netip.AddrPort]string)
	for _, o := range s.Config.Services {
		if t.Touches(o.Name) {
			continue
		}
		for _, a := range o.Addresses {
			owners[a.AddrPort] = o.Name
		}
		for _, p := range o.Pool {
			owners[p.Address] = o.Name
		}
	}
	return owners
}

// checkUnowned checks that the address does not belong to a service that the ticket
// does not touch, or to a target of such a service.
func (c *checker) checkUnowned(field string, a netip.AddrPort) {
	if owner, ok := c.owners[a]; ok {
		c.add(field, fmt.Sprintf("%s belongs to service %s: to move it, carry the new state of %s in the same ticket", a, owner, owner))
	}
}

// checkRemovals checks that each service to remove exists.
func (s State) checkRemovals(c *checker, t Ticket) {
	for i, name := range t.Remove {
		if _, ok := s.Config.Service(name); !ok {
			c.add(fmt.Sprintf("remove[%d]", i), fmt.Sprintf("there is no service %q", name))
		}
	}
}

// checkDomains checks that each target, also of services that t does not touch, is
// in a declared failure domain.
func (s State) checkDomains(c *checker, t Ticket) {
	next := s.WithTicket(t)
	if len(next.Head.Domains) == 0 {
		c.add("domains", "no ticket has declared the failure domains yet")
		return
	}
	for i, o := range t.Services {
		for j, p := range o.Pool {
			if !slices.Contains(next.Head.Domains, p.Domain) {
				c.add(fmt.Sprintf("services[%d].pool[%d].domain", i, j),
					fmt.Sprintf("%q is not one of the failure domains %v", p.Domain, next.Head.Domains))
			}
		}
	}
	for _, o := range next.Config.Services {
		for _, p := range o.Pool {
			if !t.Touches(o.Name) && !slices.Contains(next.Head.Domains, p.Domain) {
				c.add("domains", fmt.Sprintf("%q is left out, and target %s of service %s runs there", p.Domain, p.Name, o.Name))
			}
		}
	}
}
