package host

import (
	"context"
	"errors"
	"math"
	"net"
	"net/netip"
	"syscall"
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
	// outageBeats is the age of the store's last word, in heartbeats of the targets, at
	// which it counts as away: entries may lapse one heartbeat later. outageMost bounds
	// it.
	outageBeats = 2
	outageMost  = 2500 * time.Millisecond
	// idleTick bounds the time for which the packet goroutine waits for a packet.
	idleTick = 250 * time.Millisecond
	// leastWait is the shortest wait for a packet. It lets packets that are there
	// be handled before what is due.
	leastWait = time.Millisecond
	// awaitMost bounds the time for which packets wait in the socket of a host that
	// has just started; awaitStep is the time between two looks.
	awaitMost = 180 * time.Millisecond
	awaitStep = 2 * time.Millisecond
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
	// started says that flows can be placed.
	started bool
	lines   flowLog
	// toldAt is when the load was last handed on, toldEmpty whether it was nothing.
	toldAt    time.Duration
	toldEmpty bool
	// loadWait is the time until the next word.
	loadWait time.Duration

	// raw is the socket of the packets, tryRead the method read; size and failure
	// are what it found.
	raw     syscall.RawConn
	tryRead func(fd uintptr) bool
	size    int
	failure error
}

// forward reads packets and sends them on until ctx ends.
func (h *Host) forward(ctx context.Context) error {
	defer h.conn.Close()
	if err := h.conn.SetReadBuffer(socketBuffer); err != nil {
		h.log.WithError(err).Warn("host: receive buffer not set")
	}
	f := &forwarder{h: h, seen: h.current.Load(), in: make([]byte, platform.PrefixSize+platform.MaxPacket+1)}
	f.core = placement.New(placement.Config{
		Domain:   h.cfg.Settings.Domain,
		Seed:     h.cfg.Seed,
		MaxFlows: int(h.cfg.Settings.Memory / flowShare / flowMemory),
		Observe:  f.logTarget,

		ObserveFlow: f.observeFlow,
	})
	h.forwarder = f
	raw, err := h.conn.SyscallConn()
	if err != nil {
		return &StartError{Part: "packets", Address: h.cfg.Settings.PacketAddr.String(), Err: err}
	}
	f.raw, f.tryRead = raw, f.read
	h.awaitCatalog(ctx)
	for ctx.Err() == nil {
		f.hearNeighbours()
		if err := f.step(); err != nil {
			return err
		}
		f.tellLoad()
	}
	return nil
}

// awaitCatalog waits until flows can be placed, as long as the packets that wait
// in the socket meanwhile are still of use to their callers.
func (h *Host) awaitCatalog(ctx context.Context) {
	for !h.current.Load().Complete() && h.now() < awaitMost && ctx.Err() == nil {
		_ = platform.Sleep(ctx, awaitStep)
	}
}

// hearNeighbours takes in what the other hosts of the failure domain see.
func (f *forwarder) hearNeighbours() {
	for {
		select {
		case n := <-f.h.neighbours:
			if n.near {
				f.core.SetPeerLoad(f.h.now(), n.name, n.load)
			} else {
				f.core.SetHealthReport(f.h.now(), n.name, n.load)
			}
			f.perform()
		case read := <-f.h.inspectFlows:
			read()
		default:
			return
		}
	}
}

