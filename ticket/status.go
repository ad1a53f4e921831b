package ticket

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"wisteriaweir/platform"
)

// MaxLaggards is the largest number of laggards in a status.
const MaxLaggards = 16

// Status reports which configurations are active in one failure domain.
type Status struct {
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Number is the lowest number that is active on a live member, 0 if unknown.
	Number uint64 `json:"number"`
	// Members is the number of live members.
	Members int `json:"members"`
	// Behind is the number of live members whose active number is below the newest
	// number that the writer knows.
	Behind int `json:"behind"`
	// Laggards are some of the members that are behind, at most MaxLaggards.
	Laggards []Laggard `json:"laggards,omitempty"`
	// Holder is the lease holder that wrote the status.
	Holder string `json:"holder"`
	// Fence is the fencing number of its lease.
	Fence uint64 `json:"fence"`
}

// Laggard is a member whose active number is below that of others.
type Laggard struct {
	// Name is the name of the member.
	Name string `json:"name"`
	// Number is the active number of the member, 0 for none.
	Number uint64 `json:"number"`
}

// StatusError reports that the content of a status object is invalid.
type StatusError struct {
	// Domain is the failure domain whose status was read.
	Domain string
	// Reason describes the error.
	Reason string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("ticket: invalid status of %s: %s", e.Domain, e.Reason)
}

// StatusPath returns the path of the status object of a failure domain.
func StatusPath(domain string) string { return "status/" + domain }

// ParseStatus decodes the value of the status object of a failure domain. The error
// is a *StatusError.
func ParseStatus(domain string, value []byte) (Status, error) {
	var s Status
	if err := json.Unmarshal(value, &s); err != nil {
		return Status{}, &StatusError{Domain: domain, Reason: err.Error()}
	}
	if s.Domain != domain {
		return Status{}, &StatusError{Domain: domain, Reason: fmt.Sprintf("it is the status of %q", s.Domain)}
	}
	if s.Members <= 0 || s.Behind < 0 || s.Behind > s.Members || len(s.Laggards) > MaxLaggards {
		return Status{}, &StatusError{Domain: domain, Reason: fmt.Sprintf("%d of %d members behind", s.Behind, s.Members)}
	}
	return s, nil
}

// Encode returns s as the JSON value of the status object.
func (s Status) Encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(fmt.Sprintf("ticket: %v", err)) // every field of a Status can be encoded
	}
	return b
}

// LoadStatus reads the status of a failure domain. If there is no status yet, it
// returns one with number 0 and no members.
func LoadStatus(ctx context.Context, c Client, domain string) (Status, error) {
	o, err := c.Get(ctx, StatusPath(domain))
	if errors.As(err, new(*platform.NotFoundError)) {
		return Status{Domain: domain}, nil
	}
	if err != nil {
		return Status{}, err
	}
	return ParseStatus(domain, o.Value)
}
