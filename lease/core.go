package lease

import (
	"math/rand/v2"
	"time"
)

const (
	// renewDivisor sets the time of a renewal: Term/renewDivisor after the holder sent its
	// last successful update.
	renewDivisor = 3
	// retryDivisor sets the delay before a call is repeated: a random time from half of
	// Term/retryDivisor to all of it.
	retryDivisor = 12
	// jitterDivisor sets the random delay that keeps candidates from writing at the same
	// time: at most Term/jitterDivisor.
	jitterDivisor = 10
)

// Config holds the settings of a Lease.
type Config struct {
	// Name is the name of the process, which stays the same after a restart.
	Name string
	// Life identifies the process instance among those of the same name.
	Life uint64
	// Term is how long the lease is valid after an update.
	Term time.Duration
	// MaxClockSkew is the maximum time by which the clock of a process may drift from the
	// true time over one term.
	MaxClockSkew time.Duration
	// Seed seeds the random delays that keep candidates from writing at the same time.
	Seed uint64
}

// Lease is the state of one process with regard to the lease of its failure domain. It is
// not safe for concurrent use.
type Lease struct {
	cfg Config
	rnd *rand.Rand

	// contending is whether the process is a candidate.
	contending bool
	// leaving is whether the process has given up the lease for good.
	leaving bool

	// hasState is whether the state of the object is known: version and record.
	hasState bool
	// version is the newest known version of the object, or 0 if there is no object.
	version uint64
	// record is the record of that version.
	record Record
	// firstSeenAt is the time at which this process first saw that version.
	firstSeenAt time.Duration
	// jitter is the random delay before this process tries to acquire the lease.
	jitter time.Duration

	// holding is whether the process holds the lease until heldUntil.
	holding bool
	// fence is the fencing number of the current hold, or else of the last one.
	fence uint64
	// heldUntil is the time at which the hold ends if it is not renewed.
	heldUntil time.Duration

	// pendingWrites are the updates that were sent on the condition that the object has
	// version. Their outcomes may still be unknown.
	pendingWrites []pendingWrite
	// lastWritten is the record of the newest update.
	lastWritten Record
	// renewal is the number of the newest update, as in Record.Renewal.
	renewal uint64
	// writing is whether a Write has no response yet.
	writing bool
	// earliestWriteAt is the earliest time of the next Write.
	earliestWriteAt time.Duration
	// reading is whether a Read or a Watch has no response yet.
	reading bool
	// earliestReadAt is the earliest time of the next Read or Watch.
	earliestReadAt time.Duration
}

// pendingWrite is a conditional update and the time just before it was sent.
type pendingWrite struct {
	record Record
	sentAt time.Duration
}

// New returns the lease of a process that is not a candidate yet.
func New(cfg Config) *Lease {
	return &Lease{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, cfg.Life))}
}

// Holding returns the fencing number to use, and whether the process holds the lease at
// the time now. It must be called before each action that requires the lease.
func (l *Lease) Holding(now time.Duration) (uint64, bool) {
	return l.fence, l.holding && now < l.heldUntil
}

// Remaining returns how long after the time now the process holds the lease if it is not
// renewed, or 0 if the process does not hold it.
func (l *Lease) Remaining(now time.Duration) time.Duration {
	if !l.holding {
		return 0
	}
	return max(l.heldUntil-now, 0)
}

// Record returns the newest record of the lease object, and whether there is one.
func (l *Lease) Record() (Record, bool) { return l.record, l.version > 0 }

// Handle processes one event at the time now of a monotonic clock, and returns the effects
// to execute.
func (l *Lease) Handle(now time.Duration, e Event) []Effect {
	effects := l.expire(now)
	switch e := e.(type) {
	case Contend:
		l.contending = true
	case Withdraw:
		l.contending = false
	case Leave:
		l.leaving = true
		effects = append(effects, l.release()...)
	case Tick:
	case StateRead:
		l.reading, l.earliestReadAt = false, now+l.retryDelay()
		effects = append(effects, l.observe(now, e.Version, e.Record)...)
	case Unchanged, ReadFailed:
		l.reading, l.earliestReadAt = false, now+l.retryDelay()
	case Written:
		l.writing = false
		effects = append(effects, l.observe(now, e.Version, l.lastWritten)...)
	case WriteConflict:
		l.writing, l.earliestWriteAt = false, now+l.retryDelay()
		effects = append(effects, l.observe(now, e.Version, e.Record)...)
	case WriteUnknown:
		l.writing, l.earliestWriteAt = false, now+l.retryDelay()
	}
	return append(effects, l.schedule(now)...)
}

// expire ends the process's hold of the lease at heldUntil.
func (l *Lease) expire(now time.Duration) []Effect {
	if !l.holding || now < l.heldUntil {
		return nil
	}
	return l.release()
}

// release ends the process's hold of the lease.
func (l *Lease) release() []Effect {
	if !l.holding {
		return nil
	}
	l.holding = false
	return []Effect{Released{Fence: l.fence}}
}

// isOwn reports whether r names this process instance as the holder.
func (l *Lease) isOwn(r Record) bool {
	return r.Holder == l.cfg.Name && r.Life == l.cfg.Life
}

