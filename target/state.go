package target

import "strconv"

// State is what a balancer believes about a target.
type State int

// The states of a target.
const (
	// StateServing marks a target that gets its share.
	StateServing State = iota
	// StateStarting marks a target whose share grows: it is new or has returned.
	StateStarting
	// StateShedding marks a target that refused work and gets less for the time
	// that it named.
	StateShedding
	// StateEjected marks a target that gets nothing new after failures.
	StateEjected
	// StateDraining marks a target that gets nothing new and keeps its flows.
	StateDraining
	// StateRemoved marks a target that is no longer in the configuration.
	StateRemoved
)

var stateNames = [...]string{"serving", "starting", "shedding", "ejected", "draining", "gone"}

func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "state-" + strconv.Itoa(int(s))
	}
	return stateNames[s]
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Reason says why a target is in its state.
type Reason string

// The reasons of a state.
const (
	ReasonNone       Reason = ""
	ReasonNew        Reason = "new"
	ReasonReturned   Reason = "returned"
	ReasonSlow       Reason = "slow"
	ReasonRefused    Reason = "refused work"
	ReasonFailures   Reason = "failures"
	ReasonAgreed     Reason = "agreed by its domain"
	ReasonConfigured Reason = "configured"
	ReasonAnnounced  Reason = "announced by the target"
	ReasonCap        Reason = "ejection cap"
	ReasonRemoved    Reason = "removed"
)

// Level is the part of its share that a target gets, in eighths.
type Level int

// Levels of a target.
const (
	LevelNone Level = 0
	MinLevel  Level = 1
	LevelHalf Level = 4
	LevelFull Level = 8
)
