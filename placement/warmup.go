package placement

import (
	"time"

	"wisteriaweir/warmup"
)

// SetHosts sets the hosts that this host knows, itself included. Before the first call
// this host has no permits for targets that are warming up (see Config.Warmup), and uses
// all targets of its failure domain (see Config.HostsPerTarget).
func (c *Core) SetHosts(now time.Duration, hosts []warmup.Host) {
	c.hosts.SetHosts(now, hosts)
	c.setDomainHosts(now, hosts)
}

// warmupLimit returns the number of opening packets that all hosts together may send to a
// target of a service in any second while it is warming up, and whether there is a limit.
// A service without a rate has no limit: a slow response is better than a rejection.
func (c *Core) warmupLimit(service string) (int, bool) {
	if c.cfg.Warmup == (WarmupConfig{}) {
		return 0, false
	}
	w, ok := c.catalog.Routes().Warmup(service)
	return int(w.Rate*c.cfg.Warmup.Overshoot + c.cfg.Warmup.Slack), ok && w.Rate > 0
}

// hasPermit reports whether this host may send one more opening packet to the target. Only
// targets that are warming up are limited.
func (c *Core) hasPermit(now time.Duration, t *Target) bool {
	if now >= t.warmUntil {
		return true
	}
	limit, ok := c.warmupLimit(t.Service)
	return !ok || c.hosts.Allows(now, t.openings, limit)
}

// recordOpening records that an opening packet is sent to the target, if its service has a
// limit. It does so for targets that are not known to be warming up as well, because an
// entry that states the warm-up may arrive within the next second.
func (c *Core) recordOpening(now time.Duration, t *Target) {
	if _, ok := c.warmupLimit(t.Service); ok {
		t.openings.RecordOpening(now)
	}
}
