package host

import (
	"fmt"
	"math"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"wisteriaweir/catalog"
	"wisteriaweir/placement"
	"wisteriaweir/platform"
	"wisteriaweir/release"
)

// counters are the counters and histograms of a host; docs/OPERATIONS.md describes
// each. Messages between hosts are called notes in the names of metrics.
type counters struct {
	set *metrics.Set
	// Packets by outcome. openingPackets are also counted as forwardedPackets.
	forwardedPackets, openingPackets, malformedPackets *metrics.Counter
	// Failed reads and writes of the packet socket.
	readErrors, writeErrors *metrics.Counter
	// Bytes of messages sent to other hosts, by messageLabels.
	messageBytes map[string]*metrics.Counter
	// Failed reads and writes of the socket of messages.
	messageErrors *metrics.Counter
	// Received datagrams that are not valid messages, and messages and load reports that
	// were dropped because a queue was full.
	malformedMessages, droppedMessages *metrics.Counter
	// Responses of the store that differ from the catalog and were not applied.
	ignoredUpdates *metrics.Counter
	// Times that the catalog has reached a new era of the store.
	restores *metrics.Counter
	// Lists whose pages show different states of the store.
	unevenLists *metrics.Counter
	// Deltas of other hosts that were computed from other content than the catalog's.
	mismatchedDeltas *metrics.Counter
	// Stamps that other hosts were asked for.
	lookups *metrics.Counter
	// Flows that were reset, and packets that were dropped without a reset.
	rejectedByReason, droppedByReason map[placement.Reason]*metrics.Counter
	flowEvents                        map[placement.FlowEvent]*metrics.Counter
	// Flows that were placed in other failure domains.
	elsewhereByReason map[placement.Elsewhere]*metrics.Counter
	// Durations until the first response of a flow, until the response to a request, of
	// the wait of a queued request, and of a call to the store.
	openingSeconds, requestSeconds, waitSeconds, storeSeconds *metrics.Histogram
}

// flowEventLabels are the label values of the counter of flow events.
var flowEventLabels = map[placement.FlowEvent]string{
	placement.FlowPlaced:      "placed",
	placement.FlowPlacedAgain: "placed_again",
	placement.FlowTakenOver:   "taken_over",
	placement.FlowRejected:    "rejected",
	placement.FlowReset:       "reset",
	placement.FlowAnswered:    "answered",
	placement.RequestAnswered: "request_answered",
	placement.RequestWaited:   "request_waited",
	placement.RequestExpired:  "request_expired",
	placement.PermitRefused:   "permit_refused",
}

// reasonLabels are the label values of the counters of reset flows and dropped
// packets.
var reasonLabels = map[placement.Reason]string{
	placement.NoRoute:           "no_route",
	placement.NoTarget:          "no_target",
	placement.UnknownStamp:      "unknown_stamp",
	placement.CatalogIncomplete: "incomplete",
	placement.DeadTarget:        "target_dead",
	placement.FlowTableFull:     "full",
	placement.Overloaded:        "overloaded",
	placement.Retransmission:    "repeated",
	placement.NotAdmitted:       "level",
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{
		set:               set,
		forwardedPackets:  set.NewCounter("wisteriaweir_packets_forwarded_total"),
		openingPackets:    set.NewCounter("wisteriaweir_packets_opening_total"),
		malformedPackets:  set.NewCounter("wisteriaweir_packets_malformed_total"),
		readErrors:        set.NewCounter(`wisteriaweir_packet_errors_total{op="read"}`),
		writeErrors:       set.NewCounter(`wisteriaweir_packet_errors_total{op="write"}`),
		messageBytes:      map[string]*metrics.Counter{},
		messageErrors:     set.NewCounter("wisteriaweir_note_errors_total"),
		malformedMessages: set.NewCounter("wisteriaweir_notes_malformed_total"),
		droppedMessages:   set.NewCounter("wisteriaweir_notes_dropped_total"),
		ignoredUpdates:    set.NewCounter("wisteriaweir_store_updates_ignored_total"),
		restores:          set.NewCounter("wisteriaweir_store_restores_total"),
		unevenLists:       set.NewCounter("wisteriaweir_store_lists_uneven_total"),
		mismatchedDeltas:  set.NewCounter("wisteriaweir_deltas_mismatched_total"),
		lookups:           set.NewCounter("wisteriaweir_target_lookups_total"),
		openingSeconds:    set.NewHistogram("wisteriaweir_opening_seconds"),
		requestSeconds:    set.NewHistogram("wisteriaweir_request_seconds"),
		waitSeconds:       set.NewHistogram("wisteriaweir_wait_seconds"),
		storeSeconds:      set.NewHistogram("wisteriaweir_store_seconds"),
		flowEvents:        map[placement.FlowEvent]*metrics.Counter{},
		rejectedByReason:  map[placement.Reason]*metrics.Counter{},
		droppedByReason:   map[placement.Reason]*metrics.Counter{},
		elsewhereByReason: map[placement.Elsewhere]*metrics.Counter{},
	}
	for _, kind := range messageLabels {
		c.messageBytes[kind] = set.NewCounter(`wisteriaweir_note_bytes_sent_total{message="` + kind + `"}`)
	}
	for event, name := range flowEventLabels {
		c.flowEvents[event] = set.NewCounter(`wisteriaweir_flow_events_total{event="` + name + `"}`)
	}
	for reason, name := range reasonLabels {
		c.rejectedByReason[reason] = set.NewCounter(`wisteriaweir_flows_reset_total{reason="` + name + `"}`)
		c.droppedByReason[reason] = set.NewCounter(`wisteriaweir_packets_dropped_total{reason="` + name + `"}`)
	}
	for reason, name := range elsewhereLabels {
		c.elsewhereByReason[reason] = set.NewCounter(`wisteriaweir_flows_elsewhere_total{reason="` + name + `"}`)
	}
	return c
}

