package placement

import "time"

const (
	// neighbourLife is the age above which the load that a neighbour told no longer
	// counts.
	neighbourLife = 600 * time.Millisecond
	// verdictLife is the same for its word that a target is dead.
	verdictLife = 1500 * time.Millisecond
)

// Load is what the flows of one host show of the targets.
type Load struct {
	// Targets holds what is known by the stamp of the target.
	Targets map[uint32]TargetLoad
	// Dead holds the stamps of targets that answer nobody.
	Dead []uint32
	// Failures holds what is known of targets that fail a part of their requests.
	Failures map[uint32]OutcomeWeights
}

// AtLeast returns l without the targets of which less than n is busy or queued.
func (l Load) AtLeast(n int) Load {
	targets := make(map[uint32]TargetLoad, len(l.Targets))
	for stamp, tl := range l.Targets {
		if tl.Busy+tl.Queued >= n {
			targets[stamp] = tl
		}
	}
	l.Targets = targets
	return l
}

// TargetLoad is what one host adds to the load of a target.
type TargetLoad struct {
	// Busy counts the requests in progress.
	Busy int
	// Queued counts those that are about to come: flows that are opening, and
	// requests that wait for the target.
	Queued int
}

// neighbour is the last word of another host of the same failure domain.
type neighbour struct {
	load Load
	at   time.Duration
}

// Load returns what this host's flows show at a time.
func (c *Core) Load(now time.Duration) Load {
	l := Load{Targets: map[uint32]TargetLoad{}, Failures: c.failures(now)}
	for _, t := range c.order {
		if tl := (TargetLoad{Busy: t.busy, Queued: t.opening + t.waiting.size()}); tl != (TargetLoad{}) {
			l.Targets[t.Stamp] = tl
		}
		if t.dead && now-t.stalledAt < deadLife {
			l.Dead = append(l.Dead, t.Stamp)
		}
	}
	return l
}

// SetPeerLoad takes in the word of another host of the failure domain.
func (c *Core) SetPeerLoad(now time.Duration, name string, l Load) {
	c.neighbours[name] = neighbour{load: l, at: now}
	c.SetHealthReport(now, name, l)
	c.addNeighbours(now)
	for _, t := range c.order {
		if t.waiting.size() > 0 {
			c.release(now, t)
		}
	}
}

// SetHealthReport takes in which targets another host has found dead, and what it has
// seen fail.
func (c *Core) SetHealthReport(now time.Duration, name string, l Load) {
	c.setFailures(now, name, l.Failures)
	for _, stamp := range l.Dead {
		if t := c.byStamp[stamp]; t != nil {
			t.deadToldUntil = now + verdictLife
		}
	}
}

// deadTold reports whether another host has lately found the target dead.
func (t *Target) deadTold(now time.Duration) bool {
	return now < t.deadToldUntil
}

// addNeighbours sums up what the neighbours said lately.
func (c *Core) addNeighbours(now time.Duration) {
	for _, t := range c.order {
		t.others = TargetLoad{}
	}
	for name, n := range c.neighbours {
		if now-n.at > neighbourLife {
			delete(c.neighbours, name)
			continue
		}
		for stamp, tl := range n.load.Targets {
			if t := c.byStamp[stamp]; t != nil {
				t.others.Busy += tl.Busy
				t.others.Queued += tl.Queued
			}
		}
	}
}