// step handles one datagram, or what is due when none comes.
func (f *forwarder) step() error {
	if err := f.h.conn.SetReadDeadline(time.Now().Add(f.wait())); err != nil {
		return err
	}
	n, err := f.receive()
	now := f.h.now()
	if f.h.age(now) > f.h.outageAge() {
		f.core.SetOutage(now)
	}
	if current := f.h.current.Load(); current != f.seen {
		f.takeCatalog(now, current)
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
	f.perform()
	return nil
}

// outageAge returns the age of the store's last word at which it counts as away.
func (h *Host) outageAge() time.Duration {
	if h.cfg.Settings.HeartbeatInterval == 0 {
		return outageMost
	}
	return min(outageBeats*h.cfg.Settings.HeartbeatInterval, outageMost)
}

// receive reads one datagram behind the room for the prefix and returns its
// size. Each time that it finds none, all that came before is handled, and what
// is due is done.
func (f *forwarder) receive() (int, error) {
	f.size, f.failure = 0, nil
	if err := f.raw.Read(f.tryRead); err != nil {
		return 0, err
	}
	return f.size, f.failure
}

// read tries to read from the socket, and reports whether it had something.
func (f *forwarder) read(fd uintptr) bool {
	f.size, f.failure = syscall.Read(int(fd), f.in[platform.PrefixSize:])
	if f.failure != syscall.EAGAIN {
		return true
	}
	now := f.h.now()
	f.core.SocketDrained(now)
	if next, ok := f.core.NextDeadline(); ok && next <= now {
		f.core.Tick(now)
		f.perform()
	}
	return false
}

// takeCatalog makes a catalog the one that packets follow.
func (f *forwarder) takeCatalog(now time.Duration, c *catalog.Catalog) {
	if !f.started && c.Complete() {
		f.h.log.WithFields(log.Fields{
			"targets": len(c.Targets()), "revision": c.TargetsRevision(), "after": now.String(),
		}).Info("host: targets known")
	}
	f.seen = c
	f.core.SetCatalog(now, *c)
	f.started = c.Complete()
}

// wait returns how long to wait for a packet.
func (f *forwarder) wait() time.Duration {
	next, ok := f.core.NextDeadline()
	if !ok {
		return idleTick
	}
	return min(max(next-f.h.now(), leastWait), idleTick)
}

// perform carries out what has become due.
func (f *forwarder) perform() {
	for _, e := range f.core.Effects() {
		switch e := e.(type) {
		case placement.Resend:
			n := copy(f.in[platform.PrefixSize:], e.Datagram)
			f.send(e.To, n, e.IsOpening)
		case placement.Reset:
			f.h.count.rejected(e.Reason)
			f.resetFlow(packet.Packet{Flow: e.Flow, AckSeq: e.AckSeq})
		}
	}
}

// decide carries out the decision on one packet of n bytes.
func (f *forwarder) decide(now time.Duration, p packet.Packet, n int) {
	switch d := f.core.Handle(now, p, f.in[platform.PrefixSize:platform.PrefixSize+n]).(type) {
	case placement.Forward:
		f.send(d.To, n, p.IsOpening())
	case placement.Reject:
		f.h.count.rejected(d.Reason)
		f.resetFlow(p)
	case placement.Drop:
		f.h.count.dropped(d.Reason)
	}
}

// send sends the packet of n bytes that is in the buffer to a target.
func (f *forwarder) send(t *placement.Target, n int, open bool) {
	b := f.in[:platform.PrefixSize+n]
	platform.PutPrefix(b, t.InstanceNumber)
	if open {
		platform.PutStamp(b[platform.PrefixSize:], t.Stamp)
		f.h.count.opened.Inc()
	}
	f.h.count.forwarded.Inc()
	f.write(b, t.Address)
}

// resetFlow ends the flow of p towards its caller.
func (f *forwarder) resetFlow(p packet.Packet) {
	f.reset = platform.AppendReset(f.reset[:0], p)
	f.write(f.reset, netip.AddrPortFrom(p.Flow.Caller().Addr(), f.h.cfg.Settings.PacketAddr.Port()))
}

func (f *forwarder) write(b []byte, to netip.AddrPort) {
	if _, err := f.h.conn.WriteToUDPAddrPort(b, to); err != nil {
		f.h.count.writeErrors.Inc()
	}
}

// logTarget logs a change of what is believed of a target. What a start finds is
// one line for all targets.
func (f *forwarder) logTarget(n placement.TargetNotice) {
	if !f.started {
		return
	}
	fields := log.Fields{
		"target": n.Target.ID, "service": n.Target.Service, "at": n.Target.Address, "domain": n.Target.Domain,
		"revision": n.Target.Revision,
	}
	if n.Event == placement.TargetFailing {
		fields["good"], fields["failed"] = math.Round(n.Outcomes.Succeeded), math.Round(n.Outcomes.Failed)
	}
	f.h.log.WithFields(fields).Info("host: " + string(n.Event))
}
