package peer

import (
	"cmp"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"wisteriaweir/member"
)

// maxDatagram is the largest UDP payload, in bytes.
const maxDatagram = 65507

// HopKind says why a packet is forwarded. Its values belong to the users of Hop.
type HopKind uint8

// HopPacket is one packet that another balancer forwarded.
type HopPacket struct {
	// Kind says why it was forwarded.
	Kind HopKind
	// HopCount is the number of times it was forwarded, 1 at the first receiver.
	HopCount uint8
	// From is the hop address of the balancer that forwarded it last.
	From netip.AddrPort
	// Datagram is the packet as the fabric delivered it. It is valid only until
	// the handler returns.
	Datagram []byte
}

// HopConfig holds the settings of a Hop.
type HopConfig struct {
	// Self is the balancer that receives.
	Self member.Member
	// Listen is the UDP address to listen on; port 0 picks a free port.
	Listen netip.AddrPort
	// Keys authenticate the packets. They may be empty only on a loopback address.
	Keys HopKeys
	// KeyFile, if it is set, holds the keys instead: the first line is Sign, the
	// second one Accept or absent. It is read again when it changes.
	KeyFile string
	// ReloadInterval is the time between two looks at the key file; 0 means 2 seconds.
	ReloadInterval time.Duration
	// Handler takes what arrives, from one goroutine.
	Handler func(HopPacket)
	// Metrics takes the counters; nil means a set of the hop's own.
	Metrics *metrics.Set
	// Log takes warnings; nil means the default logger.
	Log log.Interface
}

// Hop is the UDP socket for packets that one balancer forwards to another. A
// packet may be lost or doubled, as any datagram may: a replay has no more
// effect than a caller who repeats its datagram.
type Hop struct {
	cfg     HopConfig
	conn    *net.UDPConn
	keys    atomic.Pointer[hopKeyring]
	buffers sync.Pool
	done    chan struct{}

	sent, sentBytes         *metrics.Counter
	received, receivedBytes *metrics.Counter
	refused, dropped        *metrics.Counter
	reloads, reloadFailures *metrics.Counter
}

// NewHop listens and returns a running hop socket.
func NewHop(cfg HopConfig) (*Hop, error) {
	if cfg.Log == nil {
		cfg.Log = log.Log
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	stamp := stampOf(cfg.KeyFile)
	if cfg.KeyFile != "" {
		keys, err := ReadHopKeys(cfg.KeyFile)
		if err != nil {
			return nil, err
		}
		cfg.Keys = keys
	}
	ring, err := newHopKeyring(cfg.Keys, cfg.Listen)
	if err != nil {
		return nil, err
	}
	if ring.plain {
		cfg.Log.WithField("address", cfg.Listen.String()).Warn("peer: no hop key: forwarded packets are not authenticated")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, &ListenError{Addr: cfg.Listen, Err: err}
	}
	counter := func(name string) *metrics.Counter {
		return cfg.Metrics.GetOrCreateCounter("wisteriaweir_hop_" + name + "_total")
	}
	h := &Hop{
		cfg:           cfg,
		conn:          conn,
		done:          make(chan struct{}),
		sent:          counter("sent_packets"),
		sentBytes:     counter("sent_bytes"),
		received:      counter("received_packets"),
		receivedBytes: counter("received_bytes"),
		refused:       counter("refused_packets"),
		dropped:       counter("dropped_packets"),

		reloads:        counter("key_reloads"),
		reloadFailures: counter("key_reload_failures"),
	}
	h.buffers.New = func() any { return &hopBuffer{b: make([]byte, 0, 2048)} }
	h.keys.Store(ring)
	go h.read()
	if cfg.KeyFile != "" {
		go h.watch(stamp)
	}
	return h, nil
}

// hopBuffer holds a datagram while it is built.
type hopBuffer struct {
	b []byte
}

// Addr returns the address on which the hop listens.
func (h *Hop) Addr() netip.AddrPort {
	return h.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetKeys replaces the keys without losing packets, if the others accept the
// new Sign key already.
func (h *Hop) SetKeys(k HopKeys) error {
	ring, err := newHopKeyring(k, h.cfg.Listen)
	if err != nil {
		return err
	}
	h.keys.Store(ring)
	return nil
}

// watch reads the key file again when it has changed, until the hop is closed.
// It keeps the former keys while the file can't be used.
func (h *Hop) watch(stamp fileStamp) {
	ticker := time.NewTicker(cmp.Or(h.cfg.ReloadInterval, reloadInterval))
	defer ticker.Stop()
	for {
		select {
		case <-h.done:
			return
		case <-ticker.C:
		}
		next := stampOf(h.cfg.KeyFile)
		if next == stamp {
			continue
		}
		if err := h.reload(); err != nil {
			h.reloadFailures.Inc()
			h.cfg.Log.WithError(err).Warn("peer: the hop key changed and can't be used yet")
			continue
		}
		stamp = next
		h.reloads.Inc()
		h.cfg.Log.Info("peer: hop key reloaded")
	}
}

func (h *Hop) reload() error {
	keys, err := ReadHopKeys(h.cfg.KeyFile)
	if err != nil {
		return err
	}
	return h.SetKeys(keys)
}

// Send forwards a datagram to another balancer. Count is the count of the
// received packet plus one, or 1 for a packet from the fabric.
func (h *Hop) Send(to member.Member, kind HopKind, count uint8, datagram []byte) error {
	ring := h.keys.Load()
	if ring.plain && !to.Hop.Addr().IsLoopback() {
		h.dropped.Inc()
		return &InsecureError{Addr: to.Hop}
	}
	if len(datagram)+hopHeader > maxDatagram {
		h.dropped.Inc()
		return &SizeError{To: to.Name, Kind: "hop", Size: len(datagram), Limit: maxDatagram - hopHeader}
	}
	buf := h.buffers.Get().(*hopBuffer)
	defer h.buffers.Put(buf)
	buf.b = ring.seal(buf.b[:0], to.Name, kind, count, datagram)
	if _, err := h.conn.WriteToUDPAddrPort(buf.b, to.Hop); err != nil {
		h.dropped.Inc()
		return &HopError{To: to.Name, Err: err}
	}
	h.sent.Inc()
	h.sentBytes.Add(len(buf.b))
	return nil
}

func (h *Hop) read() {
	defer close(h.done)
	b := make([]byte, maxDatagram)
	for {
		n, from, err := h.conn.ReadFromUDPAddrPort(b)
		if isClosed(err) {
			return
		}
		if err != nil {
			continue
		}
		h.receive(b[:n], from)
	}
}

func (h *Hop) receive(b []byte, from netip.AddrPort) {
	p, err := h.keys.Load().open(b, h.cfg.Self.Name)
	if err != nil {
		h.refused.Inc()
		return
	}
	h.received.Inc()
	h.receivedBytes.Add(len(b))
	p.From = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	if h.cfg.Handler != nil {
		h.cfg.Handler(p)
	}
}

// Close closes the socket and waits for the handler to return.
func (h *Hop) Close() {
	h.conn.Close()
	<-h.done
}
