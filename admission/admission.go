// Package admission decides which new flows of a service are admitted while its targets
// are overloaded. Each host has one Controller for each service. It holds an admission
// level, which says which priorities are admitted, adapts the level to what the host
// measures, and follows the levels that other hosts report.
//
// # Usage
//
//	c := admission.New(admission.Config{Priorities: []int{0, 1, 2}})
//	c.Record(now, admission.Wait{Expected: wait, Limit: limit})
//	if !c.Admit(now, priority, draw) {
//		// reject the flow
//	}
//	c.Record(now, admission.Response{Latency: latency, Limit: limit})
//	c.SetReport(now, "host-7", 0.4)
//	level := c.Level(now) // send it to the other hosts
//
// A level of 0 admits every flow. The whole part of a level is the number of priorities,
// from the worst one, of which no flow is admitted; its fraction is the rejected fraction
// of the next better priority. With three priorities, 1.25 rejects the worst priority and
// a quarter of the second one.
//
// A Controller has no clock, no random numbers, no input and no output: the time and the
// draw are parameters. It is not safe for concurrent use.
package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// stepInterval is the time between two changes of the level, the interval of the load
	// reports of a host with one domain peer.
	stepInterval = 25 * time.Millisecond
	// feedbackDelay is the time after which a change of the level shows in what hosts
	// measure: the mean response time of a busy target, about 75 ms, plus the time until
	// a report arrives, about 75 ms in a fleet of six hosts for each failure domain.
	feedbackDelay = 150 * time.Millisecond
	// minAdmitted is the least admitted fraction of the best priority. The admission by the
	// expected wait of each target decides on the rest.
	minAdmitted = 0.25
	// negligible is the rejected fraction below which the level returns to 0.
	negligible = 0.01
	// arrivalMemory is the time constant of the counts of arrivals and responses.
	arrivalMemory = 250 * time.Millisecond
	// maxIdle is the time without any call after which the level is 0: what it was derived
	// from is then older than any request in progress.
	maxIdle = 5 * time.Second
)

// Config configures a Controller.
type Config struct {
	// Priorities are the priorities in use; 0 is the most urgent.
	Priorities []int
}

// Controller holds the admission level of one service on one host.
type Controller struct {
	// priorities are the priorities in use, the best one first.
	priorities []int
	// arrivals are the recent arrivals by index of priorities, with decreasing weight.
	arrivals []float64
	// served are the recent responses by index of priorities, with decreasing weight.
	served []float64
	// opened are the recent responses to the first request of a flow, likewise.
	opened []float64
	// level is the admission level; see the package comment.
	level float64
	// held limits the requests of rejected priorities on open flows.
	held heldRate
	// holdUntil is the time until which no flow of the best priority may be rejected.
	holdUntil time.Duration
	// steppedAt is when the level was last adapted.
	steppedAt time.Duration
	// startedAt is the time of the first call, or of the first one after a pause of maxIdle.
	startedAt time.Duration
	// started reports whether steppedAt is set.
	started bool
	// load is what this host has measured.
	load    pressure
	reports reports
}

// New returns a controller that admits every flow.
func New(cfg Config) *Controller {
	c := &Controller{reports: reports{}}
	c.replacePriorities(cfg.Priorities)
	return c
}

// SetPriorities replaces the priorities in use.
func (c *Controller) SetPriorities(priorities []int) {
	sorted := slices.Compact(slices.Sorted(slices.Values(priorities)))
	if !slices.Equal(sorted, c.priorities) {
		c.replacePriorities(sorted)
	}
}

// replacePriorities sets the priorities in use and removes all counts.
func (c *Controller) replacePriorities(priorities []int) {
	c.priorities = slices.Compact(slices.Sorted(slices.Values(priorities)))
	c.arrivals = make([]float64, len(c.priorities))
	c.served = make([]float64, len(c.priorities))
	c.opened = make([]float64, len(c.priorities))
	c.level = min(c.level, c.maxLevel())
}

// Admit counts the arrival of a new flow of a priority and reports whether it is
// admitted. draw is at least 0 and less than 1, and equally distributed over the flows.
func (c *Controller) Admit(now time.Duration, priority int, draw float64) bool {
	c.advance(now)
	i := c.index(priority)
	if i < 0 {
		return true
	}
	c.arrivals[i]++
	return draw >= c.rejectedFraction(i)
}

// Level returns the level at now.
func (c *Controller) Level(now time.Duration) float64 {
	c.advance(now)
	return c.level
}

// Record adds a measurement of this host. It ignores a Wait while the level is above 0.
func (c *Controller) Record(now time.Duration, o Observation) {
	c.advance(now)
	if _, ok := o.(Wait); ok && c.level > 0 {
		return
	}
	c.load.record(now, o)
	if r, ok := o.(Response); ok && len(c.served) > 0 {
		c.served[c.index(r.Priority)]++
		if r.IsFirst {
			c.opened[c.index(r.Priority)]++
		}
	}
}

// SetReport processes the level that the host with the given name reports, 0 if it
// admits every flow.
func (c *Controller) SetReport(now time.Duration, host string, level float64) {
	c.advance(now)
	if math.IsNaN(level) {
		return
	}
	c.reports[host] = report{level: min(max(level, 0), c.maxLevel()), receivedAt: now}
}

// index returns the index of a priority in priorities, that of the next better one if it
// is not in use, and -1 if there are no priorities.
func (c *Controller) index(priority int) int {
	i, found := slices.BinarySearch(c.priorities, priority)
	if !found {
		i--
	}
	return min(max(i, 0), len(c.priorities)-1)
}

// maxLevel returns the highest level.
func (c *Controller) maxLevel() float64 {
	return max(float64(len(c.priorities))-minAdmitted, 0)
}

// rejectedFraction returns the fraction of the flows of the priority with index i that is
// rejected.
func (c *Controller) rejectedFraction(i int) float64 {
	return min(max(c.level-float64(len(c.priorities)-1-i), 0), 1)
}

// advance adapts the level for each stepInterval that has passed.
func (c *Controller) advance(now time.Duration) {
	if !c.started || now-c.steppedAt > maxIdle {
		c.started, c.startedAt, c.steppedAt, c.level = true, now, now, 0
		c.load = pressure{}
		return
	}
	for now-c.steppedAt >= stepInterval {
		c.steppedAt += stepInterval
		c.step(c.steppedAt)
	}
}

// step adapts the level at now: first to the reports of other hosts, then to what this
// host measures.
func (c *Controller) step(now time.Duration) {
	c.load.update(now)
	c.follow(now)
	c.adapt(now)
	c.held.refill()
	decay := math.Exp(-float64(stepInterval) / float64(arrivalMemory))
	for i := range c.arrivals {
		c.arrivals[i] *= decay
		c.served[i] *= decay
		c.opened[i] *= decay
	}
}
