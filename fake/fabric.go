// Package fake provides test doubles for the systems that surround balancers and
// hosts: the fabric, routers, targets, callers and the platform's store. They are
// used by local runs and tests.
//
// # Usage
//
//	f, err := fake.NewFabric(fake.FabricConfig{Uplink: uplink, Addresses: addresses, Balancers: balancers, Seed: 1})
//	err = f.Run(ctx)
//
// Each fake runs until its context ends, and then closes its sockets.
//
// Fabric, Target and Caller speak the balancers' datagram protocol. Router,
// FlowTarget and FlowCallers speak the packet protocol of the hosts;
// TestEnvironment starts them together. Platform is the store for both.
package fake

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"wisteriaweir/entry"
)

// readBufferBytes is the size of the read buffer for one datagram, in bytes.
const readBufferBytes = 64 * 1024

// fabricProbeInterval is the time between two readiness probes of a balancer, and the
// timeout of each.
const fabricProbeInterval = 200 * time.Millisecond

// FabricConfig configures a Fabric.
type FabricConfig struct {
	// Uplink is the address that balancers send replies to.
	Uplink netip.AddrPort
	// Addresses are the service addresses on which callers reach the fabric.
	Addresses []netip.AddrPort
	// Balancers are the balancers to which the callers' datagrams are distributed.
	Balancers []FabricBalancer
	// Seed seeds the choice of balancers and of duplicated datagrams.
	Seed uint64
}

// FabricBalancer contains the addresses of one balancer.
type FabricBalancer struct {
	// Entry is the address that receives the callers' datagrams.
	Entry netip.AddrPort
	// ReadyURL returns status 200 while the balancer is ready for traffic. With an
	// empty URL the balancer counts as ready at all times.
	ReadyURL string
}

// Fabric forwards each datagram of a caller to a random ready balancer, and each
// reply to its caller.
type Fabric struct {
	cfg          FabricConfig
	uplink       *net.UDPConn
	serviceConns map[netip.AddrPort]*net.UDPConn
	ready        []atomic.Bool
	// fromCallers counts datagrams received from callers, toCallers replies sent to
	// them, dropped datagrams and replies without a destination.
	fromCallers, toCallers, dropped atomic.Int64

	mu  sync.Mutex
	rng *rand.Rand
	// duplicateRate is the fraction of the callers' datagrams that are sent twice.
	duplicateRate float64
}

// NewFabric opens the uplink and service sockets of a fabric. A balancer with a
// ReadyURL receives no datagrams before its first successful probe.
func NewFabric(cfg FabricConfig) (*Fabric, error) {
	f := &Fabric{
		cfg:          cfg,
		serviceConns: make(map[netip.AddrPort]*net.UDPConn),
		ready:        make([]atomic.Bool, len(cfg.Balancers)),
		rng:          rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
	for i := range f.ready {
		f.ready[i].Store(cfg.Balancers[i].ReadyURL == "")
	}
	var err error
	f.uplink, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Uplink))
	if err != nil {
		return nil, err
	}
	for _, a := range cfg.Addresses {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
		if err != nil {
			f.close()
			return nil, err
		}
		f.serviceConns[a] = conn
	}
	return f, nil
}

// Run forwards datagrams until ctx ends.
func (f *Fabric) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for a, conn := range f.serviceConns {
		wg.Go(func() { f.forwardToBalancers(a, conn) })
	}
	wg.Go(f.forwardToCallers)
	for i, b := range f.cfg.Balancers {
		if b.ReadyURL != "" {
			wg.Go(func() { f.pollReadiness(ctx, i, b.ReadyURL) })
		}
	}
	<-ctx.Done()
	f.close()
	wg.Wait()
	return nil
}

func (f *Fabric) close() {
	f.uplink.Close()
	for _, conn := range f.serviceConns {
		conn.Close()
	}
}

// forwardToBalancers reads the datagrams that callers send to a service address from
// conn, puts a header in front of each, and sends it to a random ready balancer.
func (f *Fabric) forwardToBalancers(address netip.AddrPort, conn *net.UDPConn) {
	in := make([]byte, readBufferBytes)
	var out []byte
	for {
		n, caller, err := conn.ReadFromUDPAddrPort(in)
		if err != nil {
			return
		}
		f.fromCallers.Add(1)
		h := entry.Header{Source: netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port()), Destination: address}
		out = entry.AppendHeader(out[:0], h)
		out = append(out, in[:n]...)
		f.distribute(out)
		if f.shouldDuplicate() {
			f.distribute(out)
		}
	}
}

// distribute sends a datagram to a random ready balancer. Send errors are ignored:
// the datagram is lost.
func (f *Fabric) distribute(out []byte) {
	b, ok := f.pickBalancer()
	if !ok {
		f.dropped.Add(1)
		return
	}
	_, _ = f.uplink.WriteToUDPAddrPort(out, b)
}

// SetDuplicateRate sets the fraction of the callers' datagrams, from 0 to 1, that
// are sent twice, each copy to a random ready balancer.
func (f *Fabric) SetDuplicateRate(rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.duplicateRate = rate
}

// shouldDuplicate decides at random whether a datagram is sent twice.
func (f *Fabric) shouldDuplicate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64() < f.duplicateRate
}

// pickBalancer returns the entry address of a random ready balancer, and false if
// none is ready.
func (f *Fabric) pickBalancer() (netip.AddrPort, bool) {
	var ready []int
	for i := range f.ready {
		if f.ready[i].Load() {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return netip.AddrPort{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg.Balancers[ready[f.rng.IntN(len(ready))]].Entry, true
}

// forwardToCallers forwards the balancers' replies to their callers.
func (f *Fabric) forwardToCallers() {
	in := make([]byte, readBufferBytes)
	for {
		n, _, err := f.uplink.ReadFromUDPAddrPort(in)
		if err != nil {
			return
		}
		h, payload, err := entry.ParseHeader(in[:n])
		conn, ok := f.serviceConns[h.Source]
		if err != nil || !ok {
			f.dropped.Add(1)
			continue
		}
		f.toCallers.Add(1)
		_, _ = conn.WriteToUDPAddrPort(payload, h.Destination)
	}
}

// pollReadiness probes the readiness of balancer i until ctx ends.
func (f *Fabric) pollReadiness(ctx context.Context, i int, url string) {
	client := &http.Client{Timeout: fabricProbeInterval}
	tick := time.NewTicker(fabricProbeInterval)
	defer tick.Stop()
	for {
		f.ready[i].Store(respondsOK(ctx, client, url))
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// respondsOK reports whether a GET of url returns status 200.
func respondsOK(ctx context.Context, client *http.Client, url string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
