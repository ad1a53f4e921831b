package request

import (
	"time"

	"wisteriaweir/service"
)

// Event is something that happened to a balancer.
type Event interface{ isEvent() }

// Received is a caller's request datagram.
type Received struct{ Request Request }

// Cancelled is a caller's word that it wants no answer any more.
type Cancelled struct {
	Key     Key
	Service string
}

// Result says what a target did with an attempt.
type Result uint8

const (
	// ResultRan is an answer of the request itself.
	ResultRan Result = iota
	// ResultRefused says that the target did not run the request and never will.
	ResultRefused
)

// Answered is a target's answer to an attempt.
type Answered struct {
	Token  uint64
	Target string
	Result Result
	// RetryAfter is how long the target wants to be left alone after a refusal.
	RetryAfter time.Duration
	Code       uint8
	Payload    []byte
}

// TargetLost is the health checks' finding that a target is dead.
type TargetLost struct {
	Service string
	Target  string
}

// MessageReceived is a message of another balancer.
type MessageReceived struct {
	From    Peer
	Message Message
}

// ViewChanged gives the live balancers of all failure domains by own view.
type ViewChanged struct {
	// Members take new requests.
	Members []Member
	// Leaving are alive too, but end only what they have in hand.
	Leaving []Member
}

// HoldersChanged gives a set of claim holders read from the platform.
type HoldersChanged struct{ Set HolderSet }

// ConfigChanged gives the newest accepted configuration.
type ConfigChanged struct {
	Config service.Config
	// SlotIdleTimes are the times for which a slot of a target stays idle after an attempt,
	// so that a target gets a part of a slot.
	SlotIdleTimes map[TargetKey]time.Duration
}

// TargetKey names the slots of one target of a service.
type TargetKey struct {
	Service string
	Target  string
}

// Tick says that the time of the last Wake has come.
type Tick struct{}

// Stop asks the balancer to take nothing new and to end once all is done.
type Stop struct{}

func (Received) isEvent()        {}
func (Cancelled) isEvent()       {}
func (Answered) isEvent()        {}
func (TargetLost) isEvent()      {}
func (MessageReceived) isEvent() {}
func (ViewChanged) isEvent()     {}
func (HoldersChanged) isEvent()  {}
func (ConfigChanged) isEvent()   {}
func (Tick) isEvent()            {}
func (Stop) isEvent()            {}
