package host

import (
	"fmt"
	"time"

	"github.com/apex/log"

	"wisteriaweir/placement"
)

const (
	// flowLines is the number of lines on flows a second, flowBurst that at once.
	// More are left out and counted.
	flowLines = 100
	flowBurst = 300
)

// flowLog logs decisions on flows, within a bound.
type flowLog struct {
	tokens float64
	last   time.Duration
	left   int
	saidAt time.Duration
}

// allow reports whether a line may be logged.
func (l *flowLog) allow(now time.Duration) bool {
	l.tokens = min(flowBurst, l.tokens+(now-l.last).Seconds()*flowLines)
	l.last = now
	if l.tokens < 1 {
		l.left++
		return false
	}
	l.tokens--
	return true
}

// said returns the number of lines left out, once a second, 0 in between.
func (l *flowLog) said(now time.Duration) int {
	if l.left == 0 || now-l.saidAt < time.Second {
		return 0
	}
	n := l.left
	l.left, l.saidAt = 0, now
	return n
}

// observeFlow counts a decision on a flow, and logs it with its inputs.
func (f *forwarder) observeFlow(n placement.FlowNotice) {
	f.h.count.flow(n)
	switch n.Event {
	case placement.FlowAnswered, placement.RequestAnswered:
		return
	}
	now := f.h.now()
	if left := f.lines.said(now); left > 0 {
		f.h.log.WithField("count", left).Warn("host: lines on flows left out")
	}
	if !f.lines.allow(now) {
		return
	}
	fields := log.Fields{
		"caller": n.Flow.Caller().String(), "address": n.Flow.Service().String(),
		"routes": f.seen.Routes().Number(), "targets_revision": f.seen.TargetsRevision(), "age_ms": f.h.age(now).Milliseconds(),
	}
	if n.Retransmits > 0 {
		fields["copies"] = n.Retransmits
	}
	if n.Took > 0 {
		fields["took_ms"] = n.Took.Milliseconds()
	}
	if n.Reason != 0 {
		fields["reason"] = reasonNames[n.Reason]
	}
	if n.Target != nil {
		s := n.Target.Status(now)
		fields["target"], fields["stamp"], fields["state"] = n.Target.ID, fmt.Sprintf("%08x", n.Target.Stamp), s.State
		fields["load"] = fmt.Sprintf("%d+%d busy, %d+%d queued, window %.1f",
			s.Busy, s.PeerLoad.Busy, s.Opening+s.Waiting, s.PeerLoad.Queued, s.Window)
	}
	f.h.log.WithFields(fields).Info("host: " + string(n.Event))
}

// age returns the time since the store last confirmed what this host believes,
// as far as it has heard.
func (h *Host) age(now time.Duration) time.Duration {
	return now - time.Duration(h.confirmed.Load())
}
