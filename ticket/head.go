package ticket

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// HeadPath is the path of the head object on the platform.
const HeadPath = "head"

// Head is the content of the head object. A ticket is accepted by a conditional
// update of that object.
type Head struct {
	// Number is the number of the newest accepted ticket, 0 for none.
	Number uint64 `json:"number"`
	// TicketDigest is the digest of the newest accepted ticket.
	TicketDigest string `json:"ticket"`
	// Digest is the hex SHA-256 digest over the Digest of the previous head, followed by
	// TicketDigest. It therefore covers all accepted tickets.
	Digest string `json:"digest"`
	// Domains are the names of the declared failure domains.
	Domains []string `json:"domains"`
	// Services holds the newest ticket of each service, by the name of the service.
	Services map[string]Entry `json:"services"`
}

// Entry names the newest ticket of a service by its number and its digest.
type Entry struct {
	// Number is the number of the ticket.
	Number uint64 `json:"number"`
	// Digest is the hex SHA-256 digest of the ticket.
	Digest string `json:"digest"`
}

// HeadError reports that the content of the head object is invalid.
type HeadError struct {
	// Reason describes the error.
	Reason string
}

func (e *HeadError) Error() string { return "ticket: invalid head object: " + e.Reason }

// ParseHead decodes the value of the head object. An empty value decodes to the
// head before the first ticket. The error is a *HeadError.
func ParseHead(value []byte) (Head, error) {
	var h Head
	if len(value) == 0 {
		return h, nil
	}
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, &HeadError{Reason: err.Error()}
	}
	if h.Number == 0 || h.Digest == "" || h.TicketDigest == "" {
		return Head{}, &HeadError{Reason: "it has no number or digest"}
	}
	for name, e := range h.Services {
		if e.Number == 0 || e.Number > h.Number || e.Digest == "" {
			return Head{}, &HeadError{Reason: fmt.Sprintf("service %q has ticket %d", name, e.Number)}
		}
	}
	return h, nil
}

// Encode returns h as the JSON value of the head object.
func (h Head) Encode() []byte {
	b, err := json.Marshal(h)
	if err != nil {
		panic(fmt.Sprintf("ticket: %v", err)) // every field of a Head can be encoded
	}
	return b
}

// ServiceNames returns the sorted names of the services in the head.
func (h Head) ServiceNames() []string { return slices.Sorted(maps.Keys(h.Services)) }

// digest returns the digest of ticket n, or an empty string if the head does not
// name that ticket.
func (h Head) digest(n uint64) string {
	if n == h.Number {
		return h.TicketDigest
	}
	for _, e := range h.Services {
		if e.Number == n {
			return e.Digest
		}
	}
	return ""
}

// WithTicket returns the head that results from accepting t.
func (h Head) WithTicket(t Ticket) Head {
	d := t.Digest()
	services := maps.Clone(h.Services)
	if services == nil {
		services = make(map[string]Entry)
	}
	for _, s := range t.Services {
		services[s.Name] = Entry{Number: t.Number, Digest: d}
	}
	for _, name := range t.Remove {
		delete(services, name)
	}
	if len(t.Domains) > 0 {
		h.Domains = slices.Clone(t.Domains)
	}
	h.Services = services
	h.Number = t.Number
	h.TicketDigest = d
	h.Digest = digest([]byte(h.Digest + d))
	return h
}
