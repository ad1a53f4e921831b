package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"wisteriaweir/target"
)

const (
	// targetWork is the mean work of a request, exponentially distributed.
	targetWork = 40 * time.Millisecond
	// targetSlots is the number of requests that a target runs at one time, and
	// targetWaiting the number that it lets wait.
	targetSlots   = 2
	targetWaiting = 2
	// coldFactor is how much longer the work takes on a cold target at first;
	// the excess falls by half each coldHalf.
	coldFactor = 5
	coldHalf   = 4 * time.Second
	// refusalTime is the time that a full target names, faultRefusalTime the one
	// that a refusing target names.
	refusalTime      = time.Second
	faultRefusalTime = 5 * time.Second
)

// serverFault is how a stand-in for a target fails.
type serverFault int

const (
	serverFaultNone serverFault = iota
	faultSilent
	faultErrors
	faultRefuses
)

// targetServer is a stand-in for a target.
type targetServer struct {
	tl     *Timeline
	rng    *rand.Rand
	name   string
	domain string

	fault   serverFault
	busy    int
	waiting []func()
	// coldSince is when the target was last cold; negative if it never was.
	coldSince time.Duration

	// claim replaces the true report while it is set.
	claim *target.Report
	// reports are the true reports of each second, the newest last.
	reports []target.Report

	answered int
	attempts []int // by second
}

func (s *targetServer) fail(f serverFault, claim *target.Report) {
	s.fault, s.claim = f, claim
}

func (s *targetServer) repair() {
	s.fail(serverFaultNone, nil)
}

// note records the true report; it runs each second.
func (s *targetServer) note() {
	s.reports = append(s.reports, target.Report{
		Healthy: s.fault != faultSilent && s.fault != faultErrors,
		Load:    float64(s.busy) / targetSlots,
	})
}

// report returns what the endpoint says, which is lag old.
func (s *targetServer) report(lag time.Duration) (target.Report, bool) {
	if s.claim != nil {
		return *s.claim, true
	}
	i := len(s.reports) - 1 - int(lag/time.Second)
	if i < 0 {
		return target.Report{}, false
	}
	return s.reports[i], true
}

// receive takes an attempt. The reply runs once: with the time named by a
// refusal, or with an error, or with neither for an answer.
func (s *targetServer) receive(reply func(e target.Event)) {
	second := int(s.tl.Now() / time.Second)
	for len(s.attempts) <= second {
		s.attempts = append(s.attempts, 0)
	}
	s.attempts[second]++
	switch {
	case s.fault == faultSilent:
	case s.fault == faultErrors:
		reply(target.Failed{Target: s.name})
	case s.fault == faultRefuses:
		reply(target.Shed{Target: s.name, RetryAfter: faultRefusalTime})
	case s.busy < targetSlots:
		s.start(reply)
	case len(s.waiting) < targetWaiting:
		s.waiting = append(s.waiting, func() { s.start(reply) })
	default:
		reply(target.Shed{Target: s.name, RetryAfter: refusalTime})
	}
}

func (s *targetServer) start(reply func(e target.Event)) {
	s.busy++
	work := s.rng.ExpFloat64() * float64(targetWork) * s.slowness()
	s.tl.After(time.Duration(work), func() { s.finish(reply) })
}

func (s *targetServer) finish(reply func(e target.Event)) {
	s.busy--
	if s.fault != faultSilent {
		s.answered++
		reply(target.Answered{Target: s.name})
	}
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		next()
	}
}

// slowness is the factor on the work of a target that is still cold.
func (s *targetServer) slowness() float64 {
	if s.coldSince < 0 {
		return 1
	}
	age := float64(s.tl.Now()-s.coldSince) / float64(coldHalf)
	return 1 + (coldFactor-1)*math.Exp2(-age)
}
