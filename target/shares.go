package target

import (
	"slices"
	"strings"
	"time"

	"wisteriaweir/service"
)

// Share is what one target may get.
type Share struct {
	Target service.Target `json:"target"`
	// Local is whether the target runs in the balancer's own failure domain.
	Local  bool   `json:"local"`
	State  State  `json:"state"`
	Reason Reason `json:"reason,omitempty"`
	// Level is the part of its full share, in eighths; LevelNone gets nothing new.
	Level Level `json:"level"`
	// SlotIdleTime is the time that a slot stays idle after an answer, so that a target
	// below its full level gets the part that its level names.
	SlotIdleTime time.Duration `json:"gap_ns"`
}

// Eligible reports whether the target may get new flows and requests.
func (s Share) Eligible() bool {
	return s.Level > LevelNone
}

// Weight returns the weight for new flows, in eighths of the configured one.
func (s Share) Weight() int {
	return s.Target.Weight * int(s.Level)
}

// Slots returns the number of requests that the target may run at one time.
func (s Share) Slots() int {
	return (s.Target.Slots*int(s.Level) + int(LevelFull) - 1) / int(LevelFull)
}

// withGap returns s with the gap that its level needs at the given latency.
func (s Share) withGap(latency time.Duration) Share {
	part := s.Target.Slots * int(s.Level)
	if part == 0 {
		return s
	}
	idle := s.Slots()*int(LevelFull) - part
	s.SlotIdleTime = (latency * time.Duration(idle) / time.Duration(part)).Round(time.Millisecond)
	return s
}

// same reports whether s and o differ in the gap at most.
func (s Share) same(o Share) bool {
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

// NewShares returns the shares of a service at a configuration number.
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

// Eligible returns the shares that may get new flows and requests.
func (s Shares) Eligible() []Share {
	return slices.DeleteFunc(slices.Clone(s.list), func(e Share) bool { return !e.Eligible() })
}

// Capacity returns the usable slots of the own failure domain, or of the
// others, in eighths of a slot.
func (s Shares) Capacity(local bool) int {
	n := 0
	for _, e := range s.list {
		if e.Local == local {
			n += e.Target.Slots * int(e.Level)
		}
	}
	return n
}

// Same reports whether o gives every target the same state and level. Gaps
// follow the latency and are not compared.
func (s Shares) Same(o Shares) bool {
	return s.Service == o.Service && s.Number == o.Number && slices.EqualFunc(s.list, o.list, Share.same)
}
