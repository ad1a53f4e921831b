package flow

import "time"

// A flow counts as unanswered only after unansweredFactor times as many datagrams
// without a reply as in its longest run before, with a margin added to that run. Any
// other member may have received the replies.
const (
	// unansweredFactor is the ratio to the longest run of datagrams without a reply.
	unansweredFactor = 4
	// unansweredMargin is added to the longest run, in datagrams.
	unansweredMargin = 3
)

// replyRun is the current run of replies of a target, to any flow.
type replyRun struct {
	// startedAt and repliedAt are the times of its first and its newest reply, in
	// ticks.
	startedAt uint32
	repliedAt uint32
}

// maxReplyGap is the longest time between two replies of one run, in ticks. A target
// that was unreachable from this member starts a new run with its first reply.
const maxReplyGap = uint32(2 * time.Second / tick)

// withReply returns the run after a reply at time n, in ticks.
func (r replyRun) withReply(n uint32) replyRun {
	if r.repliedAt == 0 || n-r.repliedAt > maxReplyGap {
		r.startedAt = n
	}
	r.repliedAt = n
	return r
}

// isUnanswered reports whether the target still replies to other flows but no longer
// to this one.
func (s *Shard) isUnanswered(now time.Duration, e *entry) bool {
	limit := max(s.cfg.MaxUnansweredPackets, unansweredFactor*(int(e.longestUnanswered)+unansweredMargin))
	if e.flags&flagAnswered == 0 || int(e.unanswered) < limit {
		return false
	}
	timeout := ticks(s.cfg.UnansweredTimeout)
	t := ticks(now)
	run := s.replyRuns[e.target]
	return t-max(e.repliedAt, run.startedAt) > timeout && t-run.repliedAt < maxReplyGap
}
