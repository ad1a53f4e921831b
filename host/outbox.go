package host

import (
	"net/netip"
	"slices"
	"time"

	"wisteriaweir/reader"
)

const (
	// paceEvery is the time between two sends of large contents, linkShare the part
	// of the link that they may take.
	paceEvery = 10 * time.Millisecond
	linkShare = 0.2
)

// outgoing is a datagram for another host. Kind is the kind of the content that
// it is a part of.
type outgoing struct {
	to   netip.AddrPort
	kind contentKind
	b    []byte
}

// contentKind tells apart contents of which a newer one makes an older one
// needless.
type contentKind int

// Kinds of content. Changes lead on from what a host has, the others are whole.
const (
	noContent contentKind = iota
	allRoutes
	allTargets
	changes
)

func kindOf(n reader.Message) contentKind {
	c, ok := n.(reader.Update)
	switch {
	case !ok:
		return noContent
	case c.Routes != nil:
		return allRoutes
	case c.HasAllTargets:
		return allTargets
	default:
		return changes
	}
}

// tell sends a note of one datagram at once, and puts a larger one into the
// outbox.
func (c *control) tell(t reader.Send) {
	datagrams, err := c.encoder.Encode(t.Message)
	if err != nil {
		c.h.log.WithError(err).Error("host: note not encoded")
		return
	}
	kind := kindOf(t.Message)
	if len(datagrams) == 1 {
		c.send(outgoing{to: t.To.Address, b: datagrams[0]})
		return
	}
	if kind == allRoutes || kind == allTargets {
		c.outbox = slices.DeleteFunc(c.outbox, func(o outgoing) bool { return o.to == t.To.Address && o.kind == kind })
	}
	parts := make([]outgoing, 0, len(datagrams))
	for _, b := range datagrams {
		parts = append(parts, outgoing{to: t.To.Address, kind: kind, b: b})
	}
	if kind != changes {
		c.outbox = append(c.outbox, parts...)
		return
	}
	// Changes go before whole contents.
	at := slices.IndexFunc(c.outbox, func(o outgoing) bool { return o.kind != changes })
	if at < 0 {
		at = len(c.outbox)
	}
	c.outbox = slices.Insert(c.outbox, at, parts...)
}

func (c *control) send(o outgoing) {
	c.h.count.noteBytes.Add(len(o.b))
	if _, err := c.conn.WriteToUDPAddrPort(o.b, o.to); err != nil {
		c.h.count.noteErrors.Inc()
	}
}

// drain sends what the pace allows for one paceEvery.
func (c *control) drain() {
	budget := c.h.cfg.Settings.LinkMbps * linkShare / 8 * 1e6 * paceEvery.Seconds()
	for budget > 0 && len(c.outbox) > 0 {
		c.send(c.outbox[0])
		budget -= float64(len(c.outbox[0].b))
		c.outbox = c.outbox[1:]
	}
}
