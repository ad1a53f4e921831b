package balancer

import (
	"sync"

	"wisteriaweir/flow"
)

// pinBuffer buffers new pins from the shards for the control goroutine. Each
// shard limits how many pins it adds between two drains.
type pinBuffer struct {
	mu   sync.Mutex
	pins []flow.Pin
}

// add appends pins.
func (p *pinBuffer) add(pins []flow.Pin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pins = append(p.pins, pins...)
}

// drain removes and returns the buffered pins.
func (p *pinBuffer) drain() []flow.Pin {
	p.mu.Lock()
	defer p.mu.Unlock()
	pins := p.pins
	p.pins = nil
	return pins
}
