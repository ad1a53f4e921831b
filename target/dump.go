package target

import (
	"encoding/json"
	"time"
)

// Dump is what a balancer believes about one target, for the dump of a process.
// Times are since the start of the process.
type Dump struct {
	Target string `json:"target"`
	Domain string `json:"domain"`
	State  State  `json:"state"`
	Reason Reason `json:"reason,omitempty"`
	// Level is the share in eighths.
	Level Level  `json:"level"`
	Since string `json:"since"`
	// Until is the end of an ejection or refusal.
	Until string `json:"until,omitempty"`
	// Answered, Failed and Shed count requests of the last ten seconds,
	// FlowAnswered and FlowFailed what was seen of flows.
	Answered     int `json:"answered"`
	Failed       int `json:"failed"`
	Shed         int `json:"shed"`
	FlowAnswered int `json:"flow_answered"`
	FlowFailed   int `json:"flow_failed"`
	Ejections    int `json:"ejections"`
	// IsResponsive is whether the target is known to answer by what was seen here.
	IsResponsive bool `json:"sound"`
	// Report is the last one, if it is recent enough to be heard.
	Report *Report `json:"report,omitempty"`
}

// Dump returns what is believed about each target, sorted by name.
func (p *Pool) Dump(now time.Duration) []Dump {
	dumps := make([]Dump, 0, len(p.views))
	for _, v := range p.views {
		dumps = append(dumps, v.dump(now))
	}
	return dumps
}

func (v *view) dump(now time.Duration) Dump {
	s, flows := v.requests.outcomes.sum(now), v.flows.outcomes.sum(now)
	d := Dump{
		Target: v.target.Name, Domain: v.target.Domain, State: v.state, Reason: v.reason, Level: v.level,
		Since: v.since.String(), Answered: s.answered, Failed: s.failed, Shed: s.shed,
		FlowAnswered: flows.answered, FlowFailed: flows.failed, Ejections: v.ejections, IsResponsive: v.sound(now),
	}
	if v.until > now {
		d.Until = v.until.String()
	}
	if r, ok := v.current(now); ok {
		d.Report = &r
	}
	return d
}

// Health returns the agreed health as it was last published.
func (a *HealthAggregator) Health() Health { return a.health }

// MarshalJSON implements json.Marshaler.
func (s Shares) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Service string  `json:"service"`
		Number  uint64  `json:"number"`
		Targets []Share `json:"targets"`
	}{s.Service, s.Number, s.list})
}
