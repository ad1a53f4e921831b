package placement

import (
	"math"
	"time"

	"wisteriaweir/route"
	"wisteriaweir/speed"
)

// speed returns the speed of the target relative to its pool, 1 if it is not estimated.
func (t *Target) speed() float64 {
	if t.window.speed == 0 {
		return 1
	}
	return t.window.speed
}

// capacity returns the slots of the target, fewer if it is slow; see window.scale.
func (t *Target) capacity() float64 {
	return float64(t.slots()) * t.window.scale()
}

// hasFreeSlot reports whether the target has a free slot as far as this host knows. A target
// that has refused a request or responded slowly within reductionMemory counts as full: it
// is most likely busy with requests of hosts whose load this host does not know.
func (t *Target) hasFreeSlot(now time.Duration) bool {
	return t.load() < t.slots() && !t.window.isProven(now)
}

// timeFor returns the cost of a number of requests in progress and queued. Two targets that
// are equally busy for their speeds have the same number of requests, and the faster one
// finishes them sooner. Divided by the speed itself, the number would give fast targets more
// than their share of the work; divided by its square root, it keeps the shares closer to the
// speeds. See docs/design/speed.md.
func (t *Target) timeFor(requests float64) float64 {
	return requests / math.Sqrt(t.speed())
}

// recordPath adds the response to the opening packet of f to the delay of the path to the
// failure domain of its target. Flows whose opening packet was sent again are left out: the
// response may be that to an earlier one.
func (c *Core) recordPath(now time.Duration, f *flow) {
	if c.cfg.TargetSpeed && f.placedHere && f.lastSentAt == f.openedAt {
		c.paths[f.target.Domain] = c.paths[f.target.Domain].WithDelay(now - f.lastSentAt)
	}
}

// recordSpeed adds the response to the newest request of f to the speed of its target.
// Targets that are warming up are slow for another reason, which ends with the warm-up.
func (c *Core) recordSpeed(now time.Duration, f *flow) {
	if !c.cfg.TargetSpeed || now < f.target.warmUntil {
		return
	}
	address := route.Address{IP: f.key.ServiceIP, Port: f.key.ServicePort}
	usual := c.usualLatencies[address]
	s := speed.Sample{Latency: now - f.lastSentAt, Path: c.paths[f.target.Domain].Delay(), Usual: usual.Mean(), SlotFree: f.foundFreeSlot}
	f.target.speedEstimate = f.target.speedEstimate.WithSample(now, s)
	c.usualLatencies[address] = usual.WithSample(s)
}

// updateSpeeds sets the speeds of all targets relative to their pools.
func (c *Core) updateSpeeds(now time.Duration) {
	if !c.cfg.TargetSpeed {
		return
	}
	for _, pool := range c.pools {
		sum, n := 0.0, 0.0
		for _, t := range pool {
			if raw, ok := t.speedEstimate.Raw(now); ok {
				sum, n = sum+raw, n+1
			}
		}
		for _, t := range pool {
			t.window.speed = 1
			if raw, ok := t.speedEstimate.Raw(now); ok {
				t.window.speed = speed.Relative(raw, sum/n)
			}
		}
	}
}

// jitter returns a random addition to the cost of a target, 0 without Config.TargetSpeed.
// Without it, idle targets cost the same at any speed and are picked equally often. The
// addition is exponentially distributed, and its mean is the cost of one open flow on this
// target: idle targets are then picked in proportion to their speeds.
func (c *Core) jitter(t *Target) float64 {
	if !c.cfg.TargetSpeed {
		return 0
	}
	return loadPerOpenFlow * c.rnd.ExpFloat64() / t.speed()
}

// SpeedRange returns the speeds of the slowest and the fastest target relative to their
// pools, 1 and 1 without estimates.
func (c *Core) SpeedRange() (slowest, fastest float64) {
	slowest, fastest = 1, 1
	for _, t := range c.targetsInStartOrder {
		slowest, fastest = min(slowest, t.speed()), max(fastest, t.speed())
	}
	return slowest, fastest
}
