package fake

import "fmt"

// Result counts what became of the load of a Caller.
type Result struct {
	Requests, Answered, Refused, Unknown, Lost, Doubled int
	Flows, Broken, Crossed                              int
	// Imbalance is the highest number of open flows on a target over the mean
	// of its service, for the worst service.
	Imbalance float64
	Seconds   float64
}

// String returns the result as one line.
func (r Result) String() string {
	return fmt.Sprintf("requests=%d answered=%d refused=%d unknown=%d lost=%d doubled=%d flows=%d broken=%d crossed=%d imbalance=%.2f seconds=%.1f",
		r.Requests, r.Answered, r.Refused, r.Unknown, r.Lost, r.Doubled, r.Flows, r.Broken, r.Crossed, r.Imbalance, r.Seconds)
}

// Failed says whether something happened that never may.
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

// addTargetStates adds what only the targets know. A request that ran although its
// caller was told that it did not counts as doubled, since the caller will
// send it again; one that was answered but never ran counts as lost.
func (r *Result) addTargetStates(outcomes map[string]outcome, states []TargetState, log func(string)) {
	runs := make(map[string]int)
	for _, s := range states {
		r.Crossed += s.Misrouted
		if s.Misrouted > 0 {
			log(fmt.Sprintf("target %s got %d datagrams of another service", s.Target, s.Misrouted))
		}
		for id, n := range s.Runs {
			runs[id] += n
		}
	}
	for id, o := range outcomes {
		n := runs[id]
		if n > 1 || (n == 1 && o == outcomeRefused) {
			r.Doubled++
			log(fmt.Sprintf("request %s ran %d times, caller told %s", id, n, o))
		}
		if n == 0 && o == outcomeAnswered {
			r.Lost++
		}
	}
	r.Imbalance = imbalance(states)
}

func imbalance(states []TargetState) float64 {
	total := make(map[string]int)
	highest := make(map[string]int)
	targets := make(map[string]int)
	for _, s := range states {
		total[s.Service] += s.Flows
		highest[s.Service] = max(highest[s.Service], s.Flows)
		targets[s.Service]++
	}
	worst := 0.0
	for name, n := range total {
		if n > 0 {
			worst = max(worst, float64(highest[name]*targets[name])/float64(n))
		}
	}
	return worst
}
