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
	"wisteriaweir/warmup"
)

const (
	// receiveBufferBytes is the size of the packet socket's receive buffer in the kernel.
	receiveBufferBytes = 1 << 20
	// outageHeartbeats is the age of the store's last response, in heartbeat intervals
	// of the targets, above which the store counts as unavailable. Entries may expire
	// one heartbeat interval later.
	outageHeartbeats = 2
	// maxOutageAge is the upper limit of that age, and the age itself if the heartbeat
	// interval of the targets is not known.
	maxOutageAge = 2500 * time.Millisecond
	// maxReadWait is the longest time for which the packet goroutine waits for a
	// packet.
	maxReadWait = 250 * time.Millisecond
	// minReadWait is the shortest wait for a packet. With it, packets that have
	// already arrived are handled before timers that are due.
	minReadWait = time.Millisecond
	// maxCatalogWait is the time since the start of the process for which packets may
	// wait in the socket until the catalog is complete.
	maxCatalogWait = 180 * time.Millisecond
	// catalogPollInterval is how often awaitCatalog checks the catalog.
	catalogPollInterval = 2 * time.Millisecond
	// bytesPerFlow is the estimated memory of one flow.
	bytesPerFlow = 512
	// flowMemoryDivisor limits the flow table to one part in flowMemoryDivisor of the
	// process's memory limit.
	flowMemoryDivisor = 8
)

// forwarder forwards packets. Its methods run in the packet goroutine.
type forwarder struct {
	// malformedLoggedAt is when a datagram that is no packet was last logged, 0 if none was.
	malformedLoggedAt time.Duration
	h                 *Host
	core              *placement.Core
	// datagramBuf holds one datagram, after PrefixSize bytes for the prefix that
	// identifies the target.
	datagramBuf []byte
	// resetBuf holds the reset packet to send.
	resetBuf []byte
	// activeCatalog is the catalog that the core uses.
	activeCatalog *catalog.Catalog
	// activeHosts are the known hosts that the core uses, nil until the store has listed
	// them.
	activeHosts *[]warmup.Host
	// canPlaceFlows reports whether the catalog is complete; see catalog.Catalog.IsComplete.
	canPlaceFlows bool
	logLimiter    flowLogLimiter
	// levels exports and logs the admission levels.
	levels levelMonitor
	// loadSentAt is when the last load report was sent to the control goroutine or
	// skipped because it was empty again.
	loadSentAt time.Duration
	// sentEmptyLoad reports whether the last load report was empty.
	sentEmptyLoad bool
	// loadInterval is the time from the last load report to the next one.
	loadInterval time.Duration
	// evacuatedCountedAt is when countEvacuated last counted.
	evacuatedCountedAt time.Duration
	// speedsCountedAt is when countSpeeds last ran.
	speedsCountedAt time.Duration

	// rawConn is the packet socket.
	rawConn syscall.RawConn
	// readFunc is the method value of readOnce. It is stored so that it is not allocated
	// again for each read.
	readFunc func(fd uintptr) bool
	// readSize is the number of bytes that the last call of readOnce read.
	readSize int
	// readErr is the error of the last call of readOnce.
	readErr error
}

// forward receives packets and forwards them until ctx ends.
func (h *Host) forward(ctx context.Context) error {
	defer h.packetConn.Close()
	if err := h.packetConn.SetReadBuffer(receiveBufferBytes); err != nil {
		h.log.WithError(err).Warn("host: cannot set the size of the receive buffer")
	}
	f := &forwarder{h: h, activeCatalog: h.currentCatalog.Load(), datagramBuf: make([]byte, platform.PrefixSize+platform.MaxPacketSize+1), levels: levelMonitor{services: map[string]loggedLevel{}}}
	f.core = placement.New(f.placementConfig())
	h.forwarder = f
	raw, err := h.packetConn.SyscallConn()
	if err != nil {
		return &StartError{Part: "packets", Address: h.cfg.Settings.PacketAddr.String(), Err: err}
	}
	f.rawConn, f.readFunc = raw, f.readOnce
	h.awaitCatalog(ctx)
	for ctx.Err() == nil {
		f.handleQueuedInputs()
		if err := f.handleNext(); err != nil {
			return err
		}
		f.reportLoad()
		f.sendLookups()
		f.countEvacuated()
		f.watchLevels()
		f.countSpeeds()
	}
	return nil
}

