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
	// routerProbeInterval is the time between two questions for readiness, and
	// routerMisses the number of failed ones after which a host gets no packets.
	routerProbeInterval = 500 * time.Millisecond
	maxProbeFailures    = 2
)

// RouterHost is an entry host as the routers see it.
type RouterHost struct {
	// Packets is the address of the host's packets, Ready that of its readiness.
	Packets netip.AddrPort
	Ready   netip.AddrPort
}

// Router hands the packets of callers to the hosts in rotation, by a hash of the
// four addresses and ports modulo their number.
type Router struct {
	hosts  []RouterHost
	client http.Client

	mu            sync.Mutex
	probeFailures []int
}

// NewRouter returns a router before some hosts.
func NewRouter(hosts []RouterHost) *Router {
	r := &Router{hosts: hosts, probeFailures: make([]int, len(hosts))}
	r.client.Timeout = routerProbeInterval
	for i := range r.probeFailures {
		r.probeFailures[i] = maxProbeFailures
	}
	return r
}

// Run asks the hosts for readiness until ctx ends.
func (r *Router) Run(ctx context.Context) {
	for {
		var wg sync.WaitGroup
		for i := range r.hosts {
			wg.Go(func() { r.probe(ctx, i) })
		}
		wg.Wait()
		if platform.Sleep(ctx, routerProbeInterval) != nil {
			return
		}
	}
}

func (r *Router) probe(ctx context.Context, i int) {
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
	return len(r.rotation())
}

// rotation returns the hosts in rotation, all of them if fewer than half are.
func (r *Router) rotation() []RouterHost {
	r.mu.Lock()
	defer r.mu.Unlock()
	var inRotation []RouterHost
	for i, h := range r.hosts {
		if r.probeFailures[i] < maxProbeFailures {
			inRotation = append(inRotation, h)
		}
	}
	return inRotation
}

// pick returns the host for the packets of a flow.
func (r *Router) pick(caller, service netip.AddrPort) netip.AddrPort {
	candidates := r.rotation()
	if len(candidates)*2 < len(r.hosts) {
		candidates = r.hosts
	}
	h := xxhash.Sum64String(caller.String() + service.String())
	return candidates[h%uint64(len(candidates))].Packets
}
