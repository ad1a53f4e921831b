// Package fake holds small stand-ins for what surrounds the balancers: the
// fabric, targets, callers and the platform. They serve local runs and tests.
//
// # Usage
//
//	f, err := fake.NewFabric(fake.FabricConfig{Uplink: uplink, Addresses: addresses, Balancers: balancers, Seed: 1})
//	err = f.Run(ctx)
//
// Each stand-in runs until its context ends and closes what it opened.
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

// maxDatagram is the size of the read buffers, in bytes.
const maxDatagram = 64 * 1024

// probeInterval is how often the fabric asks a balancer whether it is ready.
const probeInterval = 200 * time.Millisecond

// FabricConfig says what a Fabric connects.
type FabricConfig struct {
	// Uplink is the address that balancers send replies to.
	Uplink netip.AddrPort
	// Addresses are the service addresses on which callers reach the fabric.
	Addresses []netip.AddrPort
	// Balancers are those over which datagrams are sprayed.
	Balancers []FabricBalancer
	// Seed makes the spraying repeatable.
	Seed uint64
}

// FabricBalancer is one balancer as the fabric sees it.
type FabricBalancer struct {
	Entry netip.AddrPort
	// ReadyURL answers 200 while the balancer wants traffic. Empty means always.
	ReadyURL string
}

// Fabric hands each datagram of a caller to any balancer and each reply to its
// caller.
type Fabric struct {
	cfg      FabricConfig
	uplink   *net.UDPConn
	services map[netip.AddrPort]*net.UDPConn
	ready    []atomic.Bool
	// up and down count datagrams of callers and replies to them, dropped those
	// that had nowhere to go.
	up, down, dropped atomic.Int64

	mu  sync.Mutex
	rng *rand.Rand
	// copies is the share of the callers' datagrams that is sent twice.
	copies float64
}

// NewFabric opens the sockets of a fabric.
func NewFabric(cfg FabricConfig) (*Fabric, error) {
	f := &Fabric{
		cfg:      cfg,
		services: make(map[netip.AddrPort]*net.UDPConn),
		ready:    make([]atomic.Bool, len(cfg.Balancers)),
		rng:      rand.New(rand.NewPCG(cfg.Seed, 0)),
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
		f.services[a] = conn
	}
	return f, nil
}

// Run carries datagrams until ctx ends.
func (f *Fabric) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for a, conn := range f.services {
		wg.Go(func() { f.carryUp(a, conn) })
	}
	wg.Go(f.carryDown)
	for i, b := range f.cfg.Balancers {
		if b.ReadyURL != "" {
			wg.Go(func() { f.probe(ctx, i, b.ReadyURL) })
		}
	}
	<-ctx.Done()
	f.close()
	wg.Wait()
	return nil
}

func (f *Fabric) close() {
	f.uplink.Close()
	for _, conn := range f.services {
		conn.Close()
	}
}

// carryUp sprays what callers send to address over the ready balancers.
func (f *Fabric) carryUp(address netip.AddrPort, conn *net.UDPConn) {
	in := make([]byte, maxDatagram)
	var out []byte
	for {
		n, caller, err := conn.ReadFromUDPAddrPort(in)
		if err != nil {
			return
		}
		f.up.Add(1)
		h := entry.Header{Source: netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port()), Destination: address}
		out = entry.AppendHeader(out[:0], h)
		out = append(out, in[:n]...)
		f.spray(out)
		if f.copied() {
			f.spray(out)
		}
	}
}

// spray sends a datagram to any ready balancer. One that cannot be sent is
// lost, as in any fabric.
func (f *Fabric) spray(out []byte) {
	b, ok := f.pick()
	if !ok {
		f.dropped.Add(1)
		return
	}
	_, _ = f.uplink.WriteToUDPAddrPort(out, b)
}

// SetDuplicateRate sends a share of the callers' datagrams twice, each copy to any
// ready balancer.
func (f *Fabric) SetDuplicateRate(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copies = share
}

func (f *Fabric) copied() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64() < f.copies
}

// pick returns any balancer that is ready.
func (f *Fabric) pick() (netip.AddrPort, bool) {
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

// carryDown hands replies of balancers to their callers.
func (f *Fabric) carryDown() {
	in := make([]byte, maxDatagram)
	for {
		n, _, err := f.uplink.ReadFromUDPAddrPort(in)
		if err != nil {
			return
		}
		h, payload, err := entry.ParseHeader(in[:n])
		conn, ok := f.services[h.Source]
		if err != nil || !ok {
			f.dropped.Add(1)
			continue
		}
		f.down.Add(1)
		_, _ = conn.WriteToUDPAddrPort(payload, h.Destination)
	}
}

// probe keeps the readiness of balancer i.
func (f *Fabric) probe(ctx context.Context, i int, url string) {
	client := &http.Client{Timeout: probeInterval}
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		f.ready[i].Store(answersOK(ctx, client, url))
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func answersOK(ctx context.Context, client *http.Client, url string) bool {
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
