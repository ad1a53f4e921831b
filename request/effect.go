package request

import (
	"time"

	"wisteriaweir/service"
)

// Effect is something that the process has to do.
type Effect interface{ isEffect() }

// Forward sends an attempt to a target.
type Forward struct {
	Token  uint64
	Target service.Target
	// Request is what to send, with Remaining as the time that the target has.
	Request Request
}

// Abort cancels an attempt at its target.
type Abort struct {
	Token  uint64
	Target service.Target
}

// Send carries a message to another balancer.
type Send struct {
	To      Peer
	Message Message
}

// Outcome is what a caller is told.
type Outcome uint8

const (
	// OutcomeAnswer carries the target's answer.
	OutcomeAnswer Outcome = iota
	// OutcomeNotRun says that the request was not run and never will be, by
	// whichever balancer a copy of it reached. Only the owner of a claim says it.
	OutcomeNotRun
	// OutcomeBusy refuses a repeatable request here, with the time to come back.
	// Another copy of it may have run.
	OutcomeBusy
	// OutcomeUnknown says that the outcome is not known.
	OutcomeUnknown
)

// Reply is the final answer to a caller.
type Reply struct {
	Key     Key
	Service string
	Outcome Outcome
	// Cause goes with OutcomeUnknown.
	Cause Cause
	// RetryAfter goes with OutcomeNotRun and OutcomeBusy: the time to come back.
	RetryAfter time.Duration
	// Code and Payload go with OutcomeAnswer.
	Code    uint8
	Payload []byte
}

// Wake asks for a Tick at the time At; it replaces the Wake before.
type Wake struct{ At time.Duration }

// Stopped says that nothing is left to do after Stop.
type Stopped struct{}

func (Forward) isEffect() {}
func (Abort) isEffect()   {}
func (Send) isEffect()    {}
func (Reply) isEffect()   {}
func (Wake) isEffect()    {}
func (Stopped) isEffect() {}
