package placement

import "wisteriaweir/packet"

// Effect is something to be done besides the decision on a packet: Resend or
// Reset.
type Effect interface {
	effect()
}

// Resend sends a datagram that the core has kept.
type Resend struct {
	To *Target
	// IsOpening says that the datagram opens a flow, so that the stamp of To belongs
	// into it.
	IsOpening bool
	// Datagram is the packet as the caller sent it.
	Datagram []byte
}

// Reset ends an open flow towards its caller.
type Reset struct {
	Flow packet.FlowKey
	// AckSeq is the position up to which the caller has the target's stream.
	AckSeq uint32
	Reason Reason
	Target *Target
}

func (Resend) effect() {}
func (Reset) effect()  {}

// Effects returns what has become due since the last call. The slice is valid
// until the next call to the core.
func (c *Core) Effects() []Effect {
	due := c.due
	c.due = c.due[:0]
	return due
}

func (c *Core) emit(e Effect) {
	c.due = append(c.due, e)
}
