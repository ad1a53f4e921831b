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

// maxDatagramBytes is the largest UDP payload, in bytes.
const maxDatagramBytes = 65507

// HopKind is the reason why a packet is forwarded. Its values are defined by the users
// of Hop.
type HopKind uint8

// HopPacket is one packet that another balancer forwarded.
type HopPacket struct {
	// Kind is the reason why it was forwarded.
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
	// Self is the local balancer. Packets for another one are refused.
	Self member.Member
	// ListenAddress is the UDP address to listen on; port 0 picks a free port.
	ListenAddress netip.AddrPort
	// Keys authenticate the packets. They may be empty only on a loopback address.
	Keys HopKeys
	// KeyFile, if it is set, is the path of a file with the keys, which replaces Keys.
	// Its first line is Sign; its second line, which may be absent, is Accept. The
	// file is read again when it changes.
	KeyFile string
	// ReloadInterval is the time between two checks of the key file; 0 means 2
	// seconds.
	ReloadInterval time.Duration
	// Handler is called for each received packet, from one goroutine.
	Handler func(HopPacket)
	// Metrics is the set in which the counters are registered; nil means a new set.
	Metrics *metrics.Set
	// Log receives warnings and key reloads; nil means the default logger.
	Log log.Interface
}

// Hop is the UDP socket for packets that one balancer forwards to another. Like any
// datagram, a packet may be lost or duplicated. Replayed packets are not detected: a
// replay has no more effect than a caller that repeats its datagram.
type Hop struct {
	cfg     HopConfig
	conn    *net.UDPConn
	keyring atomic.Pointer[hopKeyring]
	// buffers is a pool of *hopBuffer.
	buffers sync.Pool
	// done is closed when receiveLoop ends.
	done chan struct{}

	sentPackets, sentBytes         *metrics.Counter
	receivedPackets, receivedBytes *metrics.Counter
	refusedPackets, droppedPackets *metrics.Counter
	keyReloads, keyReloadFailures  *metrics.Counter
}

// NewHop listens on cfg.ListenAddress and returns a running Hop. The error is a
// *KeyError, a *HopKeyError, an *InsecureError or a *ListenError.
func NewHop(cfg HopConfig) (*Hop, error) {
	if cfg.Log == nil {
		cfg.Log = log.Log
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	state := statFile(cfg.KeyFile)
	if cfg.KeyFile != "" {
		keys, err := ReadHopKeys(cfg.KeyFile)
		if err != nil {
			return nil, err
		}
		cfg.Keys = keys
	}
	keyring, err := newHopKeyring(cfg.Keys, cfg.ListenAddress)
	if err != nil {
		return nil, err
	}
	if keyring.isUnauthenticated {
		cfg.Log.WithField("address", cfg.ListenAddress.String()).Warn("peer: no hop key: forwarded packets are not authenticated")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.ListenAddress))
	if err != nil {
		return nil, &ListenError{Addr: cfg.ListenAddress, Err: err}
	}
	counter := func(name string) *metrics.Counter {
		return cfg.Metrics.GetOrCreateCounter("wisteriaweir_hop_" + name + "_total")
	}
	h := &Hop{
		cfg:             cfg,
		conn:            conn,
		done:            make(chan struct{}),
		sentPackets:     counter("sent_packets"),
		sentBytes:       counter("sent_bytes"),
		receivedPackets: counter("received_packets"),
		receivedBytes:   counter("received_bytes"),
		refusedPackets:  counter("refused_packets"),
		droppedPackets:  counter("dropped_packets"),

		keyReloads:        counter("key_reloads"),
		keyReloadFailures: counter("key_reload_failures"),
	}
	h.buffers.New = func() any { return &hopBuffer{b: make([]byte, 0, 2048)} }
	h.keyring.Store(keyring)
	go h.receiveLoop()
	if cfg.KeyFile != "" {
		go h.watchKeyFile(state)
	}
	return h, nil
}

// hopBuffer is a reusable buffer in which a packet is built.
type hopBuffer struct {
	b []byte
}

// Addr returns the address on which the hop listens.
func (h *Hop) Addr() netip.AddrPort {
	return h.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetKeys replaces the keys. No packet is lost if the other balancers already accept
// the new Sign key. The error is a *HopKeyError or an *InsecureError.
func (h *Hop) SetKeys(k HopKeys) error {
	keyring, err := newHopKeyring(k, h.cfg.ListenAddress)
	if err != nil {
		return err
	}
	h.keyring.Store(keyring)
	return nil
}

// watchKeyFile reads the key file again when it has changed, until the hop is closed.
// The former keys stay in use while the file cannot be used.
func (h *Hop) watchKeyFile(state fileState) {
	ticker := time.NewTicker(cmp.Or(h.cfg.ReloadInterval, defaultReloadInterval))
	defer ticker.Stop()
	for {
		select {
		case <-h.done:
			return
		case <-ticker.C:
		}
		next := statFile(h.cfg.KeyFile)
		if next == state {
			continue
		}
		if err := h.reloadKeys(); err != nil {
			h.keyReloadFailures.Inc()
			h.cfg.Log.WithError(err).Warn("peer: the hop key changed and can't be used yet")
			continue
		}
		state = next
		h.keyReloads.Inc()
		h.cfg.Log.Info("peer: hop key reloaded")
	}
}

// reloadKeys reads the key file and replaces the keys.
func (h *Hop) reloadKeys() error {
	keys, err := ReadHopKeys(h.cfg.KeyFile)
	if err != nil {
		return err
	}
	return h.SetKeys(keys)
}

// Send forwards a datagram to another balancer. The hop count is that of the received
// packet plus one, or 1 for a packet from the fabric. The error is an *InsecureError,
// a *SizeError or a *HopError; the packet is then dropped and counted.
func (h *Hop) Send(to member.Member, kind HopKind, hopCount uint8, datagram []byte) error {
	keyring := h.keyring.Load()
	if keyring.isUnauthenticated && !to.Hop.Addr().IsLoopback() {
		h.droppedPackets.Inc()
		return &InsecureError{Addr: to.Hop}
	}
	if len(datagram)+hopHeaderSize > maxDatagramBytes {
		h.droppedPackets.Inc()
		return &SizeError{To: to.Name, Kind: "hop", Size: len(datagram), Limit: maxDatagramBytes - hopHeaderSize}
	}
	buf := h.buffers.Get().(*hopBuffer)
	defer h.buffers.Put(buf)
	buf.b = keyring.seal(buf.b[:0], to.Name, kind, hopCount, datagram)
	if _, err := h.conn.WriteToUDPAddrPort(buf.b, to.Hop); err != nil {
		h.droppedPackets.Inc()
		return &HopError{To: to.Name, Err: err}
	}
	h.sentPackets.Inc()
	h.sentBytes.Add(len(buf.b))
	return nil
}

// receiveLoop reads packets until the socket is closed.
func (h *Hop) receiveLoop() {
	defer close(h.done)
	b := make([]byte, maxDatagramBytes)
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

// receive passes a valid packet to the handler and counts an invalid one as refused.
func (h *Hop) receive(b []byte, from netip.AddrPort) {
	p, err := h.keyring.Load().open(b, h.cfg.Self.Name)
	if err != nil {
		h.refusedPackets.Inc()
		return
	}
	h.receivedPackets.Inc()
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
