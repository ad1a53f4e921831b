package request

import "time"

// Config sets up a Core. Zero values of the limits and times stand for the
// defaults.
type Config struct {
	Self Member
	// Seed makes attempt tokens differ between balancers.
	Seed uint64
	Limits
	Times
}

// Limits bound what a Core remembers and how much it has in hand.
type Limits struct {
	// MaxQueued is the number of requests that wait, per service.
	MaxQueued int
	// MaxPerCaller is the number of unfinished requests of one caller, per service.
	MaxPerCaller int
	// MaxRecords is the number of requests remembered, per service.
	MaxRecords int
	// MaxClaims is the number of claims held for others, per service.
	MaxClaims int
	// RetryBurst is the number of retries allowed before any success.
	RetryBurst float64
	// RetryRatio is the number of retries earned by one success.
	RetryRatio float64
}

// Times are the durations that a Core works with.
type Times struct {
	// InitialWorkTime is the first guess of how long a target works on a request.
	InitialWorkTime time.Duration
	// InterDomainDelay is the one-way time to another failure domain.
	InterDomainDelay time.Duration
	// MinLoadInterval is the least time between two LoadReport messages to one keeper.
	MinLoadInterval time.Duration
	// ResendInterval is the time until an unanswered message is sent again.
	ResendInterval time.Duration
	// RepeatWindow is how long copies of one datagram may turn up.
	RepeatWindow time.Duration
	// MaxDeadline is the longest deadline; a longer one is cut to it. It is less
	// than RepeatWindow.
	MaxDeadline time.Duration
	// AnswerMargin is how long before its deadline an undecided request gets
	// its final answer.
	AnswerMargin time.Duration
	// HeartbeatInterval is the time between two heartbeats of a holder.
	HeartbeatInterval time.Duration
	// QuorumTimeout is how long a holder grants after it last heard from a majority.
	QuorumTimeout time.Duration
	// MaxPause is the longest gap between two events that counts as running.
	MaxPause time.Duration
	// MaxClockSkew is the largest drift between two clocks over RepeatWindow.
	MaxClockSkew time.Duration
	// SuspendTime is how long a target that did not answer gets nothing.
	SuspendTime time.Duration
}

var defaultLimits = Limits{
	MaxQueued:    8192,
	MaxPerCaller: 64,
	MaxRecords:   65536,
	MaxClaims:    65536,
	RetryBurst:   50,
	RetryRatio:   0.2,
}

var defaultTimes = Times{
	InitialWorkTime:   50 * time.Millisecond,
	InterDomainDelay:  5 * time.Millisecond,
	MinLoadInterval:   20 * time.Millisecond,
	ResendInterval:    50 * time.Millisecond,
	RepeatWindow:      time.Minute,
	MaxDeadline:       30 * time.Second,
	AnswerMargin:      10 * time.Millisecond,
	HeartbeatInterval: 500 * time.Millisecond,
	QuorumTimeout:     3 * time.Second,
	MaxPause:          2 * time.Second,
	MaxClockSkew:      time.Second,
	SuspendTime:       time.Second,
}

func (l Limits) withDefaults() Limits {
	setInt(&l.MaxQueued, defaultLimits.MaxQueued)
	setInt(&l.MaxPerCaller, defaultLimits.MaxPerCaller)
	setInt(&l.MaxRecords, defaultLimits.MaxRecords)
	setInt(&l.MaxClaims, defaultLimits.MaxClaims)
	if l.RetryBurst == 0 {
		l.RetryBurst = defaultLimits.RetryBurst
	}
	if l.RetryRatio == 0 {
		l.RetryRatio = defaultLimits.RetryRatio
	}
	return l
}

func (t Times) withDefaults() Times {
	setTime(&t.InitialWorkTime, defaultTimes.InitialWorkTime)
	setTime(&t.InterDomainDelay, defaultTimes.InterDomainDelay)
	setTime(&t.MinLoadInterval, defaultTimes.MinLoadInterval)
	setTime(&t.ResendInterval, defaultTimes.ResendInterval)
	setTime(&t.RepeatWindow, defaultTimes.RepeatWindow)
	setTime(&t.MaxDeadline, defaultTimes.MaxDeadline)
	setTime(&t.AnswerMargin, defaultTimes.AnswerMargin)
	setTime(&t.HeartbeatInterval, defaultTimes.HeartbeatInterval)
	setTime(&t.QuorumTimeout, defaultTimes.QuorumTimeout)
	setTime(&t.MaxPause, defaultTimes.MaxPause)
	setTime(&t.MaxClockSkew, defaultTimes.MaxClockSkew)
	setTime(&t.SuspendTime, defaultTimes.SuspendTime)
	return t
}

func setInt(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}

func setTime(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
