package request

import (
	"slices"
	"time"
)

// state is the state of a request at a coordinator.
type state uint8

const (
	// stateClaiming means that the claim holders' votes are outstanding.
	stateClaiming state = iota
	// stateOwnedElsewhere means that another balancer owns the claim of the
	// request and sends the reply.
	stateOwnedElsewhere
	// stateQueued means that the request waits in the queue for a slot.
	stateQueued
	// stateRunning means that the request has attempts at targets.
	stateRunning
	// statePushed means that the request was pushed to another coordinator.
	statePushed
	// stateFinished means that the request has its outcome.
	stateFinished
)

// cause returns the Cause to report if a request is in this state at its
// deadline.
func (s state) cause() Cause {
	switch s {
	case stateClaiming:
		return CauseClaim
	case stateOwnedElsewhere:
		return CauseOwner
	case stateRunning:
		return CauseTarget
	case statePushed:
		return CausePush
	case stateQueued, stateFinished:
	}
	return CauseNone
}

// maxNotified is the maximum number of peers that are sent a Done for one
// request.
const maxNotified = 8

// record is a coordinator's state of one request.
type record struct {
	request Request
	// seq orders the records by arrival.
	seq      uint64
	deadline time.Duration
	state    state
	// toNotify are the peers that sent the request in a Hop, Repeat or Yield. They
	// are sent a Done when it ends.
	toNotify []Peer
	// fromCaller reports whether a copy came from the caller or in a Hop, Repeat
	// or Yield, and not only in a Push.
	fromCaller bool
	// origins are the pushes of the request to this balancer.
	origins  []pushOrigin
	attempts []*attempt
	// push is the push to another coordinator, set in statePushed.
	push *push
	// claim is nil if no claim was requested: the request is repeatable, or its
	// first copy came in a push.
	claim *claimAttempt
	// owner is the peer that is expected to send the reply, or that has sent it.
	owner Peer
	// ownerAcked reports whether owner has acknowledged the Repeat or Yield.
	ownerAcked bool
	// mayHaveRun reports whether the request was sent to a target that has not
	// refused it.
	mayHaveRun bool
	// cancelled reports whether the caller has cancelled the request.
	cancelled  bool
	finishedAt time.Duration
	// reply is the final reply, nil if another balancer sends it.
	reply *Reply
}

// pushOrigin identifies a push that contained a request.
type pushOrigin struct {
	from  Peer
	token uint64
}

// attempt is one Forward of a request to a target and its resends.
type attempt struct {
	token  uint64
	record *record
	pool   *pool
	target *target
	sentAt time.Duration
}

// addToNotify adds p to the peers that are sent a Done, unless it is the zero
// Peer or there are maxNotified already.
func (r *record) addToNotify(p Peer) {
	if p == (Peer{}) || slices.Contains(r.toNotify, p) || len(r.toNotify) >= maxNotified {
		return
	}
	r.toNotify = append(r.toNotify, p)
}

// payloadBytes returns the size of the payloads of the request and its reply.
func (r *record) payloadBytes() int {
	n := len(r.request.Payload)
	if r.reply != nil {
		n += len(r.reply.Payload)
	}
	return n
}
