package admission

import "time"

const (
	// minSamples is the number of measurements of which the mean is used. With fewer, a
	// single slow response would change the level.
	minSamples = 8
	// sureExcess is the excess at which the measurements show a surge. Four refusals in a row
	// reach it. A single measurement does not: it adds at most maxPressure - startLimit.
	sureExcess = 3.5
	// maxSampleAge is the time after which measurements are discarded if there are fewer
	// than minSamples.
	maxSampleAge = time.Second
	// highLifetime is the time for which a mean of at least fallLimit is used. It is short
	// because such a mean rejects flows, whose responses are then missing in the next mean.
	highLifetime = 100 * time.Millisecond
	// lowLifetime is the time for which a mean below fallLimit is used. It is longer because a
	// host with 16 responses a second has a mean only every 500 ms, and would follow reports
	// from before the end of a surge in between.
	lowLifetime = 500 * time.Millisecond
	// refusalPressure is the pressure of a response by which a target refuses a request:
	// that of one that takes the whole latency objective.
	refusalPressure = 2
	// maxPressure limits the pressure of one measurement, so that one request that is
	// answered after a stall does not count as many.
	maxPressure = 3
)

// Observation is a measurement of this host: Response, Refusal or Wait.
type Observation interface {
	observation()
}

// Response is a response to a request.
type Response struct {
	// Priority is that of the request.
	Priority int
	// IsFirst reports whether the request is the first one of a flow that this host placed.
	IsFirst bool
	// Latency is the time from sending the request to its target until its response.
	Latency time.Duration
	// Limit is the latency above which the response is slow.
	Limit time.Duration
}

// Refusal is a response by which a target refuses a request.
type Refusal struct{}

// Wait is the expected time in the queue of this host of the first request of a new flow.
type Wait struct {
	Expected time.Duration
	// Limit is the longest wait after which the request can still be answered in time.
	Limit time.Duration
}

func (Response) observation() {}
func (Refusal) observation()  {}
func (Wait) observation()     {}

// mean accumulates measurements for a mean and for the detection of a surge.
type mean struct {
	sum   float64
	count int
	// excess is the sum of the differences from startLimit since it was last 0; it is never
	// below 0 (a cumulative sum test).
	excess float64
	// highSum and highCount are the sum and the number of the measurements since excess was
	// last 0.
	highSum   float64
	highCount int
	// startedAt is the time of the first of the count measurements.
	startedAt time.Duration
}

// add adds the measurement v, limited to maxPressure.
func (m *mean) add(now time.Duration, v float64) {
	if m.count == 0 {
		m.startedAt = now
	}
	m.sum += min(v, maxPressure)
	m.count++
	if m.excess += min(v, maxPressure) - startLimit; m.excess <= 0 {
		m.excess, m.highSum, m.highCount = 0, 0, 0
		return
	}
	m.highSum += min(v, maxPressure)
	m.highCount++
}

// pressure holds the measurements of this host, as multiples of the limits that they are
// recorded with: 1 is a mean at the limit.
type pressure struct {
	// responses and waits are the measurements since the last update.
	responses, waits mean
	// responseValue and waitValue are the last means of at least minSamples.
	responseValue, waitValue measured
}

// measured is a mean and the time of its last measurement.
type measured struct {
	value float64
	at    time.Duration
	known bool
	// isSurge reports whether the measurements show a surge; see sureExcess.
	isSurge bool
}

// isRecent reports whether the mean is still used.
func (v measured) isRecent(now time.Duration) bool {
	lifetime := highLifetime
	if v.value < fallLimit {
		lifetime = lowLifetime
	}
	return v.known && now-v.at <= lifetime
}

// record adds a measurement.
func (p *pressure) record(now time.Duration, o Observation) {
	switch o := o.(type) {
	case Response:
		p.responses.add(now, float64(o.Latency)/float64(max(o.Limit, 1)))
	case Refusal:
		p.responses.add(now, refusalPressure)
	case Wait:
		p.waits.add(now, float64(o.Expected)/float64(max(o.Limit, 1)))
	}
}

// update closes the means that have enough measurements.
func (p *pressure) update(now time.Duration) {
	p.responses.closeInto(now, &p.responseValue)
	p.waits.closeInto(now, &p.waitValue)
}

// closeInto stores the mean in v and starts a new one if it has enough measurements, or if
// the last ones show a surge. It discards measurements that are too old.
func (m *mean) closeInto(now time.Duration, v *measured) {
	switch {
	case m.excess >= sureExcess:
		*v = measured{value: m.highSum / float64(m.highCount), at: now, known: true, isSurge: true}
		*m = mean{}
	case m.count >= minSamples:
		*v = measured{value: m.sum / float64(m.count), at: now, known: true}
		m.sum, m.count = 0, 0
	case m.count > 0 && now-m.startedAt > maxSampleAge:
		*m = mean{}
	}
}

// value returns the higher of the two means, and whether one of them is recent.
func (p *pressure) value(now time.Duration) (float64, bool) {
	highest, known := 0.0, false
	for _, v := range []measured{p.responseValue, p.waitValue} {
		if v.isRecent(now) {
			highest, known = max(highest, v.value), true
		}
	}
	return highest, known
}

// newest returns the time of the newest mean.
func (p *pressure) newest() time.Duration {
	return max(p.responseValue.at, p.waitValue.at)
}

// isSurge reports whether one of the two means shows a surge.
func (p *pressure) isSurge() bool {
	return p.responseValue.isSurge || p.waitValue.isSurge
}
