package placement

import (
	"slices"
	"time"

	"wisteriaweir/route"
)

const (
	// queueTimely and queueLate are the numbers of requests for each slot of a
	// target, beyond which a timely request waits here, and from which others do.
	// They go on when there are fewer than queueAhead for each slot: the target then
	// finds the next one without a wait, and the order is decided here.
	queueTimely = 4
	queueLate   = 3
	queueAhead  = 2
	// holdMost bounds the time for which a request waits for its target; the target
	// decides then. One that is late already waits longer.
	holdMost     = 400 * time.Millisecond
	holdMostLate = 900 * time.Millisecond
	// holdPackets bounds the packets of one request that wait.
	holdPackets = 4
	// returnSpan is the time after the start of this host in which the first data
	// on a flow is likely to be a repetition from before the start.
	returnSpan = 800 * time.Millisecond
)

// urgency sorts the requests that wait for a target.
type urgency uint8

const (
	// timely requests have come just now; the first goes first.
	timely urgency = iota
	// unknown ones may be under way for long; the last goes first, as it is the
	// likeliest to be answered in time.
	unknown
	// late ones are past their callers' objective; the first goes first.
	late
)

// held is a request that waits for its target.
type held struct {
	f         *flow
	at        time.Duration
	until     time.Duration
	datagrams [][]byte
}

// waitingRoom holds the requests that wait for one target.
type waitingRoom struct {
	timely  []*held
	unknown []*held
	late    []*held
}

func (r *waitingRoom) size() int {
	return len(r.timely) + len(r.unknown) + len(r.late)
}

func (r *waitingRoom) add(h *held, u urgency) {
	switch u {
	case timely:
		r.timely = append(r.timely, h)
	case unknown:
		r.unknown = append(r.unknown, h)
	case late:
		r.late = append(r.late, h)
	}
}

// next takes out the request that goes next, nil if there is none.
func (r *waitingRoom) next() *held {
	for r.size() > 0 {
		if h := r.pop(); h.f.held == h {
			return h
		}
	}
	return nil
}

func (r *waitingRoom) pop() *held {
	var h *held
	switch {
	case len(r.timely) > 0:
		h, r.timely = r.timely[0], r.timely[1:]
	case len(r.unknown) > 0:
		last := len(r.unknown) - 1
		h, r.unknown = r.unknown[last], r.unknown[:last]
	default:
		h, r.late = r.late[0], r.late[1:]
	}
	return h
}

// tidy drops requests that no longer wait.
func (r *waitingRoom) tidy() {
	gone := func(h *held) bool { return h.f.held != h }
	r.timely = slices.DeleteFunc(r.timely, gone)
	r.unknown = slices.DeleteFunc(r.unknown, gone)
	r.late = slices.DeleteFunc(r.late, gone)
}

// load is the number of requests in progress on a target, as far as this host
// and its neighbours know.
func (t *Target) load() int {
	return t.busy + t.others.Busy
}

// mayWait reports whether a new request on f has to wait for its target.
func (c *Core) mayWait(f *flow) bool {
	t := f.target
	if f.kind == route.Upload || t.dead {
		return false
	}
	if f.urgency == timely {
		return t.load() > t.Slots*queueTimely
	}
	return t.load() >= t.Slots*queueLate || t.waiting.size() > 0
}

// hold keeps the first packet of a request until its target has room.
func (c *Core) hold(now time.Duration, f *flow, datagram []byte) {
	h := &held{f: f, at: now, until: now + holdMost, datagrams: [][]byte{append([]byte(nil), datagram...)}}
	if f.urgency != timely {
		h.until = now + holdMostLate
	}
	f.held = h
	f.target.waiting.add(h, f.urgency)
	c.holds = append(c.holds, h)
}

// holdMore keeps a further packet of a request that waits.
func (h *held) holdMore(datagram []byte) {
	if len(h.datagrams) < holdPackets {
		h.datagrams = append(h.datagrams, append([]byte(nil), datagram...))
	}
}

// release sends the requests that a target has room for.
func (c *Core) release(now time.Duration, t *Target) {
	for t.load() < t.Slots*queueAhead {
		h := t.waiting.next()
		if h == nil {
			return
		}
		c.let(now, h)
	}
}

// let sends a request that waited.
func (c *Core) let(now time.Duration, h *held) {
	f := h.f
	c.notifyFlow(FlowNotice{Event: RequestWaited, Flow: f.key, Target: f.target, Took: now - h.at})
	f.held = nil
	f.sent = now
	c.begin(now, f)
	for _, b := range h.datagrams {
		c.emit(Resend{To: f.target, Datagram: b})
	}
}

// releaseOverdue sends the requests that have waited for long enough.
func (c *Core) releaseOverdue(now time.Duration) {
	kept := c.holds[:0]
	for _, h := range c.holds {
		switch {
		case h.f.held != h:
		case now >= h.until:
			c.let(now, h)
			h.f.target.waiting.tidy()
		default:
			kept = append(kept, h)
		}
	}
	c.holds = kept
}
