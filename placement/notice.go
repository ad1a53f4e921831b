package placement

// Event says what changed in what is believed of a target.
type Event string

// Events of a Notice.
const (
	TargetNew      Event = "target new"
	TargetGone     Event = "target gone"
	TargetDraining Event = "target draining"
	TargetCollides Event = "target stamp collides"
	TargetSuspect  Event = "target suspect"
	TargetDead     Event = "target dead"
	TargetAlive    Event = "target alive"
)

// Notice is one change of what is believed of a target.
type Notice struct {
	Event  Event
	Target *Target
}

func (c *Core) notify(e Event, t *Target) {
	if c.cfg.Observe != nil {
		c.cfg.Observe(Notice{Event: e, Target: t})
	}
}
