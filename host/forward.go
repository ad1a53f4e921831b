package host

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/apex/log"

	"wisteriaweir/catalog"
	"wisteriaweir/packet"
	"wisteriaweir/placement"
	"wisteriaweir/platform"
)

const (
	// socketBuffer is the size of the packets' receive buffer in bytes.
	socketBuffer = 1 << 20
	// idleTick bounds the time for which the packet goroutine waits for a packet.
	idleTick = 250 * time.Millisecond
	// flowMemory is the memory reckoned for one flow, in bytes.
	flowMemory = 512
	// flowShare is the part of the memory that the table of flows may take.
	flowShare = 8
)

// forwarder owns the packets.
type forwarder struct {
	h    *Host
	core *placement.Core
	// in holds a datagram behind room for the prefix that names the target.
	in    []byte
	reset []byte
	// seen is the catalog that the core has.
	seen *catalog.Catalog
}

// forward reads packets and sends them on until ctx ends.
func (h *Host) forward(ctx context.Context) error {
	defer h.conn.Close()
	if err := h.conn.SetReadBuffer(socketBuffer); err != nil {
		h.log.WithError(err).Warn("host: receive buffer not set")
	}
	f := &forwarder{
		h: h,
		core: placement.New(placement.Config{
			Domain:   h.cfg.Boot.Domain,
			Seed:     h.cfg.Seed,
			MaxFlows: int(h.cfg.Boot.Memory / flowShare / flowMemory),
			Observe:  h.logTarget,
		}),
		in: make([]byte, platform.PrefixSize+platform.MaxPacket+1),
	}
	for ctx.Err() == nil {
		if err := f.step(); err != nil {
			return err
		}
	}
	return nil
}

// step handles one datagram, or returns after idleTick.
func (f *forwarder) step() error {
	if err := f.h.conn.SetReadDeadline(time.Now().Add(idleTick)); err != nil {
		return err
	}
	n, _, err := f.h.conn.ReadFromUDPAddrPort(f.in[platform.PrefixSize:])
	now := f.h.now()
	if current := f.h.current.Load(); current != f.seen {
		f.seen = current
		f.core.SetCatalog(now, *current)
	}
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil
	case errors.Is(err, net.ErrClosed):
		return err
	case err != nil:
		f.h.count.readErrors.Inc()
		return nil
	}
	f.h.lastSeen.Store(int64(now))
	p, err := platform.ParsePacket(f.in[platform.PrefixSize : platform.PrefixSize+n])
	if err != nil {
		f.h.count.malformed.Inc()
		return nil
	}
	f.decide(now, p, n)
	return nil
}

// decide carries out the decision on one packet of n bytes.
func (f *forwarder) decide(now time.Duration, p packet.Packet, n int) {
	switch d := f.core.Handle(now, p).(type) {
	case placement.Forward:
		f.send(p, d.To, n)
	case placement.Reject:
		f.h.count.rejected(d.Reason)
		f.reset = platform.AppendReset(f.reset[:0], p)
		caller := netip.AddrPortFrom(p.Flow.Caller().Addr(), f.h.cfg.Boot.Packets.Port())
		f.write(f.reset, caller)
	case placement.Drop:
		f.h.count.dropped(d.Reason)
	}
}

func (f *forwarder) send(p packet.Packet, t *placement.Target, n int) {
	b := f.in[:platform.PrefixSize+n]
	platform.PutPrefix(b, t.Number)
	if p.Open() {
		platform.PutStamp(b[platform.PrefixSize:], t.Stamp)
		f.h.count.opened.Inc()
	}
	f.h.count.forwarded.Inc()
	f.write(b, t.At)
}

func (f *forwarder) write(b []byte, to netip.AddrPort) {
	if _, err := f.h.conn.WriteToUDPAddrPort(b, to); err != nil {
		f.h.count.writeErrors.Inc()
	}
}

// logTarget logs a change of what is believed of a target.
func (h *Host) logTarget(n placement.Notice) {
	h.log.WithFields(log.Fields{
		"target": n.Target.ID, "service": n.Target.Service, "at": n.Target.At, "domain": n.Target.Domain,
		"revision": n.Target.Revision,
	}).Info("host: " + string(n.Event))
}
