package admission

import "time"

const (
	// riseLimit is the pressure above which the level rises. A pressure of 1 is a mean
	// response time of half of the latency objective. At 0.85, responses that take 2.35 times
	// the mean are still in time.
	riseLimit = 0.85
	// startLimit is the pressure that measurements must exceed for the level to leave 0; see
	// sureExcess. It is higher than riseLimit so that a random cluster of slow responses at 0.8
	// of the capacity rejects nothing.
	startLimit = 1.1
	// fallLimit is the pressure below which the level falls. In between it stays, so that it
	// does not follow the noise of single means.
	fallLimit = 0.75
	// minCutFactor is the least factor by which one mean of measurements reduces the admitted
	// fraction, because a mean of minSamples may be far too high. At 0.5, four means reduce the
	// fraction enough for a surge to nine times the capacity.
	minCutFactor = 0.5
	// fallGain is the relative growth of the admitted fraction within feedbackDelay if the
	// pressure is 0; it decreases linearly to 0 at fallLimit. It is below 1, so that the growth
	// before its effect is measured is less than the spare capacity that was measured, and the
	// level does not oscillate.
	fallGain = 0.95
	// minRateFactor is the least admitted rate in a surge, as a fraction of the rate of
	// responses. The rest of the capacity serves the requests that were admitted before the
	// level rose: a fifth of it serves the queued work of feedbackDelay (150 ms) in 0.75 s.
	minRateFactor = 0.8
	// minFraction is the least admitted fraction to which the growth is applied. From 0, the
	// fraction would not grow.
	minFraction = 0.02
	// maxWorseServed is the fraction of the responses for entirely rejected priorities above
	// which no better priority is rejected. It is not 0, because heldRate still lets some
	// requests of these priorities through on open flows.
	maxWorseServed = 0.2
	// bestHold is the time for which all worse priorities are rejected before the best one
	// is, too. The requests that were admitted before are answered within it; their response
	// times do not reject flows of the best priority.
	bestHold = 2 * feedbackDelay
)

// adapt changes the level according to the pressure that this host measures. It cuts or
// extends the admitted fraction of all arrivals, not the level itself, because the
// priorities have different numbers of arrivals. A high mean cuts it once; a low one lets it
// grow with each step.
func (c *Controller) adapt(now time.Duration) {
	if c.level < 1 {
		c.held.perStep = c.answeredPerStep()
	}
	p, known := c.load.value(now)
	switch {
	case known && p > riseLimit && c.load.newest() == now && (c.level > 0 || c.load.isSurge()):
		cut := max(riseLimit/p, minCutFactor)
		if c.servesWorse() {
			c.held.scale(cut)
		}
		c.rise(now, c.levelFor(max(c.admittedFraction()*cut, c.answeredFraction()*minRateFactor)))
	case !known || p < fallLimit:
		growth := fallGain * (1 - p/fallLimit) * float64(stepInterval) / float64(feedbackDelay)
		c.held.scale(1 + growth)
		c.held.perStep = min(c.held.perStep, max(c.answeredPerStep(), maxHeldTokens))
		c.fall(growth)
	}
}

// fall lowers the level so that the admitted fraction grows by the factor 1+growth. If there
// are no arrivals by which to compute it, the level itself falls by the factor 1-growth.
func (c *Controller) fall(growth float64) {
	if c.totalArrivals() < 1 {
		c.level *= 1 - growth
		if c.level < negligible {
			c.level = 0
		}
		return
	}
	c.level = min(c.level, c.levelFor(max(c.admittedFraction(), minFraction)*(1+growth)))
}

// rise raises the level towards the given one. It rejects flows of the best priority only
// after bestHold, and only if servesWorse is false.
func (c *Controller) rise(now time.Duration, level float64) {
	worse := float64(len(c.priorities) - 1)
	switch {
	case c.level < worse && level >= worse:
		level, c.holdUntil = worse, now+bestHold
	case c.level >= worse && (now < c.holdUntil || c.servesWorse()):
		return
	}
	c.level = min(max(c.level, level), c.maxLevel())
}

// servesWorse reports whether more than maxWorseServed of the responses are for requests of
// the priorities that the level rejects entirely. These requests then cause the overload, not
// those of the next better priority.
func (c *Controller) servesWorse() bool {
	worse, total := 0.0, 0.0
	for i, n := range c.served {
		total += n
		if c.rejectedFraction(i) == 1 {
			worse += n
		}
	}
	return worse > maxWorseServed*total
}

// answeredFraction returns the recent responses to first requests of flows, except for the
// priorities that are rejected entirely, as a fraction of the arrivals.
func (c *Controller) answeredFraction() float64 {
	answered, arrivals := 0.0, 0.0
	for i, n := range c.arrivals {
		arrivals += n
		if c.rejectedFraction(i) < 1 {
			answered += c.opened[i]
		}
	}
	return answered / max(arrivals, 1)
}

// answeredPerStep returns the number of recent responses for each stepInterval.
func (c *Controller) answeredPerStep() float64 {
	sum := 0.0
	for _, n := range c.served {
		sum += n
	}
	return sum * float64(stepInterval) / float64(arrivalMemory)
}

// admittedFraction returns the fraction of the recent arrivals that the level admits.
func (c *Controller) admittedFraction() float64 {
	admitted, total := 0.0, 0.0
	for i, n := range c.arrivals {
		total += n
		admitted += n * (1 - c.rejectedFraction(i))
	}
	if total == 0 {
		return 1
	}
	return admitted / total
}

// totalArrivals returns the number of recent arrivals.
func (c *Controller) totalArrivals() float64 {
	total := 0.0
	for _, n := range c.arrivals {
		total += n
	}
	return total
}

// levelFor returns the level that admits the given fraction of the recent arrivals.
func (c *Controller) levelFor(admitted float64) float64 {
	total := c.totalArrivals()
	rejected := (1 - admitted) * total
	if rejected <= negligible*total {
		return 0
	}
	level := 0.0
	for i := len(c.arrivals) - 1; i >= 0; i-- {
		if c.arrivals[i] >= rejected {
			return min(level+rejected/c.arrivals[i], c.maxLevel())
		}
		rejected -= c.arrivals[i]
		level++
	}
	return c.maxLevel()
}
