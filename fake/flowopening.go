package fake

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// open opens a flow, and returns nil if no target takes it.
func (c *flowCaller) open(ctx context.Context, end time.Time) *callerEnd {
	c.mu.Lock()
	c.port++
	port := c.port
	local := netip.AddrPortFrom(c.at, port)
	f := &callerEnd{seq: c.rnd.Uint32(), changed: make(chan struct{}, 1)}
	f.end = flowEnd{local: local, remote: c.line.Address, next: f.seq + 1, early: map[uint32]segment{}, out: c.out}
	c.flows[port] = f
	c.mu.Unlock()
	start := time.Now()
	for copies := range openingTries {
		c.mu.Lock()
		c.out(segment{flags: segSyn, to: c.line.Address, from: local, seq: f.seq, ack: uint32(copies)})
		c.mu.Unlock()
		until := start.Add(openingLimit)
		if copies < len(openingResend) {
			until = start.Add(openingResend[copies])
		}
		if until.After(end) {
			until = end
		}
		for c.wait(ctx, f, until) {
			if c.broken(f) {
				c.drop(f)
				return nil
			}
			if c.isOpen(f) {
				return f
			}
		}
	}
	c.drop(f)
	return nil
}

func (c *flowCaller) isOpen(f *callerEnd) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return f.open
}

func (c *flowCaller) broken(f *callerEnd) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return f.failed
}

// after returns f if it can carry another request.
func (c *flowCaller) after(f *callerEnd) *callerEnd {
	c.mu.Lock()
	over := f.end.closed || f.failed
	c.mu.Unlock()
	if !over {
		return f
	}
	c.drop(f)
	return nil
}

// answer takes the answer out of the stream, if it is whole.
func (c *flowCaller) answer(f *callerEnd) (*http.Response, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	end := bytes.Index(f.end.stream, []byte("\r\n\r\n"))
	if end < 0 {
		return nil, false
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(f.end.stream)), nil)
	if err != nil {
		return nil, false
	}
	defer resp.Body.Close()
	size := end + 4 + int(max(resp.ContentLength, 0))
	if len(f.end.stream) < size {
		return nil, false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode == http.StatusOK && string(body) != c.line.Service {
		c.all.note(func(r *FlowResult) { r.Misrouted++ })
	}
	f.target = resp.Header.Get(headerTarget)
	f.end.stream = f.end.stream[size:]
	return resp, true
}

// wait waits until something came for f, and reports false at the end.
func (c *flowCaller) wait(ctx context.Context, f *callerEnd, end time.Time) bool {
	t := time.NewTimer(time.Until(end))
	defer t.Stop()
	select {
	case <-f.changed:
		return true
	case <-t.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// drop ends a flow.
func (c *flowCaller) drop(f *callerEnd) {
	if f == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.open && !f.failed {
		f.end.write(time.Now(), nil, true)
	}
	delete(c.flows, f.end.local.Port())
}