// observe applies a state of the object. A state that is not newer than the known one is a
// stale read and is ignored. If the state is the result of one of this process's own
// updates, the hold counts from the time at which that update was sent.
func (l *Lease) observe(now time.Duration, version uint64, r Record) []Effect {
	if l.hasState && version <= l.version {
		return nil
	}
	writes := l.pendingWrites
	l.hasState, l.version, l.record, l.firstSeenAt = true, version, r, now
	l.pendingWrites, l.earliestWriteAt = nil, 0
	if version > 0 {
		l.earliestReadAt = 0
	}
	l.jitter = l.randomDuration(l.cfg.Term / jitterDivisor)
	if !l.isOwn(r) || l.leaving {
		return l.release()
	}
	for _, w := range writes {
		if w.record == r {
			return l.extendHold(now, r.Fence, w.sentAt+l.cfg.Term-l.cfg.MaxClockSkew)
		}
	}
	return nil
}

// extendHold starts or extends the process's hold of the lease until the given time. If
// that time has passed, it ends the hold. A hold that has ended does not start again under
// the same fencing number.
func (l *Lease) extendHold(now time.Duration, fence uint64, until time.Duration) []Effect {
	wasHolding := l.holding && l.fence == fence
	if now >= until || !wasHolding && fence <= l.fence {
		return l.release()
	}
	l.holding, l.fence, l.heldUntil = true, fence, until
	if wasHolding {
		return nil
	}
	return []Effect{Acquired{Fence: fence}}
}

// schedule returns the calls that are due, and a Wake for the next one.
func (l *Lease) schedule(now time.Duration) []Effect {
	var effects []Effect
	if r, ok := l.nextRecord(now); ok {
		l.writing = true
		l.renewal++
		r.Renewal = l.renewal
		l.lastWritten = r
		l.pendingWrites = append(l.pendingWrites, pendingWrite{record: r, sentAt: now})
		effects = append(effects, Write{Version: l.version, Record: r})
	}
	if l.needsRead() && now >= l.earliestReadAt {
		l.reading = true
		effects = append(effects, l.readEffect())
	}
	if at, ok := l.nextWakeAt(now); ok {
		effects = append(effects, Wake{At: at})
	}
	return effects
}

// nextRecord returns the record to write now, if an update is due.
func (l *Lease) nextRecord(now time.Duration) (Record, bool) {
	at, ok := l.nextWriteAt()
	if !ok || now < at {
		return Record{}, false
	}
	r := Record{Holder: l.cfg.Name, Life: l.cfg.Life, Fence: l.record.Fence + 1, Term: l.cfg.Term}
	if l.holding {
		r.Fence = l.fence
	}
	if l.leaving {
		r.Holder, r.Fence = "", l.record.Fence
	}
	return r, true
}

// nextWriteAt returns when the next update is due, if there is one.
func (l *Lease) nextWriteAt() (time.Duration, bool) {
	if !l.hasState || l.writing {
		return 0, false
	}
	switch {
	case l.leaving:
		return l.earliestWriteAt, l.version > 0 && l.isOwn(l.record)
	case l.holding:
		renew := l.heldUntil + l.cfg.MaxClockSkew - l.cfg.Term + l.cfg.Term/renewDivisor
		return max(renew, l.earliestWriteAt), true
	case l.contending:
		return max(l.availableAt(), l.earliestWriteAt), true
	}
	return 0, false
}

// availableAt returns when this process may acquire the lease: a random delay after the
// newest state was first seen if no process holds the lease, else the holder's term,
// MaxClockSkew and a random delay after that time. A process that is named as the holder
// itself, but does not hold the lease, may acquire it at once.
func (l *Lease) availableAt() time.Duration {
	if l.version == 0 || l.record.Holder == "" {
		return l.firstSeenAt + l.jitter
	}
	if l.isOwn(l.record) {
		return l.firstSeenAt
	}
	return l.firstSeenAt + l.record.Term + l.cfg.MaxClockSkew + l.jitter
}

// needsRead reports whether a read or a watch of the object is to be started.
func (l *Lease) needsRead() bool {
	return !l.reading && l.contending && !l.holding && !l.leaving
}

// readEffect returns a Read if no object is known, else a Watch for a newer version.
func (l *Lease) readEffect() Effect {
	if l.version == 0 {
		return Read{}
	}
	return Watch{After: l.version}
}

// nextWakeAt returns the next time at which the hold ends or a call is due, and false if
// there is none. The platform sends no event at these times, so that a Wake is needed.
func (l *Lease) nextWakeAt(now time.Duration) (time.Duration, bool) {
	var at time.Duration
	found := false
	considerTime := func(t time.Duration) {
		if !found || t < at {
			at, found = t, true
		}
	}
	if l.holding {
		considerTime(l.heldUntil)
	}
	if t, ok := l.nextWriteAt(); ok {
		considerTime(t)
	}
	if l.needsRead() {
		considerTime(l.earliestReadAt)
	}
	return max(at, now), found
}

// retryDelay returns the random delay before a call is repeated.
func (l *Lease) retryDelay() time.Duration {
	d := l.cfg.Term / retryDivisor
	return d/2 + l.randomDuration(d/2)
}

// randomDuration returns a random duration from 0 to d.
func (l *Lease) randomDuration(d time.Duration) time.Duration {
	return time.Duration(l.rnd.Int64N(int64(d) + 1))
}