// placementConfig returns the configuration of the placement core.
func (f *forwarder) placementConfig() placement.Config {
	cfg := f.h.cfg
	return placement.Config{
		Host:            cfg.Settings.Name,
		Domain:          cfg.Settings.Domain,
		HostsPerTarget:  cfg.HostsPerTarget,
		TargetSpeed:     cfg.TargetSpeed,
		SharedAdmission: cfg.SharedAdmission,
		Warmup:          placement.WarmupConfig{Overshoot: cfg.Settings.WarmupOvershoot, Slack: cfg.Settings.WarmupSlack},
		Seed:            cfg.Seed,
		LinkMbps:        cfg.Settings.LinkMbps,
		MaxFlows:        int(cfg.Settings.MaxMemoryBytes / flowMemoryDivisor / bytesPerFlow),
		Observe:         f.logTarget,
		ObserveFlow:     f.observeFlow,
	}
}

// awaitCatalog waits until the catalog is complete, but no longer than
// maxCatalogWait: after that, the packets that wait in the socket are no longer
// useful to their callers.
func (h *Host) awaitCatalog(ctx context.Context) {
	for !h.currentCatalog.Load().IsComplete() && h.now() < maxCatalogWait && ctx.Err() == nil {
		_ = platform.Sleep(ctx, catalogPollInterval)
	}
}

// handleQueuedInputs passes the queued reports and lookups of other hosts to the core, and
// runs the queued functions that inspect it.
func (f *forwarder) handleQueuedInputs() {
	for {
		select {
		case l := <-f.h.receivedLoads:
			f.handleLoad(l)
			f.applyEffects()
		case l := <-f.h.receivedLookups:
			f.handleLookup(l)
		case inspect := <-f.h.inspectFlows:
			inspect()
		default:
			return
		}
	}
}

// handleLoad passes the report of another host to the core. Hosts of earlier releases in other
// failure domains may also send loads of services: these contain no health report, and do
// not replace the host's last one.
func (f *forwarder) handleLoad(l receivedLoad) {
	switch now := f.h.now(); {
	case l.sameDomain:
		f.core.SetPeerLoad(now, l.name, l.load)
	case len(l.load.Services) > 0:
	default:
		f.core.SetHealthReport(now, l.name, l.load)
	}
}

// handleNext waits for one datagram and handles it. If none arrives, it returns at the
// read deadline. In both cases it first informs the core of a new catalog, of new hosts
// and of an outage of the store. The error means that the socket cannot be used any more.
func (f *forwarder) handleNext() error {
	if err := f.h.packetConn.SetReadDeadline(time.Now().Add(f.readWait())); err != nil {
		return err
	}
	if len(f.h.receivedLoads)+len(f.h.receivedLookups) > 0 {
		f.h.wakeForwarder() // A message has arrived since handleQueuedInputs.
	}
	n, err := f.receive()
	now := f.h.now()
	if f.h.catalogAge(now) > f.h.outageAge() {
		f.core.RecordOutage(now)
	}
	if latest := f.h.currentCatalog.Load(); latest != f.activeCatalog {
		f.applyCatalog(now, latest)
	}
	f.updateIsolated(now)
	if latest := f.h.knownHosts.Load(); latest != f.activeHosts {
		f.activeHosts = latest
		f.core.SetHosts(now, *latest)
	}
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout():
		return nil
	case errors.Is(err, net.ErrClosed):
		return err
	case err != nil:
		f.h.counters.readErrors.Inc()
		return nil
	}
	f.h.lastPacketAt.Store(int64(now))
	p, err := platform.ParsePacket(f.datagramBuf[platform.PrefixSize : platform.PrefixSize+n])
	if err != nil {
		f.h.counters.malformedPackets.Inc()
		f.reportMalformed(now, err)
		return nil
	}
	f.handlePacket(now, p, n)
	f.applyEffects()
	return nil
}

// reportMalformed counts a datagram that is no packet. It logs one in each invalidLogInterval, as
// there may be many.
func (f *forwarder) reportMalformed(now time.Duration, err error) {
	if f.malformedLoggedAt != 0 && now-f.malformedLoggedAt < invalidLogInterval {
		f.h.invalid.count(packetSource)
		return
	}
	f.malformedLoggedAt = now
	f.h.invalid.report(packetSource, "host: packet dropped, it cannot be read", err)
}

// wakeForwarder ends the packet goroutine's wait for a packet, so that it processes the reports
// of other hosts at once.
func (h *Host) wakeForwarder() {
	if err := h.packetConn.SetReadDeadline(time.Now()); err != nil {
		h.counters.readErrors.Inc()
	}
}

// outageAge returns the age of the store's last response above which the store
// counts as unavailable.
func (h *Host) outageAge() time.Duration {
	if h.cfg.Settings.HeartbeatInterval == 0 {
		return maxOutageAge
	}
	return min(outageHeartbeats*h.cfg.Settings.HeartbeatInterval, maxOutageAge)
}

// receive reads one datagram into datagramBuf after the space for the prefix and
// returns its size in bytes.
func (f *forwarder) receive() (int, error) {
	f.readSize, f.readErr = 0, nil
	if err := f.rawConn.Read(f.readFunc); err != nil {
		return 0, err
	}
	return f.readSize, f.readErr
}

