package soak

import (
	"math/rand/v2"
	"time"

	"wisteriaweir/platform"
)

const (
	// entryWriteInterval is the time between two writes of another program over entries of
	// targets. It is shorter than the targets' heartbeat interval.
	entryWriteInterval = 300 * time.Millisecond
	// entriesPerWrite is the number of entries that are written over at once.
	entriesPerWrite = 2
	// maxEntryGap is the exclusive upper limit of the time between the starts of two
	// ForeignEntries.
	maxEntryGap = 9 * time.Second
	// pageObjects is the number of objects in a page of a list, so that lists of targets have
	// several pages.
	pageObjects = 5
	// maxPageLag is the exclusive upper limit of the age of the state that a page of a stale
	// list shows. It is shorter than the limit of the invariant on draining targets.
	maxPageLag = 2 * time.Second
)

// foreignSpecs are specs of entries that name no target. Some of them are complete but for one
// field.
var foreignSpecs = []string{
	`null`,
	`"\u0000"`,
	`{}`,
	`{"service":"levy-desk","state":"maintenance"}`,
	`{"service":"ledger-intake","address":"127.0.0.1:9000","zone":"west-a","version":"v1","slots":2,"state":"ready","warmup_left_ms":0}`,
	`{"service":"levy-desk","address":"127.0.0.1:70000","zone":"west-a","version":"v1","slots":2,"state":"ready","warmup_left_ms":0,"sequence":1}`,
	`{"service":"levy-desk","address":"127.0.0.1:9000","zone":"west-a","version":"v1","slots":1e99,"state":"ready","warmup_left_ms":0,"sequence":1}`,
}

// entrySteps returns the ForeignEntries of a plan. Their random numbers are separate, like those
// of evacuationSteps.
func entrySteps(seed uint64, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 0xe27e))
	var steps []Step
	for at := faultFreeStart; at < length-faultFreeEnd; at += time.Duration(rng.Int64N(int64(maxEntryGap))) {
		duration := minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		steps = append(steps, Step{At: at, Fault: ForeignEntries, Selector: rng.IntN(1 << 16), Duration: duration})
	}
	return steps
}

// injectForeignEntries writes over the entries of some targets again and again for the duration
// of the step. It does nothing in a run with an earlier release, which takes such entries for
// removals.
func (r *run) injectForeignEntries(s Step) {
	if r.cfg.Upgrade != NoUpgrade {
		return
	}
	for n, end := 0, time.Now().Add(s.Duration); time.Now().Before(end); n++ {
		for i := range entriesPerWrite {
			t, _ := r.pickTarget(s.Selector + i)
			if t.FlowTarget == nil {
				return // All targets are draining or stopped.
			}
			r.store.PutRaw(platform.KindTargets, t.ID(), []byte(foreignSpecs[(s.Selector+n+i)%len(foreignSpecs)]))
		}
		r.sleep(entryWriteInterval)
	}
}

// pageLag returns the age of the state that a page of a stale list shows. It is random for each
// page, and 0 in a run with an earlier release, which takes such a list for current.
func (r *run) pageLag(_, _ string) time.Duration {
	if r.cfg.Upgrade != NoUpgrade {
		return 0
	}
	return time.Duration(r.randomFraction() * float64(maxPageLag))
}
