package target

import "strconv"

// State is the health state that a balancer assigns to a target.
type State int

// The states of a target.
const (
	// StateServing is the state of a target that gets its full share, or LevelHalf with
	// ReasonSlow.
	StateServing State = iota
	// StateStarting is the state of a target whose share grows to LevelFull, for example
	// because it is new or was readmitted.
	StateStarting
	// StateShedding is the state of a target that refused work and gets a lower share,
	// or nothing new, for the time that it named.
	StateShedding
	// StateEjected is the state of a target that gets nothing new, because of failures
	// here or by the agreed health of its failure domain.
	StateEjected
	// StateDraining is the state of a target that gets nothing new and keeps its flows.
	StateDraining
	// StateRemoved is the state of a target that the configuration no longer has. Its
	// name in dumps and log lines is gone.
	StateRemoved
)

var stateNames = [...]string{"serving", "starting", "shedding", "ejected", "draining", "gone"}

// String returns the name of the state as it appears in dumps and log lines.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "state-" + strconv.Itoa(int(s))
	}
	return stateNames[s]
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Reason is the cause of a target's state.
type Reason string

// The reasons of a state.
const (
	// ReasonNone is the reason of a target that serves its full share.
	ReasonNone Reason = ""
	// ReasonNew means that the target or its address is new to the configuration, or
	// that the configuration no longer drains it.
	ReasonNew Reason = "new"
	// ReasonReturned means that an ejection or an announced drain is over, or that the
	// target is no longer slow.
	ReasonReturned Reason = "returned"
	// ReasonSlow means that the latency of the target is far above the median.
	ReasonSlow Reason = "slow"
	// ReasonRefused means that the target refused work. It stays the reason while the
	// share grows again.
	ReasonRefused Reason = "refused work"
	// ReasonFailures means that attempts of this balancer failed.
	ReasonFailures Reason = "failures"
	// ReasonAgreed means that the state follows the agreed health of the target's
	// failure domain.
	ReasonAgreed Reason = "agreed by its domain"
	// ReasonConfigured means that the configuration drains the target.
	ReasonConfigured Reason = "configured"
	// ReasonAnnounced means that the target announced that it drains.
	ReasonAnnounced Reason = "announced by the target"
	// ReasonCap means that the target was readmitted because more targets were
	// excluded than the ejection cap allows.
	ReasonCap Reason = "ejection cap"
	// ReasonRemoved means that the configuration no longer has the target.
	ReasonRemoved Reason = "removed"
)

// Level is the fraction of its full share that a target gets, in eighths.
type Level int

// Levels of a target.
const (
	// LevelNone is the level of a target that gets nothing new.
	LevelNone Level = 0
	// MinLevel is the lowest level of a target that gets new flows and requests.
	MinLevel Level = 1
	// LevelHalf is the level of a slow target.
	LevelHalf Level = 4
	// LevelFull is the level of a target that gets its full share.
	LevelFull Level = 8
)
