package fake

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriaweir/platform"
)

const (
	// routerProbeInterval is the time between two readiness probes of a host, and the
	// timeout of each.
	routerProbeInterval = 500 * time.Millisecond
	// probeFailureThreshold is the number of consecutive failed probes after which a
	// host is out of rotation.
	probeFailureThreshold = 2
)

// RouterHost contains the addresses of an entry host.
type RouterHost struct {
	// Packets is the address that receives packets.
	Packets netip.AddrPort
	// Ready is the address that serves /api/readiness.
	Ready netip.AddrPort
}

// Router selects the host for each packet of a caller by a hash of the flow's
// addresses and ports, modulo the number of hosts in rotation. A host leaves the
// rotation after probeFailureThreshold consecutive failed readiness probes and returns
// to it after the next successful one.
type Router struct {
	hosts  []RouterHost
	client http.Client

	mu sync.Mutex
	// probeFailures counts the consecutive failed probes of each host.
	probeFailures []int
}

// NewRouter returns a router for hosts, which are out of rotation until their first
// successful probe.
func NewRouter(hosts []RouterHost) *Router {
	r := &Router{hosts: hosts, probeFailures: make([]int, len(hosts))}
	r.client.Timeout = routerProbeInterval
	for i := range r.probeFailures {
		r.probeFailures[i] = probeFailureThreshold
	}
	return r
}

// Run probes the readiness of the hosts until ctx ends.
func (r *Router) Run(ctx context.Context) {
	for {
		var wg sync.WaitGroup
		for i := range r.hosts {
			wg.Go(func() { r.probeHost(ctx, i) })
		}
		wg.Wait()
		if platform.Sleep(ctx, routerProbeInterval) != nil {
			return
		}
	}
}

// probeHost probes the readiness of host i once and updates its failure count.
func (r *Router) probeHost(ctx context.Context, i int) {
	ok := false
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.hosts[i].Ready.String()+"/api/readiness", http.NoBody)
	if err == nil {
		var resp *http.Response
		if resp, err = r.client.Do(req); err == nil {
			ok = resp.StatusCode == http.StatusOK
			_ = resp.Body.Close()
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.probeFailures[i] = 0
	} else {
		r.probeFailures[i]++
	}
}

// ReadyCount returns the number of hosts in rotation.
func (r *Router) ReadyCount() int {
	return len(r.hostsInRotation())
}

// hostsInRotation returns the hosts with fewer than probeFailureThreshold consecutive
// failed probes.
func (r *Router) hostsInRotation() []RouterHost {
	r.mu.Lock()
	defer r.mu.Unlock()
	var inRotation []RouterHost
	for i, h := range r.hosts {
		if r.probeFailures[i] < probeFailureThreshold {
			inRotation = append(inRotation, h)
		}
	}
	return inRotation
}

// pickHost returns the packet address of the host for a flow. It chooses among all hosts
// if fewer than half of them are in rotation.
func (r *Router) pickHost(caller, service netip.AddrPort) netip.AddrPort {
	candidates := r.hostsInRotation()
	if len(candidates)*2 < len(r.hosts) {
		candidates = r.hosts
	}
	h := xxhash.Sum64String(caller.String() + service.String())
	return candidates[h%uint64(len(candidates))].Packets
}
