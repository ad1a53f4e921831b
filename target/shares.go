package target

import (
	"slices"
	"strings"
	"time"

	"wisteriaweir/service"
)

// Share is the share of the load that one target may get, and the state on which it is
// based.
type Share struct {
	Target service.Target `json:"target"`
	// Local is whether the target runs in the balancer's own failure domain.
	Local  bool   `json:"local"`
	State  State  `json:"state"`
	Reason Reason `json:"reason,omitempty"`
	// Level is the fraction of the full share, in eighths; with LevelNone the target
	// gets nothing new.
	Level Level `json:"level"`
	// SlotIdleTime is the time for which a slot stays idle after a response, in
	// nanoseconds. Slots rounds up; with the idle time, the load of a target below
	// LevelFull is the fraction that its level names all the same.
	SlotIdleTime time.Duration `json:"gap_ns"`
}

// IsEligible reports whether the target may get new flows and requests.
func (s Share) IsEligible() bool {
	return s.Level > LevelNone
}

// Weight returns the weight for new flows, in eighths of the configured weight.
func (s Share) Weight() int {
	return s.Target.Weight * int(s.Level)
}

// Slots returns the number of requests that the target may execute at one time.
func (s Share) Slots() int {
	return (s.Target.Slots*int(s.Level) + int(LevelFull) - 1) / int(LevelFull)
}

// withSlotIdleTime returns s with the slot idle time that its level needs at the given
// latency.
func (s Share) withSlotIdleTime(latency time.Duration) Share {
	capacity := s.Target.Slots * int(s.Level)
	if capacity == 0 {
		return s
	}
	idle := s.Slots()*int(LevelFull) - capacity
	s.SlotIdleTime = (latency * time.Duration(idle) / time.Duration(capacity)).Round(time.Millisecond)
	return s
}

// equalExceptIdleTime reports whether s and o are equal apart from the slot idle time.
func (s Share) equalExceptIdleTime(o Share) bool {
	s.SlotIdleTime, o.SlotIdleTime = 0, 0
	return s == o
}

// Shares is an immutable list of the targets of one service, sorted by name.
// It may be shared between goroutines.
type Shares struct {
	// Service is the name of the service.
	Service string
	// Number is the number of the configuration.
	Number uint64

	list []Share
}

// NewShares returns the shares of the service called name at a configuration number. It
// copies and sorts the list.
func NewShares(name string, number uint64, list []Share) Shares {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b Share) int { return strings.Compare(a.Target.Name, b.Target.Name) })
	return Shares{Service: name, Number: number, list: list}
}

// Len returns the number of targets.
func (s Shares) Len() int { return len(s.list) }

// At returns the share with index i, from 0 to Len()-1.
func (s Shares) At(i int) Share { return s.list[i] }

// Find returns the share of the target called name.
func (s Shares) Find(name string) (Share, bool) {
	i, ok := slices.BinarySearchFunc(s.list, name, func(e Share, n string) int {
		return strings.Compare(e.Target.Name, n)
	})
	if !ok {
		return Share{}, false
	}
	return s.list[i], true
}

// Eligible returns the shares of targets that may get new flows and requests.
func (s Shares) Eligible() []Share {
	return slices.DeleteFunc(slices.Clone(s.list), func(e Share) bool { return !e.IsEligible() })
}

// Capacity returns the usable slots of the targets in the balancer's own failure domain
// if local is set, else of those in all other domains. The unit is an eighth of a slot.
func (s Shares) Capacity(local bool) int {
	n := 0
	for _, e := range s.list {
		if e.Local == local {
			n += e.Target.Slots * int(e.Level)
		}
	}
	return n
}

// EqualExceptIdleTime reports whether s and o have the same service, configuration
// number and shares. Slot idle times follow the latency and are not compared.
func (s Shares) EqualExceptIdleTime(o Shares) bool {
	return s.Service == o.Service && s.Number == o.Number && slices.EqualFunc(s.list, o.list, Share.equalExceptIdleTime)
}
