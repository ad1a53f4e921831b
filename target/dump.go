package target

import (
	"encoding/json"
	"time"
)

// Dump is the local state of one target, for the dump of a process. Times are counted
// from the start of the process and written as Go durations, such as 5.5s.
type Dump struct {
	Target string `json:"target"`
	Domain string `json:"domain"`
	State  State  `json:"state"`
	Reason Reason `json:"reason,omitempty"`
	// Level is the share of the target, in eighths.
	Level Level `json:"level"`
	// Since is the time at which the state began.
	Since string `json:"since"`
	// Until is the end of an ejection, of a refusal or of a reduced share of a slow
	// target.
	Until string `json:"until,omitempty"`
	// Answered, Failed and Shed count the outcomes of requests of the last ten
	// seconds, FlowAnswered and FlowFailed those of flows.
	Answered     int `json:"answered"`
	Failed       int `json:"failed"`
	Shed         int `json:"shed"`
	FlowAnswered int `json:"flow_answered"`
	FlowFailed   int `json:"flow_failed"`
	// Ejections counts the ejections since the target last stayed in StateServing for
	// two minutes.
	Ejections int `json:"ejections"`
	// IsResponsive is whether the target has responded to most of this balancer's recent
	// attempts.
	IsResponsive bool `json:"sound"`
	// Report is the last report of the target, if it is recent enough to be used.
	Report *Report `json:"report,omitempty"`
}

// Dump returns the local state of each target, sorted by name.
func (p *Pool) Dump(now time.Duration) []Dump {
	dumps := make([]Dump, 0, len(p.views))
	for _, v := range p.views {
		dumps = append(dumps, v.dump(now))
	}
	return dumps
}

// dump returns the local state of the target.
func (v *view) dump(now time.Duration) Dump {
	s, flows := v.requests.outcomes.total(now), v.flows.outcomes.total(now)
	d := Dump{
		Target: v.target.Name, Domain: v.target.Domain, State: v.state, Reason: v.reason, Level: v.level,
		Since: v.since.String(), Answered: s.answered, Failed: s.failed, Shed: s.shed,
		FlowAnswered: flows.answered, FlowFailed: flows.failed, Ejections: v.ejections, IsResponsive: v.isResponsive(now),
	}
	if v.until > now {
		d.Until = v.until.String()
	}
	if r, ok := v.recentReport(now); ok {
		d.Report = &r
	}
	return d
}

// Health returns the health that was last published, or the previous health before
// that.
func (a *HealthAggregator) Health() Health { return a.health }

// MarshalJSON implements json.Marshaler.
func (s Shares) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Service string  `json:"service"`
		Number  uint64  `json:"number"`
		Targets []Share `json:"targets"`
	}{s.Service, s.Number, s.list})
}
