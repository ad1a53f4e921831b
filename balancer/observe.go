package balancer

import (
	"time"

	"wisteriaweir/flow"
	"wisteriaweir/request"
	"wisteriaweir/target"
)

const (
	// observeInterval is the time over which a lane sums up what it saw.
	observeInterval = 250 * time.Millisecond
	// judgeInterval is the time over which the sums of all lanes are judged.
	judgeInterval = 500 * time.Millisecond
	// failureLeast is the time that a target must have had for an attempt without
	// an answer to count as a failure.
	failureLeast = time.Second
	// silentForwards is the number of datagrams of flows that a target may leave
	// without any reply in silentWindow before that counts as a failure.
	silentForwards = 6
	// silentWindow bounds the time over which they add up: flows may be slow.
	silentWindow = 4 * time.Second
)

// flowTally sums up, for each target, the datagrams of flows.
type flowTally struct {
	forwarded int
	replied   int
	// since is when the sum began, at the control goroutine.
	since time.Duration
}

// observe reports what the lane saw of each target and starts again.
func (l *flowLane) observe(now time.Duration) {
	if now < l.observes {
		return
	}
	l.observes = now + observeInterval
	if len(l.tallies) == 0 {
		return
	}
	tallies := l.tallies
	l.tallies = make(map[flow.TargetID]flowTally, len(tallies))
	l.b.control.offer(func() {
		for id, n := range tallies {
			l.b.control.targets.sum(id, n)
		}
	})
}

// sum adds what one lane saw of a target.
func (t *targets) sum(id flow.TargetID, n flowTally) {
	all, ok := t.tallies[id]
	if !ok {
		all.since = t.c.b.now()
	}
	all.forwarded += n.forwarded
	all.replied += n.replied
	t.tallies[id] = all
}

// judgeFlows turns the sums into answers and failures. One that says nothing yet
// goes on.
func (t *targets) judgeFlows(now time.Duration) {
	if now < t.judges {
		return
	}
	t.judges = now + judgeInterval
	for id, n := range t.tallies {
		name, ok := t.names[id]
		switch {
		case !ok:
		case n.replied == 0 && n.forwarded < silentForwards && now-n.since < silentWindow:
			continue
		case n.replied > 0:
			t.observed(name, target.Answered{Target: name.target, IsFlow: true, Count: n.replied})
		case n.forwarded >= silentForwards:
			t.observed(name, target.Failed{Target: name.target, IsFlow: true})
		}
		delete(t.tallies, id)
	}
}

// sentAttempt is an attempt that a target has not answered yet.
type sentAttempt struct {
	name     targetName
	at       time.Duration
	deadline time.Duration
}

// sent notes an attempt.
func (r *requests) sent(e request.Forward) {
	now := r.b.now()
	if _, ok := r.attempts[e.Token]; ok {
		return // The core sends the same attempt again.
	}
	r.attempts[e.Token] = sentAttempt{
		name:     targetName{service: e.Request.Service, target: e.Target.Name},
		at:       now,
		deadline: now + e.Request.Remaining,
	}
}

// settled notes the answer to an attempt.
func (r *requests) settled(e request.Answered) {
	a, ok := r.attempts[e.Token]
	if !ok {
		return
	}
	delete(r.attempts, e.Token)
	var seen target.Event = target.Answered{Target: a.name.target, Latency: r.b.now() - a.at}
	if e.Result == request.ResultRefused {
		seen = target.Shed{Target: a.name.target, RetryAfter: e.RetryAfter}
	}
	r.b.control.offer(func() { r.b.control.targets.observed(a.name, seen) })
}

// overdue reports attempts whose deadline passed without an answer.
func (r *requests) overdue() {
	now := r.b.now()
	if now < r.overdueAt {
		return
	}
	r.overdueAt = now + observeInterval
	r.b.gauges.queued.Store(int64(r.core.Queued()))
	for token, a := range r.attempts {
		if now < a.deadline {
			continue
		}
		delete(r.attempts, token)
		r.b.count.AttemptsTimedOut.Inc()
		if a.deadline-a.at < failureLeast {
			continue // The caller's time was too short to speak against the target.
		}
		r.b.control.offer(func() {
			r.b.control.targets.observed(a.name, target.Failed{Target: a.name.target})
		})
	}
}
