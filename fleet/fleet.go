// Package fleet holds the numbered state that all balancers of a region share:
// which configuration is in force, which balancers there are and in which
// part, and which of them hold claims.
//
// # Usage
//
// The state is one object of the platform, changed by conditional updates. The
// lease holder of a failure domain proposes the next one:
//
//	f, err := fleet.Decode(object.Value)
//	next, changed := f.Next(fleet.Proposal{Domain: "west-a", Head: head, Reports: reports, Now: now})
//	value := next.Encode()
//
// A balancer only moves forward in Number. A Fleet is immutable.
package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"wisteriaweir/target"
	"wisteriaweir/ticket"
)

// Path is the path of the fleet object.
const Path = "fleet"

// State is the part that a balancer plays.
type State string

// The states of a balancer.
const (
	// StateJoining marks a balancer that takes over what the others know and
	// decides nothing yet.
	StateJoining State = "joining"
	// StateActive marks a balancer with full part.
	StateActive State = "active"
	// StateLeaving marks a balancer that hands over what it knows.
	StateLeaving State = "leaving"
)

// Member is one life of a balancer.
type Member struct {
	Name    string         `json:"name"`
	Domain  string         `json:"domain"`
	Life    uint64         `json:"life"`
	Control netip.AddrPort `json:"control"`
	Hop     netip.AddrPort `json:"hop"`
	State   State          `json:"state"`
}

// WithState returns a copy of m in state s.
func (m Member) WithState(s State) Member {
	m.State = s
	return m
}

// ClaimHolder is one life of a balancer that holds claims.
type ClaimHolder struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Life   uint64 `json:"life"`
}

// ClaimHolders is the numbered set of balancers that hold claims.
type ClaimHolders struct {
	Number  uint64        `json:"number"`
	Members []ClaimHolder `json:"members"`
	// Previous are the members of the set with the number before.
	Previous []ClaimHolder `json:"previous"`
	// Since is the Fleet.Number with which the set came.
	Since uint64 `json:"since"`
}

// Fleet is the shared state at one number.
type Fleet struct {
	// Number grows by one with each change.
	Number uint64 `json:"number"`
	// Head names the tickets that are in force.
	Head ticket.Head `json:"head"`
	// Members are sorted by name.
	Members      []Member     `json:"members"`
	ClaimHolders ClaimHolders `json:"holders"`
	// Health is what each failure domain has agreed on about its targets, sorted
	// by domain.
	Health []target.Health `json:"health,omitempty"`
	// MovedAddresses are addresses that some balancer may still give to their old owner.
	MovedAddresses []MovedAddress `json:"moved,omitempty"`
	// Shares are those of services whose targets take another part of the new
	// flows than their weights say, sorted by service.
	Shares []Shares `json:"shares,omitempty"`
}

// DecodeError reports a value that is no fleet.
type DecodeError struct {
	Reason string
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("fleet object: %s", e.Reason)
}

// Decode reads the value of the fleet object. An empty value is the fleet
// before its first member. The error is a *DecodeError.
func Decode(value []byte) (Fleet, error) {
	var f Fleet
	if len(value) == 0 {
		return f, nil
	}
	if err := json.Unmarshal(value, &f); err != nil {
		return Fleet{}, &DecodeError{Reason: err.Error()}
	}
	if f.Number == 0 {
		return Fleet{}, &DecodeError{Reason: "no number"}
	}
	sorted := slices.IsSortedFunc(f.Members, compareNames)
	if !sorted {
		return Fleet{}, &DecodeError{Reason: "members are not in order"}
	}
	for i := 1; i < len(f.Members); i++ {
		if f.Members[i].Name == f.Members[i-1].Name {
			return Fleet{}, &DecodeError{Reason: fmt.Sprintf("member %q stands twice", f.Members[i].Name)}
		}
	}
	return f, nil
}

// Encode returns the value of the fleet object.
func (f Fleet) Encode() []byte {
	b, err := json.Marshal(f)
	if err != nil {
		panic(fmt.Sprintf("fleet: %v", err)) // no field of a Fleet can fail
	}
	return b
}

// Member returns the member called name.
func (f Fleet) Member(name string) (Member, bool) {
	i, ok := f.index(name)
	if !ok {
		return Member{}, false
	}
	return f.Members[i], true
}

// WithMember returns a copy of f in which m replaces the member of its name,
// or is added.
func (f Fleet) WithMember(m Member) Fleet {
	f.Members = slices.Clone(f.Members)
	i, ok := f.index(m.Name)
	if ok {
		f.Members[i] = m
	} else {
		f.Members = slices.Insert(f.Members, i, m)
	}
	return f
}

// WithoutMember returns a copy of f without the member called name.
func (f Fleet) WithoutMember(name string) Fleet {
	f.Members = slices.DeleteFunc(slices.Clone(f.Members), func(m Member) bool { return m.Name == name })
	return f
}

// WithHead returns a copy of f with head h.
func (f Fleet) WithHead(h ticket.Head) Fleet {
	f.Head = h
	return f
}

// WithClaimHolders returns a copy of f with the claims held by h.
func (f Fleet) WithClaimHolders(h ClaimHolders) Fleet {
	f.ClaimHolders = h
	return f
}

// HealthOf returns what a failure domain has agreed on about its targets.
func (f Fleet) HealthOf(domain string) target.Health {
	i, ok := f.healthIndex(domain)
	if !ok {
		return target.Health{Domain: domain}
	}
	return f.Health[i]
}

// WithHealth returns a copy of f in which h replaces the health of its domain.
func (f Fleet) WithHealth(h target.Health) Fleet {
	i, ok := f.healthIndex(h.Domain)
	f.Health = slices.Clone(f.Health)
	if ok {
		f.Health[i] = h
	} else {
		f.Health = slices.Insert(f.Health, i, h)
	}
	return f
}

func (f Fleet) healthIndex(domain string) (int, bool) {
	return slices.BinarySearchFunc(f.Health, domain, func(h target.Health, d string) int {
		return strings.Compare(h.Domain, d)
	})
}

// WithNumber returns a copy of f with number n.
func (f Fleet) WithNumber(n uint64) Fleet {
	f.Number = n
	return f
}

func (f Fleet) index(name string) (int, bool) {
	return slices.BinarySearchFunc(f.Members, name, func(m Member, n string) int {
		return strings.Compare(m.Name, n)
	})
}

func compareNames(a, b Member) int {
	return strings.Compare(a.Name, b.Name)
}