// sentBytes returns the bytes of messages sent to other hosts.
func (c *counters) sentBytes() uint64 {
	total := uint64(0)
	for _, sent := range c.messageBytes {
		total += sent.Get()
	}
	return total
}

// countRejected counts a flow that was reset for the given reason.
func (c *counters) countRejected(r placement.Reason) {
	c.rejectedByReason[r].Inc()
}

// countDropped counts a packet that was dropped for the given reason.
func (c *counters) countDropped(r placement.Reason) {
	c.droppedByReason[r].Inc()
}

// countFlowEvent counts an event of a flow. If the event is a response or the end of a
// request's wait, it also records the duration.
func (c *counters) countFlowEvent(n placement.FlowNotice) {
	c.flowEvents[n.Event].Inc()
	if n.Elsewhere != placement.NotElsewhere {
		c.elsewhereByReason[n.Elsewhere].Inc()
	}
	switch n.Event {
	case placement.FlowAnswered:
		c.openingSeconds.Update(n.Duration.Seconds())
	case placement.RequestAnswered:
		c.requestSeconds.Update(n.Duration.Seconds())
	case placement.RequestWaited:
		c.waitSeconds.Update(n.Duration.Seconds())
	}
}

// registerGauges registers the metrics whose values are read on each scrape.
func (h *Host) registerGauges() {
	h.metrics.NewGauge(`wisteriaweir_build_info{build="`+release.Current().String()+`"}`, func() float64 { return 1 })
	h.metrics.NewGauge("wisteriaweir_routes_number", func() float64 { return float64(h.currentCatalog.Load().Routes().Number()) })
	h.metrics.NewGauge("wisteriaweir_store_era", func() float64 { return float64(h.storeEra.Load()) - 1 })
	h.metrics.NewGauge("wisteriaweir_targets", func() float64 { return float64(len(h.currentCatalog.Load().Targets())) })
	h.metrics.NewGauge("wisteriaweir_confirmed_age_seconds", func() float64 { return h.catalogAge(h.now()).Seconds() })
	h.metrics.NewGauge("wisteriaweir_reading", func() float64 { return boolToFloat(h.isReading.Load()) })
	h.metrics.NewGauge("wisteriaweir_ready", func() float64 { return boolToFloat(h.isReady()) })
	h.metrics.NewGauge("wisteriaweir_evacuated_domains", func() float64 { return float64(h.currentCatalog.Load().Evacuations().Size()) })
	h.metrics.NewGauge("wisteriaweir_evacuated_flows", func() float64 { return float64(h.evacuatedFlows.Load()) })
	h.metrics.NewGauge("wisteriaweir_evacuated_requests", func() float64 { return float64(h.evacuatedRequests.Load()) })
	h.metrics.NewGauge("wisteriaweir_evacuation_known_seconds", func() float64 { return h.longestEvacuation(h.now()).Seconds() })
	h.metrics.NewGauge("wisteriaweir_isolated", func() float64 { return boolToFloat(h.isolated.Load()) })
	if h.cfg.TargetSpeed {
		h.metrics.NewGauge(`wisteriaweir_target_speed{extreme="slowest"}`, func() float64 { return math.Float64frombits(h.slowestTarget.Load()) })
		h.metrics.NewGauge(`wisteriaweir_target_speed{extreme="fastest"}`, func() float64 { return math.Float64frombits(h.fastestTarget.Load()) })
	}
	if h.cfg.DroppedLogLines != nil {
		h.metrics.NewGauge("wisteriaweir_log_lines_left_out", func() float64 { return float64(h.cfg.DroppedLogLines()) })
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// countStoreCall counts one call to the store and records its duration.
func (c *counters) countStoreCall(s platform.StoreCall) {
	name := `wisteriaweir_store_calls_total{op="` + s.Op + `",kind="` + s.Kind + `",status="` + strconv.Itoa(s.Status) + `"}`
	c.set.GetOrCreateCounter(name).Inc()
	c.storeSeconds.Update(s.Duration.Seconds())
}

// observeStoreCall counts one call to the store, and logs when the store has come back
// from an older copy.
func (h *Host) observeStoreCall(s platform.StoreCall) {
	h.counters.countStoreCall(s)
	for known := h.storeEra.Load(); s.Era > known; known = h.storeEra.Load() {
		if !h.storeEra.CompareAndSwap(known, s.Era) {
			continue
		}
		if known > 0 {
			c := h.currentCatalog.Load()
			h.log.WithFields(log.Fields{
				"era": catalog.EraName(s.Era), "before": catalog.EraName(known), "kind": s.Kind, "routes": c.RoutesPosition().String(), "targets": c.TargetsPosition().String(),
			}).Warn("host: store is back from an older copy")
		}
	}
}

// formatDigest returns the form of a digest in logs and dumps.
func formatDigest(sum uint64) string {
	return fmt.Sprintf("%016x", sum)
}
