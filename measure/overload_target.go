package measure

import (
	"time"

	"wisteriaweir/placement"
)

// forward takes a packet from the host of f to a target.
func (r *overloadRun) forward(f *overloadFlow, t *overloadTarget, isOpening, hasData bool) {
	delay := localDelay
	if f.host.domain != t.domain {
		delay = remoteDelay
	}
	switch {
	case isOpening:
		r.After(delay, func() { r.acceptFlow(f, t) })
	case hasData:
		q := f.request
		r.After(delay, func() { r.acceptRequest(t, overloadJob{flow: f, request: q}) })
	}
}

// acceptFlow opens f on t.
func (r *overloadRun) acceptFlow(f *overloadFlow, t *overloadTarget) {
	if t.silent {
		return
	}
	r.After(callerDelay, func() {
		if f.opened || f.closed {
			return
		}
		f.opened, f.target, f.stamp, f.ackSeq = true, t, placement.StampOf(t.id), 1
		r.sendRequest(f)
	})
}

// acceptRequest starts, queues or refuses a request at t.
func (r *overloadRun) acceptRequest(t *overloadTarget, job overloadJob) {
	if t.silent || job.request == nil || job.flow.request != job.request || job.flow.target != t {
		return
	}
	if job.request.takenTry == job.request.tries {
		return // A retransmission.
	}
	job.request.takenTry = job.request.tries
	r.arrived += r.countInBurst()
	switch {
	case t.running < overloadSlots:
		r.serve(t, job)
	case len(t.queue) < overloadTargetQueue:
		t.queue = append(t.queue, job)
	default:
		r.refused += r.countInBurst()
		r.respond(job, refusalSize)
	}
}

// serve runs a request in a slot of t.
func (r *overloadRun) serve(t *overloadTarget, job overloadJob) {
	t.running++
	work := time.Duration(float64(job.request.work*t.factor) / t.speed)
	job.request.target = t
	counts := time.Duration(r.countInBurst())
	r.After(work, func() {
		t.running--
		t.busyTime += work
		r.work += counts * work
		if r.Now()+callerDelay-job.request.arrivedAt > job.request.class.objective {
			r.wasted += counts * work
		}
		if !t.silent {
			r.respond(job, responseSize)
		}
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			r.serve(t, next)
		}
	})
}

// respond takes a response to the caller.
func (r *overloadRun) respond(job overloadJob, size uint32) {
	r.After(callerDelay, func() { r.receiveResponse(job, size) })
}
