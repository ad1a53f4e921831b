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
	// holdShare is the part of a route's timeout for which a request waits for its
	// target at most; the target decides then. timeoutDefault is that of a route which
	// names none.
	holdShare      = 0.45
	timeoutDefault = time.Second
	// holdPackets bounds the packets of one request that wait.
	holdPackets = 4
	// overloadWindows is the number of windows of requests that may wait for a target
	// before new flows are rejected.
	overloadWindows = 1
	// waitShare is the part of an objective that a request may wait here and still be
	// answered in time; objectiveDefault is that of a route which names none.
	waitShare        = 1.0 / 3
	objectiveDefault = 200 * time.Millisecond
	// returnSpan is the time after the start of this host in which the first data
	// on a flow is likely to be a repetition from before the start.
	returnSpan = 800 * time.Millisecond
)

// urgency sorts the requests that wait for a target.
type urgency uint8

const (
	// timely requests can still be answered in time; the first goes first, but the
	// last once the first has used up half of its wait: then not all can be, and the
	// newest are the likeliest.
	timely urgency = iota
	// unknown ones may be under way for long; the last goes first, as it is the
	// likeliest to be answered in time.
	unknown
	// late ones are past their callers' objective; the first goes first.
	late
)

// held is a request that waits for its target.
type held struct {
	f     *flow
	at    time.Duration
	until time.Duration
	// goodUntil is when it can no longer be answered in time.
	goodUntil time.Duration
	// priority is that of the route, 0 goes first.
	priority  int
	datagrams [][]byte
}

// requestQueue holds the requests that wait for one target.
type requestQueue struct {
	timely  []*held
	unknown []*held
	late    []*held
}

func (r *requestQueue) size() int {
	return len(r.timely) + len(r.unknown) + len(r.late)
}

// before counts the requests of a priority, or a better one.
func (r *requestQueue) before(priority int) int {
	n := 0
	for _, list := range [][]*held{r.timely, r.unknown, r.late} {
		for _, h := range list {
			if h.priority <= priority {
				n++
			}
		}
	}
	return n
}

func (r *requestQueue) add(h *held, u urgency) {
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
func (r *requestQueue) next(now time.Duration) *held {
	for r.size() > 0 {
		if h := r.pop(now); h.f.held == h {
			return h
		}
	}
	return nil
}

// pop takes out the request that goes next by class: timely ones, then unknown ones,
// then late ones; those of routes of a better priority first in each class.
func (r *requestQueue) pop(now time.Duration) *held {
	r.demote(now)
	switch {
	case len(r.timely) > 0:
		return takeBest(&r.timely, r.timely[0].halfWaited(now))
	case len(r.unknown) > 0:
		return takeBest(&r.unknown, true)
	default:
		return takeBest(&r.late, false)
	}
}

// demote makes timely requests late that can no longer be answered in time.
func (r *requestQueue) demote(now time.Duration) {
	r.timely = slices.DeleteFunc(r.timely, func(h *held) bool {
		if now < h.goodUntil {
			return false
		}
		r.late = append(r.late, h)
		return true
	})
}

// takeBest takes out a request of the best priority in a list: the newest of them, or
// the oldest.
func takeBest(list *[]*held, newest bool) *held {
	best := 0
	for i, h := range *list {
		p := (*list)[best].priority
		if h.priority < p || newest && h.priority == p {
			best = i
		}
	}
	h := (*list)[best]
	*list = slices.Delete(*list, best, best+1)
	return h
}

// halfWaited reports whether half of the time has passed in which h can wait and be
// answered in time.
func (h *held) halfWaited(now time.Duration) bool {
	return now-h.at > (h.goodUntil-h.at)/2
}

// tidy drops requests that no longer wait.
func (r *requestQueue) tidy() {
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
	if !t.window.open(t.busy) {
		return true
	}
	if f.urgency == timely {
		return t.load() > t.Slots*queueTimely
	}
	return t.load() >= t.Slots*queueLate || t.waiting.size() > 0
}

// hold keeps the first packet of a request until its target has room.
func (c *Core) hold(now time.Duration, f *flow, datagram []byte) {
	objective, timeout := c.times(f)
	h := &held{
		f:         f,
		priority:  c.routeOf(f).Priority,
		at:        now,
		goodUntil: now + time.Duration(waitShare*float64(objective)),
		until:     now + time.Duration(holdShare*float64(timeout)),
		datagrams: [][]byte{append([]byte(nil), datagram...)},
	}
	f.held = h
	f.target.waiting.add(h, f.urgency)
	c.holds = append(c.holds, h)
}

// routeOf returns the route of a flow, an empty one if there is none.
func (c *Core) routeOf(f *flow) route.Route {
	r, _ := c.catalog.Routes().Lookup(route.Address{IP: f.key.ServiceIP, Port: f.key.ServicePort})
	return r
}

// times returns the time within which the caller of f wants its answers, and that
// after which they are worth nothing.
func (c *Core) times(f *flow) (objective, timeout time.Duration) {
	r := c.routeOf(f)
	objective, timeout = r.LatencyObjective, r.Timeout
	if objective == 0 {
		objective = objectiveDefault
	}
	if timeout == 0 {
		timeout = timeoutDefault
	}
	return objective, timeout
}

// holdMore keeps a further packet of a request that waits.
func (h *held) holdMore(datagram []byte) {
	if len(h.datagrams) < holdPackets {
		h.datagrams = append(h.datagrams, append([]byte(nil), datagram...))
	}
}

// hasRoom reports whether a request that waits may go.
func (t *Target) hasRoom() bool {
	return t.window.open(t.busy) && (t.load() < t.Slots*queueAhead || t.window.shrunk(t.Slots))
}

// overloaded reports whether so many requests wait for the target that one more of a
// priority cannot be answered in time.
func (t *Target) overloaded(priority int) bool {
	return float64(t.waiting.before(priority)) > overloadWindows*t.window.size
}

// release sends the requests that a target has room for.
func (c *Core) release(now time.Duration, t *Target) {
	for t.hasRoom() {
		h := t.waiting.next(now)
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
