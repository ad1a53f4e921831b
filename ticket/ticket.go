// Package ticket holds the numbered change tickets by which operators declare
// services, and the rules by which one ticket after the other is accepted.
//
// # Usage
//
// An operator's side parses files, checks them and submits:
//
//	t, mistakes := ticket.Parse("ticket-7.yaml", data)
//	head, err := ticket.Submit(ctx, client, t)
//
// A balancer's side folds the accepted tickets into one configuration:
//
//	cfg, err := ticket.Load(ctx, client)
//
// A ticket is accepted by one conditional update of the object "head", which
// names the newest ticket of each service. The object "ticket/NUMBER" is
// written before it, once, and never changed. The object "folded" spares readers
// most tickets, and decides nothing.
package ticket

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"wisteriaweir/service"
)

// Ticket is the whole new state of all that it touches.
type Ticket struct {
	// Number is the number of the configuration that the ticket makes.
	Number uint64 `json:"number" yaml:"number"`
	// Title says what the ticket is for.
	Title string `json:"title" yaml:"title"`
	// Author is who answers for it.
	Author string `json:"author" yaml:"author"`
	// Domains are all failure domains. Empty leaves them as they are.
	Domains []string `json:"domains,omitempty" yaml:"domains,omitempty"`
	// Services are the services in their whole new state.
	Services []service.Service `json:"services,omitempty" yaml:"services,omitempty"`
	// Remove names the services that end.
	Remove []string `json:"remove,omitempty" yaml:"remove,omitempty"`
}

// WithNumber returns a copy of t with number n.
func (t Ticket) WithNumber(n uint64) Ticket {
	t.Number = n
	return t
}

// Service returns the state that t gives to the service called name.
func (t Ticket) Service(name string) (service.Service, bool) {
	i := slices.IndexFunc(t.Services, func(s service.Service) bool { return s.Name == name })
	if i < 0 {
		return service.Service{}, false
	}
	return t.Services[i], true
}

// Touches reports whether t says something about the service called name.
func (t Ticket) Touches(name string) bool {
	_, ok := t.Service(name)
	return ok || slices.Contains(t.Remove, name)
}

// sorted returns a copy of t whose lists are sorted.
func (t Ticket) sorted() Ticket {
	t.Domains = slices.Sorted(slices.Values(t.Domains))
	t.Remove = slices.Sorted(slices.Values(t.Remove))
	t.Services = slices.Clone(t.Services)
	slices.SortFunc(t.Services, func(a, b service.Service) int { return strings.Compare(a.Name, b.Name) })
	for i, s := range t.Services {
		s.Addresses = slices.Clone(s.Addresses)
		slices.SortFunc(s.Addresses, func(a, b service.Address) int { return a.AddrPort.Compare(b.AddrPort) })
		s.Pool = slices.Clone(s.Pool)
		slices.SortFunc(s.Pool, func(a, b service.Target) int { return strings.Compare(a.Name, b.Name) })
		t.Services[i] = s
	}
	return t
}

// Encode returns the bytes under which t is stored. The order of its lists
// does not change them.
func (t Ticket) Encode() []byte {
	b, err := json.Marshal(t.sorted())
	if err != nil {
		panic(fmt.Sprintf("ticket: %v", err)) // no field of a Ticket can fail
	}
	return b
}

// Digest returns the hex digest of t.
func (t Ticket) Digest() string { return digest(t.Encode()) }

func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// Path returns the path of the object that holds ticket number n.
func Path(n uint64) string { return fmt.Sprintf("ticket/%d", n) }
