package request

import (
	"time"

	"wisteriaweir/service"
)

// Event is an input of Core.Handle.
type Event interface{ isEvent() }

// Received is a caller's request datagram.
type Received struct{ Request Request }

// Cancelled is a caller's cancellation: the caller no longer waits for a reply.
type Cancelled struct {
	Key     Key
	Service string
}

// Result is what a target did with an attempt.
type Result uint8

const (
	// ResultRan means that the target ran the request and sent its response.
	ResultRan Result = iota
	// ResultRefused means that the target did not run the request and will not
	// run it later.
	ResultRefused
)

// Answered is a target's response to an attempt.
type Answered struct {
	// Token is that of the Forward.
	Token  uint64
	Target string
	Result Result
	// RetryAfter is set with ResultRefused: the target asks for no new attempts
	// for this time.
	RetryAfter time.Duration
	// Code is the CoAP code of the response.
	Code    uint8
	Payload []byte
}

// TargetLost reports that the health checks found a target dead.
type TargetLost struct {
	Service string
	Target  string
}

// MessageReceived is a message from another balancer.
type MessageReceived struct {
	From    Peer
	Message Message
}

// ViewChanged contains the balancers of all failure domains that this balancer
// considers reachable.
type ViewChanged struct {
	// Members are the balancers that accept new requests.
	Members []Member
	// Leaving are the balancers that are stopping: they only finish the requests
	// that they have.
	Leaving []Member
}

// ClaimHoldersChanged contains a set of claim holders that was read from the platform.
type ClaimHoldersChanged struct{ Set ClaimHolderSet }

// ConfigChanged contains the newest accepted configuration.
type ConfigChanged struct {
	Config service.Config
	// SlotIdleTimes are the times for which a slot of a target stays idle after
	// an attempt. With them the share of a target can be a fraction of a slot.
	SlotIdleTimes map[TargetKey]time.Duration
}

// TargetKey identifies one target of a service.
type TargetKey struct {
	Service string
	Target  string
}

// Tick reports that the time of the last Wake has been reached.
type Tick struct{}

// Stop asks the Core to stop coordinating services, to finish the requests that
// it has and then to return Stopped.
type Stop struct{}

func (Received) isEvent()            {}
func (Cancelled) isEvent()           {}
func (Answered) isEvent()            {}
func (TargetLost) isEvent()          {}
func (MessageReceived) isEvent()     {}
func (ViewChanged) isEvent()         {}
func (ClaimHoldersChanged) isEvent() {}
func (ConfigChanged) isEvent()       {}
func (Tick) isEvent()                {}
func (Stop) isEvent()                {}
