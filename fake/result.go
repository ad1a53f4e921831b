package fake

import "fmt"

// Result counts the requests and flows of a Caller by their outcome.
type Result struct {
	// Requests counts all requests. By outcome, Answered were answered, Refused were
	// reported as not run, Unknown had a response that leaves the outcome open, and
	// Lost had no response or were answered although no target ran them. Doubled
	// counts, among the requests that may not be repeated, those that ran twice or
	// more and those that ran although they were reported as not run.
	Requests, Answered, Refused, Unknown, Lost, Doubled int
	// Flows counts the opened flows, Broken those that were lost, and Crossed the
	// misrouted datagrams that callers and targets received.
	Flows, Broken, Crossed int
	// Imbalance is the highest number of open flows on a target divided by the mean
	// over the targets of its service, for the worst service.
	Imbalance float64
	// Seconds is the duration of the run.
	Seconds float64
}

// String returns the result as one line.
func (r Result) String() string {
	return fmt.Sprintf("requests=%d answered=%d refused=%d unknown=%d lost=%d doubled=%d flows=%d broken=%d crossed=%d imbalance=%.2f seconds=%.1f",
		r.Requests, r.Answered, r.Refused, r.Unknown, r.Lost, r.Doubled, r.Flows, r.Broken, r.Crossed, r.Imbalance, r.Seconds)
}

// Failed reports whether a request was lost or ran twice, a flow was broken or a
// datagram was misrouted.
func (r Result) Failed() bool {
	return r.Lost != 0 || r.Doubled != 0 || r.Broken != 0 || r.Crossed != 0
}

func (r *Result) countOutcome(o outcome) {
	switch o {
	case outcomeAnswered:
		r.Answered++
	case outcomeRefused:
		r.Refused++
	case outcomeUnknown:
		r.Unknown++
	case outcomeLost:
		r.Lost++
	}
}

// addTargetStates adds the counts that come from the targets' states. A request that
// ran although its caller received the outcome "not run" counts as doubled, since the
// caller will send it again. A request that was answered but never ran counts as
// lost.
func (r *Result) addTargetStates(outcomes map[string]outcome, states []TargetState, log func(string)) {
	runs := make(map[string]int)
	for _, s := range states {
		r.Crossed += s.Misrouted
		if s.Misrouted > 0 {
			log(fmt.Sprintf("target %s received %d datagrams of another service", s.Target, s.Misrouted))
		}
		for id, n := range s.Runs {
			runs[id] += n
		}
	}
	for id, o := range outcomes {
		n := runs[id]
		if n > 1 || (n == 1 && o == outcomeRefused) {
			r.Doubled++
			log(fmt.Sprintf("request %s ran %d times; its caller received %s", id, n, o))
		}
		if n == 0 && o == outcomeAnswered {
			r.Lost++
		}
	}
	r.Imbalance = imbalance(states)
}

// imbalance returns Result.Imbalance for the given states, and 0 without flows.
func imbalance(states []TargetState) float64 {
	openFlows := make(map[string]int)
	highest := make(map[string]int)
	targets := make(map[string]int)
	for _, s := range states {
		openFlows[s.Service] += s.Flows
		highest[s.Service] = max(highest[s.Service], s.Flows)
		targets[s.Service]++
	}
	worst := 0.0
	for name, n := range openFlows {
		if n > 0 {
			worst = max(worst, float64(highest[name]*targets[name])/float64(n))
		}
	}
	return worst
}
