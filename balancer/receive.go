package balancer

import (
	"net/netip"
	"slices"

	"wisteriaweir/entry"
	"wisteriaweir/service"
)

// readBufferBytes is the size of the read buffer for one datagram, in bytes.
const readBufferBytes = 64 * 1024

// receive reads and handles datagrams until the socket is closed.
func (b *Balancer) receive() {
	buffer := make([]byte, readBufferBytes)
	for {
		n, from, err := b.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		b.handleDatagram(slices.Clone(buffer[:n]), netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// handleDatagram dispatches one datagram: a reply of a target if its source is
// a service address, or else a datagram of a caller to a service address.
func (b *Balancer) handleDatagram(d []byte, from netip.AddrPort) {
	h, payload, err := entry.ParseHeader(d)
	if err != nil {
		b.counters.DroppedMalformed.Inc()
		return
	}
	if len(payload) > b.cfg.Setting.Limits.Datagram {
		b.counters.DroppedSize.Inc()
		return
	}
	current := b.snapshot()
	if _, a, ok := current.config.Lookup(h.Source); ok {
		b.handleReply(a, h, d, payload, from)
		return
	}
	s, a, ok := current.config.Lookup(h.Destination)
	if !ok {
		b.counters.DroppedAddress.Inc()
		return
	}
	b.counters.FromFabric.Inc()
	if !b.isFresh() {
		b.counters.DroppedStale.Inc()
		return
	}
	switch a.Mode {
	case service.ModeRequest:
		b.requests.handleDatagram(h, s, payload)
	case service.ModeFlow:
		b.flowWorker(h.Source, h.Destination).handleDatagram(h, d)
	}
}

// handleReply dispatches a target's datagram, whose source is the service
// address a.
func (b *Balancer) handleReply(a service.Address, h entry.Header, d, payload []byte, from netip.AddrPort) {
	b.counters.FromTarget.Inc()
	switch a.Mode {
	case service.ModeRequest:
		b.requests.handleTargetDatagram(from, payload)
	case service.ModeFlow:
		b.flowWorker(h.Destination, h.Source).handleReply(h, d)
	}
}
