package host

import (
	"time"

	"wisteriaweir/placement"
)

const (
	// loadFirst and loadEach make up the time between two words on the load: the
	// more neighbours, the longer.
	loadFirst = 15 * time.Millisecond
	loadEach  = 10 * time.Millisecond
	// loadBudget is what words on the load may take, in bytes a second. Words come less
	// often first, up to every loadStretch: the load of one host of several is no use
	// without that of the others. Then targets with the least load are left out, up to
	// loadLeast; then words come still less often, at least every loadMost. A word takes
	// loadFrame bytes and loadEntry for each target.
	loadBudget  = 5000.0
	loadStretch = 120 * time.Millisecond
	loadLeast   = 4
	loadMost    = 500 * time.Millisecond
	loadFrame   = 60
	loadEntry   = 7
)

// tellLoad hands on what this host sees of the targets, as long as there is
// something to see.
func (f *forwarder) tellLoad() {
	peers := min(int(f.h.domainPeers.Load()), loadHosts)
	now := f.h.now()
	if now-f.toldAt < f.loadWait {
		return
	}
	l, wait := withinBudget(f.core.Load(now), peers)
	empty := len(l.Targets) == 0 && len(l.Dead) == 0 && len(l.Failures) == 0
	if empty && f.toldEmpty {
		f.toldAt = now
		return
	}
	select {
	case f.h.loads <- l:
		f.toldAt, f.toldEmpty, f.loadWait = now, empty, wait
	default:
		f.h.count.noteDropped.Inc()
	}
}

// withinBudget leaves out the targets with the least load until a word to all
// neighbours fits the budget, and returns the time until the next word.
func withinBudget(l placement.Load, peers int) (placement.Load, time.Duration) {
	wait := max(loadFirst+time.Duration(peers)*loadEach, min(pace(l, peers), loadStretch))
	for least := 1; least <= loadLeast; least++ {
		l = l.AtLeast(least)
		if cost(l, peers) <= loadBudget*wait.Seconds() {
			return l, wait
		}
	}
	return l, min(pace(l, peers), loadMost)
}

// pace returns the time between two words of a size that fits the budget.
func pace(l placement.Load, peers int) time.Duration {
	return time.Duration(cost(l, peers) / loadBudget * float64(time.Second))
}

// cost is the bytes that a word on the load takes to all neighbours, about.
func cost(l placement.Load, peers int) float64 {
	return float64(peers * (loadFrame + loadEntry*len(l.Targets)))
}
