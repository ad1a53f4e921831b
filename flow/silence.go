package flow

import (
	"maps"
	"time"
)

// The replies to a flow may arrive at another member, so that this member observes runs
// of datagrams without a reply. A flow counts as unanswered only when its current run
// has at least unansweredFactor * (longest run + unansweredMargin) datagrams.
const (
	// unansweredFactor is the multiplier of the longest run. It has no unit.
	unansweredFactor = 4
	// unansweredMargin is added to the longest run, in datagrams, before the
	// multiplication.
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

// withReply returns the run after a reply at the time now, in ticks.
func (r replyRun) withReply(now uint32) replyRun {
	if r.repliedAt == 0 || now-r.repliedAt > maxReplyGap {
		r.startedAt = now
	}
	r.repliedAt = now
	return r
}

// removeOldReplyRuns removes the runs whose last reply is older than maxReplyGap. They have
// no effect: isUnanswered ignores them and the next reply starts a new run.
func (s *Shard) removeOldReplyRuns(now uint32) {
	maps.DeleteFunc(s.replyRuns, func(_ TargetID, r replyRun) bool { return now-r.repliedAt > maxReplyGap })
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
