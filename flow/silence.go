package flow

import "time"

// A flow is silent only after a run without a reply that is silentRuns times
// as long as the longest one before, plus a margin: any other member may have
// seen the replies.
const (
	silentRuns   = 4
	silentMargin = 3
)

// replies is the present run of replies of a target, to any flow.
type replies struct {
	// since and last are the times of its first and its newest reply, in ticks.
	since uint32
	last  uint32
}

// replyGap is the time without a reply that ends a run of replies, in ticks. A
// target that was cut off from this member starts a new run when it is back.
const replyGap = uint32(2 * time.Second / tick)

// with returns the run with a reply at n.
func (r replies) with(n uint32) replies {
	if r.last == 0 || n-r.last > replyGap {
		r.since = n
	}
	r.last = n
	return r
}

// silent reports whether the target answers others but no longer this flow.
func (s *Shard) silent(now time.Duration, e *entry) bool {
	limit := max(s.cfg.MaxUnansweredPackets, silentRuns*(int(e.longest)+silentMargin))
	if e.flags&flagAnswered == 0 || int(e.unanswered) < limit {
		return false
	}
	after := ticks(s.cfg.UnansweredTimeout)
	n := ticks(now)
	r := s.replied[e.target]
	return n-max(e.replied, r.since) > after && n-r.last < replyGap
}
