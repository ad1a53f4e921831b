// Package fleet defines the numbered state that all balancers of a region share:
// the active tickets, the balancers with their states, the balancers that hold
// claims, the health of the targets, the addresses that change their service, and the
// shares of the targets.
//
// # Usage
//
// The state is stored in one object of the platform, which is changed by
// conditional updates. The lease holder of a failure domain computes the next
// state from a proposal:
//
//	f, err := fleet.Decode(object.Value)
//	next, changed := f.Next(fleet.Proposal{Domain: "west-a", Head: head, Reports: reports})
//	value := next.Encode()
//
// A balancer never goes back to a lower Number. A Fleet is immutable.
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

// Path is the path of the fleet object on the platform.
const Path = "fleet"

// State is the state of a balancer in the fleet.
type State string

// The states of a balancer.
const (
	// StateJoining is the state of a balancer that copies the state of the others
	// and makes no decisions yet.
	StateJoining State = "joining"
	// StateActive is the state of a balancer that takes part in all decisions.
	StateActive State = "active"
	// StateLeaving is the state of a balancer that shuts down and hands its state
	// over to the others.
	StateLeaving State = "leaving"
)

// Member is one process instance of a balancer. A restarted balancer has the same
// name and a higher Life.
type Member struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// Domain is the failure domain in which the balancer runs.
	Domain string `json:"domain"`
	// Life identifies the process instance. It increases with each start.
	Life uint64 `json:"life"`
	// ControlAddress is the TCP address for control messages of other balancers.
	ControlAddress netip.AddrPort `json:"control"`
	// HopAddress is the UDP address for datagrams that other balancers forward.
	HopAddress netip.AddrPort `json:"hop"`
	// State is the state of the balancer in the fleet.
	State State `json:"state"`
}

// WithState returns a copy of m in state s.
func (m Member) WithState(s State) Member {
	m.State = s
	return m
}

// ClaimHolder is one process instance of a balancer that holds claims. A claim records
// which balancer may run a request that must not run twice.
type ClaimHolder struct {
	// Name is the name of the balancer.
	Name string `json:"name"`
	// Domain is the failure domain of the balancer.
	Domain string `json:"domain"`
	// Life identifies the process instance.
	Life uint64 `json:"life"`
}

// ClaimHolders is the numbered set of balancers that hold claims.
type ClaimHolders struct {
	// Number increases by one with each change of the set.
	Number uint64 `json:"number"`
	// Members are the balancers of the set.
	Members []ClaimHolder `json:"members"`
	// Previous are the members of the previous set, which hand their claims over.
	Previous []ClaimHolder `json:"previous"`
	// Since is the Fleet.Number of the first state with this set.
	Since uint64 `json:"since"`
}

// Fleet is the shared state at one number.
type Fleet struct {
	// Number increases by one with each change.
	Number uint64 `json:"number"`
	// Head names the active tickets.
	Head ticket.Head `json:"head"`
	// Members are sorted by name.
	Members []Member `json:"members"`
	// ClaimHolders is the current set of claim holders.
	ClaimHolders ClaimHolders `json:"holders"`
	// Health is the agreed health of the targets in the view of each failure domain,
	// sorted by domain.
	Health []target.Health `json:"health,omitempty"`
	// MovedAddresses are the addresses whose datagrams a balancer with an older ticket
	// may still send to the service that owned them before, sorted by address.
	MovedAddresses []MovedAddress `json:"moved,omitempty"`
	// Shares are the shares of those services whose new flows are distributed by more
	// than the weights of the targets, sorted by service.
	Shares []Shares `json:"shares,omitempty"`
}

// DecodeError reports that the value of the fleet object is invalid.
type DecodeError struct {
	// Reason describes the error.
	Reason string
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("fleet object: %s", e.Reason)
}

// Decode decodes the value of the fleet object. An empty value decodes to the
// zero Fleet, the state before the first proposal. The error is a *DecodeError.
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
	isSorted := slices.IsSortedFunc(f.Members, compareNames)
	if !isSorted {
		return Fleet{}, &DecodeError{Reason: "members are not in order"}
	}
	for i := 1; i < len(f.Members); i++ {
		if f.Members[i].Name == f.Members[i-1].Name {
			return Fleet{}, &DecodeError{Reason: fmt.Sprintf("member %q stands twice", f.Members[i].Name)}
		}
	}
	return f, nil
}

// Encode returns f as the JSON value of the fleet object.
func (f Fleet) Encode() []byte {
	b, err := json.Marshal(f)
	if err != nil {
		panic(fmt.Sprintf("fleet: %v", err)) // every field of a Fleet can be encoded
	}
	return b
}

// Member returns the member with the given name, and whether there is one.
func (f Fleet) Member(name string) (Member, bool) {
	i, ok := f.memberIndex(name)
	if !ok {
		return Member{}, false
	}
	return f.Members[i], true
}

// WithMember returns a copy of f in which m replaces the member of the same name,
// or is added if there is none.
func (f Fleet) WithMember(m Member) Fleet {
	f.Members = slices.Clone(f.Members)
	i, ok := f.memberIndex(m.Name)
	if ok {
		f.Members[i] = m
	} else {
		f.Members = slices.Insert(f.Members, i, m)
	}
	return f
}

// WithoutMember returns a copy of f without the member of the given name.
func (f Fleet) WithoutMember(name string) Fleet {
	f.Members = slices.DeleteFunc(slices.Clone(f.Members), func(m Member) bool { return m.Name == name })
	return f
}

// WithHead returns a copy of f with the head h.
func (f Fleet) WithHead(h ticket.Head) Fleet {
	f.Head = h
	return f
}

// WithClaimHolders returns a copy of f with the claim holders h.
func (f Fleet) WithClaimHolders(h ClaimHolders) Fleet {
	f.ClaimHolders = h
	return f
}

// HealthOf returns the agreed health of the targets in the view of a failure
// domain. It has no records if the domain has none.
func (f Fleet) HealthOf(domain string) target.Health {
	i, ok := f.healthIndex(domain)
	if !ok {
		return target.Health{Domain: domain}
	}
	return f.Health[i]
}

// WithHealth returns a copy of f in which h replaces the health of its domain, or
// is added if there is none.
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

// healthIndex returns the index of a domain in f.Health, or the index at which it
// would be inserted, and whether it is present.
func (f Fleet) healthIndex(domain string) (int, bool) {
	return slices.BinarySearchFunc(f.Health, domain, func(h target.Health, d string) int {
		return strings.Compare(h.Domain, d)
	})
}

// WithNumber returns a copy of f with the number n.
func (f Fleet) WithNumber(n uint64) Fleet {
	f.Number = n
	return f
}

// memberIndex returns the index of the named member in f.Members, or the index at
// which it would be inserted, and whether it is present.
func (f Fleet) memberIndex(name string) (int, bool) {
	return slices.BinarySearchFunc(f.Members, name, func(m Member, n string) int {
		return strings.Compare(m.Name, n)
	})
}

func compareNames(a, b Member) int {
	return strings.Compare(a.Name, b.Name)
}
