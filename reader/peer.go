package reader

import "time"

// peer is what this host knows of another host.
type peer struct {
	Member
	// heartbeat is the last heartbeat from the host, valid if hasHeartbeat is set.
	heartbeat Heartbeat
	// lastHeartbeatAt is when the last heartbeat was received or, before the first one,
	// when the host became known.
	lastHeartbeatAt time.Duration
	hasHeartbeat    bool
	// readingSince is when the host began to report that it is a reader, 0 if it does not.
	readingSince time.Duration
	// heard reports whether any message was received from the host.
	heard bool
	// lastMessageAt is when the last message of any kind was received or, before the
	// first one, when the host was first listed at its address.
	lastMessageAt time.Duration
}

// recordHeartbeat records a heartbeat from the host.
func (p *peer) recordHeartbeat(now time.Duration, h Heartbeat) {
	p.heartbeat, p.lastHeartbeatAt, p.hasHeartbeat = h, now, true
	switch {
	case !h.IsReading:
		p.readingSince = 0
	case p.readingSince == 0:
		p.readingSince = now
	}
}

// peerFor returns the peer that sent a message. It adds the peer if it is unknown, and
// replaces it if it has a new address.
func (c *Core) peerFor(now time.Duration, m Member) *peer {
	p := c.peers[m.Name]
	if p == nil || p.Address != m.Address {
		p = &peer{Member: m, lastHeartbeatAt: now}
		c.peers[m.Name] = p
		c.updateGroup()
	}
	p.lastMessageAt, p.heard = now, true
	return p
}
