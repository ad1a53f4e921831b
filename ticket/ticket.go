// Package ticket implements the numbered change tickets by which operators declare
// services, and the rules by which tickets are accepted one after another.
//
// # Usage
//
// An operator's tool parses a file, which also checks it, and submits the ticket:
//
//	t, err := ticket.Parse("ticket-7.yaml", data)
//	head, err := ticket.Submit(ctx, client, t)
//
// A balancer builds one configuration from the accepted tickets:
//
//	cfg, err := ticket.Load(ctx, client)
//
// A ticket is accepted by one conditional update of the object "head", which
// names the newest ticket of each service. The object "ticket/NUMBER" is written
// before that update and never changes once the ticket is accepted. The object
// "folded" holds a snapshot of the accepted state, so that readers need not read
// most of the tickets. The resulting configuration is the same without it.
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

// Ticket declares the complete new state of each service that it touches.
type Ticket struct {
	// Number is the number of the ticket, and of the configuration that results from
	// it. Numbers are consecutive and start at 1.
	Number uint64 `json:"number" yaml:"number"`
	// Title describes the purpose of the ticket in one line.
	Title string `json:"title" yaml:"title"`
	// Author is the person responsible for the ticket.
	Author string `json:"author" yaml:"author"`
	// Domains are the names of all failure domains. If there are none, the failure
	// domains that earlier tickets have declared stay.
	Domains []string `json:"domains,omitempty" yaml:"domains,omitempty"`
	// Services are the added and changed services, each in its complete new state.
	Services []service.Service `json:"services,omitempty" yaml:"services,omitempty"`
	// Remove holds the names of the services to remove.
	Remove []string `json:"remove,omitempty" yaml:"remove,omitempty"`
}

// WithNumber returns a copy of t with the number n.
func (t Ticket) WithNumber(n uint64) Ticket {
	t.Number = n
	return t
}

// Service returns the state that t declares for the named service, and whether it
// declares one.
func (t Ticket) Service(name string) (service.Service, bool) {
	i := slices.IndexFunc(t.Services, func(s service.Service) bool { return s.Name == name })
	if i < 0 {
		return service.Service{}, false
	}
	return t.Services[i], true
}

// Touches reports whether t adds, changes or removes the named service.
func (t Ticket) Touches(name string) bool {
	_, ok := t.Service(name)
	return ok || slices.Contains(t.Remove, name)
}

// sorted returns a copy of t with its lists sorted.
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

// Encode returns t as the JSON value that is stored. The value does not depend on the
// order of the lists in t.
func (t Ticket) Encode() []byte {
	b, err := json.Marshal(t.sorted())
	if err != nil {
		panic(fmt.Sprintf("ticket: %v", err)) // every field of a Ticket can be encoded
	}
	return b
}

// Digest returns the hex SHA-256 digest of the encoded ticket.
func (t Ticket) Digest() string { return digest(t.Encode()) }

// digest returns the hex SHA-256 digest of b.
func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// Path returns the path of the platform's object that holds the ticket with number n.
func Path(n uint64) string { return fmt.Sprintf("ticket/%d", n) }
