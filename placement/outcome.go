package placement

import (
	"maps"
	"math"
	"slices"
	"time"

	"wisteriaweir/catalog"
	"wisteriaweir/route"
	"wisteriaweir/speed"
)

const (
	// responseTimeout is the time after its last data after which a request without
	// any response counts as failed.
	responseTimeout = 400 * time.Millisecond
	// shortFraction is the fraction of the mean response size below which a response
	// counts as short, which means that it is most likely an error.
	shortFraction = 0.4
	// sizeWeight is the weight of the newest response in the mean size.
	sizeWeight = 0.05
	// minSizeSamples is the number of responses from which the mean size is used.
	minSizeSamples = 20
	// outcomeHalfLife is the time in which an outcome loses half of its weight.
	outcomeHalfLife = time.Second
	// minFailedWeight is the least weight of failed requests at which a target is ejected.
	minFailedWeight = 2.5
	// minFailedFraction is the part of the ejection threshold that is independent of
	// the pool: a target is ejected if the fraction of its failed requests is at least
	// minFailedFraction plus outlierFactor times the median fraction of the others.
	minFailedFraction = 0.25
	// outlierFactor is the factor of the median fraction in the ejection threshold.
	outlierFactor = 3
	// minPoolWeight is the least weight of outcomes of the rest of the pool for which a
	// target is compared with it.
	minPoolWeight = 10
	// ejectionDuration is the time for which a target gets no new flows, if others can
	// accept them, after it was last found to be an outlier.
	ejectionDuration = 2 * time.Second
	// recoveryDuration is the time after an ejection for which a target gets fewer new
	// flows.
	recoveryDuration = 3 * time.Second
	// outcomeStartDelay is the time after the start of a host (Core.readyAt) in which
	// failed requests are not counted: flows still move between hosts, so that the
	// acknowledgements of responses reach other hosts.
	outcomeStartDelay = 2 * time.Second
	// maxEjectedDivisor limits the number of ejected targets of a pool: to the size of
	// the pool divided by maxEjectedDivisor, rounded down.
	maxEjectedDivisor = 3
)

// outcomes are the weights of the requests on a target that succeeded and that
// failed, as of decayedAt. Each request counts 1 at first and less with its age.
type outcomes struct {
	succeeded float64
	failed    float64
	decayedAt time.Duration
}

// decay reduces the weights to those at now.
func (o *outcomes) decay(now time.Duration) {
	f := math.Exp2(-float64(now-o.decayedAt) / float64(outcomeHalfLife))
	o.succeeded, o.failed, o.decayedAt = o.succeeded*f, o.failed*f, now
}

// add returns the sum of o and p, which must have been decayed to the same time.
func (o outcomes) add(p outcomes) outcomes {
	return outcomes{succeeded: o.succeeded + p.succeeded, failed: o.failed + p.failed, decayedAt: o.decayedAt}
}

// failedFraction returns the fraction of the requests that failed, 0 if there are
// none.
func (o outcomes) failedFraction() float64 {
	if o.succeeded+o.failed == 0 {
		return 0
	}
	return o.failed / (o.succeeded + o.failed)
}

// responseSize is the mean size of the part of a response that the caller
// acknowledges first, in bytes.
type responseSize struct {
	mean float64
	// count is the number of responses in the mean, at most minSizeSamples.
	count int
}

// isShort reports whether a response of size bytes is most likely an error.
func (s responseSize) isShort(size uint32) bool {
	return s.count >= minSizeSamples && float64(size) < s.mean*shortFraction
}

// withSample returns s updated by the size of one more response, in bytes.
func (s responseSize) withSample(size uint32) responseSize {
	if s.count < minSizeSamples {
		s.count++
		s.mean += (float64(size) - s.mean) / float64(s.count)
		return s
	}
	s.mean += sizeWeight * (float64(size) - s.mean)
	return s
}

// removeUnusedSizes removes the response sizes and usual latencies of the addresses that
// have no route in cat, if cat has other routes than the current catalog.
func (c *Core) removeUnusedSizes(cat catalog.Catalog) {
	if cat.RoutesPosition() == c.catalog.RoutesPosition() {
		return
	}
	hasNoRoute := func(a route.Address) bool {
		_, ok := cat.Routes().Lookup(a)
		return !ok
	}
	maps.DeleteFunc(c.responseSizes, func(a route.Address, _ responseSize) bool { return hasNoRoute(a) })
	maps.DeleteFunc(c.usualLatencies, func(a route.Address, _ speed.Usual) bool { return hasNoRoute(a) })
}

// pendingRequest is a request whose outcome is still unknown.
type pendingRequest struct {
	f             *flow
	requestNumber uint32
	deadline      time.Duration
}

// trackOutcome starts to wait for the outcome of a request that begins on f.
func (c *Core) trackOutcome(now time.Duration, f *flow) {
	if f.outcomePending {
		return
	}
	f.outcomePending, f.shortResponse = true, false
	f.baseAckSeq = f.ackSeq
	f.requestNumber++
	c.pendingRequests = append(c.pendingRequests, pendingRequest{f: f, requestNumber: f.requestNumber, deadline: now + responseTimeout})
}

