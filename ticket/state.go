package ticket

import (
	"context"
	"fmt"
	"net/netip"
	"slices"

	"wisteriaweir/service"
)

// State is what is accepted at one number: the head and what it makes.
type State struct {
	Head   Head
	Config service.Config
	// Partial says that services and failure domains may exist which the
	// state does not show.
	Partial bool
}

// LoadState reads what h names: the folded object, and the tickets that it does
// not show. A few tickets are read without it.
func LoadState(ctx context.Context, c Client, h Head) (State, error) {
	s, _, err := loadState(ctx, c, h)
	return s, err
}

// known is where a state came from.
type known struct {
	// read says that the folded object was read, at the given version.
	read    bool
	version uint64
}

func loadState(ctx context.Context, c Client, h Head) (State, known, error) {
	if len(State{}.missing(h)) < foldedLeast {
		s, err := State{}.Load(ctx, c, h)
		return s, known{}, err
	}
	f, version, err := loadFolded(ctx, c)
	if err != nil {
		return State{}, known{}, err
	}
	s, err := f.Load(ctx, c, h)
	return s, known{read: true, version: version}, err
}

// Load returns the state at h. It takes over what h names as s does, and reads
// the other tickets.
func (s State) Load(ctx context.Context, c Client, h Head) (State, error) {
	tickets, err := loadTickets(ctx, c, s.missing(h))
	if err != nil {
		return State{}, err
	}
	return s.fold(h, tickets)
}

// missing returns the digests of the tickets that h names and s does not show.
func (s State) missing(h Head) map[uint64]string {
	want := make(map[uint64]string)
	for name, e := range h.Services {
		if _, ok := s.shown(name, e); !ok {
			want[e.Number] = e.Digest
		}
	}
	return want
}

// WithTicket returns the state after t is accepted, with its lists in the order
// in which they are stored.
func (s State) WithTicket(t Ticket) State {
	t = t.sorted()
	services := slices.DeleteFunc(slices.Clone(s.Config.Services), func(o service.Service) bool {
		return t.Touches(o.Name)
	})
	s.Head = s.Head.WithTicket(t)
	s.Config = s.Config.WithServices(append(services, t.Services...)).WithNumber(s.Head.Number).WithDigest(s.Head.Digest)
	return s
}

// Check returns what keeps t from being accepted next, as a CheckError.
func (s State) Check(t Ticket) error {
	mistakes := t.check()
	if len(mistakes) == 0 {
		mistakes = s.conflicts(t)
	}
	return checkError(mistakes)
}

// conflicts returns where t contradicts what it leaves as it is.
func (s State) conflicts(t Ticket) []Mistake {
	c := &checker{owners: s.kept(t)}
	for i, o := range t.Services {
		for j, a := range o.Addresses {
			c.free(fmt.Sprintf("services[%d].addresses[%d].at", i, j), a.AddrPort)
		}
		for j, p := range o.Pool {
			c.free(fmt.Sprintf("services[%d].pool[%d].at", i, j), p.Address)
		}
	}
	if !s.Partial {
		s.removals(c, t)
		s.domains(c, t)
	}
	return c.mistakes
}

// kept returns the owners of the addresses of all services that t leaves alone.
func (s State) kept(t Ticket) map[netip.AddrPort]string {
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

// free checks that no service which the ticket leaves alone has the address.
func (c *checker) free(field string, a netip.AddrPort) {
	if o, ok := c.owners[a]; ok {
		c.add(field, fmt.Sprintf("%s belongs to service %s: to move it, carry the new state of %s in the same ticket", a, o, o))
	}
}

func (s State) removals(c *checker, t Ticket) {
	for i, name := range t.Remove {
		if _, ok := s.Config.Service(name); !ok {
			c.add(fmt.Sprintf("remove[%d]", i), fmt.Sprintf("there is no service %q", name))
		}
	}
}

// domains checks that each target is in a failure domain that exists.
func (s State) domains(c *checker, t Ticket) {
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
