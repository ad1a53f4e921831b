package host

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"wisteriaweir/placement"
	"wisteriaweir/platform"
)

// counters are the counters of a host; docs/METRICS.md says what each counts.
type counters struct {
	set                                *metrics.Set
	forwarded, opened, malformed       *metrics.Counter
	readErrors, writeErrors            *metrics.Counter
	noteBytes, noteErrors              *metrics.Counter
	noteMalformed, noteDropped         *metrics.Counter
	rejectedByReason, droppedForReason map[placement.Reason]*metrics.Counter
	flows                              map[placement.FlowEvent]*metrics.Counter
	opening, request, wait, store      *metrics.Histogram
}

// flowNames are the label values of the counter of flows.
var flowNames = map[placement.FlowEvent]string{
	placement.FlowPlaced:      "placed",
	placement.FlowPlacedAgain: "placed_again",
	placement.FlowTakenOver:   "taken_over",
	placement.FlowRejected:    "rejected",
	placement.FlowReset:       "reset",
	placement.FlowAnswered:    "answered",
	placement.RequestAnswered: "request_answered",
	placement.RequestWaited:   "request_waited",
}

// reasonNames are the label values of the counters for each reason.
var reasonNames = map[placement.Reason]string{
	placement.NoRoute:           "no_route",
	placement.NoTarget:          "no_target",
	placement.UnknownStamp:      "unknown_stamp",
	placement.CatalogIncomplete: "incomplete",
	placement.DeadTarget:        "target_dead",
	placement.Full:              "full",
	placement.Overloaded:        "overloaded",
	placement.Repeated:          "repeated",
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{
		set:              set,
		forwarded:        set.NewCounter("wisteriaweir_packets_forwarded_total"),
		opened:           set.NewCounter("wisteriaweir_packets_opening_total"),
		malformed:        set.NewCounter("wisteriaweir_packets_malformed_total"),
		readErrors:       set.NewCounter(`wisteriaweir_packet_errors_total{op="read"}`),
		writeErrors:      set.NewCounter(`wisteriaweir_packet_errors_total{op="write"}`),
		noteBytes:        set.NewCounter("wisteriaweir_note_bytes_sent_total"),
		noteErrors:       set.NewCounter("wisteriaweir_note_errors_total"),
		noteMalformed:    set.NewCounter("wisteriaweir_notes_malformed_total"),
		noteDropped:      set.NewCounter("wisteriaweir_notes_dropped_total"),
		opening:          set.NewHistogram("wisteriaweir_opening_seconds"),
		request:          set.NewHistogram("wisteriaweir_request_seconds"),
		wait:             set.NewHistogram("wisteriaweir_wait_seconds"),
		store:            set.NewHistogram("wisteriaweir_store_seconds"),
		flows:            map[placement.FlowEvent]*metrics.Counter{},
		rejectedByReason: map[placement.Reason]*metrics.Counter{},
		droppedForReason: map[placement.Reason]*metrics.Counter{},
	}
	for e, name := range flowNames {
		c.flows[e] = set.NewCounter(`wisteriaweir_flow_events_total{event="` + name + `"}`)
	}
	for r, name := range reasonNames {
		c.rejectedByReason[r] = set.NewCounter(`wisteriaweir_flows_reset_total{reason="` + name + `"}`)
		c.droppedForReason[r] = set.NewCounter(`wisteriaweir_packets_dropped_total{reason="` + name + `"}`)
	}
	return c
}

func (c *counters) rejected(r placement.Reason) {
	c.rejectedByReason[r].Inc()
}

func (c *counters) dropped(r placement.Reason) {
	c.droppedForReason[r].Inc()
}

// flow counts a decision on a flow, or what it showed.
func (c *counters) flow(n placement.FlowNotice) {
	c.flows[n.Event].Inc()
	switch n.Event {
	case placement.FlowAnswered:
		c.opening.Update(n.Took.Seconds())
	case placement.RequestAnswered:
		c.request.Update(n.Took.Seconds())
	case placement.RequestWaited:
		c.wait.Update(n.Took.Seconds())
	}
}

// gauges adds what is read when metrics are shown.
func (h *Host) gauges() {
	h.metrics.NewGauge("wisteriaweir_routes_number", func() float64 { return float64(h.current.Load().Routes().Number()) })
	h.metrics.NewGauge("wisteriaweir_targets", func() float64 { return float64(len(h.current.Load().Targets())) })
	h.metrics.NewGauge("wisteriaweir_confirmed_age_seconds", func() float64 { return h.age(h.now()).Seconds() })
	h.metrics.NewGauge("wisteriaweir_reading", func() float64 { return number(h.reading.Load()) })
	h.metrics.NewGauge("wisteriaweir_ready", func() float64 { return number(!h.leaving.Load() && h.current.Load().Complete()) })
	if h.cfg.DroppedLogLines != nil {
		h.metrics.NewGauge("wisteriaweir_log_lines_left_out", func() float64 { return float64(h.cfg.DroppedLogLines()) })
	}
}

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// call counts one call to the store.
func (c *counters) call(s platform.StoreCall) {
	name := `wisteriaweir_store_calls_total{op="` + s.Op + `",kind="` + s.Kind + `",status="` + strconv.Itoa(s.Status) + `"}`
	c.set.GetOrCreateCounter(name).Inc()
	c.store.Update(s.Took.Seconds())
}
