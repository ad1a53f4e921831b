package request

import "time"

// Message is a message between balancers about requests.
type Message interface{ isMessage() }

// Hop forwards a request from the balancer that received it to the coordinator
// of the service in its failure domain.
type Hop struct {
	Request Request
	// Stamp is the newest freshness stamp that the sender has received from the
	// receiver, 0 if none. It limits the age of the message, because a pause of
	// the sender may have delayed it.
	Stamp uint64
}

// Taken acknowledges a Hop, Push, Repeat or Yield: the sender is working on the
// request or has its outcome.
type Taken struct {
	Key Key
	// Stamp is a new freshness stamp of the sender, 0 for a Repeat or Yield.
	Stamp uint64
}

// StaleStamp rejects a Hop or Push whose freshness stamp is too old.
type StaleStamp struct {
	Key Key
	// Stamp is a new freshness stamp of the sender.
	Stamp uint64
}

// Done reports that the caller of the request has been sent its final reply.
type Done struct{ Key Key }

// UnknownRequest reports that the sender cannot answer the request: it does not
// know the request or does not own its claim.
type UnknownRequest struct{ Key Key }

// Cancel forwards a caller's cancellation to the balancer that works on the
// request.
type Cancel struct {
	Key     Key
	Service string
}

// Push sends a queued request to the coordinator of another failure domain, or
// from a stopping balancer to the next coordinator of its own domain. The
// receiver runs the request at most once per token.
type Push struct {
	// Token identifies the push: every copy of it has the same token.
	Token uint64
	// Number counts the pushes of the sender to the receiver. It is 0 for a push
	// to the next coordinator of the same domain.
	Number  uint32
	Request Request
	// Stamp limits the age of the message, as in Hop.
	Stamp uint64
}

// PushReply reports the end of a Push.
type PushReply struct {
	// Token is that of the Push.
	Token uint64
	// Refused reports that the request has not run by this push and will not run
	// by it. Otherwise the receiver of the push has ended the request.
	Refused bool
	// RetryAfter is an estimate of the time after which the receiver of the push
	// would accept a request again, 0 if there is none.
	RetryAfter time.Duration
}

// LoadReport reports the load of the sender's targets of a service to the
// coordinator of another failure domain.
type LoadReport struct {
	Service string
	// Free is the number of free slots that no queued request needs.
	Free uint32
	// Slots is the number of usable slots, free or not.
	Slots uint32
	// Queued is the number of queued requests that no slot is free for.
	Queued uint32
	// NewestPushNumber is the number of the newest Push that the figures include, of those
	// that the receiver of the report has sent to the sender.
	NewestPushNumber uint32
	// Stamp is a new freshness stamp of the sender.
	Stamp uint64
}

// Repeat forwards a copy of a request to the owner of its claim.
type Repeat struct{ Request Request }

// Yield is a Repeat from a claimant that gives up the votes granted to it in
// favor of the receiver. The sender never runs the request by these votes and
// yields them to no other claimant.
type Yield struct {
	Request Request
	// Set is the number of the holder set of the votes.
	Set uint64
	// Holders are the claim holders that granted the claim to the sender.
	Holders []Peer
}

// ClaimRequest asks a claim holder to grant a claim to the sender.
type ClaimRequest struct {
	// Set is the number of the holder set.
	Set     uint64
	Digest  Digest
	Service string
	// Nonce distinguishes the claims of one owner.
	Nonce uint64
}

// VoteDecision is a claim holder's response to a ClaimRequest.
type VoteDecision uint8

const (
	// VoteGranted means that the sender of the ClaimRequest owns the claim.
	VoteGranted VoteDecision = iota
	// VoteDenied means that another claimant owns the claim, or that none can get
	// it any more.
	VoteDenied
	// VoteUnready means that the holder cannot decide yet.
	VoteUnready
)

// Vote is a claim holder's response to the ClaimRequest with the same set and
// nonce.
type Vote struct {
	Set      uint64
	Nonce    uint64
	Decision VoteDecision
	// Owner is the owner of the claim, set with VoteDenied. It is the zero Peer if
	// no claimant can get the claim.
	Owner Peer
}

// ClaimHolderHeartbeat reports to another claim holder that the sender is running and
// has applied the holder set with the number Set.
type ClaimHolderHeartbeat struct{ Set uint64 }

// HandoverRequest asks a member of the previous holder set for its claims.
type HandoverRequest struct {
	// Set is the number of the sender's holder set.
	Set uint64
	// FirstDigest is the smallest digest that the sender asks for.
	FirstDigest Digest
	// RetainsClaims reports that the sender uses its own claims of the previous
	// set for those digests that it was a holder of.
	RetainsClaims bool
}

// Claim is one claim in a HandoverReply.
type Claim struct {
	Digest  Digest
	Service string
	// Owner is the zero Peer if no claimant can get the claim.
	Owner Peer
	Nonce uint64
	// Remaining is the time for which the claim still has to be stored.
	Remaining time.Duration
}

// HandoverReply hands claims over to a member of a newer holder set.
type HandoverReply struct {
	// Set is that of the HandoverRequest.
	Set uint64
	// Ready is false if the sender does not have all claims of the previous set.
	Ready bool
	// FirstDigest is that of the HandoverRequest.
	FirstDigest Digest
	// IsLast reports that there are no claims after these.
	IsLast bool
	// Claims are sorted by digest.
	Claims []Claim
}

func (Hop) isMessage()                  {}
func (Taken) isMessage()                {}
func (StaleStamp) isMessage()           {}
func (Done) isMessage()                 {}
func (UnknownRequest) isMessage()       {}
func (Cancel) isMessage()               {}
func (Push) isMessage()                 {}
func (PushReply) isMessage()            {}
func (LoadReport) isMessage()           {}
func (Repeat) isMessage()               {}
func (Yield) isMessage()                {}
func (ClaimRequest) isMessage()         {}
func (Vote) isMessage()                 {}
func (ClaimHolderHeartbeat) isMessage() {}
func (HandoverRequest) isMessage()      {}
func (HandoverReply) isMessage()        {}
