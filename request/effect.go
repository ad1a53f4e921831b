package request

import (
	"time"

	"wisteriaweir/service"
)

// Effect is an action that the process has to execute.
type Effect interface{ isEffect() }

// Forward sends a request to a target.
type Forward struct {
	// Token identifies the attempt. Repeated Forwards of one attempt have the same
	// token.
	Token  uint64
	Target service.Target
	// Request is the request to send; its Remaining is the target's time limit.
	Request Request
}

// Abort cancels an attempt at its target.
type Abort struct {
	// Token is that of the Forward.
	Token  uint64
	Target service.Target
}

// Send sends a message to another balancer.
type Send struct {
	To      Peer
	Message Message
}

// Outcome is the outcome of a request as reported to its caller.
type Outcome uint8

const (
	// OutcomeResponse means that the reply is the target's response.
	OutcomeResponse Outcome = iota
	// OutcomeNotRun means that the request has not run and will not run, whichever
	// balancers received copies of it. Only the claim owner reports it.
	OutcomeNotRun
	// OutcomeBusy means that this balancer refuses a repeatable request for now.
	// Another copy of it may have run.
	OutcomeBusy
	// OutcomeUnknown means that the request may have run or not.
	OutcomeUnknown
)

// Reply is the final reply to a caller.
type Reply struct {
	Key     Key
	Service string
	Outcome Outcome
	// Cause is set with OutcomeUnknown.
	Cause Cause
	// RetryAfter is the time after which the caller should retry. It is for
	// OutcomeNotRun and OutcomeBusy.
	RetryAfter time.Duration
	// Code is the CoAP code of the target's response, set with OutcomeResponse.
	Code uint8
	// Payload is that of the target's response, set with OutcomeResponse.
	Payload []byte
}

// Wake asks for a Tick at the time At. It replaces the previous Wake.
type Wake struct{ At time.Duration }

// Stopped reports that all requests have ended after Stop.
type Stopped struct{}

func (Forward) isEffect() {}
func (Abort) isEffect()   {}
func (Send) isEffect()    {}
func (Reply) isEffect()   {}
func (Wake) isEffect()    {}
func (Stopped) isEffect() {}
