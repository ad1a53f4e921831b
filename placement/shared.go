package placement

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaweir/admission"
	"wisteriaweir/packet"
)

// maxSocketLag is the longest time since the socket was last drained for which the latency of
// a response is attributed to its target. After a longer time, much of the latency may have
// been spent in the socket of this host. It is a fifth of the mean response time of a busy
// target, so that the part of the socket does not raise the level.
const maxSocketLag = 15 * time.Millisecond

// updateAdmission creates the controllers of new services and removes those of services
// that have no route any more.
func (c *Core) updateAdmission() {
	if c.cfg.SharedAdmission == NoSharedAdmission {
		return
	}
	priorities := map[string][]int{}
	for _, r := range c.catalog.Routes().Routes() {
		for _, s := range r.WeightedServices {
			priorities[s.Service] = append(priorities[s.Service], r.Priority)
		}
	}
	for service, list := range priorities {
		if ctrl := c.admissions[service]; ctrl != nil {
			ctrl.SetPriorities(list)
			continue
		}
		c.admissions[service] = admission.New(admission.Config{Priorities: list})
	}
	for service := range c.admissions {
		if priorities[service] == nil {
			delete(c.admissions, service)
		}
	}
}

// controllerOf returns the controller that applies to a service, nil if there is none.
func (c *Core) controllerOf(now time.Duration, service string) *admission.Controller {
	if c.cfg.SharedAdmission == ShortFlowAdmission && !c.flowCounts[service].hasShortFlows(now) {
		return nil
	}
	return c.admissions[service]
}

// admitsByLevel reports whether the admission level of the service of t admits a new flow,
// for which t is chosen. It also passes the arrival and the expected wait to the controller,
// as both show an overload before responses do.
func (c *Core) admitsByLevel(now time.Duration, t *Target, key packet.FlowKey, priority int, objective time.Duration) bool {
	ctrl := c.controllerOf(now, t.Service)
	if ctrl == nil {
		return true
	}
	ctrl.Record(now, admission.Wait{Expected: t.expectedWait(now, priority, c.urgentReserve(now, t, priority)), Limit: maxWait(objective)})
	return ctrl.Admit(now, priority, drawOf(key))
}

// recordAdmission passes a response on f to the controller of its service. It ignores the
// response if the socket was last drained longer than maxSocketLag ago, and the refusals of
// ejected targets.
func (c *Core) recordAdmission(now time.Duration, f *flow, isShort bool, objective time.Duration) {
	ctrl := c.controllerOf(now, f.target.Service)
	switch {
	case ctrl == nil || now-c.socketDrainedAt > maxSocketLag:
	case !isShort:
		ctrl.Record(now, admission.Response{Priority: c.routeOf(f).Priority, IsFirst: f.placedHere && f.requestNumber == 1, Latency: now - f.lastSentAt, Limit: slowThreshold(objective)})
	case !f.target.isFailing(now):
		ctrl.Record(now, admission.Refusal{})
	}
}

// setReportedLevels processes the admission levels that a domain peer reports. A report
// without a level of a service states that the peer admits every flow.
func (c *Core) setReportedLevels(now time.Duration, name string, l LoadReport) {
	for service, ctrl := range c.admissions {
		ctrl.SetReport(now, name, l.Services[service].Level)
	}
}

// addLevels adds the admission levels above 0 to a load report.
func (c *Core) addLevels(now time.Duration, l *LoadReport) {
	for service, level := range c.Levels(now) {
		if l.Services == nil {
			l.Services = map[string]ServiceLoad{}
		}
		s := l.Services[service]
		s.Domain, s.Level = c.cfg.Domain, level
		l.Services[service] = s
	}
}

// Levels returns the admission levels above 0 by service.
func (c *Core) Levels(now time.Duration) map[string]float64 {
	levels := map[string]float64{}
	for service := range c.admissions {
		ctrl := c.controllerOf(now, service)
		if ctrl == nil {
			continue
		}
		if level := ctrl.Level(now); level > 0 {
			levels[service] = level
		}
	}
	return levels
}

// isCongested reports whether the admission level of the service of t rejects flows. There
// is no capacity to spare for overdue requests then.
func (c *Core) isCongested(now time.Duration, t *Target) bool {
	ctrl := c.controllerOf(now, t.Service)
	return ctrl != nil && ctrl.Level(now) > 0
}

// mustHold reports whether a request on f must wait because the admission level rejects its
// priority, and the rate at which such requests may be sent on open flows is used up.
func (c *Core) mustHold(now time.Duration, f *flow) bool {
	ctrl := c.controllerOf(now, f.target.Service)
	return ctrl != nil && !ctrl.CanSendHeld(now, c.routeOf(f).Priority)
}

// mustHoldQueue reports whether all requests that are queued for t must wait for the reason
// that mustHold names.
func (c *Core) mustHoldQueue(now time.Duration, t *Target) bool {
	ctrl := c.controllerOf(now, t.Service)
	return ctrl != nil && !ctrl.CanSendHeld(now, t.queue.bestPriority())
}

// drawOf returns a number of at least 0 and less than 1 that depends only on the flow, so
// that all hosts with the same level decide alike, also on a retransmitted opening packet.
func drawOf(k packet.FlowKey) float64 {
	var b [12]byte
	binary.BigEndian.PutUint32(b[0:], k.CallerIP)
	binary.BigEndian.PutUint32(b[4:], k.ServiceIP)
	binary.BigEndian.PutUint16(b[8:], k.CallerPort)
	binary.BigEndian.PutUint16(b[10:], k.ServicePort)
	return float64(xxhash.Sum64(b[:])>>11) / math.Exp2(53)
}

// recordSent informs the controller of the service of f that its request is sent.
func (c *Core) recordSent(now time.Duration, f *flow) {
	if ctrl := c.controllerOf(now, f.target.Service); ctrl != nil {
		ctrl.RecordSent(now, c.routeOf(f).Priority)
	}
}