// readOnce reads from the socket without blocking. It returns false if the socket is
// empty; rawConn then waits for the next packet and calls readOnce again. An empty
// socket means that all earlier packets have been handled: readOnce reports this to
// the core and runs the timers of the core that are due.
func (f *forwarder) readOnce(fd uintptr) bool {
	f.readSize, f.readErr = syscall.Read(int(fd), f.datagramBuf[platform.PrefixSize:])
	if f.readErr != syscall.EAGAIN {
		return true
	}
	now := f.h.now()
	f.core.RecordSocketDrained(now)
	if next, ok := f.core.NextDeadline(); ok && next <= now {
		f.core.Tick(now)
		f.applyEffects()
	}
	return false
}

// applyCatalog makes c the catalog that the core uses.
func (f *forwarder) applyCatalog(now time.Duration, c *catalog.Catalog) {
	if !f.canPlaceFlows && c.IsComplete() {
		f.h.log.WithFields(log.Fields{
			"targets": len(c.Targets()), "revision": c.TargetsPosition().Revision, "after": now.String(),
		}).Info("host: targets known")
	}
	f.activeCatalog = c
	f.core.SetCatalog(now, *c)
	f.canPlaceFlows = c.IsComplete()
}

// readWait returns how long to wait for the next packet.
func (f *forwarder) readWait() time.Duration {
	next, ok := f.core.NextDeadline()
	if !ok {
		return maxReadWait
	}
	return min(max(next-f.h.now(), minReadWait), maxReadWait)
}

// applyEffects executes the effects of the placement core.
func (f *forwarder) applyEffects() {
	for _, e := range f.core.Effects() {
		switch e := e.(type) {
		case placement.Resend:
			n := copy(f.datagramBuf[platform.PrefixSize:], e.Datagram)
			f.sendPacket(e.To, n, e.IsOpening)
		case placement.Reset:
			f.h.counters.countRejected(e.Reason)
			f.resetFlow(packet.Packet{Flow: e.Flow, AckSeq: e.AckSeq})
		}
	}
}

// handlePacket passes p, whose datagram of n bytes is in datagramBuf, to the core
// and executes the decision.
func (f *forwarder) handlePacket(now time.Duration, p packet.Packet, n int) {
	switch d := f.core.Handle(now, p, f.datagramBuf[platform.PrefixSize:platform.PrefixSize+n]).(type) {
	case placement.Forward:
		f.sendPacket(d.To, n, p.IsOpening())
	case placement.Reject:
		f.h.counters.countRejected(d.Reason)
		f.resetFlow(p)
	case placement.Drop:
		f.h.counters.countDropped(d.Reason)
	}
}

// sendPacket sends the datagram of n bytes in datagramBuf to a target. It writes the
// target's stamp into an opening packet.
func (f *forwarder) sendPacket(t *placement.Target, n int, isOpening bool) {
	b := f.datagramBuf[:platform.PrefixSize+n]
	platform.PutPrefix(b, t.InstanceNumber)
	if isOpening {
		platform.PutStamp(b[platform.PrefixSize:], t.Stamp)
		f.h.counters.openingPackets.Inc()
	}
	f.h.counters.forwardedPackets.Inc()
	f.writeDatagram(b, t.Address)
}

// resetFlow sends the caller of p a reset, which ends the flow. It uses only the flow
// key and the acknowledged sequence number of p.
func (f *forwarder) resetFlow(p packet.Packet) {
	f.resetBuf = platform.AppendReset(f.resetBuf[:0], p)
	f.writeDatagram(f.resetBuf, netip.AddrPortFrom(p.Flow.Caller().Addr(), f.h.cfg.Settings.PacketAddr.Port()))
}

// writeDatagram sends a datagram through the packet socket.
func (f *forwarder) writeDatagram(b []byte, to netip.AddrPort) {
	if _, err := f.h.packetConn.WriteToUDPAddrPort(b, to); err != nil {
		f.h.counters.writeErrors.Inc()
	}
}

// logTarget logs a change in the state of a target. The targets found at the start
// are logged in one line by applyCatalog instead.
func (f *forwarder) logTarget(n placement.TargetNotice) {
	if !f.canPlaceFlows {
		return
	}
	fields := log.Fields{
		"target": n.Target.ID, "service": n.Target.Service, "at": n.Target.Address, "domain": n.Target.Domain,
		"revision": n.Target.Position.Revision,
	}
	if n.Event == placement.TargetFailing {
		fields["good"], fields["failed"] = math.Round(n.Outcomes.Succeeded), math.Round(n.Outcomes.Failed)
	}
	f.h.log.WithFields(fields).Info("host: " + string(n.Event))
}
