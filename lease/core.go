package lease

import (
	"math/rand/v2"
	"time"
)

// Parts of a term.
const (
	renewPart  = 3  // a holder renews after this part of the term
	retryPart  = 12 // the longest wait before a call is made again
	jitterPart = 10 // the longest wait that keeps candidates apart
)

// Config configures a Lease.
type Config struct {
	// Name and Life identify the process.
	Name string
	Life uint64
	// Term is how long the lease lasts after an update.
	Term time.Duration
	// MaxClockSkew is the most by which a clock may drift over one term.
	MaxClockSkew time.Duration
	// Seed seeds the waits that keep candidates apart.
	Seed uint64
}

// Lease is one process's side of the lease of its failure domain. It is not
// safe for concurrent use.
type Lease struct {
	cfg Config
	rnd *rand.Rand

	// contending and leaving say what the process wants.
	contending bool
	leaving    bool

	// known says that the object was read; version and record are its newest
	// state, first seen at the time seen.
	known   bool
	version uint64
	record  Record
	seen    time.Duration
	jitter  time.Duration

	// holding says that the process holds the lease under fence until the time
	// until.
	holding bool
	fence   uint64
	until   time.Duration

	// sent are the updates of version whose outcome may still be open, last is
	// the record of the newest update.
	sent    []update
	last    Record
	renewal uint64
	writing bool
	writeAt time.Duration
	reading bool
	readAt  time.Duration
}

// update is a conditional update and the time just before it was sent.
type update struct {
	record Record
	at     time.Duration
}

// New returns the lease of a process that does not contend yet.
func New(cfg Config) *Lease {
	return &Lease{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, cfg.Life))}
}

// Holding returns the fencing number to act with, if the process holds the
// lease at the time now. Every act must be preceded by a call.
func (l *Lease) Holding(now time.Duration) (uint64, bool) {
	return l.fence, l.holding && now < l.until
}

// Remaining returns how long the process holds the lease after the time now if it is
// not renewed, 0 if it does not hold it.
func (l *Lease) Remaining(now time.Duration) time.Duration {
	if !l.holding {
		return 0
	}
	return max(l.until-now, 0)
}

// Record returns the newest record seen, and whether any was.
func (l *Lease) Record() (Record, bool) { return l.record, l.version > 0 }

// Handle takes one event at the time now of a monotonic clock.
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
	case Seen:
		l.reading, l.readAt = false, now+l.retry()
		effects = append(effects, l.observe(now, e.Version, e.Record)...)
	case Unchanged, Failed:
		l.reading, l.readAt = false, now+l.retry()
	case Written:
		l.writing = false
		effects = append(effects, l.observe(now, e.Version, l.last)...)
	case Refused:
		l.writing, l.writeAt = false, now+l.retry()
		effects = append(effects, l.observe(now, e.Version, e.Record)...)
	case Lost:
		l.writing, l.writeAt = false, now+l.retry()
	}
	return append(effects, l.plan(now)...)
}

// expire ends the lease if its time is over.
func (l *Lease) expire(now time.Duration) []Effect {
	if !l.holding || now < l.until {
		return nil
	}
	return l.release()
}

func (l *Lease) release() []Effect {
	if !l.holding {
		return nil
	}
	l.holding = false
	return []Effect{Released{Fence: l.fence}}
}

// mine reports whether r names this life of this process.
func (l *Lease) mine(r Record) bool {
	return r.Holder == l.cfg.Name && r.Life == l.cfg.Life
}

// observe takes in a state of the object. What is not newer than the known
// state is a stale read.
func (l *Lease) observe(now time.Duration, version uint64, r Record) []Effect {
	if l.known && version <= l.version {
		return nil
	}
	sent := l.sent
	l.known, l.version, l.record, l.seen = true, version, r, now
	l.sent, l.writeAt = nil, 0
	if version > 0 {
		l.readAt = 0
	}
	l.jitter = l.draw(l.cfg.Term / jitterPart)
	if !l.mine(r) || l.leaving {
		return l.release()
	}
	for _, u := range sent {
		if u.record == r {
			return l.hold(now, r.Fence, u.at+l.cfg.Term-l.cfg.MaxClockSkew)
		}
	}
	return nil
}

// hold starts or extends the process's hold. A hold that has ended does not
// come back under the same fencing number.
func (l *Lease) hold(now time.Duration, fence uint64, until time.Duration) []Effect {
	held := l.holding && l.fence == fence
	if now >= until || !held && fence <= l.fence {
		return l.release()
	}
	l.holding, l.fence, l.until = true, fence, until
	if held {
		return nil
	}
	return []Effect{Acquired{Fence: fence}}
}

// plan starts the calls that are due, and names the time of the next.
func (l *Lease) plan(now time.Duration) []Effect {
	var effects []Effect
	if r, ok := l.wanted(now); ok {
		l.writing = true
		l.renewal++
		r.Renewal = l.renewal
		l.last = r
		l.sent = append(l.sent, update{record: r, at: now})
		effects = append(effects, Write{Version: l.version, Record: r})
	}
	if l.wantsRead() && now >= l.readAt {
		l.reading = true
		effects = append(effects, l.read())
	}
	if at, ok := l.next(now); ok {
		effects = append(effects, Wake{At: at})
	}
	return effects
}

// wanted returns the record to write now, if any.
func (l *Lease) wanted(now time.Duration) (Record, bool) {
	at, ok := l.due()
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

// due returns when the next update is due, if one is.
func (l *Lease) due() (time.Duration, bool) {
	if !l.known || l.writing {
		return 0, false
	}
	switch {
	case l.leaving:
		return l.writeAt, l.version > 0 && l.mine(l.record)
	case l.holding:
		renew := l.until + l.cfg.MaxClockSkew - l.cfg.Term + l.cfg.Term/renewPart
		return max(renew, l.writeAt), true
	case l.contending:
		return max(l.free(), l.writeAt), true
	}
	return 0, false
}

// free returns when the lease may be taken.
func (l *Lease) free() time.Duration {
	if l.version == 0 || l.record.Holder == "" {
		return l.seen + l.jitter
	}
	if l.mine(l.record) {
		return l.seen
	}
	return l.seen + l.record.Term + l.cfg.MaxClockSkew + l.jitter
}

// wantsRead reports whether the object's state is to be followed.
func (l *Lease) wantsRead() bool {
	return !l.reading && l.contending && !l.holding && !l.leaving
}

func (l *Lease) read() Effect {
	if l.version == 0 {
		return Read{}
	}
	return Watch{After: l.version}
}

// next returns the time at which something is due that no answer brings.
func (l *Lease) next(now time.Duration) (time.Duration, bool) {
	var at time.Duration
	found := false
	add := func(t time.Duration) {
		if !found || t < at {
			at, found = t, true
		}
	}
	if l.holding {
		add(l.until)
	}
	if t, ok := l.due(); ok {
		add(t)
	}
	if l.wantsRead() {
		add(l.readAt)
	}
	return max(at, now), found
}

// retry draws the wait before a call is made again.
func (l *Lease) retry() time.Duration {
	d := l.cfg.Term / retryPart
	return d/2 + l.draw(d/2)
}

// draw draws a wait up to d.
func (l *Lease) draw(d time.Duration) time.Duration {
	return time.Duration(l.rnd.Int64N(int64(d) + 1))
}
