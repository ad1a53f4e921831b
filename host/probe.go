package host

import (
	"context"
	"sync"
	"time"

	"wisteriaweir/platform"
)

// maxProbeWait is the longest time for which a store watcher waits for the result of another
// one before it repeats its own call.
const maxProbeWait = 2 * time.Second

// storeProbe lets one of the host's store watchers repeat its call while the store does not
// respond. The others wait until it succeeds, as each call has a price and all of them would
// fail for the same reason. It is safe for concurrent use.
type storeProbe struct {
	mu sync.Mutex
	// kind is the kind of the watcher that repeats its call, empty if none has failed.
	kind string
	// recovered is closed when a call succeeds.
	recovered chan struct{}
}

func newStoreProbe() *storeProbe {
	return &storeProbe{recovered: make(chan struct{})}
}

// succeed records that a call has succeeded: all waiting watchers go on.
func (p *storeProbe) succeed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.kind == "" {
		return
	}
	p.kind = ""
	close(p.recovered)
	p.recovered = make(chan struct{})
}

// release records that the watcher of a kind has stopped, so that another one repeats its call.
func (p *storeProbe) release(kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.kind == kind {
		p.kind = ""
	}
}

// wait waits until the watcher of a kind, whose call has failed, may repeat it: after delay if
// no other watcher repeats its call, otherwise until that one succeeds, for at most
// maxProbeWait.
func (p *storeProbe) wait(ctx context.Context, kind string, delay time.Duration) {
	p.mu.Lock()
	if p.kind == "" {
		p.kind = kind
	}
	isProber, recovered := p.kind == kind, p.recovered
	p.mu.Unlock()
	if isProber {
		_ = platform.Sleep(ctx, delay)
		return
	}
	timer := time.NewTimer(maxProbeWait)
	defer timer.Stop()
	select {
	case <-recovered:
	case <-timer.C:
	case <-ctx.Done():
	}
}
