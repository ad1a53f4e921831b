package flow

import "time"

// ShardConfig holds the limits of a shard. Zero values mean the defaults.
type ShardConfig struct {
	// MaxFlows is the largest number of flows in the shard, including pins.
	MaxFlows int
	// MaxCallerFlows is the largest number of flows of one caller IP address.
	MaxCallerFlows int
	// IdleTimeout is the time without datagrams or replies after which a flow is removed.
	IdleTimeout time.Duration
	// PinIdleTimeout is the time without datagrams, replies or announcements of the pin after
	// which a pinned flow is removed. A member that receives a datagram of a pinned
	// flow announces the pin again once half of this time has passed since the last
	// announcement.
	PinIdleTimeout time.Duration
	// MaxUnansweredPackets and UnansweredTimeout apply to a flow to which its target
	// has replied before. The flow may be ended once both are reached: this number of
	// datagrams in a row without a reply, and this time without a reply.
	MaxUnansweredPackets int
	UnansweredTimeout    time.Duration
}

// Defaults of a ShardConfig.
const (
	// DefaultMaxFlows is the default of ShardConfig.MaxFlows.
	DefaultMaxFlows = 1 << 16
	// DefaultMaxCallerFlows is the default of ShardConfig.MaxCallerFlows.
	DefaultMaxCallerFlows = 1 << 12
	// DefaultIdleTimeout is the default of ShardConfig.IdleTimeout.
	DefaultIdleTimeout = 5 * time.Minute
	// DefaultPinIdleTimeout is the default of ShardConfig.PinIdleTimeout.
	DefaultPinIdleTimeout = time.Hour
	// DefaultMaxUnansweredPackets is the default of ShardConfig.MaxUnansweredPackets.
	DefaultMaxUnansweredPackets = 16
	// DefaultUnansweredTimeout is the default of ShardConfig.UnansweredTimeout.
	DefaultUnansweredTimeout = 10 * time.Second
)

// withDefaults returns c with its zero values replaced by the defaults.
func (c ShardConfig) withDefaults() ShardConfig {
	setInt(&c.MaxFlows, DefaultMaxFlows)
	setInt(&c.MaxCallerFlows, DefaultMaxCallerFlows)
	setInt(&c.MaxUnansweredPackets, DefaultMaxUnansweredPackets)
	setDuration(&c.IdleTimeout, DefaultIdleTimeout)
	setDuration(&c.PinIdleTimeout, DefaultPinIdleTimeout)
	setDuration(&c.UnansweredTimeout, DefaultUnansweredTimeout)
	return c
}

// setInt sets *v to d if it is 0.
func setInt(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

// setDuration sets *v to d if it is 0.
func setDuration(v *time.Duration, d time.Duration) {
	if *v == 0 {
		*v = d
	}
}
