package placement

import (
	"time"

	"wisteriaweir/catalog"
	"wisteriaweir/packet"
	"wisteriaweir/warmup"
)

const (
	// lookupInterval is the time after which a stamp that no host has found is looked up
	// again.
	lookupInterval = 500 * time.Millisecond
	// heldPacketTTL is the time for which a packet with an unknown stamp is held for the
	// result of the lookup. It is shorter than the time after which callers send a copy.
	heldPacketTTL = minRetransmitInterval
	// maxHeldPackets is the maximum number of packets that are held, and of stamps whose
	// lookups are remembered.
	maxHeldPackets = 256
	// MaxLookupStamps is the maximum number of stamps in one lookup.
	MaxLookupStamps = 16
)

// FoundTarget is a target that another host knows by its stamp. It may have been removed from
// the catalog.
type FoundTarget struct {
	Target catalog.Target
	// Dead reports whether the host considers the target dead.
	Dead bool
}

// lookups are the stamps in packets of open flows that no known target has. After a start, a
// host lacks the targets that were removed from the catalog before: other hosts still know
// them, and may know that they are dead.
type lookups struct {
	// askedAt holds when each stamp was last looked up.
	askedAt map[uint32]time.Duration
	// due are the stamps to look up next.
	due []uint32
	// held are the packets that wait for a lookup, oldest first.
	held []heldPacket
}

// heldPacket is a packet that waits for the lookup of its stamp.
type heldPacket struct {
	packet     packet.Packet
	datagram   []byte
	receivedAt time.Duration
}

// holdUnknown holds a packet with data whose stamp no known target has, and looks the stamp
// up unless that was done within lookupInterval.
func (c *Core) holdUnknown(now time.Duration, p packet.Packet, datagram []byte) Decision {
	l := &c.lookups
	if p.Size == 0 {
		return Drop{Reason: UnknownStamp}
	}
	if at, asked := l.askedAt[p.Stamp]; asked && now-at < lookupInterval && now-at > heldPacketTTL {
		return Drop{Reason: UnknownStamp}
	} else if !asked || now-at >= lookupInterval {
		if len(l.askedAt) >= maxHeldPackets {
			clear(l.askedAt)
		}
		l.askedAt[p.Stamp] = now
		l.due = append(l.due, p.Stamp)
	}
	for len(l.held) > 0 && (now-l.held[0].receivedAt > heldPacketTTL || len(l.held) >= maxHeldPackets) {
		l.held = l.held[1:]
	}
	l.held = append(l.held, heldPacket{packet: p, datagram: append([]byte(nil), datagram...), receivedAt: now})
	return Drop{Reason: UnknownStamp}
}

// TakeLookups returns the stamps to look up at other hosts, at most MaxLookupStamps. They are
// not returned again.
func (c *Core) TakeLookups() []uint32 {
	n := min(len(c.lookups.due), MaxLookupStamps)
	due := c.lookups.due[:n:n]
	c.lookups.due = c.lookups.due[n:]
	return due
}

// Find returns the targets with the given stamps that this host knows, for another host.
func (c *Core) Find(now time.Duration, stamps []uint32) []FoundTarget {
	var found []FoundTarget
	for _, stamp := range stamps {
		if t := c.targetsByStamp[stamp]; t != nil {
			found = append(found, FoundTarget{Target: t.Target, Dead: t.isKnownDead(now)})
		}
	}
	return found
}

// AddFound adds targets that other hosts have found. Until the catalog lists them, they count
// as removed: they get no new flows. Then it decides on the packets that were held for them.
func (c *Core) AddFound(now time.Duration, found []FoundTarget) {
	added := false
	for _, f := range found {
		_, asked := c.lookups.askedAt[StampOf(f.Target.ID)]
		if !asked || c.targets[f.Target.ID] != nil {
			continue
		}
		added = true
		c.addFound(now, f)
	}
	if !added {
		return
	}
	c.rebuildIndex()
	held := c.lookups.held
	c.lookups.held = nil
	for _, h := range held {
		if now-h.receivedAt > heldPacketTTL {
			continue
		}
		if c.targetsByStamp[h.packet.Stamp] == nil {
			c.lookups.held = append(c.lookups.held, h)
			continue
		}
		c.handleHeld(now, h)
	}
}

// addFound adds one target that another host has found.
func (c *Core) addFound(now time.Duration, f FoundTarget) {
	t := &Target{
		Target: f.Target, Stamp: StampOf(f.Target.ID), window: newWindow(f.Target.Slots),
		openings: warmup.NewTarget(f.Target.ID, f.Target.Domain), removed: true, removedAt: now, hasInvalidEntry: c.catalog.HasInvalidEntry(f.Target.ID),
	}
	if f.Dead {
		t.dead, t.lastStallAt = true, now
	}
	c.targets[t.ID] = t
	c.notify(TargetFound, t)
}

// handleHeld decides on a held packet and turns the decision into an effect.
func (c *Core) handleHeld(now time.Duration, h heldPacket) {
	switch d := c.handleData(now, h.packet, h.datagram).(type) {
	case Forward:
		c.emit(Resend{To: d.To, Datagram: h.datagram})
	case Reject:
		c.emit(Reset{Flow: h.packet.Flow, AckSeq: h.packet.AckSeq, Reason: d.Reason})
	case Drop, Queue:
	}
}
