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
}

// reasonNames are the label values of the counters for each reason.
var reasonNames = map[placement.Reason]string{
	placement.NoRoute:      "no_route",
	placement.NoTarget:     "no_target",
	placement.UnknownStamp: "unknown_stamp",
	placement.Incomplete:   "incomplete",
	placement.DeadTarget:   "target_dead",
	placement.Full:         "full",
	placement.Repeated:     "repeated",
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
		rejectedByReason: map[placement.Reason]*metrics.Counter{},
		droppedForReason: map[placement.Reason]*metrics.Counter{},
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

// call counts one call to the store.
func (c *counters) call(s platform.StoreCall) {
	name := `wisteriaweir_store_calls_total{op="` + s.Op + `",kind="` + s.Kind + `",status="` + strconv.Itoa(s.Status) + `"}`
	c.set.GetOrCreateCounter(name).Inc()
}
