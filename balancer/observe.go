package balancer

import (
	"time"

	"wisteriaweir/flow"
	"wisteriaweir/request"
	"wisteriaweir/target"
)

const (
	// tallyInterval is the shortest interval at which a flow worker reports its
	// datagram counts.
	tallyInterval = 250 * time.Millisecond
	// evaluationInterval is the interval at which the summed counts of all
	// workers are evaluated.
	evaluationInterval = 500 * time.Millisecond
	// minFailureTime is the time that a target must have had for an attempt
	// without an answer to count as a failure.
	minFailureTime = time.Second
	// minUnansweredDatagrams is the number of datagrams of flows, without any
	// reply from their target, that counts as a failure.
	minUnansweredDatagrams = 6
	// unansweredWindow is how long a smaller number of unanswered datagrams is
	// accumulated before it is discarded. It spans several evaluations, as
	// flows may be slow.
	unansweredWindow = 4 * time.Second
)

// flowTally counts the datagrams of flows to and from one target.
type flowTally struct {
	forwarded int
	replied   int
	// since is when the control goroutine started the sum.
	since time.Duration
}

// reportTallies passes the counts to the control goroutine and resets them,
// once per tallyInterval.
func (w *flowWorker) reportTallies(now time.Duration) {
	if now < w.nextTallyReportAt {
		return
	}
	w.nextTallyReportAt = now + tallyInterval
	if len(w.tallies) == 0 {
		return
	}
	tallies := w.tallies
	w.tallies = make(map[flow.TargetID]flowTally, len(tallies))
	w.b.control.tryEnqueue(func() {
		for id, n := range tallies {
			w.b.control.targets.addTally(id, n)
		}
	})
}

// addTally adds the counts of one worker for a target.
func (t *targets) addTally(id flow.TargetID, n flowTally) {
	all, ok := t.tallies[id]
	if !ok {
		all.since = t.c.b.now()
	}
	all.forwarded += n.forwarded
	all.replied += n.replied
	t.tallies[id] = all
}

// evaluateFlows reports answers and failures of targets from the summed counts.
// Counts that show neither yet are accumulated further.
func (t *targets) evaluateFlows(now time.Duration) {
	if now < t.nextEvaluationAt {
		return
	}
	t.nextEvaluationAt = now + evaluationInterval
	for id, n := range t.tallies {
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
		delete(t.tallies, id)
	}
}

// pendingAttempt is an attempt that a target has not answered yet. An attempt
// is one send of a request to a target.
type pendingAttempt struct {
	name     targetName
	at       time.Duration
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
		at:       now,
		deadline: now + e.Request.Remaining,
	}
}

// recordAnswer reports the answer to an attempt: the latency, or the refusal of
// the target.
func (r *requests) recordAnswer(e request.Answered) {
	a, ok := r.attempts[e.Token]
	if !ok {
		return
	}
	delete(r.attempts, e.Token)
	var event target.Event = target.Answered{Target: a.name.target, Latency: r.b.now() - a.at}
	if e.Result == request.ResultRefused {
		event = target.Shed{Target: a.name.target, RetryAfter: e.RetryAfter}
	}
	r.b.control.tryEnqueue(func() { r.b.control.targets.handleObservation(a.name, event) })
}

// expireAttempts reports attempts whose deadline passed without an answer. It
// also updates the gauge of queued requests.
func (r *requests) expireAttempts() {
	now := r.b.now()
	if now < r.nextExpiryAt {
		return
	}
	r.nextExpiryAt = now + tallyInterval
	r.b.gauges.requestsQueued.Store(int64(r.core.Queued()))
	for token, a := range r.attempts {
		if now < a.deadline {
			continue
		}
		delete(r.attempts, token)
		r.b.counters.AttemptsTimedOut.Inc()
		if a.deadline-a.at < minFailureTime {
			continue // The caller's deadline was too short to count against the target.
		}
		r.b.control.tryEnqueue(func() {
			r.b.control.targets.handleObservation(a.name, target.Failed{Target: a.name.target})
		})
	}
}
