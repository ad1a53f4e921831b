package measure

import (
	"fmt"
	"time"
)

const (
	// speedRunDuration is the virtual length of one run.
	speedRunDuration = 70 * time.Second
	// speedCountedFrom is when the hosts have learned the speeds of targets. Requests that
	// arrive before it are not counted.
	speedCountedFrom = 20 * time.Second
	// speedFlowEnd is the probability with which a flow ends after a response: flows have
	// ten requests on average, so that new ones are placed by the speeds known by then.
	speedFlowEnd = 0.1
	// speedHostsPerDomain is the number of hosts in each failure domain: so many that each
	// host sees a small part of the load of a target, and reports are late.
	speedHostsPerDomain = 8
)

// speedLoads are the offered loads that are compared, as fractions of the capacity.
var speedLoads = []float64{0.3, 0.6, 0.9}

// targetSpeeds are the speeds of the targets in turn.
var targetSpeeds = []float64{0.7, 0.7, 1.7}

// speed returns the speed of target i.
func (p overloadPattern) speed(i int) float64 {
	if p.speeds == nil {
		return 1
	}
	return p.speeds[i%len(p.speeds)]
}

// totalSpeed returns the sum of the speeds of all targets.
func (p overloadPattern) totalSpeed() float64 {
	sum := 0.0
	for i := range p.targets {
		sum += p.speed(i)
	}
	return sum
}

// speedResult is the outcome of a run with targets of different speeds.
type speedResult struct {
	requests, failed int
	// mean, onFast and onSlow are the mean response times of all requests, and of those on
	// the fastest and the slowest targets, waiting included.
	mean, onFast, onSlow time.Duration
	// busiest is the load of the busiest target for its speed, as a multiple of the mean.
	busiest float64
}

// steadyPattern returns a steady load. Each failure domain gets load in proportion to the
// speeds of its targets, as package placement moves flows elsewhere late.
func steadyPattern(load float64, speeds []float64, targetSpeed bool) overloadPattern {
	p := overloadPattern{
		burstLoad: load, calmLoad: load, speeds: speeds, targetSpeed: targetSpeed, flowEnd: speedFlowEnd,
		hostsPerDomain: speedHostsPerDomain, hasLateReports: true,
	}.withDefaults()
	for i := range p.targets {
		p.domainWeights[i%overloadDomains] += p.speed(i)
	}
	return p
}

// runSpeed runs a steady load, with or without placement.Config.TargetSpeed.
func runSpeed(load float64, targetSpeed bool, seed uint64) speedResult {
	r := newOverloadRun(steadyPattern(load, targetSpeeds, targetSpeed), strategyPlacement, seed)
	r.start()
	r.RunUntil(speedCountedFrom)
	for _, t := range r.targets {
		t.busyTime = 0
	}
	r.RunUntil(speedRunDuration)
	return r.speedResult()
}

// speedResult returns the outcome for the requests from speedCountedFrom on.
func (r *overloadRun) speedResult() speedResult {
	var res speedResult
	var all, fast, slow meanDuration
	for _, q := range r.requests {
		if q.arrivedAt < speedCountedFrom || q.arrivedAt > speedRunDuration-q.class.timeout {
			continue
		}
		res.requests++
		if q.answeredAt == 0 {
			res.failed++
			continue
		}
		d := q.answeredAt - q.arrivedAt
		all.add(d)
		if q.target.speed > 1 {
			fast.add(d)
		} else {
			slow.add(d)
		}
	}
	res.mean, res.onFast, res.onSlow = all.mean(), fast.mean(), slow.mean()
	total, busiest := time.Duration(0), time.Duration(0)
	for _, t := range r.targets {
		total += t.busyTime
		busiest = max(busiest, t.busyTime)
	}
	res.busiest = busiest.Seconds() * overloadTargets / total.Seconds()
	return res
}

// meanDuration is a mean of durations.
type meanDuration struct {
	sum time.Duration
	n   int
}

func (m *meanDuration) add(d time.Duration) {
	m.sum += d
	m.n++
}

func (m *meanDuration) mean() time.Duration {
	return m.sum / time.Duration(max(m.n, 1))
}

// Speed compares targets of different speeds with and without estimates of their speeds.
func Speed(seed uint64) ([]*Table, error) {
	t := NewTable(
		fmt.Sprintf("target speed: %d hosts in 4 domains, 14 targets of 2 slots with speeds %v in turn, seed %d", overloadDomains*speedHostsPerDomain, targetSpeeds, seed),
		"load", "estimates", "requests", "failed", "mean ms", "on fast ms", "on slow ms", "busiest to mean",
	)
	for _, load := range speedLoads {
		for _, enabled := range []bool{false, true} {
			r := runSpeed(load, enabled, seed)
			t.Add(load, enabled, r.requests, r.failed, milliseconds(r.mean), milliseconds(r.onFast), milliseconds(r.onSlow), r.busiest)
		}
	}
	return []*Table{t}, nil
}

// milliseconds returns d in milliseconds.
func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
