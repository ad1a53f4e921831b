package target

import "time"

const (
	// dropDelay is how long LevelNone must be wanted without interruption before the
	// agreed level is set to it.
	dropDelay = time.Second
	// lowerDelay is how long a lower level above LevelNone must be wanted without
	// interruption before the agreed level is set to it.
	lowerDelay = 5 * time.Second
	// minRiseInterval is the minimum time between a change of the agreed level and
	// the next rise.
	minRiseInterval = 10 * time.Second
	// maxDropWait limits the time that a target stays at LevelNone before its first
	// rise. The time is minRiseInterval after one drop, and doubles with each further
	// recent drop.
	maxDropWait = 80 * time.Second
	// minReporters is the number of balancers that must report a target as failing
	// before it is dropped to LevelNone, unless only one balancer of the domain
	// reports.
	minReporters = 2
)

// agreedLevel is the level that a failure domain has agreed on, and the change
// that is pending. The level is always 0, 1, 2, 4 or 8, so that tables change rarely.
type agreedLevel struct {
	level Level
	// changedAt is the time of the last change of level.
	changedAt time.Duration
	// wanted is the lower level that the votes have called for without interruption
	// since wantedSince. It is valid only if pending is set.
	wanted Level
	// wantedSince is the time at which the votes first called for wanted. It is valid
	// only if pending is set.
	wantedSince time.Duration
	// pending is whether the votes call for a lower level that is not set yet.
	pending bool
	// recentDrops counts the drops to LevelNone since the level last stayed at
	// LevelFull for ejectionResetTime.
	recentDrops int
}

// update moves the level towards want, the level that the votes call for at the time
// now. The level falls to want once want has been the same lower level for dropDelay,
// if it is LevelNone, or for lowerDelay. The level rises by at most a factor of two
// each minRiseInterval. At least minRiseInterval passes between two changes, unless the
// level is LevelFull and there was no recent drop. The level is lowered to LevelNone
// only if mayDrop is set.
func (g *agreedLevel) update(now time.Duration, want Level, mayDrop bool) {
	if g.level == LevelFull && now-g.changedAt >= ejectionResetTime {
		g.recentDrops = 0
	}
	switch {
	case want < g.level:
		g.lower(now, want, mayDrop)
	case want > g.level:
		g.pending = false
		g.raise(now, want)
	default:
		g.pending = false
	}
}

// lower sets the level to want, a lower level, if the conditions described at update
// are met. If not, it records since when want has been pending.
func (g *agreedLevel) lower(now time.Duration, want Level, mayDrop bool) {
	if !g.pending || g.wanted != want {
		g.pending, g.wanted, g.wantedSince = true, want, now
	}
	delay := lowerDelay
	if want == LevelNone {
		delay = dropDelay
	}
	if now-g.wantedSince < delay || want == LevelNone && !mayDrop {
		return
	}
	isStable := g.level == LevelFull && g.recentDrops == 0
	if !isStable && now-g.changedAt < minRiseInterval {
		return
	}
	if want == LevelNone {
		g.recentDrops++
	}
	g.set(now, want)
}

// raise raises the level towards want, at most from LevelNone to MinLevel or to twice the
// level, if it has not changed for minRiseInterval. At LevelNone this time doubles with
// each recent drop after the first, up to maxDropWait.
func (g *agreedLevel) raise(now time.Duration, want Level) {
	wait := minRiseInterval
	if g.level == LevelNone {
		for range g.recentDrops - 1 {
			wait = min(2*wait, maxDropWait)
		}
	}
	if now-g.changedAt < wait {
		return
	}
	g.set(now, min(want, max(MinLevel, 2*g.level)))
}

// set changes the level and ends a pending change.
func (g *agreedLevel) set(now time.Duration, level Level) {
	g.level, g.changedAt, g.pending = level, now, false
}

// isFailing reports whether the votes call for LevelNone: there are more unhealthy than
// healthy votes, and at least minReporters unhealthy ones. One unhealthy vote is enough if
// its balancer is the only one that reports in the domain.
func (v votes) isFailing(isSoleReporter bool) bool {
	return v.unhealthy > v.healthy && (v.unhealthy >= minReporters || isSoleReporter)
}

// wantedLevel returns the level that the votes call for. It is the current level
// if there are failing votes only, but too few of them to drop the target, and
// LevelFull if there are no votes.
func (v votes) wantedLevel(level Level, isSoleReporter bool) Level {
	switch {
	case v.isFailing(isSoleReporter):
		return LevelNone
	case v.healthy > 0:
		return roundDown(v.median())
	case v.unhealthy > 0:
		return level
	default:
		return LevelFull
	}
}

// roundDown rounds a level down to 1, 2, 4 or 8. Lower levels give 1.
func roundDown(level Level) Level {
	for rounded := LevelFull; rounded > MinLevel; rounded /= 2 {
		if level >= rounded {
			return rounded
		}
	}
	return MinLevel
}
