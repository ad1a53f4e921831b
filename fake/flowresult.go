package fake

import (
	"net/netip"
	"time"
)

// FlowResult is what callers saw.
type FlowResult struct {
	// Requests is the number of requests, Answered of those that were answered
	// with success, Refused of those that were told not to have run, Failed of the
	// others.
	Requests, Answered, Refused, Failed int64
	// Late counts answers after half of the deadline.
	Late int64
	// Misrouted counts answers that belong to another request or service, Forged
	// packets that no end wrote.
	Misrouted, Forged int64
	// Resets holds the resets of open flows that hosts sent.
	Resets []FlowReset
	// ReportedOutcomes holds, by the ID of each try of a request that may run at most once, what
	// its caller was told: answered, not run or unknown.
	ReportedOutcomes map[string]string
}

// FlowReset is a reset of an open flow by a host.
type FlowReset struct {
	Target string
	At     time.Time
	// From is the address of the host that sent it.
	From netip.AddrPort
}
