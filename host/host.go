// Package host is the process on an entry host of the platform: it puts
// sockets, timers, the platform's store and the other hosts round the cores
// that decide.
//
// # Usage
//
//	h, err := host.New(host.Config{Settings: boot, Log: logger})
//	err = h.Run(ctx)
//
// One goroutine owns what is believed of the outside and publishes it as an
// immutable catalog. Another one owns the packets: it reads the catalog without
// a lock and asks package placement where each packet goes. When ctx ends, the
// host says that it is not ready, goes on forwarding until the routers have let
// go of it, and returns.
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
)

// Config says how a Host runs.
type Config struct {
	Settings platform.HostSettings
	// SettingsPath is the file that Settings was read from; it is read again when it has
	// changed. Empty means that there is none.
	SettingsPath string
	Log          log.Interface
	// Seed seeds the choice between equal targets.
	Seed uint64
	// Monitor is the address of metrics, health and dump; an invalid one means none.
	Monitor netip.AddrPort
	// RenewInterval is the time between two renewals of the host's entry in the store,
	// about; 0 is the default of ten minutes.
	RenewInterval time.Duration
	// DroppedLogLines returns the number of log lines that were left out; nil means that
	// none can be.
	DroppedLogLines func() int64
}

// Host is one entry host.
type Host struct {
	cfg     Config
	log     log.Interface
	started time.Time
	conn    *net.UDPConn
	backoff *platform.Backoff
	metrics *metrics.Set
	count   *counters

	// boot are the settings as last read, store the client for their address.
	boot  atomic.Pointer[platform.HostSettings]
	store atomic.Pointer[platform.Store]
	// forwarder and control are owned by a goroutine each; others read them by way
	// of inspectFlows and inspectMembers.
	forwarder      *forwarder
	control        *control
	inspectFlows   chan func()
	inspectMembers chan func()
	// confirmed is the time of the store's last word on what is believed.
	confirmed atomic.Int64
	// findings are what the store answered, for the control goroutine.
	findings chan reader.Update
	// loads are what this host's flows show, neighbours what those of the others
	// of the failure domain do; domainPeers counts these others.
	loads       chan placement.Load
	neighbours  chan neighbourLoad
	domainPeers atomic.Int32
	// reading says that this host has the duty to read the store.
	reading  atomic.Bool
	current  atomic.Pointer[catalog.Catalog]
	leaving  atomic.Bool
	lastSeen atomic.Int64
}

// neighbourQueue is the number of words of neighbours that may wait.
const neighbourQueue = 64

// neighbourLoad is the word of another host; near says that it is of the same
// failure domain.
type neighbourLoad struct {
	name string
	near bool
	load placement.Load
}

// New opens the sockets of a host.
func New(cfg Config) (*Host, error) {
	if cfg.RenewInterval == 0 {
		cfg.RenewInterval = renewEvery
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(cfg.Settings.PacketAddr))
	if err != nil {
		return nil, &StartError{Part: "packets", Address: cfg.Settings.PacketAddr.String(), Err: err}
	}
	set := metrics.NewSet()
	h := &Host{
		cfg:      cfg,
		log:      cfg.Log,
		started:  time.Now(),
		conn:     conn,
		metrics:  set,
		count:    newCounters(set),
		findings: make(chan reader.Update),

		inspectFlows:   make(chan func()),
		inspectMembers: make(chan func()),

		loads:      make(chan placement.Load, 1),
		neighbours: make(chan neighbourLoad, neighbourQueue),
	}
	h.backoff = platform.NewBackoff(platform.BackoffConfig{Initial: retryFirst, Max: retryMost, Seed: cfg.Seed})
	h.boot.Store(&cfg.Settings)
	h.store.Store(h.newStore(cfg.Settings.Store))
	h.current.Store(&catalog.Catalog{})
	h.gauges()
	return h, nil
}

// newStore returns a client of the store at an address.
func (h *Host) newStore(at netip.AddrPort) *platform.Store {
	return platform.NewStore(platform.StoreConfig{URL: "http://" + at.String(), Observe: h.count.call})
}

// now returns the time since the start of the process.
func (h *Host) now() time.Duration {
	return time.Since(h.started)
}

// Run serves until ctx ends and the routers have let go of the host.
func (h *Host) Run(ctx context.Context) error {
	h.log.WithFields(log.Fields{
		"packets": h.cfg.Settings.PacketAddr, "domain": h.cfg.Settings.Domain, "store": h.cfg.Settings.Store,
		"first_start": h.cfg.Settings.IsFirstStart,
	}).Info("host: started")
	work, stop := context.WithCancel(context.Background())
	defer stop()
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return h.serveReady(work) })
	g.Go(func() error { return h.serveMonitor(work) })
	g.Go(func() error { return h.watchBoot(work) })
	g.Go(func() error { return h.believe(work) })
	g.Go(func() error { return h.forward(work) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			h.leave(work)
			stop()
		case <-work.Done():
		}
		return nil
	})
	err := g.Wait()
	h.log.WithFields(log.Fields{
		"after": h.now().String(), "packets": h.count.forwarded.Get(), "opened": h.count.opened.Get(),
		"note_bytes": h.count.noteBytes.Get(),
	}).Info("host: stopped")
	return err
}
