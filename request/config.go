package request

import "time"

// Config configures a Core. Limits and times that are zero have their default
// values.
type Config struct {
	// Self is the balancer that the Core decides for.
	Self Member
	// Seed should be random. It makes tokens and nonces differ between balancers.
	Seed uint64
	Limits
	Times
}

// Limits bound the memory and the work of a Core.
type Limits struct {
	// MaxQueued limits the queue of a service: its unfinished requests are at most
	// MaxQueued plus twice the number of usable slots.
	MaxQueued int
	// MaxPerCaller is the maximum number of unfinished requests of one caller, per
	// service.
	MaxPerCaller int
	// MaxRecords is the maximum number of requests stored to recognize duplicates,
	// per service.
	MaxRecords int
	// MaxClaims is the maximum number of claims that a claim holder stores, per
	// service.
	MaxClaims int
	// RetryBurst is the retry budget at the start, and its maximum. Each retry
	// uses 1 of it.
	RetryBurst float64
	// RetryRatio is the amount that each request that a target ran adds to the
	// retry budget.
	RetryRatio float64
}

// Times are the durations that a Core uses.
type Times struct {
	// InitialServiceTime is the mean service time that is assumed before a target
	// has responded. The service time of an attempt is the time from its Forward to
	// the response.
	InitialServiceTime time.Duration
	// InterDomainDelay is the one-way network delay to another failure domain.
	InterDomainDelay time.Duration
	// MinLoadInterval is the minimum time between two LoadReport messages to one
	// coordinator.
	MinLoadInterval time.Duration
	// ResendInterval is the time after which an unacknowledged message is sent
	// again.
	ResendInterval time.Duration
	// RepeatWindow is the time after the first copy of a datagram within which
	// further copies may arrive.
	RepeatWindow time.Duration
	// MaxDeadline is the maximum time until a request's deadline; a later deadline
	// is reduced to it. It must be less than RepeatWindow.
	MaxDeadline time.Duration
	// ReplyMargin is the time before its deadline at which a request without an
	// outcome gets its final reply.
	ReplyMargin time.Duration
	// HeartbeatInterval is the time between two heartbeats of a claim holder.
	HeartbeatInterval time.Duration
	// QuorumTimeout is the time since the last heartbeat after which a claim
	// holder no longer counts another member as reachable. A holder grants claims
	// only while it and the reachable members are a majority of the set.
	QuorumTimeout time.Duration
	// MaxPause is the longest time between two events that does not count as a
	// pause of the process.
	MaxPause time.Duration
	// MaxClockSkew is the maximum drift between two clocks over RepeatWindow.
	MaxClockSkew time.Duration
	// SuspendDuration is the time for which an unresponsive target gets no
	// attempts. It doubles with each further suspension, at most to 16 times the
	// duration, until the target responds.
	SuspendDuration time.Duration
}

// defaultLimits has the values for limits that are zero in a Config.
var defaultLimits = Limits{
	MaxQueued:    8192,
	MaxPerCaller: 64,
	MaxRecords:   65536,
	MaxClaims:    65536,
	RetryBurst:   50,
	RetryRatio:   0.2,
}

// defaultTimes has the values for times that are zero in a Config.
var defaultTimes = Times{
	InitialServiceTime: 50 * time.Millisecond,
	InterDomainDelay:   5 * time.Millisecond,
	MinLoadInterval:    20 * time.Millisecond,
	ResendInterval:     50 * time.Millisecond,
	RepeatWindow:       time.Minute,
	MaxDeadline:        30 * time.Second,
	ReplyMargin:        10 * time.Millisecond,
	HeartbeatInterval:  500 * time.Millisecond,
	QuorumTimeout:      3 * time.Second,
	MaxPause:           2 * time.Second,
	MaxClockSkew:       time.Second,
	SuspendDuration:    time.Second,
}

// withDefaults returns l with the default values in place of zero fields.
func (l Limits) withDefaults() Limits {
	setIntIfZero(&l.MaxQueued, defaultLimits.MaxQueued)
	setIntIfZero(&l.MaxPerCaller, defaultLimits.MaxPerCaller)
	setIntIfZero(&l.MaxRecords, defaultLimits.MaxRecords)
	setIntIfZero(&l.MaxClaims, defaultLimits.MaxClaims)
	if l.RetryBurst == 0 {
		l.RetryBurst = defaultLimits.RetryBurst
	}
	if l.RetryRatio == 0 {
		l.RetryRatio = defaultLimits.RetryRatio
	}
	return l
}

// withDefaults returns t with the default values in place of zero fields.
func (t Times) withDefaults() Times {
	setDurationIfZero(&t.InitialServiceTime, defaultTimes.InitialServiceTime)
	setDurationIfZero(&t.InterDomainDelay, defaultTimes.InterDomainDelay)
	setDurationIfZero(&t.MinLoadInterval, defaultTimes.MinLoadInterval)
	setDurationIfZero(&t.ResendInterval, defaultTimes.ResendInterval)
	setDurationIfZero(&t.RepeatWindow, defaultTimes.RepeatWindow)
	setDurationIfZero(&t.MaxDeadline, defaultTimes.MaxDeadline)
	setDurationIfZero(&t.ReplyMargin, defaultTimes.ReplyMargin)
	setDurationIfZero(&t.HeartbeatInterval, defaultTimes.HeartbeatInterval)
	setDurationIfZero(&t.QuorumTimeout, defaultTimes.QuorumTimeout)
	setDurationIfZero(&t.MaxPause, defaultTimes.MaxPause)
	setDurationIfZero(&t.MaxClockSkew, defaultTimes.MaxClockSkew)
	setDurationIfZero(&t.SuspendDuration, defaultTimes.SuspendDuration)
	return t
}

// setIntIfZero sets *n to value if it is zero.
func setIntIfZero(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}

// setDurationIfZero sets *d to value if it is zero.
func setDurationIfZero(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
