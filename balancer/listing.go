package balancer

import (
	"time"

	"wisteriaweir/member"
	"wisteriaweir/platform"
)

const (
	// minListInterval is the shortest interval between two reads of the
	// platform's host list.
	minListInterval = 2 * time.Second
	// maxListInterval is the interval at which a lease holder reads the list
	// when it neither has just acquired the lease nor misses a live balancer in
	// the list.
	maxListInterval = time.Minute
	// listPollDuration is how long after acquiring the lease the list is read
	// every minListInterval: the list is eventually consistent, and a new lease
	// holder may not know any other balancer yet.
	listPollDuration = 20 * time.Second
)

// hostListSchedule decides when a lease holder reads the platform's host list,
// which has no version to watch. It belongs to the control goroutine.
type hostListSchedule struct {
	// liveInstances maps the names of the live balancers to their instances, by
	// the last read.
	liveInstances map[string]uint64
	// earliestReadAt and latestReadAt limit the time of the next read.
	earliestReadAt, latestReadAt time.Duration
	// pollUntil is the time until which the list is read every minListInterval.
	pollUntil time.Duration
}

// startPolling makes reads due every minListInterval for listPollDuration, after
// the lease was acquired.
func (s *hostListSchedule) startPolling(now time.Duration) {
	s.earliestReadAt, s.pollUntil = now, now+listPollDuration
}

// isDue reports whether to read the list now; if so, it schedules the next
// read. The argument hasUnlisted tells whether a live balancer is missing from
// the last list, which makes a read due after minListInterval.
func (s *hostListSchedule) isDue(now time.Duration, hasUnlisted bool) bool {
	if now < s.earliestReadAt || now >= s.pollUntil && now < s.latestReadAt && !hasUnlisted {
		return false
	}
	s.earliestReadAt, s.latestReadAt = now+minListInterval, now+maxListInterval
	return true
}

// record stores the live balancers of a list.
func (s *hostListSchedule) record(hosts []platform.Host) {
	s.liveInstances = make(map[string]uint64)
	for _, h := range hosts {
		if h.State == platform.StateLive {
			s.liveInstances[h.Name] = h.Life
		}
	}
}

// contains reports whether the last list contains this instance of a balancer.
func (s *hostListSchedule) contains(m member.Member) bool {
	return s.liveInstances[m.Name] == m.Life
}
