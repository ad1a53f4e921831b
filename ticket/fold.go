package ticket

import (
	"fmt"

	"wisteriaweir/service"
)

// OwnerError reports that two services own the same address.
type OwnerError struct {
	// Address is the address, in the form IP:PORT.
	Address string
	// First and Second are the names of the services.
	First  string
	Second string
}

func (e *OwnerError) Error() string {
	return fmt.Sprintf("ticket: address %s belongs to %s and %s", e.Address, e.First, e.Second)
}

// BuildConfig returns the configuration that results from h. The map tickets holds the
// tickets that h names, by number. The error is a *MismatchError if a ticket is missing
// or does not have the digest that h names, a *StoredError if a ticket does not declare
// a service for which h names it, or an *OwnerError if two services own one address.
func BuildConfig(h Head, tickets map[uint64]Ticket) (service.Config, error) {
	s, err := State{}.build(h, tickets)
	return s.Config, err
}

// build returns the state at h. It uses the services of s whose entries in h are
// the same, and the given tickets for the others.
func (s State) build(h Head, tickets map[uint64]Ticket) (State, error) {
	digests := make(map[uint64]string, len(tickets))
	for n, t := range tickets {
		digests[n] = t.Digest()
	}
	b := configBuilder{services: make([]service.Service, 0, len(h.Services)), owners: make(map[string]string)}
	for name, e := range h.Services {
		svc, ok := s.includedService(name, e)
		if !ok {
			if digests[e.Number] != e.Digest {
				return State{}, &MismatchError{Number: e.Number, Want: e.Digest, Have: digests[e.Number]}
			}
			if svc, ok = tickets[e.Number].Service(name); !ok {
				return State{}, &StoredError{Number: e.Number, Reason: fmt.Sprintf("it does not touch service %q", name)}
			}
		}
		if err := b.add(svc); err != nil {
			return State{}, err
		}
	}
	cfg := service.Config{}.WithServices(b.services).WithNumber(h.Number).WithDigest(h.Digest)
	return State{Head: h, Config: cfg}, nil
}

// includedService returns the named service as entry e declares it, and whether s
// includes it.
func (s State) includedService(name string, e Entry) (service.Service, bool) {
	if s.Head.Services[name] != e {
		return service.Service{}, false
	}
	return s.Config.Service(name)
}

// configBuilder collects services and checks that no two own the same address.
type configBuilder struct {
	services []service.Service
	// owners holds the name of the service that owns each address, by IP:PORT.
	owners map[string]string
}

// add adds a service. The error is an *OwnerError.
func (b *configBuilder) add(s service.Service) error {
	for _, a := range s.Addresses {
		address := a.AddrPort.String()
		if owner, ok := b.owners[address]; ok {
			return &OwnerError{Address: address, First: owner, Second: s.Name}
		}
		b.owners[address] = s.Name
	}
	b.services = append(b.services, s)
	return nil
}
