package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"wisteriaweir/target"
)

const (
	// meanTargetServiceTime is the mean service time of a request, which is exponentially
	// distributed.
	meanTargetServiceTime = 40 * time.Millisecond
	// targetSlots is the number of requests that a target runs at the same time.
	targetSlots = 2
	// maxTargetQueue is the number of requests that a target queues.
	maxTargetQueue = 2
	// initialColdFactor is the factor on the service time of a target at its cold
	// start; the excess over 1 halves each coldHalfLife.
	initialColdFactor = 5
	// coldHalfLife is the time in which the excess of this factor over 1 halves.
	coldHalfLife = 4 * time.Second
	// refusalRetryAfter is the retry-after time in the refusals of a full target.
	refusalRetryAfter = time.Second
	// faultRetryAfter is the retry-after time in the refusals of a target with
	// serverFaultRefuses.
	faultRetryAfter = 5 * time.Second
)

// serverFault is a fault of a simulated target.
type serverFault int

const (
	// serverFaultNone is a target without a fault.
	serverFaultNone serverFault = iota
	// serverFaultSilent is a target that does not respond.
	serverFaultSilent
	// serverFaultErrors is a target that responds with an error at once.
	serverFaultErrors
	// serverFaultRefuses is a target that refuses all requests.
	serverFaultRefuses
)

// targetServer is a simulated target.
type targetServer struct {
	tl     *Timeline
	rng    *rand.Rand
	name   string
	domain string

	fault serverFault
	// busy is the number of occupied slots; queue holds the start of each queued
	// request.
	busy  int
	queue []func()
	// coldSince is the time of the last cold start; it is negative if there was none.
	coldSince time.Duration

	// falseReport, unless nil, replaces the true report.
	falseReport *target.Report
	// reports holds the true report of each second, the newest last.
	reports []target.Report

	answers int
	// attemptsBySecond counts the received attempts in each second of the run.
	attemptsBySecond []int
}

// fail starts a fault and, unless nil, a false report.
func (s *targetServer) fail(f serverFault, falseReport *target.Report) {
	s.fault, s.falseReport = f, falseReport
}

// repair ends the fault and the false report.
func (s *targetServer) repair() {
	s.fail(serverFaultNone, nil)
}

// recordReport records the true report. It runs each second.
func (s *targetServer) recordReport() {
	s.reports = append(s.reports, target.Report{
		Healthy: s.fault != serverFaultSilent && s.fault != serverFaultErrors,
		Load:    float64(s.busy) / targetSlots,
	})
}

// agedReport returns the report that is read now, which describes the state age ago,
// and false if there is none yet.
func (s *targetServer) agedReport(age time.Duration) (target.Report, bool) {
	if s.falseReport != nil {
		return *s.falseReport, true
	}
	i := len(s.reports) - 1 - int(age/time.Second)
	if i < 0 {
		return target.Report{}, false
	}
	return s.reports[i], true
}

// receive handles an attempt. It calls reply at most once: with Answered, Failed or,
// for a refusal, Shed with its retry-after. A silent target does not call it.
func (s *targetServer) receive(reply func(e target.Event)) {
	second := int(s.tl.Now() / time.Second)
	for len(s.attemptsBySecond) <= second {
		s.attemptsBySecond = append(s.attemptsBySecond, 0)
	}
	s.attemptsBySecond[second]++
	switch {
	case s.fault == serverFaultSilent:
	case s.fault == serverFaultErrors:
		reply(target.Failed{Target: s.name})
	case s.fault == serverFaultRefuses:
		reply(target.Shed{Target: s.name, RetryAfter: faultRetryAfter})
	case s.busy < targetSlots:
		s.start(reply)
	case len(s.queue) < maxTargetQueue:
		s.queue = append(s.queue, func() { s.start(reply) })
	default:
		reply(target.Shed{Target: s.name, RetryAfter: refusalRetryAfter})
	}
}

// start runs a request in a free slot.
func (s *targetServer) start(reply func(e target.Event)) {
	s.busy++
	serviceTime := s.rng.ExpFloat64() * float64(meanTargetServiceTime) * s.serviceTimeFactor()
	s.tl.After(time.Duration(serviceTime), func() { s.finish(reply) })
}

// finish frees a slot and starts the next queued request. A silent target does not
// reply.
func (s *targetServer) finish(reply func(e target.Event)) {
	s.busy--
	if s.fault != serverFaultSilent {
		s.answers++
		reply(target.Answered{Target: s.name})
	}
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next()
	}
}

// serviceTimeFactor returns the factor on the service time of a target that is still
// cold, or 1.
func (s *targetServer) serviceTimeFactor() float64 {
	if s.coldSince < 0 {
		return 1
	}
	age := float64(s.tl.Now()-s.coldSince) / float64(coldHalfLife)
	return 1 + (initialColdFactor-1)*math.Exp2(-age)
}
