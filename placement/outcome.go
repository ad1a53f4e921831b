package placement

import (
	"math"
	"slices"
	"time"

	"wisteriaweir/route"
)

const (
	// answerLimit is the time after its last data after which a request without any
	// answer counts as failed.
	answerLimit = 400 * time.Millisecond
	// shortShare is the share of the typical size of an answer below which one counts
	// as short: most likely an error. sizeShare is the weight of the newest answer in
	// the typical size, sizesLeast the number of answers from which that is known.
	shortShare = 0.4
	sizeShare  = 0.05
	sizesLeast = 20
	// outcomeHalf is the time in which an outcome loses half of its weight.
	outcomeHalf = time.Second
	// A target fails if the weight of its failed requests is at least failingLeast, and
	// their share above failingShare and failingTimes the median of that of the rest of
	// the pool, which has at least the weight restLeast.
	failingLeast = 2.5
	failingShare = 0.25
	failingTimes = 3
	restLeast    = 10
	// failingFor is the time after such a failure in which a target gets no new flows
	// if others can take them, returningFor that after it in which it gets fewer.
	failingFor   = 2 * time.Second
	returningFor = 3 * time.Second
	// judgeAfter is the time after the start of a host in which outcomes do not count:
	// flows still move between hosts, so that answers are seen by others.
	judgeAfter = 2 * time.Second
	// failingPart bounds the targets that count as failing: one in so many of a pool.
	failingPart = 3
)

// outcomes are the requests on a target that went well and that failed, each with
// a weight that falls with its age.
type outcomes struct {
	good float64
	bad  float64
	at   time.Duration
}

// fade lowers the weights to those at a time.
func (o *outcomes) fade(now time.Duration) {
	f := math.Exp2(-float64(now-o.at) / float64(outcomeHalf))
	o.good, o.bad, o.at = o.good*f, o.bad*f, now
}

// plus returns the sum of outcomes of one time.
func (o outcomes) plus(p outcomes) outcomes {
	return outcomes{good: o.good + p.good, bad: o.bad + p.bad, at: o.at}
}

// share returns the share of the failed requests.
func (o outcomes) share() float64 {
	if o.good+o.bad == 0 {
		return 0
	}
	return o.bad / (o.good + o.bad)
}

// answerSize is the typical size of what a caller acknowledges first of an answer.
type answerSize struct {
	mean  float64
	count int
}

// short reports whether an answer of a size is most likely an error.
func (s answerSize) short(size uint32) bool {
	return s.count >= sizesLeast && float64(size) < s.mean*shortShare
}

// with returns s with one answer more.
func (s answerSize) with(size uint32) answerSize {
	if s.count < sizesLeast {
		s.count++
		s.mean += (float64(size) - s.mean) / float64(s.count)
		return s
	}
	s.mean += sizeShare * (float64(size) - s.mean)
	return s
}

// unanswered is a request whose outcome is not known yet.
type unanswered struct {
	f      *flow
	number uint32
	due    time.Duration
}

// watch awaits the outcome of a request that begins on f.
func (c *Core) watch(now time.Duration, f *flow) {
	if f.pending {
		return
	}
	f.pending, f.short = true, false
	f.base = f.acked
	f.request++
	c.unanswered = append(c.unanswered, unanswered{f: f, number: f.request, due: now + answerLimit})
}

// answer takes in that the caller of f has got size bytes since its request.
func (c *Core) answer(now time.Duration, f *flow, size uint32) {
	at := route.Address{IP: f.key.ServiceIP, Port: f.key.ServicePort}
	typical := c.sizes[at]
	switch short := typical.short(size); {
	case f.pending:
		f.pending, f.short = false, short
		c.sizes[at] = typical.with(size)
		f.target.answered(now - f.sent)
		c.resize(now, f, short)
		if short {
			c.fail(now, f.target)
			return
		}
		f.target.outcomes.fade(now)
		f.target.outcomes.good++
	case f.short && !short: // More of the answer has come.
		f.short = false
		f.target.outcomes.fade(now)
		f.target.outcomes.good++
		f.target.outcomes.bad = max(f.target.outcomes.bad-1, 0)
	}
}

// resize fits the window of a target to an answer.
func (c *Core) resize(now time.Duration, f *flow, short bool) {
	t := f.target
	objective, _ := c.times(f)
	switch {
	case short:
		t.window.shrink(now, windowRefused)
	case float64(now-f.sent) > slowShare*float64(objective):
		t.window.shrink(now, windowSlow)
	default:
		t.window.grow(t.Slots)
	}
}

// giveUp takes in that the caller of f has ended the flow before any answer.
func (c *Core) giveUp(now time.Duration, f *flow) {
	if f.pending {
		f.pending = false
		c.fail(now, f.target)
	}
}

// judgeUnanswered counts the requests that have had no answer for too long, unless
// this host is behind with its packets.
func (c *Core) judgeUnanswered(now time.Duration) {
	for len(c.unanswered) > 0 && c.unanswered[0].due <= now {
		u := c.unanswered[0]
		c.unanswered = c.unanswered[1:]
		f := u.f
		switch due := f.sent + answerLimit; {
		case !f.pending || f.request != u.number || f.dropped:
		case f.held != nil || due > now:
			u.due = max(due, now+answerLimit/2)
			c.unanswered = append(c.unanswered, u)
		default:
			f.pending = false
			if c.drainedAt >= f.sent+answerWithin {
				c.fail(now, f.target)
			}
		}
	}
}

// fail counts a failed request on a target, and decides on the target.
func (c *Core) fail(now time.Duration, t *Target) {
	if now-c.readyAt < judgeAfter {
		return
	}
	t.outcomes.fade(now)
	t.outcomes.bad++
	c.judge(now, t)
}

// judge decides whether a target fails more than the rest of its pool, by what the
// flows of this host and of the others show.
func (c *Core) judge(now time.Duration, t *Target) {
	sum := t.outcomes.plus(c.toldOutcomes(now, t))
	if sum.bad < failingLeast || !c.outlier(now, t, sum) {
		return
	}
	if !t.failing(now) {
		if !c.mayFail(now, t) {
			return
		}
		c.notifyFailing(t, OutcomeWeights{Succeeded: sum.good, Failed: sum.bad})
	}
	t.failingUntil = now + failingFor
}

// outlier reports whether a target with these outcomes fails far more often than
// the usual one of its pool. As long as the others have seen too little, none does.
func (c *Core) outlier(now time.Duration, t *Target, sum outcomes) bool {
	var shares []float64
	weight := 0.0
	for _, o := range c.pools[t.Service] {
		if o == t {
			continue
		}
		o.outcomes.fade(now)
		w := o.outcomes.good + o.outcomes.bad
		weight += w
		if w >= 1 {
			shares = append(shares, o.outcomes.share())
		}
	}
	if weight < restLeast || len(shares) == 0 {
		return false
	}
	slices.Sort(shares)
	usual := shares[len(shares)/2]
	return sum.share() >= failingShare+failingTimes*usual
}

// failing reports whether the target fails a part of its requests.
func (t *Target) failing(now time.Duration) bool {
	return now < t.failingUntil
}

// returning reports whether the target has failed lately.
func (t *Target) returning(now time.Duration) bool {
	return t.failingUntil > 0 && now < t.failingUntil+returningFor
}

// mayFail reports whether one target more of a pool may count as failing.
func (c *Core) mayFail(now time.Duration, t *Target) bool {
	n := 0
	for _, o := range c.pools[t.Service] {
		if o.failing(now) {
			n++
		}
	}
	return n < len(c.pools[t.Service])/failingPart
}
