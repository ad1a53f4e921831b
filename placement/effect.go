package placement

import "wisteriaweir/packet"

// Effect is an action that is due in addition to the decision on a packet: Resend
// or Reset.
type Effect interface {
	effect()
}

// Resend sends a datagram that the core has stored.
type Resend struct {
	To *Target
	// IsOpening reports whether the datagram is an opening packet, into which the
	// stamp of To must be written.
	IsOpening bool
	// Datagram is the packet as received from the caller.
	Datagram []byte
}

// Reset ends an open flow by a reset that is sent to its caller.
type Reset struct {
	Flow packet.FlowKey
	// AckSeq is the sequence number up to which the caller has received the target's
	// stream.
	AckSeq uint32
	Reason Reason
	Target *Target
}

func (Resend) effect() {}
func (Reset) effect()  {}

// Effects returns the effects that have become due since the last call, in their
// order. The slice is valid until the next call to the core.
func (c *Core) Effects() []Effect {
	effects := c.pendingEffects
	c.pendingEffects = c.pendingEffects[:0]
	return effects
}

// emit adds an effect that the next call of Effects returns.
func (c *Core) emit(e Effect) {
	c.pendingEffects = append(c.pendingEffects, e)
}
