package target

import "time"

const (
	// dropHold is how long LevelNone has to be wanted before it is agreed on.
	dropHold = time.Second
	// lowerHold is how long any other lower level has to be wanted.
	lowerHold = 5 * time.Second
	// riseTime is the least time between a change and a rise.
	riseTime = 10 * time.Second
	// dropWaitMost bounds the time that a dropped target waits for its return,
	// which doubles with each drop.
	dropWaitMost = 80 * time.Second
	// minVoices is the number of balancers that it takes to drop a target while
	// more than one of the domain is heard.
	minVoices = 2
)

// agreed is the level that a domain agrees on, and the change that is pending.
// It takes the values 0, 1, 2, 4 and 8 only, so that tables change rarely.
type agreed struct {
	level     Level
	changedAt time.Duration
	// wanted and wantedSince describe a lower level that is pending.
	wanted      Level
	wantedSince time.Duration
	pending     bool
	// drops counts those since the level was whole for forgiveTime.
	drops int
}

// step moves the level towards want: down after a hold, up by one step each
// riseTime. At least riseTime passes between two changes, unless the level is
// whole and nothing was dropped lately. LevelNone is taken only if drop is set.
func (g *agreed) step(now time.Duration, want Level, drop bool) {
	if g.level == LevelFull && now-g.changedAt >= forgiveTime {
		g.drops = 0
	}
	switch {
	case want < g.level:
		g.lower(now, want, drop)
	case want > g.level:
		g.pending = false
		g.rise(now, want)
	default:
		g.pending = false
	}
}

func (g *agreed) lower(now time.Duration, want Level, drop bool) {
	if !g.pending || g.wanted != want {
		g.pending, g.wanted, g.wantedSince = true, want, now
	}
	hold := lowerHold
	if want == LevelNone {
		hold = dropHold
	}
	if now-g.wantedSince < hold || want == LevelNone && !drop {
		return
	}
	whole := g.level == LevelFull && g.drops == 0
	if !whole && now-g.changedAt < riseTime {
		return
	}
	if want == LevelNone {
		g.drops++
	}
	g.set(now, want)
}

func (g *agreed) rise(now time.Duration, want Level) {
	wait := riseTime
	if g.level == LevelNone {
		for range g.drops - 1 {
			wait = min(2*wait, dropWaitMost)
		}
	}
	if now-g.changedAt < wait {
		return
	}
	g.set(now, min(want, max(MinLevel, 2*g.level)))
}

func (g *agreed) set(now time.Duration, level Level) {
	g.level, g.changedAt, g.pending = level, now, false
}

// failing reports whether the votes drop the target. One vote is enough if its
// balancer is alone in the domain.
func (v votes) failing(alone bool) bool {
	return v.bad > v.good && (v.bad >= minVoices || alone)
}

// wanted returns the level that the votes ask for.
func (v votes) wanted(level Level, alone bool) Level {
	switch {
	case v.failing(alone):
		return LevelNone
	case v.good > 0:
		return coarse(v.median())
	case v.bad > 0:
		return level
	default:
		return LevelFull
	}
}

// coarse rounds a level down to 1, 2, 4 or 8.
func coarse(level Level) Level {
	for c := LevelFull; c > MinLevel; c /= 2 {
		if level >= c {
			return c
		}
	}
	return MinLevel
}
