package target

import (
	"time"

	"wisteriaweir/service"
)

// Event is what a Pool is told.
type Event interface {
	event()
}

// ServiceConfigured carries the service as the configuration of a number declares it.
type ServiceConfigured struct {
	Number  uint64
	Service service.Service
}

// HealthUpdated carries the agreed health of the targets of one failure domain.
type HealthUpdated struct {
	Health Health
}

// Reported carries what the health and load endpoint of a target said.
type Reported struct {
	Target string
	Report Report
}

// Report is one voice about a target: its own. It may lag or mislead.
type Report struct {
	// Age is the age of the content at the time of the event.
	Age time.Duration `json:"age_ns"`
	// Healthy is whether the target calls itself healthy.
	Healthy bool `json:"healthy"`
	// Draining is whether the target says that it is leaving.
	Draining bool `json:"draining"`
	// Load is the reported load: 1 is all slots busy.
	Load float64 `json:"load"`
}

// Answered tells of attempts, or of datagrams of flows, that a target answered.
type Answered struct {
	Target string
	// IsFlow is whether it is about flows.
	IsFlow bool
	// Latency is the mean time to the answer; 0 if it is not known, as for the
	// datagrams of a flow.
	Latency time.Duration
	// Count is the number of attempts; 0 means 1.
	Count int
}

// Failed tells of attempts that a target left without an answer in time, or
// answered with an error of its own.
type Failed struct {
	Target string
	// IsFlow is whether it is about flows.
	IsFlow bool
	// Count is the number of attempts; 0 means 1.
	Count int
}

// Shed tells of an attempt that a target refused without running it.
type Shed struct {
	Target string
	// RetryAfter is the time after which the target wants to be asked again.
	RetryAfter time.Duration
}

// Tick lets time pass. It comes every MaxTickInterval, or more often.
type Tick struct{}

// MaxTickInterval is the longest time between two Ticks.
const MaxTickInterval = 250 * time.Millisecond

func (ServiceConfigured) event() {}
func (HealthUpdated) event()     {}
func (Reported) event()          {}
func (Answered) event()          {}
func (Failed) event()            {}
func (Shed) event()              {}
func (Tick) event()              {}

// Effect is what a Pool wants done.
type Effect interface {
	effect()
}

// PublishShares carries new shares by the balancer's own view, for requests.
type PublishShares struct {
	Shares Shares
}

// PublishTable carries new shares that every balancer with the same
// configuration and agreed health computes alike, for the tables of flows.
type PublishTable struct {
	Shares Shares
}

// Changed tells of a change of state, for the log.
type Changed struct {
	Target   string
	From, To State
	Reason   Reason
}

func (PublishShares) effect() {}
func (PublishTable) effect()  {}
func (Changed) effect()       {}
