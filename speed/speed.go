// Package speed estimates how fast a target is relative to the other targets of its
// service, from the latencies of its responses.
//
// # Usage
//
//	var e speed.Estimate
//	e = e.WithSample(now, speed.Sample{Latency: 30 * time.Millisecond, Usual: usual.Mean(), SlotFree: true})
//	raw, ok := e.Raw(now)           // ok is false until there are enough responses
//	s := speed.Relative(raw, poolMean)
//
// The latency of a response is compared with the usual one of its route, so that a target
// with longer requests does not look slow. Responses to requests that found no free slot
// are ignored, as their latency contains the wait for one. Raw speeds are divided by the
// mean of the raw speeds of the pool: the usual latency depends on the traffic of each target
// and on the lag of the moving averages, which affect all targets of a pool alike.
//
// Values are immutable and do no I/O. The parameter now is the time since any fixed
// moment; it must not decrease.
package speed

import (
	"math"
	"time"
)

const (
	// Min is the least relative speed. Together with Max it limits the effect of a wrong
	// estimate on the traffic of a target.
	Min = 0.25
	// Max is the greatest relative speed.
	Max = 4.0
	// minWeight is the weight of responses from which a target has an estimate. With work
	// times that vary by half of their mean, its error is then about 18 %.
	minWeight = 8
	// maxWeight limits the weight of older responses when one is added, so that a target
	// whose speed changes is noticed after a few responses.
	maxWeight = 16
	// halfLife is the time in which a response loses half of its weight. A target that
	// gets few requests because it was slow thus loses its estimate, and is tried again.
	halfLife = 30 * time.Second
	// maxRatio limits the work time of one response, as a multiple of the usual one: a
	// packet that was lost on the way says nothing about the target.
	maxRatio = 10
	// usualWeight is the weight of the newest response in the usual work time, once there
	// are as many responses.
	usualWeight = 0.02
	// minWorkDivisor bounds the work time from below: it is at least the latency divided by
	// minWorkDivisor, also if the delay of the path is estimated too long.
	minWorkDivisor = 8
	// shorterPathWeight and longerPathWeight are the weights of the newest delay of a path if
	// it is shorter or longer than the delay known so far. Opening packets may be answered
	// late by a busy target or caller, but never early.
	shorterPathWeight, longerPathWeight = 0.25, 0.02
)

// Sample is the response to one request.
type Sample struct {
	// Latency is the time from the request to its response.
	Latency time.Duration
	// Path is the delay of the path to the target, through the caller and back, without
	// any work of the target, 0 if it is not known.
	Path time.Duration
	// Usual is the usual work time of the route over all targets, 0 if it is not known.
	Usual time.Duration
	// SlotFree reports whether the target had a free slot when it received the request.
	SlotFree bool
}

// work returns the time for which the target worked on the request.
func (s Sample) work() time.Duration {
	return max(s.Latency-s.Path, s.Latency/minWorkDivisor, 1)
}

// Estimate is the estimate of the speed of one target. The zero value has no responses.
type Estimate struct {
	// weight is the sum of the weights of the responses as of updatedAt.
	weight float64
	// ratios is the sum of the weighted work times, each divided by the usual one.
	ratios    float64
	updatedAt time.Duration
}

// WithSample returns e with one more response.
func (e Estimate) WithSample(now time.Duration, s Sample) Estimate {
	if !s.SlotFree || s.Usual <= 0 {
		return e
	}
	e = e.scaled(e.decay(now))
	if e.weight > maxWeight {
		e = e.scaled(maxWeight / e.weight)
	}
	return Estimate{weight: e.weight + 1, ratios: e.ratios + min(s.work().Seconds()/s.Usual.Seconds(), maxRatio), updatedAt: now}
}

// Raw returns the speed relative to the usual work times. It returns false if there are too
// few recent responses.
func (e Estimate) Raw(now time.Duration) (float64, bool) {
	if e.weight < minWeight || e.weight*e.decay(now) < minWeight {
		return 0, false
	}
	return e.weight / e.ratios, true
}

// decay returns the factor by which the weights have decreased since updatedAt.
func (e Estimate) decay(now time.Duration) float64 {
	return math.Exp2(-float64(now-e.updatedAt) / float64(halfLife))
}

// scaled returns e with all weights multiplied by a factor.
func (e Estimate) scaled(factor float64) Estimate {
	e.weight *= factor
	e.ratios *= factor
	return e
}

// Relative returns the speed of a target relative to its pool, from its raw speed and the
// mean of those of the pool, within Min and Max.
func Relative(raw, mean float64) float64 {
	return min(max(raw/mean, Min), Max)
}

// Usual is the estimate of the usual work time of a route, a moving average. The zero value
// has no responses.
type Usual struct {
	mean time.Duration
	// count is the number of responses, at most 1/usualWeight.
	count float64
}

// WithSample returns u with one more response.
func (u Usual) WithSample(s Sample) Usual {
	if !s.SlotFree {
		return u
	}
	u.count = min(u.count+1, 1/usualWeight)
	u.mean += time.Duration(float64(s.work()-u.mean) / u.count)
	return u
}

// Mean returns the usual work time, 0 if there was no response.
func (u Usual) Mean() time.Duration {
	return u.mean
}

// Path is the estimate of the delay of the path to the targets of a failure domain. The zero
// value has no delays.
type Path struct {
	delay time.Duration
}

// WithDelay returns p with one more delay: the time from an opening packet to its response.
func (p Path) WithDelay(d time.Duration) Path {
	weight := longerPathWeight
	switch {
	case p.delay == 0:
		weight = 1
	case d < p.delay:
		weight = shorterPathWeight
	}
	p.delay += time.Duration(weight * float64(d-p.delay))
	return p
}

// Delay returns a low value of the delays, 0 if there is none.
func (p Path) Delay() time.Duration {
	return p.delay
}
