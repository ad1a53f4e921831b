package host

import (
	"net/netip"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wisteriaweir/reader"
)

const (
	// paceInterval is the time between two sends from the send queue.
	paceInterval = 10 * time.Millisecond
	// linkFraction is the fraction of the link's bandwidth that the send queue may
	// use.
	linkFraction = 0.2
)

// queuedDatagram is a datagram for another host: one fragment of an update of the
// given kind.
type queuedDatagram struct {
	to   netip.AddrPort
	kind updateKind
	data []byte
	// sent counts the bytes of the messages of the same kind.
	sent *metrics.Counter
}

// updateKind distinguishes updates for the send queue: a newer snapshot replaces a
// queued older one of the same kind for the same host.
type updateKind int

// Kinds of update.
const (
	// notUpdate is any message that is not an update.
	notUpdate updateKind = iota
	// routesSnapshot is a complete routing table.
	routesSnapshot
	// targetsSnapshot contains all targets.
	targetsSnapshot
	// delta contains changes since a revision that the receiver has.
	delta
)

// messageLabels are the label values of the counter of sent bytes.
var messageLabels = []string{"hello", "heartbeat", "request", "routes", "targets", "evacuations", "load", "lookup"}

// messageLabel returns the element of messageLabels for a message.
func messageLabel(m reader.Message) string {
	switch m := m.(type) {
	case reader.Hello:
		return "hello"
	case reader.Heartbeat:
		return "heartbeat"
	case reader.UpdateRequest:
		return "request"
	case reader.Update:
		if m.Routes != nil || m.RouteChanges != nil {
			return "routes"
		}
		return "targets"
	case reader.EvacuationUpdate:
		return "evacuations"
	case reader.Load:
		return "load"
	default:
		return "lookup"
	}
}

// updateKindOf returns the kind of a message.
func updateKindOf(m reader.Message) updateKind {
	u, ok := m.(reader.Update)
	switch {
	case !ok:
		return notUpdate
	case u.Routes != nil:
		return routesSnapshot
	case u.HasAllTargets:
		return targetsSnapshot
	default:
		return delta
	}
}

// sendMessage sends a message of one datagram at once, and adds the datagrams of a
// larger one to the send queue. There, a snapshot replaces the queued datagrams of an
// older snapshot of the same kind for the same host. It returns the size of the message in
// bytes.
func (c *control) sendMessage(s reader.Send) int {
	datagrams, err := c.encoder.Encode(s.Message)
	if err != nil {
		c.h.log.WithError(err).Error("host: cannot encode message")
		return 0
	}
	kind, sent := updateKindOf(s.Message), c.h.counters.messageBytes[messageLabel(s.Message)]
	if len(datagrams) == 1 {
		c.sendDatagram(queuedDatagram{to: s.To.Address, data: datagrams[0], sent: sent})
		return len(datagrams[0])
	}
	if kind == routesSnapshot || kind == targetsSnapshot {
		c.sendQueue = slices.DeleteFunc(c.sendQueue, func(d queuedDatagram) bool { return d.to == s.To.Address && d.kind == kind })
	}
	size := 0
	fragments := make([]queuedDatagram, 0, len(datagrams))
	for _, b := range datagrams {
		size += len(b)
		fragments = append(fragments, queuedDatagram{to: s.To.Address, kind: kind, data: b, sent: sent})
	}
	if kind != delta {
		c.sendQueue = append(c.sendQueue, fragments...)
		return size
	}
	// Deltas are sent before snapshots.
	i := slices.IndexFunc(c.sendQueue, func(d queuedDatagram) bool { return d.kind != delta })
	if i < 0 {
		i = len(c.sendQueue)
	}
	c.sendQueue = slices.Insert(c.sendQueue, i, fragments...)
	return size
}

// sendDatagram sends one datagram and counts its bytes.
func (c *control) sendDatagram(d queuedDatagram) {
	d.sent.Add(len(d.data))
	if _, err := c.conn.WriteToUDPAddrPort(d.data, d.to); err != nil {
		c.h.counters.messageErrors.Inc()
	}
}

// sendPaced sends queued datagrams up to the byte limit for one paceInterval. The
// last datagram may exceed the limit.
func (c *control) sendPaced() {
	remainingBytes := c.h.cfg.Settings.LinkMbps * linkFraction / 8 * 1e6 * paceInterval.Seconds()
	for remainingBytes > 0 && len(c.sendQueue) > 0 {
		c.sendDatagram(c.sendQueue[0])
		remainingBytes -= float64(len(c.sendQueue[0].data))
		c.sendQueue = c.sendQueue[1:]
	}
}
