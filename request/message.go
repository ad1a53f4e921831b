package request

import "time"

// Message is what balancers tell each other about requests.
type Message interface{ isMessage() }

// Hop hands a request from the balancer that it entered at to the keeper.
type Hop struct {
	Request Request
	// Stamp is the newest stamp that the sender has of the receiver. It bounds
	// the age of the message, which a paused sender may have held back.
	Stamp uint64
}

// Taken says that the sender answers the request.
type Taken struct {
	Key   Key
	Stamp uint64
}

// StaleStamp refuses a Hop or Push whose stamp is too old, and gives a new one.
type StaleStamp struct {
	Key   Key
	Stamp uint64
}

// Done says that the request has got its final answer.
type Done struct{ Key Key }

// UnknownRequest says that the sender cannot answer the request.
type UnknownRequest struct{ Key Key }

// Cancel passes a caller's cancellation to the keeper.
type Cancel struct {
	Key     Key
	Service string
}

// Push hands a request to a keeper of another failure domain, or to the next
// keeper of the own one. The receiver runs it at most once per token.
type Push struct {
	Token   uint64
	Number  uint32
	Request Request
	// Stamp bounds the age of the message, as in Hop.
	Stamp uint64
}

// PushReply tells what became of a Push.
type PushReply struct {
	Token uint64
	// Refused says that the request was not run and never will be by this push.
	Refused    bool
	RetryAfter time.Duration
}

// LoadReport tells another keeper of a service how busy the sender's targets are.
type LoadReport struct {
	Service string
	Free    uint32
	Slots   uint32
	Queued  uint32
	// Number is the newest Push of the receiver that the figures contain.
	Number uint32
	Stamp  uint64
}

// Repeat passes a copy of a request to the owner of its claim.
type Repeat struct{ Request Request }

// Yield is a Repeat by a claimant that gives up its own grants in favour of the
// receiver, for good.
type Yield struct {
	Request Request
	// Set is the holder set of the grants.
	Set uint64
	// Holders are those that granted the claim to the sender.
	Holders []Peer
}

// ClaimRequest asks a holder for a claim.
type ClaimRequest struct {
	Set     uint64
	Digest  Digest
	Service string
	// Nonce tells apart the claims that one owner asks for.
	Nonce uint64
}

// VoteDecision is a holder's answer to a ClaimRequest.
type VoteDecision uint8

const (
	// VoteGranted says that the claim is the asker's.
	VoteGranted VoteDecision = iota
	// VoteDenied says that the claim is another's, or nobody's for good.
	VoteDenied
	// VoteUnready says that the holder cannot tell now.
	VoteUnready
)

// Vote is a holder's answer to the ClaimRequest with the same set and nonce.
type Vote struct {
	Set      uint64
	Nonce    uint64
	Decision VoteDecision
	// Owner goes with VoteDenied.
	Owner Peer
}

// HolderHeartbeat tells a holder that the sender is alive with the set of this number.
type HolderHeartbeat struct{ Set uint64 }

// ClaimsRequest asks a member of the set before for its claims.
type ClaimsRequest struct {
	Set uint64
	// FirstDigest is the first digest wanted.
	FirstDigest Digest
	// RetainsClaims says that the sender still holds its own claims of the set before.
	RetainsClaims bool
}

// Claim is one claim as handed over.
type Claim struct {
	Digest  Digest
	Service string
	Owner   Peer
	Nonce   uint64
	// Remaining is the time that the claim has to be kept for.
	Remaining time.Duration
}

// ClaimsReply hands claims over to a new holder.
type ClaimsReply struct {
	Set uint64
	// Ready is false while the sender itself waits for claims of its set.
	Ready bool
	// FirstDigest repeats the ClaimsRequest; the claims are sorted by digest.
	FirstDigest Digest
	IsLast      bool
	Claims      []Claim
}

func (Hop) isMessage()             {}
func (Taken) isMessage()           {}
func (StaleStamp) isMessage()      {}
func (Done) isMessage()            {}
func (UnknownRequest) isMessage()  {}
func (Cancel) isMessage()          {}
func (Push) isMessage()            {}
func (PushReply) isMessage()       {}
func (LoadReport) isMessage()      {}
func (Repeat) isMessage()          {}
func (Yield) isMessage()           {}
func (ClaimRequest) isMessage()    {}
func (Vote) isMessage()            {}
func (HolderHeartbeat) isMessage() {}
func (ClaimsRequest) isMessage()   {}
func (ClaimsReply) isMessage()     {}
