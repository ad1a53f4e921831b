package reader

import "time"

const (
	// maxDomainWait is the longest time after its start for which a host waits for the other
	// hosts of its failure domain.
	maxDomainWait = 2500 * time.Millisecond
	// minServingUptime is the uptime from which a host of another failure domain counts as one
	// that serves the callers of this one meanwhile.
	minServingUptime = 5 * time.Second
)

// AwaitsDomain reports whether this host should not get packets yet, although it could forward
// them, because its failure domain is just coming back from a loss of power. While no host of
// a domain is ready, routers send its callers to other domains. Once the first one is, they
// send them to all hosts of the domain, most of which do not run yet, until half of them are
// ready. The host waits for half of them, for at most maxDomainWait after its start, and only
// if hosts of other domains serve.
func (c *Core) AwaitsDomain(now time.Duration) bool {
	if now >= maxDomainWait {
		return false
	}
	known, running, isServedElsewhere := 1, 1, false
	for _, p := range c.peers {
		if p.Domain != c.cfg.Self.Domain {
			isServedElsewhere = isServedElsewhere || p.hasHeartbeat && p.heartbeat.Uptime >= minServingUptime
			continue
		}
		known++
		if p.heard {
			running++
		}
	}
	return isServedElsewhere && 2*running < known
}
