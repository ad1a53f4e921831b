package monitor

import (
	"github.com/VictoriaMetrics/metrics"
)

// Counters are the counters of a balancer; docs/METRICS.md describes each. They
// are created once, so that counting takes no lock.
type Counters struct {
	// FromFabric, FromTarget and FromHop count the received datagrams by their sender.
	FromFabric, FromTarget, FromHop *metrics.Counter

	// The counters from DroppedMalformed to DroppedNoTarget count the dropped
	// datagrams by the reason.
	DroppedMalformed, DroppedAddress, DroppedSize, DroppedQueue, DroppedStale *metrics.Counter
	DroppedLimit, DroppedNoTarget                                             *metrics.Counter

	// FlowsOpened counts the opened flows. FlowsIdle, FlowsSilent and FlowsLost count
	// the ended flows by the cause. HopsSent counts the datagrams that were forwarded to other
	// balancers, and PinsSent the new pins that were queued for sending to them.
	FlowsOpened, FlowsIdle, FlowsSilent, FlowsLost *metrics.Counter
	HopsSent, PinsSent                             *metrics.Counter

	// The counters from RequestsAnswered to RequestsCancelled count the requests of callers by the result.
	RequestsAnswered, RequestsRefused, RequestsUnknown, RequestsCancelled *metrics.Counter

	// AttemptsAnswered, AttemptsShed and AttemptsTimedOut count the sends of a request
	// to a target by the result. AttemptsStray counts the messages of targets that
	// belong to no attempt. PlatformSucceeded, PlatformConflict and PlatformFailed
	// count the attempts of calls to the platform by the result. TablesPublished
	// counts the flow snapshots that were passed to the shards.
	AttemptsAnswered, AttemptsShed, AttemptsTimedOut, AttemptsStray *metrics.Counter
	PlatformSucceeded, PlatformConflict, PlatformFailed             *metrics.Counter
	TablesPublished                                                 *metrics.Counter
}

// NewCounters creates the counters in set. It may be called once per set.
func NewCounters(set *metrics.Set) *Counters {
	counter := func(name string) *metrics.Counter { return set.NewCounter("wisteriaweir_" + name) }
	return &Counters{
		FromFabric: counter(`datagrams_total{from="fabric"}`),
		FromTarget: counter(`datagrams_total{from="target"}`),
		FromHop:    counter(`datagrams_total{from="hop"}`),

		DroppedMalformed: counter(`datagrams_dropped_total{reason="malformed"}`),
		DroppedAddress:   counter(`datagrams_dropped_total{reason="unknown_address"}`),
		DroppedSize:      counter(`datagrams_dropped_total{reason="size"}`),
		DroppedQueue:     counter(`datagrams_dropped_total{reason="queue_full"}`),
		DroppedStale:     counter(`datagrams_dropped_total{reason="stale"}`),
		DroppedLimit:     counter(`datagrams_dropped_total{reason="flow_limit"}`),
		DroppedNoTarget:  counter(`datagrams_dropped_total{reason="no_target"}`),

		FlowsOpened: counter(`flows_opened_total`),
		FlowsIdle:   counter(`flows_ended_total{cause="idle"}`),
		FlowsSilent: counter(`flows_ended_total{cause="silent"}`),
		FlowsLost:   counter(`flows_ended_total{cause="target_lost"}`),
		HopsSent:    counter(`hops_sent_total`),
		PinsSent:    counter(`pins_sent_total`),

		RequestsAnswered:  counter(`requests_total{result="answered"}`),
		RequestsRefused:   counter(`requests_total{result="refused"}`),
		RequestsUnknown:   counter(`requests_total{result="unknown"}`),
		RequestsCancelled: counter(`requests_total{result="cancelled"}`),

		AttemptsAnswered:  counter(`attempts_total{result="answered"}`),
		AttemptsShed:      counter(`attempts_total{result="shed"}`),
		AttemptsTimedOut:  counter(`attempts_total{result="timeout"}`),
		AttemptsStray:     counter(`attempts_total{result="stray"}`),
		PlatformSucceeded: counter(`platform_calls_total{result="ok"}`),
		PlatformConflict:  counter(`platform_calls_total{result="conflict"}`),
		PlatformFailed:    counter(`platform_calls_total{result="failed"}`),
		TablesPublished:   counter(`tables_published_total`),
	}
}

// Gauges are the functions that return the values of the gauges. They are
// called at each request of /metrics, from any goroutine. All fields are
// required.
type Gauges struct {
	// FlowsOpen returns the number of flows and pins in the shards, PinsWaiting
	// that of pins and flows to be sent to other balancers, and RequestsQueued
	// that of queued requests.
	FlowsOpen, PinsWaiting, RequestsQueued func() float64
	// ConfigNumber returns the number of the active configuration, Members the
	// number of members in the membership view, and LeaseHeld 1 while the
	// balancer holds the lease of its failure domain, or else 0.
	ConfigNumber, Members, LeaseHeld func() float64
	// Targets returns the number of targets in the named state.
	Targets func(state string) float64
}

// targetStates are the label values of wisteriaweir_targets.
var targetStates = []string{"starting", "serving", "shedding", "ejected", "draining"}

// Register adds the gauges to set.
func (g Gauges) Register(set *metrics.Set) {
	set.NewGauge("wisteriaweir_flows_open", g.FlowsOpen)
	set.NewGauge("wisteriaweir_pins_waiting", g.PinsWaiting)
	set.NewGauge("wisteriaweir_requests_queued", g.RequestsQueued)
	set.NewGauge("wisteriaweir_config_number", g.ConfigNumber)
	set.NewGauge("wisteriaweir_members", g.Members)
	set.NewGauge("wisteriaweir_lease_held", g.LeaseHeld)
	for _, state := range targetStates {
		set.NewGauge(`wisteriaweir_targets{state="`+state+`"}`, func() float64 { return g.Targets(state) })
	}
}
