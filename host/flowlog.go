package host

import (
	"fmt"
	"time"

	"github.com/apex/log"

	"wisteriaweir/placement"
)

const (
	// flowLogRate is the largest sustained number of log lines about flows, per second.
	// Further lines are dropped and counted.
	flowLogRate = 100
	// flowLogBurst is the largest number of log lines about flows at once.
	flowLogBurst = 300
)

// elsewhereLabels are the label values of the counter of flows placed in other failure
// domains, and the values of the log field.
var elsewhereLabels = map[placement.Elsewhere]string{
	placement.ForLowerCost: "lower_cost",
	placement.ForNoTarget:  "no_target",
}

// flowLogLimiter limits the rate of log lines about flows by a token bucket.
type flowLogLimiter struct {
	tokens float64
	// refilledAt is when tokens was last updated.
	refilledAt time.Duration
	// dropped is the number of lines dropped since reportedAt.
	dropped int
	// reportedAt is when the number of dropped lines was last reported.
	reportedAt time.Duration
}

// allow reports whether a line may be logged. If so, it uses one token, otherwise it
// counts the line as dropped.
func (l *flowLogLimiter) allow(now time.Duration) bool {
	l.tokens = min(flowLogBurst, l.tokens+(now-l.refilledAt).Seconds()*flowLogRate)
	l.refilledAt = now
	if l.tokens < 1 {
		l.dropped++
		return false
	}
	l.tokens--
	return true
}

// droppedSinceLastReport returns the number of lines dropped since the last report, and
// starts a new count. It returns 0 if no line was dropped or the last report is less
// than a second old.
func (l *flowLogLimiter) droppedSinceLastReport(now time.Duration) int {
	if l.dropped == 0 || now-l.reportedAt < time.Second {
		return 0
	}
	n := l.dropped
	l.dropped, l.reportedAt = 0, now
	return n
}

// observeFlow counts an event of a flow. Unless the event is a response or a refused permit,
// observeFlow also logs it with the state that the decision was based on, within the rate limit.
func (f *forwarder) observeFlow(n placement.FlowNotice) {
	f.h.counters.countFlowEvent(n)
	switch n.Event {
	case placement.FlowAnswered, placement.RequestAnswered, placement.PermitRefused:
		return
	}
	now := f.h.now()
	if dropped := f.logLimiter.droppedSinceLastReport(now); dropped > 0 {
		f.h.log.WithField("count", dropped).Warn("host: log lines about flows dropped")
	}
	if !f.logLimiter.allow(now) {
		return
	}
	fields := log.Fields{
		"caller": n.Flow.Caller().String(), "address": n.Flow.Service().String(),
		"routes": f.activeCatalog.Routes().Number(), "targets_revision": f.activeCatalog.TargetsPosition().Revision, "age_ms": f.h.catalogAge(now).Milliseconds(),
	}
	if n.Retransmits > 0 {
		fields["copies"] = n.Retransmits
	}
	if n.Duration > 0 {
		fields["took_ms"] = n.Duration.Milliseconds()
	}
	if n.Reason != 0 {
		fields["reason"] = reasonLabels[n.Reason]
	}
	if n.Elsewhere != placement.NotElsewhere {
		fields["elsewhere"] = elsewhereLabels[n.Elsewhere]
	}
	if n.Target != nil {
		s := n.Target.StatusAt(now)
		fields["target"], fields["stamp"], fields["state"] = n.Target.ID, fmt.Sprintf("%08x", n.Target.Stamp), s.State
		fields["load"] = fmt.Sprintf("%d+%d busy, %d+%d queued, window %.1f",
			s.BusyRequests, s.PeerLoad.Busy, s.OpeningFlows+s.QueuedRequests, s.PeerLoad.Queued, s.Window)
	}
	f.h.log.WithFields(fields).Info("host: " + string(n.Event))
}

// catalogAge returns the time since the store last confirmed the catalog, as far as
// this host has been informed, or since the start of the process if it never did.
func (h *Host) catalogAge(now time.Duration) time.Duration {
	return now - time.Duration(h.lastConfirmed.Load())
}
