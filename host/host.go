// Package host implements the process on an entry host of the platform. It owns
// all input and output: the sockets, the timers, the client of the platform's
// store and the messages between hosts. The decisions are made by the cores of
// packages placement and reader, which have no input or output.
//
// # Usage
//
//	h, err := host.New(host.Config{Settings: settings, Log: logger})
//	err = h.Run(ctx)
//
// The control goroutine owns the local state of routes, targets and other hosts,
// and publishes routes and targets as an immutable catalog. The packet goroutine
// reads the catalog without a lock and asks package placement where to send each
// packet. When ctx ends, Run reports the host as not ready, continues to forward
// packets until the routers have stopped sending to it, and returns.
package host

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"wisteriaweir/catalog"
	"wisteriaweir/placement"
	"wisteriaweir/platform"
	"wisteriaweir/reader"
	"wisteriaweir/release"
	"wisteriaweir/warmup"
)

// Config configures a Host.
type Config struct {
	// Settings are the settings that the platform provides for this host.
	Settings platform.HostSettings
	// SettingsPath is the file that Settings was read from. The host reads it again
	// when it changes. If it is empty, the settings are never reloaded.
	SettingsPath string
	// Log receives all log lines.
	Log log.Interface
	// Seed seeds the random choice between equally ranked targets and the jitter of
	// retries.
	Seed uint64
	// MonitorAddr is the address that serves metrics, health and dump. If it is invalid,
	// nothing is served.
	MonitorAddr netip.AddrPort
	// HostsPerTarget is the number of hosts of a failure domain that use each of its
	// targets under load. 0 means all.
	HostsPerTarget int
	// TargetSpeed enables the estimates of the speeds of targets; see
	// placement.Config.TargetSpeed.
	TargetSpeed bool
	// RenewInterval is the mean time between two renewals of the host's entry in the
	// store. 0 means ten minutes.
	RenewInterval time.Duration
	// IgnoredSettings has an error for each optional setting that is invalid, so that its
	// default applies. They are logged.
	IgnoredSettings []error
	// SharedAdmission selects the services that have an admission level, which the hosts of
	// a failure domain share; see package admission.
	SharedAdmission placement.SharedAdmission
	// DroppedLogLines returns the number of log lines that were dropped. Nil means
	// that the log drops none.
	DroppedLogLines func() int64
}

// Host is the process of one entry host.
type Host struct {
	cfg        Config
	log        log.Interface
	startedAt  time.Time
	packetConn *net.UDPConn
	backoff    *platform.Backoff
	metrics    *metrics.Set
	counters   *counters
	// invalid counts and logs invalid elements that other programs have written.
	invalid *invalidElements

	// settings are the settings as last read. Only their store address is used after the
	// start; everything else is read from cfg.Settings.
	settings atomic.Pointer[platform.HostSettings]
	// store is the client for the store address in settings.
	store atomic.Pointer[platform.Store]
	// forwarder is owned by the packet goroutine, control by the control goroutine.
	forwarder *forwarder
	control   *control
	// inspectFlows carries functions that read forwarder to the packet goroutine,
	// inspectMembers those that read control to the control goroutine.
	inspectFlows   chan func()
	inspectMembers chan func()
	// lastConfirmed is the time, since the start of the process, at which the store
	// last confirmed the catalog, in nanoseconds.
	lastConfirmed atomic.Int64
	// storeUpdates carries the responses of the store to the control goroutine.
	storeUpdates chan reader.Update
	// outgoingLoads carries the load reports of this host's flows to the control
	// goroutine.
	outgoingLoads chan placement.LoadReport
	// receivedLoads carries the load and health reports of other hosts to the packet
	// goroutine.
	receivedLoads chan receivedLoad
	// outgoingLookups carries stamps that other hosts are asked for, and outgoingReplies the
	// replies to their lookups, to the control goroutine.
	outgoingLookups chan []uint32
	outgoingReplies chan reader.Send
	// receivedLookups carries the lookups of other hosts, and their replies, to the packet
	// goroutine.
	receivedLookups chan receivedLookup
	// domainPeerCount is the number of other hosts in this host's failure domain.
	domainPeerCount atomic.Int32
	// storeProbe coordinates the store watchers while the store does not respond.
	storeProbe *storeProbe
	// knownHosts are the known hosts, this one included, for the packet goroutine. It is
	// nil until the store has listed them.
	knownHosts atomic.Pointer[[]warmup.Host]
	// isReading reports whether this host is an elected reader of the store.
	isReading atomic.Bool
	// currentCatalog is the catalog that the control goroutine last published.
	currentCatalog atomic.Pointer[catalog.Catalog]
	// storeEra is the highest era that a response of the store has named, as in
	// catalog.Position.
	storeEra atomic.Uint64
	// storeRestored has an element if the catalog has reached a new era of the store since
	// membership last received from it.
	storeRestored chan struct{}
	// knownEvacuations holds, by evacuated failure domain, when this host learned of the
	// request, as the time since the start of the process. A map that is stored here is
	// never changed.
	knownEvacuations atomic.Pointer[map[string]time.Duration]
	// evacuatedFlows and evacuatedRequests are the numbers of open flows and of unfinished
	// requests of this host on evacuated targets, as of the last countEvacuated.
	evacuatedFlows, evacuatedRequests atomic.Int64
	// slowestTarget and fastestTarget are the lowest and the highest speed of a target, as
	// math.Float64bits returns them, as of the last countSpeeds.
	slowestTarget, fastestTarget atomic.Uint64
	// isolated reports whether this host is isolated while its failure domain is evacuated.
	isolated atomic.Bool
	// awaitsDomain reports whether the host is not ready because its failure domain is just
	// coming back; see reader.Core.AwaitsDomain.
	awaitsDomain atomic.Bool
	// draining reports whether the host is draining before it stops.
	draining atomic.Bool
	// lastPacketAt is the time, since the start of the process, at which the last packet
	// was received, in nanoseconds.
	lastPacketAt atomic.Int64
}

