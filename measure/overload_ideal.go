package measure

import (
	"slices"
	"time"
)

// result returns the outcome of the run for the requests of the burst.
func (r *overloadRun) result() overloadResult {
	res := overloadResult{rejected: r.rejected}
	after, inTimeAfter := 0, 0
	for _, q := range r.requests {
		if q.arrivedAt >= overloadBurstEnd && q.arrivedAt < overloadBurstEnd+overloadAftermath {
			after++
			if q.isInTime() {
				inTimeAfter++
			}
		}
		if !isInBurst(q.arrivedAt) {
			continue
		}
		res.requests++
		if q.class.priority == 0 {
			res.urgent++
			if q.isInTime() {
				res.urgentInTime++
			}
		}
		switch {
		case q.isInTime():
			res.inTime++
		case q.answeredAt > 0:
			res.late++
		default:
			res.failed++
		}
	}
	res.ideal = r.idealInTime()
	res.capacity = r.capacity()
	res.refused = float64(r.refused) / float64(max(r.arrived, 1))
	res.wasted = r.wasted.Seconds() / max(r.work.Seconds(), 1)
	res.inTimeAfter = float64(inTimeAfter) / float64(max(after, 1))
	return res
}

// isInBurst reports whether a time is during the burst.
func isInBurst(now time.Duration) bool {
	return now >= overloadBurstAt && now < overloadBurstEnd
}

// isLostInOutage reports whether all hosts were dark until q could no longer be in time.
func (r *overloadRun) isLostInOutage(q *overloadRequest) bool {
	return r.pattern.restarts && q.arrivedAt >= overloadBurstAt && q.arrivedAt+q.class.objective < overloadBurstAt+overloadOutage
}

// capacity returns overloadResult.capacity.
func (r *overloadRun) capacity() int {
	left := time.Duration(0)
	for i := range r.pattern.targets {
		for now := overloadBurstAt; now < overloadBurstEnd; now += time.Millisecond {
			if r.idealServes(i, now) {
				left += overloadSlots * time.Millisecond / r.idealFactor(i, now)
			}
		}
	}
	served := 0
	classes := slices.Clone(r.pattern.classes)
	slices.SortFunc(classes, func(a, b overloadClass) int { return a.priority - b.priority })
	for _, class := range classes {
		offered := 0
		for _, q := range r.requests {
			if q.class.name == class.name && isInBurst(q.arrivedAt) && !r.isLostInOutage(q) {
				offered++
			}
		}
		n := min(offered, int(left/class.meanWork))
		served += n
		left -= time.Duration(n) * class.meanWork
	}
	return served
}

// idealInTime returns the number of requests of the burst that one central queue answers
// in time. It knows the work time of each request and the state of each target, and
// always sends the shortest request that can still be in time.
func (r *overloadRun) idealInTime() int {
	var slots []idealSlot
	for i := range r.pattern.targets {
		for range overloadSlots {
			slots = append(slots, idealSlot{target: i})
		}
	}
	var waiting []*overloadRequest
	inTime, next := 0, 0
	for now := time.Duration(0); now < overloadRunDuration; now += time.Millisecond {
		for ; next < len(r.requests) && r.requests[next].arrivedAt <= now; next++ {
			waiting = append(waiting, r.requests[next])
		}
		waiting = slices.DeleteFunc(waiting, func(q *overloadRequest) bool {
			return now+q.work+idealDelay-q.arrivedAt > q.class.objective
		})
		slices.SortStableFunc(waiting, func(a, b *overloadRequest) int { return int(a.work - b.work) })
		for i := range slots {
			if slots[i].freeAt > now || len(waiting) == 0 || !r.idealServes(slots[i].target, now) {
				continue
			}
			q := waiting[0]
			waiting = waiting[1:]
			work := q.work * r.idealFactor(slots[i].target, now)
			slots[i].freeAt = now + work
			if isInBurst(q.arrivedAt) && now+work+idealDelay-q.arrivedAt <= q.class.objective {
				inTime++
			}
		}
	}
	return inTime
}

// idealDelay is the least delay of a request on an open flow: from the caller to a target
// through a host, and back.
const idealDelay = 2*callerDelay + localDelay

// idealSlot is a slot of a target in the ideal schedule.
type idealSlot struct {
	target int
	freeAt time.Duration
}

// idealServes reports whether a target is reachable at the given time.
func (r *overloadRun) idealServes(target int, now time.Duration) bool {
	isCrashed := isInBurst(now) && target < r.pattern.crashed
	isDark := r.pattern.restarts && isInBurst(now) && now < overloadBurstAt+overloadOutage
	return !isCrashed && !isDark
}

// idealFactor returns by how much longer than usual the work of a target takes.
func (r *overloadRun) idealFactor(target int, now time.Duration) time.Duration {
	if isInBurst(now) && target < r.pattern.slowed {
		return slowedFactor
	}
	return 1
}
