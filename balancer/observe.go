package balancer

import (
	"time"

	"wisteriaweir/flow"
	"wisteriaweir/request"
	"wisteriaweir/target"
)

const (
	// observationInterval is the shortest interval at which a flow worker
	// reports its datagram counts, and at which attempts are checked for
	// expiry.
	observationInterval = 250 * time.Millisecond
	// evaluationInterval is the interval at which the summed counts of all
	// workers are evaluated.
	evaluationInterval = 500 * time.Millisecond
	// minFailureTime is the shortest time from an attempt to its deadline for
	// which an attempt without a response counts as a failure of its target.
	minFailureTime = time.Second
	// minUnansweredDatagrams is the number of datagrams of flows, forwarded to a
	// target without any reply from it, that counts as a failure of the target.
	minUnansweredDatagrams = 6
	// unansweredWindow is how long a smaller number of unanswered datagrams is
	// accumulated before it is discarded. It spans several evaluations, as
	// flows may be slow.
	unansweredWindow = 4 * time.Second
)

// datagramCounts counts the datagrams of flows to and from one target.
type datagramCounts struct {
	forwarded int
	replied   int
	// since is when the control goroutine began to sum the counts of the
	// workers up. It is not set in the counts of one worker.
	since time.Duration
}

// reportDatagramCounts passes the counts to the control goroutine and resets
// them, at most once per observationInterval.
func (w *flowWorker) reportDatagramCounts(now time.Duration) {
	if now < w.nextCountsReportAt {
		return
	}
	w.nextCountsReportAt = now + observationInterval
	if len(w.datagramCounts) == 0 {
		return
	}
	counts := w.datagramCounts
	w.datagramCounts = make(map[flow.TargetID]datagramCounts, len(counts))
	w.b.control.tryEnqueue(func() {
		for id, n := range counts {
			w.b.control.targets.addDatagramCounts(id, n)
		}
	})
}

// addDatagramCounts adds the counts of one worker for a target.
func (t *targets) addDatagramCounts(id flow.TargetID, n datagramCounts) {
	sum, ok := t.datagramCounts[id]
	if !ok {
		sum.since = t.c.b.now()
	}
	sum.forwarded += n.forwarded
	sum.replied += n.replied
	t.datagramCounts[id] = sum
}

// evaluateFlows reports responses and failures of targets from the summed counts,
// and discards these counts. Counts that show neither yet are accumulated for
// up to unansweredWindow.
func (t *targets) evaluateFlows(now time.Duration) {
	if now < t.nextEvaluationAt {
		return
	}
	t.nextEvaluationAt = now + evaluationInterval
	for id, n := range t.datagramCounts {
		name, ok := t.names[id]
		switch {
		case !ok:
		case n.replied == 0 && n.forwarded < minUnansweredDatagrams && now-n.since < unansweredWindow:
			continue
		case n.replied > 0:
			t.handleObservation(name, target.Answered{Target: name.target, IsFlow: true, Count: n.replied})
		case n.forwarded >= minUnansweredDatagrams:
			t.handleObservation(name, target.Failed{Target: name.target, IsFlow: true})
		}
		delete(t.datagramCounts, id)
	}
}

// pendingAttempt is an attempt to which a target has not responded yet. An attempt
// is one send of a request to a target.
type pendingAttempt struct {
	name     targetName
	sentAt   time.Duration
	deadline time.Duration
}

// recordAttempt records an attempt and its deadline.
func (r *requests) recordAttempt(e request.Forward) {
	now := r.b.now()
	if _, ok := r.attempts[e.Token]; ok {
		return // This is a retransmission of the same attempt.
	}
	r.attempts[e.Token] = pendingAttempt{
		name:     targetName{service: e.Request.Service, target: e.Target.Name},
		sentAt:   now,
		deadline: now + e.Request.Remaining,
	}
}

// reportResponse reports the response to an attempt to the control goroutine: its
// latency or, if the target refused the request, the refusal.
func (r *requests) reportResponse(e request.Answered) {
	a, ok := r.attempts[e.Token]
	if !ok {
		return
	}
	delete(r.attempts, e.Token)
	var event target.Event = target.Answered{Target: a.name.target, Latency: r.b.now() - a.sentAt}
	if e.Result == request.ResultRefused {
		event = target.Shed{Target: a.name.target, RetryAfter: e.RetryAfter}
	}
	r.b.control.tryEnqueue(func() { r.b.control.targets.handleObservation(a.name, event) })
}

// expireAttempts removes attempts whose deadline passed without a response, and
// reports them as failures of their targets. It also updates the gauge of queued
// requests.
func (r *requests) expireAttempts() {
	now := r.b.now()
	if now < r.nextExpiryAt {
		return
	}
	r.nextExpiryAt = now + observationInterval
	r.b.gauges.requestsQueued.Store(int64(r.core.Queued()))
	for token, a := range r.attempts {
		if now < a.deadline {
			continue
		}
		delete(r.attempts, token)
		r.b.counters.AttemptsTimedOut.Inc()
		if a.deadline-a.sentAt < minFailureTime {
			continue // The caller's deadline was too short to count against the target.
		}
		r.b.control.tryEnqueue(func() {
			r.b.control.targets.handleObservation(a.name, target.Failed{Target: a.name.target})
		})
	}
}
