package fake

import (
	"net/netip"
	"time"
)

// FlowResult counts the requests and packets of FlowCallers by their outcome.
type FlowResult struct {
	// Requests counts all requests. Answered counts those with a successful response,
	// Refused those that were reported as not run, and Failed the others.
	Requests, Answered, Refused, Failed int64
	// Late counts the answered requests that took more than half of their timeout.
	Late int64
	// Misrouted counts responses that belong to another request or service. Forged
	// counts packets that are malformed or have an invalid checksum, so that no
	// caller or target wrote them; resets of hosts are not counted.
	Misrouted, Forged int64
	// Resets are the resets of open flows that hosts sent.
	Resets []FlowReset
	// ReportedOutcomes maps the ID of each attempt of a request that may run at most
	// once to the outcome that was reported to its caller: "answered", "not run" or
	// "unknown".
	ReportedOutcomes map[string]string
}

// FlowReset is a reset of an open flow by a host.
type FlowReset struct {
	// Target is the ID of the target that sent the flow's last response, and is empty
	// before the first one.
	Target string
	// At is when the caller received the reset.
	At time.Time
	// From is the address of the host that sent the reset.
	From netip.AddrPort
}
