package ticket

import (
	"fmt"

	"wisteriaweir/service"
)

// OwnerError says that two services would own one address.
type OwnerError struct {
	Address string
	First   string
	Second  string
}

func (e *OwnerError) Error() string {
	return fmt.Sprintf("ticket: address %s belongs to %s and %s", e.Address, e.First, e.Second)
}

// BuildConfig returns the configuration of h, given the tickets that it names. It
// fails unless every ticket is the one named and each address has one owner.
func BuildConfig(h Head, tickets map[uint64]Ticket) (service.Config, error) {
	s, err := State{}.fold(h, tickets)
	return s.Config, err
}

// fold returns the state at h, given the tickets that s does not show.
func (s State) fold(h Head, tickets map[uint64]Ticket) (State, error) {
	digests := make(map[uint64]string, len(tickets))
	for n, t := range tickets {
		digests[n] = t.Digest()
	}
	f := folder{services: make([]service.Service, 0, len(h.Services)), owners: make(map[string]string)}
	for name, e := range h.Services {
		o, ok := s.shown(name, e)
		if !ok {
			if digests[e.Number] != e.Digest {
				return State{}, &MismatchError{Number: e.Number, Want: e.Digest, Have: digests[e.Number]}
			}
			if o, ok = tickets[e.Number].Service(name); !ok {
				return State{}, &StoredError{Number: e.Number, Reason: fmt.Sprintf("it does not touch service %q", name)}
			}
		}
		if err := f.add(o); err != nil {
			return State{}, err
		}
	}
	cfg := service.Config{}.WithServices(f.services).WithNumber(h.Number).WithDigest(h.Digest)
	return State{Head: h, Config: cfg}, nil
}

// shown returns the state that entry e gives to a service, if s shows it.
func (s State) shown(name string, e Entry) (service.Service, bool) {
	if s.Head.Services[name] != e {
		return service.Service{}, false
	}
	return s.Config.Service(name)
}

// folder gathers services of which no two own one address.
type folder struct {
	services []service.Service
	owners   map[string]string
}

func (f *folder) add(s service.Service) error {
	for _, a := range s.Addresses {
		at := a.AddrPort.String()
		if o, ok := f.owners[at]; ok {
			return &OwnerError{Address: at, First: o, Second: s.Name}
		}
		f.owners[at] = s.Name
	}
	f.services = append(f.services, s)
	return nil
}
