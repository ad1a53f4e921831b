package target

import (
	"time"

	"wisteriaweir/service"
)

// Event is an input of a Pool.
type Event interface {
	event()
}

// ServiceConfigured carries a service and the number of the configuration that
// declares it.
type ServiceConfigured struct {
	Number  uint64
	Service service.Service
}

// HealthUpdated carries the agreed health of the targets of one failure domain.
type HealthUpdated struct {
	Health Health
}

// ReportReceived carries the report in a response of a target's health and load endpoint.
type ReportReceived struct {
	Target string
	Report Report
}

// Report is the health and load that a target reports about itself. It may be late
// or wrong.
type Report struct {
	// Age is the age of the content at the time of the event, in nanoseconds.
	Age time.Duration `json:"age_ns"`
	// Healthy is whether the target reports itself as healthy.
	Healthy bool `json:"healthy"`
	// Draining is whether the target announces that it is going to stop.
	Draining bool `json:"draining"`
	// Load is the reported load: 1 means that all slots are busy.
	Load float64 `json:"load"`
}

// Answered reports responses of a target to attempts, or to datagrams of flows, other than
// those that Failed or Shed report. Only these are called responses in this package.
type Answered struct {
	Target string
	// IsFlow is whether the event is about flows; otherwise it is about requests.
	IsFlow bool
	// Latency is the mean time to the response, or 0 if it is not known, as for the
	// datagrams of a flow.
	Latency time.Duration
	// Count is the number of attempts or datagrams; 0 means 1.
	Count int
}

// Failed reports attempts that timed out at a target, or failed there with an error of
// its own.
type Failed struct {
	Target string
	// IsFlow is whether the event is about flows; otherwise it is about requests.
	IsFlow bool
	// Count is the number of attempts; 0 means 1.
	Count int
}

// Shed reports an attempt that a target refused without executing it.
type Shed struct {
	Target string
	// RetryAfter is the time after which the target may be tried again.
	RetryAfter time.Duration
}

// Tick triggers the periodic processing. It is sent every MaxTickInterval or more
// often.
type Tick struct{}

// MaxTickInterval is the maximum time between two Ticks.
const MaxTickInterval = 250 * time.Millisecond

func (ServiceConfigured) event() {}
func (HealthUpdated) event()     {}
func (ReportReceived) event()    {}
func (Answered) event()          {}
func (Failed) event()            {}
func (Shed) event()              {}
func (Tick) event()              {}

// Effect is an output of a Pool.
type Effect interface {
	effect()
}

// PublishShares carries new shares for requests. They follow from what this balancer
// has observed, and differ between balancers.
type PublishShares struct {
	Shares Shares
}

// PublishTable carries new shares for the tables of flows. Every balancer with the
// same configuration and agreed health computes the same shares.
type PublishTable struct {
	Shares Shares
}

// StateChanged reports that the state of a target has changed, for the log.
type StateChanged struct {
	Target   string
	From, To State
	Reason   Reason
}

func (PublishShares) effect() {}
func (PublishTable) effect()  {}
func (StateChanged) effect()  {}