// recordResponse records that the caller of f has received size bytes since its
// request began. A short response counts as failed until more of it arrives.
func (c *Core) recordResponse(now time.Duration, f *flow, size uint32) {
	address := route.Address{IP: f.key.ServiceIP, Port: f.key.ServicePort}
	meanSize := c.responseSizes[address]
	switch isShort := meanSize.isShort(size); {
	case f.outcomePending:
		f.outcomePending, f.shortResponse = false, isShort
		c.responseSizes[address] = meanSize.withSample(size)
		f.target.recordLatency(now - f.lastSentAt)
		c.resizeWindow(now, f, isShort)
		if isShort {
			c.recordFailure(now, f.target)
			return
		}
		c.recordSpeed(now, f)
		f.target.outcomes.decay(now)
		f.target.outcomes.succeeded++
		c.countSuccess(now, f)
	case f.shortResponse && !isShort: // More of the response has arrived.
		f.shortResponse = false
		f.target.outcomes.decay(now)
		f.target.outcomes.succeeded++
		f.target.outcomes.failed = max(f.target.outcomes.failed-1, 0)
	}
}

// resizeWindow adapts the window of a target to a response, and passes the response to the
// admission controller of its service.
func (c *Core) resizeWindow(now time.Duration, f *flow, isShort bool) {
	t := f.target
	objective, _ := latencyLimits(c.routeOf(f))
	c.recordAdmission(now, f, isShort, objective)
	if isShort {
		t.window.shrink(now, refusedFactor)
		return
	}
	t.window.recordResponse(now, now-f.lastSentAt, slowThreshold(objective), t.slots(), t.busy)
}

// recordAbort records that the caller of f has ended the flow. A request without any
// response counts as failed.
func (c *Core) recordAbort(now time.Duration, f *flow) {
	if f.outcomePending {
		f.outcomePending = false
		c.recordFailure(now, f.target)
	}
}

// expireUnanswered counts the requests that got no response within responseTimeout
// as failed, unless this host may have unread packets.
func (c *Core) expireUnanswered(now time.Duration) {
	for len(c.pendingRequests) > 0 && c.pendingRequests[0].deadline <= now {
		r := c.pendingRequests[0]
		c.pendingRequests = c.pendingRequests[1:]
		f := r.f
		switch deadline := f.lastSentAt + responseTimeout; {
		case !f.outcomePending || f.requestNumber != r.requestNumber || f.removed:
		case f.queued != nil || deadline > now:
			r.deadline = max(deadline, now+responseTimeout/2)
			c.pendingRequests = append(c.pendingRequests, r)
		default:
			f.outcomePending = false
			if c.socketDrainedAt >= f.lastSentAt+socketDelayGrace {
				c.recordFailure(now, f.target)
			}
		}
	}
}

// recordFailure counts a failed request on a target, and ejects the target if it is
// an outlier. It does nothing within outcomeStartDelay after the start.
func (c *Core) recordFailure(now time.Duration, t *Target) {
	if now-c.readyAt < outcomeStartDelay {
		return
	}
	t.outcomes.decay(now)
	t.outcomes.failed++
	c.checkOutlier(now, t)
}

// checkOutlier ejects a target if it fails far more requests than the rest of its
// pool, by the outcomes on this host and those that other hosts reported.
func (c *Core) checkOutlier(now time.Duration, t *Target) {
	sum := t.outcomes.add(c.remoteOutcomes(now, t))
	if sum.failed < minFailedWeight || !c.isOutlier(now, t, sum) {
		return
	}
	if !t.isFailing(now) {
		if !c.canEject(now, t) {
			return
		}
		c.notifyFailing(t, OutcomeWeights{Succeeded: sum.succeeded, Failed: sum.failed})
	}
	t.failingUntil = now + ejectionDuration
}

// isOutlier reports whether a target with the outcomes sum fails far more requests
// than the median target of the rest of its pool. It returns false as long as the
// rest of the pool has too few outcomes.
func (c *Core) isOutlier(now time.Duration, t *Target, sum outcomes) bool {
	var fractions []float64
	weight := 0.0
	for _, o := range c.pools[t.Service] {
		if o == t {
			continue
		}
		o.outcomes.decay(now)
		w := o.outcomes.succeeded + o.outcomes.failed
		weight += w
		if w >= 1 {
			fractions = append(fractions, o.outcomes.failedFraction())
		}
	}
	if weight < minPoolWeight || len(fractions) == 0 {
		return false
	}
	slices.Sort(fractions)
	median := fractions[len(fractions)/2]
	return sum.failedFraction() >= minFailedFraction+outlierFactor*median
}

// isFailing reports whether the target is ejected because it fails requests.
func (t *Target) isFailing(now time.Duration) bool {
	return now < t.failingUntil
}

// isRecovering reports whether the target is ejected, or was ejected within the last
// recoveryDuration.
func (t *Target) isRecovering(now time.Duration) bool {
	return t.failingUntil > 0 && now < t.failingUntil+recoveryDuration
}

// canEject reports whether one more target of the pool of t may be ejected.
func (c *Core) canEject(now time.Duration, t *Target) bool {
	n := 0
	for _, o := range c.pools[t.Service] {
		if o.isFailing(now) {
			n++
		}
	}
	return n < len(c.pools[t.Service])/maxEjectedDivisor
}