// maxQueuedPeerLoads is the capacity of the queue of reports from other hosts.
const maxQueuedPeerLoads = 64

// receivedLoad is a load report from the host with the given name. If that host is in
// another failure domain, only the health report in it is used.
type receivedLoad struct {
	name       string
	domain     string
	sameDomain bool
	load       placement.LoadReport
}

// New opens the packet socket of a host and returns the host. The error is a
// *StartError.
func New(cfg Config) (*Host, error) {
	if cfg.RenewInterval == 0 {
		cfg.RenewInterval = defaultRenewInterval
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Settings.PacketAddr))
	if err != nil {
		return nil, &StartError{Part: "packets", Address: cfg.Settings.PacketAddr.String(), Err: err}
	}
	set := metrics.NewSet()
	h := &Host{
		cfg:          cfg,
		log:          cfg.Log,
		startedAt:    time.Now(),
		packetConn:   conn,
		metrics:      set,
		counters:     newCounters(set),
		storeUpdates: make(chan reader.Update),

		storeRestored: make(chan struct{}, 1),
		storeProbe:    newStoreProbe(),

		inspectFlows:   make(chan func()),
		inspectMembers: make(chan func()),

		outgoingLoads: make(chan placement.LoadReport, 1),
		receivedLoads: make(chan receivedLoad, maxQueuedPeerLoads),

		outgoingLookups: make(chan []uint32, maxQueuedLookups),
		outgoingReplies: make(chan reader.Send, maxQueuedLookups),
		receivedLookups: make(chan receivedLookup, maxQueuedLookups),
	}
	h.invalid = newInvalidElements(set, cfg.Log, h.now)
	h.backoff = platform.NewBackoff(platform.BackoffConfig{InitialDelay: initialRetryDelay, MaxDelay: maxRetryDelay, Seed: cfg.Seed})
	h.settings.Store(&cfg.Settings)
	h.store.Store(h.newStore(cfg.Settings.StoreAddr))
	h.currentCatalog.Store(&catalog.Catalog{})
	h.knownEvacuations.Store(&map[string]time.Duration{})
	h.registerGauges()
	return h, nil
}

// newStore returns a client of the store at addr.
func (h *Host) newStore(addr netip.AddrPort) *platform.Store {
	return platform.NewStore(platform.StoreConfig{URL: "http://" + addr.String(), Observe: h.observeStoreCall})
}

// now returns the time since the start of the process.
func (h *Host) now() time.Duration {
	return time.Since(h.startedAt)
}

// Run serves until ctx ends and the routers have stopped sending to the host. It
// returns an error if a part of the host cannot start or fails.
func (h *Host) Run(ctx context.Context) error {
	h.log.WithFields(log.Fields{
		"packets": h.cfg.Settings.PacketAddr, "domain": h.cfg.Settings.Domain, "store": h.cfg.Settings.StoreAddr,
		"first_start": h.cfg.Settings.IsFirstStart, "build": release.Current().String(),
	}).Info("host: started")
	h.invalid.reportAll(settingSource, invalidSettingMessage, h.cfg.IgnoredSettings)
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	g, workCtx := errgroup.WithContext(workCtx)
	g.Go(func() error { return h.serveReady(workCtx) })
	g.Go(func() error { return h.serveMonitor(workCtx) })
	g.Go(func() error { return h.watchSettings(workCtx) })
	g.Go(func() error { return h.runControl(workCtx) })
	g.Go(func() error { return h.forward(workCtx) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			h.drain(workCtx)
			stopWork()
		case <-workCtx.Done():
		}
		return nil
	})
	err := g.Wait()
	h.log.WithFields(log.Fields{
		"after": h.now().String(), "packets": h.counters.forwardedPackets.Get(), "opened": h.counters.openingPackets.Get(),
		"note_bytes": h.counters.sentBytes(),
	}).Info("host: stopped")
	return err
}
