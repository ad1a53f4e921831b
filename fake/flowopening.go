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

// openFlow opens a flow. It returns nil if no target accepts the flow within
// openingTimeout and before deadline, or if the flow is reset.
func (c *flowCaller) openFlow(ctx context.Context, deadline time.Time) *callerPacketFlow {
	c.mu.Lock()
	c.lastPort++
	port := c.lastPort
	local := netip.AddrPortFrom(c.addr, port)
	f := &callerPacketFlow{initialSeq: c.rng.Uint32(), changed: make(chan struct{}, 1)}
	f.endpoint = endpoint{local: local, remote: c.requestType.Address, nextSeq: f.initialSeq + 1, outOfOrder: map[uint32]segment{}, transmit: c.transmit}
	c.flows[port] = f
	c.mu.Unlock()
	start := time.Now()
	for retransmits := range maxOpeningSends {
		c.mu.Lock()
		// The acknowledgement number of an opening packet is the number of its earlier
		// sends.
		c.transmit(segment{flags: segSyn, to: c.requestType.Address, from: local, seq: f.initialSeq, ack: uint32(retransmits)})
		c.mu.Unlock()
		until := start.Add(openingTimeout)
		if retransmits < len(openingRetransmitOffsets) {
			until = start.Add(openingRetransmitOffsets[retransmits])
		}
		if until.After(deadline) {
			until = deadline
		}
		for c.waitForChange(ctx, f, until) {
			if c.hasFailed(f) {
				c.closeFlow(f)
				return nil
			}
			if c.isOpen(f) {
				return f
			}
		}
	}
	c.closeFlow(f)
	return nil
}

// isOpen reports whether a target has accepted the flow.
func (c *flowCaller) isOpen(f *callerPacketFlow) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return f.open
}

// hasFailed reports whether the flow was reset or has no retransmissions left.
func (c *flowCaller) hasFailed(f *callerPacketFlow) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return f.failed
}

// keepIfUsable returns f if it can carry another request; otherwise it closes f and
// returns nil.
func (c *flowCaller) keepIfUsable(f *callerPacketFlow) *callerPacketFlow {
	c.mu.Lock()
	ended := f.endpoint.remoteClosed || f.failed
	c.mu.Unlock()
	if !ended {
		return f
	}
	c.closeFlow(f)
	return nil
}

// popResponse removes the next response from the stream and returns it. It returns
// false if the response is not complete yet or its header is malformed. A response of
// another service counts as misrouted.
func (c *flowCaller) popResponse(f *callerPacketFlow) (*http.Response, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	headerEnd := bytes.Index(f.endpoint.stream, []byte("\r\n\r\n"))
	if headerEnd < 0 {
		return nil, false
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(f.endpoint.stream)), nil)
	if err != nil {
		return nil, false
	}
	defer resp.Body.Close()
	size := headerEnd + 4 + int(max(resp.ContentLength, 0))
	if len(f.endpoint.stream) < size {
		return nil, false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode == http.StatusOK && string(body) != c.requestType.Service {
		c.callers.updateResult(func(r *FlowResult) { r.Misrouted++ })
	}
	f.target = resp.Header.Get(targetIDHeader)
	f.endpoint.stream = f.endpoint.stream[size:]
	return resp, true
}

// waitForChange waits until f has changed, and returns false if that does not happen
// before the given time or the end of ctx.
func (c *flowCaller) waitForChange(ctx context.Context, f *callerPacketFlow, until time.Time) bool {
	t := time.NewTimer(time.Until(until))
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

// closeFlow ends the stream to the target and removes the flow; a nil f is ignored.
func (c *flowCaller) closeFlow(f *callerPacketFlow) {
	if f == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.open && !f.failed {
		f.endpoint.write(time.Now(), nil, true)
	}
	delete(c.flows, f.endpoint.local.Port())
}
