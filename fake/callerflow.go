package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"
)

// callerDatagramFlow is the caller's end of one feed or upload.
type callerDatagramFlow struct {
	caller  *Caller
	conn    *net.UDPConn
	service string
	isFeed  bool

	// target is the name of the target that sent the first response; a response of
	// another target breaks the flow.
	target string
	// seq is the sequence number of the newest part that was sent.
	seq int
	// ackedSeq is the sequence number of the newest acknowledged part.
	ackedSeq int
	// lastResponseAt is when the last response arrived. Until the first one, it is when
	// the flow was created.
	lastResponseAt time.Time
}

// run sends on the flow until end, or until the flow is broken. Datagrams may be
// lost, so a part is sent again until it is acknowledged.
func (f *callerDatagramFlow) run(ctx context.Context, end time.Time) {
	b := make([]byte, readBufferBytes)
	for time.Now().Before(end) && ctx.Err() == nil {
		f.send()
		if !f.receiveUntil(b, time.Now().Add(flowSendInterval)) {
			return
		}
		if time.Since(f.lastResponseAt) > flowTimeout {
			f.recordBroken("no response within the flow timeout")
			return
		}
	}
}

// send sends the opening datagram until a target has responded, and from then on the
// newest part.
func (f *callerDatagramFlow) send() {
	m := flowMessage{Kind: flowOpen, Service: f.service, Feed: f.isFeed}
	if f.target != "" {
		m.Kind = flowData
		if f.ackedSeq == f.seq {
			f.seq++
		}
		m.Seq = f.seq
	}
	_, _ = f.conn.Write(encodeJSON(m))
}

// receiveUntil handles responses until the given time and reports whether the flow
// is still intact. A datagram that is not a flowMessage was sent by a balancer and ends
// the flow.
func (f *callerDatagramFlow) receiveUntil(b []byte, until time.Time) bool {
	for {
		_ = f.conn.SetReadDeadline(until)
		n, err := f.conn.Read(b)
		if err != nil && time.Now().After(until) {
			return true
		}
		if err != nil {
			continue
		}
		var m flowMessage
		if json.Unmarshal(b[:n], &m) != nil {
			f.recordBroken("a balancer ended the flow")
			return false
		}
		if !f.handleMessage(m) {
			return false
		}
	}
}

// handleMessage processes one message of a target and reports whether the flow is
// still intact. A message of another service counts as misrouted and does not break
// the flow.
func (f *callerDatagramFlow) handleMessage(m flowMessage) bool {
	if m.Service != f.service {
		f.caller.updateResult(func(r *Result) { r.Crossed++ })
		f.caller.log(fmt.Sprintf("flow %v of %s received a message of another service: %+v", f.conn.LocalAddr(), f.service, m))
		return true
	}
	f.lastResponseAt = time.Now()
	if f.target == "" && m.Kind != flowUnknown {
		// The first tally may arrive before the response to the opening datagram.
		f.target = m.Target
	}
	if m.Kind == flowUnknown || m.Target != f.target {
		f.recordBroken(m.Kind + " from " + m.Target)
		return false
	}
	if m.Kind == flowAck {
		f.ackedSeq = max(f.ackedSeq, m.Seq)
	}
	return true
}

// recordBroken counts the flow as broken and logs the reason.
func (f *callerDatagramFlow) recordBroken(reason string) {
	f.caller.updateResult(func(r *Result) { r.Broken++ })
	f.caller.log(fmt.Sprintf("flow %v of %s on %q broken: %s", f.conn.LocalAddr(), f.service, f.target, reason))
}
